#include "cloud/termination_loop.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "cloud/client.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kRetryDelay{1000};

// Collects the changed rental records of one commit. All machines of a rental share one write.
class RentalDrafts {
 public:
  explicit RentalDrafts(const LeaderContext& context) : context_(context) {}

  // Returns the draft of a record. The result is null if the record does not exist or the
  // transaction is full.
  RentalRecord* find(const RentalId& id) {
    auto rental = context_.replica.rentals().find(id);
    if (rental == context_.replica.rentals().end()) return nullptr;
    if (!drafts_.contains(id) && drafts_.size() >= context_.platform.transactionOps) return nullptr;
    return &drafts_.try_emplace(id, rental->second).first->second;
  }
  bool empty() const { return drafts_.empty(); }
  void addTo(Transaction& transaction) const {
    for (const auto& [id, draft] : drafts_) {
      std::string key = keys::rental(id);
      transaction.compares.push_back({key, context_.replica.modRevisionOf(key)});
      transaction.writes.push_back(
          {key, draft.machines.empty() ? std::nullopt : std::optional(toJson(draft)),
           std::nullopt});
    }
  }

 private:
  const LeaderContext& context_;
  std::map<RentalId, RentalRecord> drafts_;
};

// Removes the entries of terminated machines that have no task on record. Returns the terminated
// machines that have no entry any more.
std::vector<MachineId> removeTerminated(const LeaderContext& context,
                                        const std::set<MachineId>& terminated,
                                        RentalDrafts& drafts) {
  std::vector<MachineId> removed;
  for (const auto& id : terminated) {
    const auto* state = context.replica.machine(id);
    if (!state) {
      removed.push_back(id);
    } else if (state->tasks.empty()) {
      if (auto* draft = drafts.find(state->rental)) {
        std::erase_if(draft->machines, [&](const auto& machine) { return machine.id == id; });
        removed.push_back(id);
      }
    }
  }
  return removed;
}

// Marks machines as draining, so that they get no more tasks. Returns the number of new marks.
std::size_t markDraining(const LeaderContext& context, const Fleet& fleet,
                         const std::set<MachineId>& terminated, RentalDrafts& drafts) {
  std::size_t marked = 0;
  for (const auto& id : fleet.terminating()) {
    const auto* state = context.replica.machine(id);
    if (!state || state->draining || terminated.contains(id)) continue;
    if (auto* draft = drafts.find(state->rental)) {
      for (auto& machine : draft->machines) {
        machine.draining = machine.draining || machine.id == id;
      }
      ++marked;
    }
  }
  return marked;
}

}  // namespace

// A machine is first marked as draining. Its entry is removed once the cloud has confirmed the
// termination and the machine has no task on record.
LoopStep TerminationLoop::next() {
  RentalDrafts drafts(context_);
  std::vector<MachineId> removed = removeTerminated(context_, terminated_, drafts);
  const std::size_t marked = markDraining(context_, fleet_, terminated_, drafts);
  auto forget = [this, removed] {
    for (const auto& id : removed) terminated_.erase(id);
  };
  if (drafts.empty()) {
    forget();
    return LoopStep::idle();
  }
  Transaction transaction = context_.begin();
  drafts.addTo(transaction);
  return LoopStep::committing(Commit{
      std::move(transaction),
      [this, forget] {
        forget();
        requestTerminations();
      },
      std::to_string(marked) + " machines leaving, " + std::to_string(removed.size()) + " gone"});
}

// Requests the termination of machines that are recorded as draining. Only the cloud's answer 200
// proves that an unreachable machine and its tasks have ended.
void TerminationLoop::requestTerminations() {
  if (!requested_.empty()) return;
  constexpr std::size_t kMaxMachinesPerCall = 100;
  std::vector<MachineId> batch;
  for (const auto& id : fleet_.terminating()) {
    const auto* state = context_.replica.machine(id);
    if (state && state->draining && batch.size() < kMaxMachinesPerCall) batch.push_back(id);
  }
  if (batch.empty() || !context_.cloud.tryAcquireRequest()) return;
  requested_.insert(batch.begin(), batch.end());
  context_.cloud.terminateMachines(batch, context_.whileLeading([this, batch](bool ok) {
    if (!ok) {
      logInfo("machine termination not confirmed; retrying", "machines", batch.size());
      context_.runtime.after(kRetryDelay, context_.whileLeading([this] { requested_.clear(); }));
      return;
    }
    requested_.clear();
    for (const auto& id : batch) {
      logInfo("machine terminated", "machine", id);
      if (const auto* state = context_.replica.machine(id)) {
        for (const auto& t : state->tasks) outcomes_.note(t, AttemptOutcome::lost);
      }
      terminated_.insert(id);
      fleet_.onTerminated(id, context_.runtime.now());
    }
    requestTerminations();
    context_.scheduleCycle();
  }));
}

}  // namespace kestrelhoist
