#include "metrics/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "base/message_limits.hpp"

namespace kestrelhoist {
namespace {
const prometheus::Histogram::BucketBoundaries kSeconds{0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                                       0.2,   0.5,   1,    2,    5,    10};
const prometheus::Histogram::BucketBoundaries kSilenceSeconds{2,  4,  6,  8,  10, 12, 15,
                                                              20, 25, 30, 40, 60, 90, 120};
template <class T>
prometheus::Family<T>& family(prometheus::Registry& registry, const std::string& name,
                              const std::string& help) {
  return prometheus::detail::Builder<T>()
      .Name("kestrelhoist_" + name)
      .Help(help)
      .Register(registry);
}
}  // namespace

struct Metrics::Families {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& requests = family<prometheus::Counter>(
      registry, "requests_total", "members' requests by kind and answer");
  prometheus::Family<prometheus::Histogram>& seconds = family<prometheus::Histogram>(
      registry, "request_seconds", "from a member's request to its answer; held watches left out");
  prometheus::Family<prometheus::Counter>& sheds = family<prometheus::Counter>(
      registry, "sheds_total", "members' requests refused before any work, by kind and cause");
  prometheus::Family<prometheus::Histogram>& waits = family<prometheus::Histogram>(
      registry, "turn_wait_seconds", "how long a member's write waited for its turn");
  prometheus::Histogram& wait = waits.Add({}, kSeconds);
  prometheus::Family<prometheus::Counter>& commits = family<prometheus::Counter>(
      registry, "commits_total", "transactions sent to the state service, by outcome and role");
  prometheus::Counter& writesSetAside =
      family<prometheus::Counter>(registry, "writes_set_aside_total",
                                  "writes that the state service accepts in no transaction")
          .Add({});
  prometheus::Counter& tokenRaises =
      family<prometheus::Counter>(registry, "token_raises_total",
                                  "times that this leader raised its fencing token")
          .Add({});
  prometheus::Counter& clearedAttemptsReported =
      family<prometheus::Counter>(registry, "cleared_attempts_reported_total",
                                  "attempts that a worker reported again after it cleared them")
          .Add({});
  prometheus::Family<prometheus::Counter>& repeats = family<prometheus::Counter>(
      registry, "repeats_total",
      "requests sent once more as nobody had answered, by what they are");
  prometheus::Family<prometheus::Counter>& leaseEndProbes = family<prometheus::Counter>(
      registry, "lease_end_probes_total", "probes at the end of workers' leases, by answer");
  prometheus::Family<prometheus::Counter>& refusedMessages = family<prometheus::Counter>(
      registry, "messages_refused_total", "messages that were not decoded, by fault");
  prometheus::Histogram& silence =
      family<prometheus::Histogram>(
          registry, "machine_silence_seconds",
          "from a machine's newest known sign of life to the request of its release")
          .Add({}, kSilenceSeconds);
  prometheus::Family<prometheus::Gauge>& state =
      family<prometheus::Gauge>(registry, "state", "what this controller holds or sees now");
};

Metrics::Metrics() : families_(std::make_unique<Families>()) {}
Metrics::~Metrics() = default;

void Metrics::answered(const char* kind, int status, Duration took) {
  families_->requests.Add({{"kind", kind}, {"status", std::to_string(status)}}).Increment();
  families_->seconds.Add({{"kind", kind}}, kSeconds).Observe(toSeconds(took));
}

void Metrics::shed(const char* kind, const char* why) {
  families_->sheds.Add({{"kind", kind}, {"why", why}}).Increment();
}

void Metrics::queued(Duration waited) { families_->wait.Observe(toSeconds(waited)); }

void Metrics::committed(const char* outcome, bool leading) {
  families_->commits.Add({{"outcome", outcome}, {"role", leading ? "leader" : "node"}}).Increment();
}

void Metrics::writeSetAside() { families_->writesSetAside.Increment(); }

void Metrics::repeated(const char* what) { families_->repeats.Add({{"what", what}}).Increment(); }

void Metrics::terminationRequested(Duration silence) {
  families_->silence.Observe(toSeconds(silence));
}

void Metrics::tokenRaised() { families_->tokenRaises.Increment(); }

void Metrics::clearedAttemptReported() { families_->clearedAttemptsReported.Increment(); }

void Metrics::leaseEndProbed(const char* answer) {
  families_->leaseEndProbes.Add({{"answer", answer}}).Increment();
}

void Metrics::collectRefusedMessages() {
  for (MessageFault fault : kMessageFaults) {
    auto& counter = families_->refusedMessages.Add({{"fault", toString(fault)}});
    counter.Increment(static_cast<double>(refusedMessages(fault)) - counter.Value());
  }
}

std::string Metrics::text() {
  collectRefusedMessages();
  if (gauges) {
    MetricGauges g = gauges();
    auto set = [&](const char* what, double v) { families_->state.Add({{"what", what}}).Set(v); };
    set("watches", g.watches);
    set("writes_waiting", g.waiting);
    set("writes_working", g.working);
    set("late_seconds", g.lateS);
    set("live_jobs", g.liveJobs);
    set("member_jobs", g.memberJobs);
    set("keys", g.keys);
    set("machines", g.machines);
    set("leading", g.leading);
    set("store_age_seconds", g.storeAgeS);
  }
  return prometheus::TextSerializer().Serialize(families_->registry.Collect());
}

}  // namespace kestrelhoist
