// Implements the rentals of the scaling loop. The record of a rental is written before the machines
// are requested from the cloud, and the rented machines are added to it after the answer.
#include <algorithm>
#include <utility>

#include "base/log.hpp"
#include "cloud/scaling_loop.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kRetryDelay{1000};
}  // namespace

/// Collects the rental records that one commit writes, within the limits of a transaction.
class RentalTransaction {
 public:
  using Result = TransactionBuilder::Result;

  explicit RentalTransaction(LeaderContext& context)
      : context_(context), builder_(context.beginBounded()) {}

  /// Writes a record, or deletes it if it names no machine although the cloud has answered. Leaves
  /// out machines that do not fit into the record; they are adopted when they report.
  Result write(RentalRecord record) {
    const std::size_t limit = context_.store.limits().limits().valueBytes;
    while (!record.machines.empty() && jsonBytes(toJson(record)) > limit) {
      logInfo("machine left out of its rental's record", "machine", record.machines.back().id);
      record.machines.pop_back();
    }
    const std::string key = keys::rental(record.id);
    std::optional<Json> value;
    if (!record.answered || !record.machines.empty()) value = toJson(record);
    return builder_.add(
        {{{key, context_.replica.modRevisionOf(key)}}, {{key, std::move(value), std::nullopt}}});
  }
  bool empty() const { return builder_.empty(); }
  Transaction take() { return builder_.take(); }

 private:
  LeaderContext& context_;
  TransactionBuilder builder_;
};

LoopStep ScalingLoop::next() {
  RentalTransaction transaction(context_);
  std::vector<RentalId> ended = recordResults(transaction);
  recordAdoptedMachines(transaction);
  std::size_t written = recordNewRentals(transaction);
  if (transaction.empty()) {
    for (const auto& id : ended) uncommittedResults_.erase(id);
    return LoopStep::idle();
  }
  auto onCommitted = [this, ended] {
    for (const auto& id : ended) {
      uncommittedResults_.erase(id);
      requested_.erase(id);
    }
    fleet_.adoptRecords(context_.runtime.now(), context_.runtime.wallMillis());
    context_.planInvalidated = true;
    startRentals();
  };
  return LoopStep::committing(Commit{
      transaction.take(), std::move(onCommitted),
      std::to_string(written) + " rentals wanted, " + std::to_string(ended.size()) + " ended"});
}

std::vector<RentalId> ScalingLoop::recordResults(RentalTransaction& transaction) {
  std::vector<RentalId> ended;
  for (const auto& [id, result] : uncommittedResults_) {
    auto rental = context_.replica.rentals().find(id);
    if (rental == context_.replica.rentals().end()) {
      ended.push_back(id);
      continue;
    }
    RentalRecord record = rental->second;
    record.answered = true;
    for (const auto& machine : result.machines) {
      const auto* known = context_.replica.machine(machine);
      if ((known && !known->rental.empty()) || fleet_.isTerminated(machine)) continue;
      record.machines.push_back({machine, false});
    }
    const auto written = transaction.write(std::move(record));
    if (written == RentalTransaction::Result::full) break;
    if (written == RentalTransaction::Result::added) ended.push_back(id);
  }
  return ended;
}

// Writes rental records for machines that no rental record names, because only recorded machines
// can be used.
void ScalingLoop::recordAdoptedMachines(RentalTransaction& transaction) {
  std::map<InstanceOffering, RentalRecord> adopted;
  for (const auto& id : fleet_.unrecorded()) adoptMachine(id, false, adopted);
  for (const auto& id : fleet_.terminating()) adoptMachine(id, true, adopted);
  for (auto& [offering, record] : adopted) {
    record.id = nextRentalId("a-");
    record.type = offering.type;
    record.zone = offering.zone;
    record.spot = offering.spot;
    record.count = static_cast<std::uint32_t>(record.machines.size());
    record.requestedAtMs = context_.runtime.wallMillis();
    record.answered = true;
    const std::uint32_t count = record.count;
    if (transaction.write(std::move(record)) != RentalTransaction::Result::added) break;
    logInfo("machines without a rental record adopted", "count", count, "zone", offering.zone);
  }
}

void ScalingLoop::adoptMachine(const MachineId& id, bool draining,
                               std::map<InstanceOffering, RentalRecord>& adopted) const {
  constexpr std::size_t kMaxAdopted = 50;  // This limit per offering bounds the size of the value.
  const Machine* machine = fleet_.find(id);
  const auto* known = context_.replica.machine(id);
  if (!machine || machine->type.empty() || (known && !known->rental.empty())) return;
  InstanceOffering offering{machine->type, machine->zone, machine->spot};
  // While a rental of the same offering has no recorded answer, the machine probably belongs to it.
  for (const auto& [rentalId, rental] : context_.replica.rentals()) {
    if (!rental.answered && InstanceOffering{rental.type, rental.zone, rental.spot} == offering) {
      return;
    }
  }
  RentalRecord& record = adopted[offering];
  if (record.machines.size() >= kMaxAdopted) return;
  record.machines.push_back({id, draining});
}

// Keeps at most as many rentals pending as the cloud accepts calls per second. Later decisions
// combine the remaining machines into few calls with many machines each.
std::size_t ScalingLoop::recordNewRentals(RentalTransaction& transaction) {
  constexpr std::uint32_t kMaxPerCall =
      50;  // The cloud rents at most this many machines in one call.
  std::size_t pending = 0;
  for (const auto& [id, rental] : context_.replica.rentals()) {
    if (!rental.answered && !uncommittedResults_.contains(id)) ++pending;
  }
  const auto limit = static_cast<std::size_t>(std::max(1.0, context_.platform.cloudRequestsPerS));
  std::size_t written = 0;
  while (!machinesToRent_.empty() && pending + written < limit) {
    // On-demand machines come first, because firm work can use no others. Among offerings of one
    // market, the one with the most machines comes first.
    auto next = std::max_element(machinesToRent_.begin(), machinesToRent_.end(),
                                 [](const auto& a, const auto& b) {
                                   if (a.first.spot != b.first.spot) return a.first.spot;
                                   return a.second < b.second;
                                 });
    const std::uint32_t count = std::min(next->second, kMaxPerCall);
    const InstanceOffering& offering = next->first;
    RentalRecord record{nextRentalId("r-"),
                        offering.type,
                        offering.zone,
                        offering.spot,
                        count,
                        context_.runtime.wallMillis(),
                        false,
                        {}};
    if (transaction.write(std::move(record)) != RentalTransaction::Result::added) break;
    ++written;
    next->second -= count;
    if (next->second == 0) machinesToRent_.erase(next);
  }
  return written;
}

// The id is never used again: fencing tokens are unique, and so is the counter for one token.
RentalId ScalingLoop::nextRentalId(const std::string& prefix) {
  return RentalId{prefix + std::to_string(context_.token.value) + "-" +
                  std::to_string(++rentalCount_)};
}

void ScalingLoop::startRentals() {
  for (const auto& [id, rental] : context_.replica.rentals()) {
    if (rental.answered || uncommittedResults_.contains(id) || requested_.contains(id)) continue;
    if (!context_.cloud.tryAcquireRequest()) return;
    requested_.insert(id);
    context_.cloud.requestMachines(
        rental, context_.whileLeading(
                    [this, rental](RentalResult result) { onRentalAnswered(rental, result); }));
  }
}

void ScalingLoop::onRentalAnswered(const RentalRecord& rental, const RentalResult& result) {
  const Instant now = context_.runtime.now();
  const InstanceOffering offering{rental.type, rental.zone, rental.spot};
  if (result.kind == RentalResult::Kind::failed) {
    // After an error or a timeout the request is repeated with the same id. The cloud rents no
    // machine twice for one id.
    context_.runtime.after(kRetryDelay, context_.whileLeading([this, id = rental.id] {
      requested_.erase(id);
      startRentals();
    }));
    return;
  }
  if (result.machines.size() < rental.count) {
    refused_[offering] = now;
  } else {
    refused_.erase(offering);
  }
  logInfo("rental completed", "rental", rental.id, "granted", result.machines.size(), "requested",
          rental.count, "spot", rental.spot, "type", rental.type, "zone", rental.zone);
  uncommittedResults_[rental.id] = result;
  nextDecision_ = now;
  context_.scheduleCycle();
}

}  // namespace kestrelhoist
