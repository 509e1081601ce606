#include "cloud/termination_loop.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "cloud/client.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kRetryDelay{1000};

// Collects the changes of rental records that terminations need. All machines of a rental share one
// write.
class RentalDrafts {
 public:
  explicit RentalDrafts(const LeaderContext& context) : context_(context) {}

  // Holds a record as the commit will write it, with the machines whose entries change.
  struct Draft {
    RentalRecord record;
    std::vector<MachineId> removed;
    std::size_t marked = 0;
  };

  // Returns the draft of a record, or null if the record does not exist.
  Draft* find(const RentalId& id) {
    auto rental = context_.replica.rentals().find(id);
    if (rental == context_.replica.rentals().end()) return nullptr;
    auto [draft, isNew] = drafts_.try_emplace(id, Draft{rental->second, {}});
    if (isNew) order_.push_back(id);
    return &draft->second;
  }

  // Adds drafts to the transaction, the first ones first, until it is full. Returns those that it
  // has now.
  std::vector<const Draft*> addTo(TransactionBuilder& builder) const {
    std::vector<const Draft*> added;
    for (const auto& id : order_) {
      const Draft& draft = drafts_.at(id);
      const std::string key = keys::rental(id);
      std::optional<Json> value;
      if (!draft.record.machines.empty()) value = toJson(draft.record);
      auto result = builder.add(
          {{{key, context_.replica.modRevisionOf(key)}}, {{key, std::move(value), std::nullopt}}});
      if (result == TransactionBuilder::Result::full) break;
      if (result == TransactionBuilder::Result::added) added.push_back(&draft);
    }
    return added;
  }

 private:
  const LeaderContext& context_;
  std::map<RentalId, Draft> drafts_;
  std::vector<RentalId> order_;
};

// Removes the entries of terminated machines that have no task on record. Returns the terminated
// machines that have no entry.
std::vector<MachineId> removeTerminated(const LeaderContext& context,
                                        const std::set<MachineId>& terminated,
                                        RentalDrafts& drafts) {
  std::vector<MachineId> withoutEntry;
  for (const auto& id : terminated) {
    const auto* state = context.replica.machine(id);
    if (!state) {
      withoutEntry.push_back(id);
    } else if (state->tasks.empty()) {
      if (auto* draft = drafts.find(state->rental)) {
        std::erase_if(draft->record.machines,
                      [&](const auto& machine) { return machine.id == id; });
        draft->removed.push_back(id);
      }
    }
  }
  return withoutEntry;
}

// Marks machines as draining, so that they get no more tasks.
void markDraining(const LeaderContext& context, const Fleet& fleet,
                  const std::set<MachineId>& terminated, RentalDrafts& drafts) {
  for (const auto& id : fleet.terminating()) {
    const auto* state = context.replica.machine(id);
    if (!state || state->draining || terminated.contains(id)) continue;
    if (auto* draft = drafts.find(state->rental)) {
      for (auto& machine : draft->record.machines) {
        machine.draining = machine.draining || machine.id == id;
      }
      ++draft->marked;
    }
  }
}

}  // namespace

// A machine is first marked as draining. Its entry is removed once the cloud has confirmed the
// termination and the machine has no task on record.
LoopStep TerminationLoop::next() {
  RentalDrafts drafts(context_);
  std::vector<MachineId> removed = removeTerminated(context_, terminated_, drafts);
  markDraining(context_, fleet_, terminated_, drafts);
  TransactionBuilder builder = context_.beginBounded();
  std::size_t marked = 0;
  for (const auto* draft : drafts.addTo(builder)) {
    removed.insert(removed.end(), draft->removed.begin(), draft->removed.end());
    marked += draft->marked;
  }
  auto forget = [this, removed] {
    for (const auto& id : removed) terminated_.erase(id);
  };
  if (builder.empty()) {
    forget();
    return LoopStep::idle();
  }
  return LoopStep::committing(Commit{
      builder.take(),
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
