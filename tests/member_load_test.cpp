// This measurement runs only by hand, with KESTRELHOIST_MEASURE=1 and --gtest_filter='MemberLoad*'.
// It measures the response times of one member on loopback with real processes, alone and while
// another member floods the controllers. prometheus-cpp summaries compute the quantiles because no
// package of HdrHistogram exists for C++.
#include <gtest/gtest.h>
#include <prometheus/summary.h>

#include <cstdlib>
#include <fstream>

#include "base/http.hpp"
#include "base/log.hpp"
#include "client/src/job_codec.hpp"
#include "members_simulator.hpp"

namespace kestrelhoist {
namespace {

struct Times {
  prometheus::Summary summary{{{0.5, 0.01}, {0.99, 0.001}, {0.999, 0.0001}}, std::chrono::hours(1)};
  int asked = 0, refused = 0, failed = 0;
  std::string text() {
    std::string out;
    for (const auto& q : summary.Collect().summary.quantile) {
      char line[64];
      std::snprintf(line, sizeof line, "p%g %.1f ms, ", q.quantile * 100, q.value);
      out += line;
    }
    return out + std::to_string(asked) + " asked, " + std::to_string(refused) + " refused, " +
           std::to_string(failed) + " without an answer";
  }
};

// Sends `rate` requests per second for `seconds` to all controllers in turn. Submissions and polls
// alternate.
void load(EventLoop& loop, EvHttpClient& http, const std::vector<std::string>& servers,
          const std::string& key, int rate, int seconds, int firstId, Times& times, int& open) {
  client::Job job;
  job.team = "herbarium";
  job.cpus = job.ramGb = 0.1;
  for (int i = 0; i < rate * seconds; ++i) {
    ++open;
    loop.after(Duration{static_cast<std::int64_t>(i) * 1000 / rate}, [&, i, key, job, firstId] {
      std::string ref = "j-" + std::to_string(firstId + i);
      Request q = i % 2 == 0
                      ? Request{"POST", "/v2/runs", encodeBody(client::toBody(job, ref)), key}
                      : Request{"GET", "/v2/runs/j-" + std::to_string(firstId + i - 1), "", key};
      Instant sent = loop.now();
      ++times.asked;
      http.send(servers[static_cast<std::size_t>(i) % servers.size()], q, Duration{5000},
                [&, sent](const std::optional<Response>& r) {
                  times.summary.Observe(static_cast<double>((loop.now() - sent).count()));
                  times.failed += r ? 0 : 1;
                  times.refused += r && r->status == 429 ? 1 : 0;
                  if (--open == 0) loop.stop();
                });
    });
  }
}

TEST(MemberLoad, AFloodOnLoopback) {
  if (!std::getenv("KESTRELHOIST_MEASURE")) GTEST_SKIP();
  spdlog::set_level(spdlog::level::off);
  Members m({});
  ASSERT_FALSE(m.process->servers.empty());
  std::string ana = m.keyFor("ana"), ben = m.keyFor("ben");
  for (bool flood : {false, true}) {
    EventLoop loop;
    EvHttpClient http(loop, 400);
    Times calm, other;
    int open = 0;
    load(loop, http, m.process->servers, ana, 20, 20, flood ? 100000 : 200000, calm, open);
    if (flood) load(loop, http, m.process->servers, ben, 1500, 20, 300000, other, open);
    loop.run();
    std::printf("%s: %s\n", flood ? "beside a flood" : "alone", calm.text().c_str());
    if (flood) std::printf("the flood: %s\n", other.text().c_str());
    EXPECT_EQ(calm.refused + calm.failed, 0);
  }
}

}  // namespace
}  // namespace kestrelhoist
