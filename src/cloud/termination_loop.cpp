#include "cloud/termination_loop.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "cloud/client.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kRetry{1000};
}  // namespace

// First the mark that a machine gets no more work; after the cloud's 200, and once its tasks are
// off the record, the end of its entry. One write for all machines of a rental.
LoopStep TerminationLoop::next() {
  std::map<RentalId, RentalRecord> drafts;
  std::vector<MachineId> ended;
  std::size_t marked = 0;
  auto draftOf = [&](const RentalId& id) -> RentalRecord* {
    auto rental = context_.replica.rentals().find(id);
    if (rental == context_.replica.rentals().end()) return nullptr;
    if (!drafts.contains(id) && drafts.size() >= context_.platform.transactionOps) return nullptr;
    return &drafts.try_emplace(id, rental->second).first->second;
  };
  for (const auto& id : terminated_) {
    const auto* state = context_.replica.machine(id);
    if (!state) {
      ended.push_back(id);
    } else if (state->tasks.empty()) {
      if (auto* draft = draftOf(state->rental)) {
        std::erase_if(draft->machines, [&](const auto& m) { return m.id == id; });
        ended.push_back(id);
      }
    }
  }
  for (const auto& id : fleet_.terminating()) {
    const auto* state = context_.replica.machine(id);
    if (!state || state->draining || terminated_.contains(id)) continue;
    if (auto* draft = draftOf(state->rental)) {
      for (auto& m : draft->machines) m.draining = m.draining || m.id == id;
      ++marked;
    }
  }
  auto settle = [this, ended] {
    for (const auto& id : ended) terminated_.erase(id);
  };
  if (drafts.empty()) {
    settle();
    return LoopStep::idle();
  }
  Transaction t = context_.begin();
  for (const auto& [id, draft] : drafts) {
    std::string key = keys::rental(id);
    t.compares.push_back({key, context_.replica.modRevisionOf(key)});
    t.writes.push_back(
        {key, draft.machines.empty() ? std::nullopt : std::optional(toJson(draft)), std::nullopt});
  }
  return LoopStep::committing(Commit{
      std::move(t),
      [this, settle] {
        settle();
        start();
      },
      std::to_string(marked) + " machines leaving, " + std::to_string(ended.size()) + " gone"});
}

// Asks for the release of machines whose mark is on record. The answer 200 is the one fence for
// silent machines: they and all that was on them are gone.
void TerminationLoop::start() {
  if (!terminationUnderWay_.empty()) return;
  constexpr std::size_t kMostNames = 100;
  std::vector<MachineId> batch;
  for (const auto& id : fleet_.terminating()) {
    const auto* state = context_.replica.machine(id);
    if (state && state->draining && batch.size() < kMostNames) batch.push_back(id);
  }
  if (batch.empty() || !context_.cloud.mayAsk()) return;
  terminationUnderWay_.insert(batch.begin(), batch.end());
  context_.cloud.release(batch, context_.whileLeading([this, batch](bool ok) {
    if (!ok) {
      logInfo("release got no 200, asking again", "machines", batch.size());
      context_.runtime.after(kRetry,
                             context_.whileLeading([this] { terminationUnderWay_.clear(); }));
      return;
    }
    terminationUnderWay_.clear();
    for (const auto& id : batch) {
      logInfo("machine released", "machine", id);
      if (const auto* state = context_.replica.machine(id)) {
        for (const auto& t : state->tasks) outcomes_.note(t, AttemptOutcome::lost);
      }
      terminated_.insert(id);
      fleet_.onReleased(id, context_.runtime.now());
    }
    start();
    context_.scheduleCycle();
  }));
}

}  // namespace kestrelhoist
