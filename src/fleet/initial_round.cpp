#include "fleet/initial_round.hpp"

#include <algorithm>
#include <array>

#include "base/log.hpp"
#include "config/worker_timing.hpp"

namespace kestrelhoist {
namespace {

constexpr Duration kReportTravel{500};
constexpr int kBatch = 24;
constexpr Duration kPauseBetweenBatches{25};
// When machines are asked again whose answer has not come, counted from the last batch.
constexpr std::array<Duration, 2> kRepeatsAfter{Duration{300}, Duration{700}};

}  // namespace

// DESIGN: a new leader waits one full report round before placing or giving back. It asks for the
// reports, so that the round is over sooner if all answer.
bool InitialRound::isOver() const {
  const Duration round = maxHeartbeatInterval(context_.platform.reportEvery) + kReportTravel;
  if (context_.runtime.now() - context_.electedAt >= round) return true;
  return isProbing_ && queue_.empty() && !prober_.awaitsUnheard();
}

void InitialRound::probeUnheard() {
  if (isProbing_ || context_.initialRoundOver) return;
  isProbing_ = true;
  for (const auto& [id, machine] : fleet_.machines()) {
    if (!machine.hasReported() && !machine.address.empty() && machine.listed == Listed::running)
      queue_.push_back(id);
  }
  logInfo("probing workers for reports", "machines", queue_.size());
  probeNextBatch();
}

void InitialRound::probeNextBatch() {
  for (int i = 0; i < kBatch && !queue_.empty(); ++i) {
    Machine* machine = fleet_.find(queue_.front());
    probed_.push_back(queue_.front());
    queue_.pop_front();
    if (machine && !machine->hasReported()) prober_.probe(*machine);
  }
  if (queue_.empty()) {
    context_.runtime.after(kRepeatsAfter.front(),
                           context_.whileLeading([this] { repeatUnanswered(0); }));
  } else {
    context_.runtime.after(kPauseBetweenBatches,
                           context_.whileLeading([this] { probeNextBatch(); }));
  }
}

// An answer may be lost.
void InitialRound::repeatUnanswered(std::size_t repeat) {
  if (context_.initialRoundOver) return;
  for (const auto& id : probed_) {
    Machine* machine = fleet_.find(id);
    if (machine && !machine->hasReported()) prober_.ask(*machine);
  }
  const std::size_t next = repeat + 1;
  if (next == kRepeatsAfter.size()) return;
  context_.runtime.after(kRepeatsAfter.at(next) - kRepeatsAfter.at(repeat),
                         context_.whileLeading([this, next] { repeatUnanswered(next); }));
}

}  // namespace kestrelhoist
