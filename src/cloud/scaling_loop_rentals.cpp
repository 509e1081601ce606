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
  explicit RentalTransaction(LeaderContext& context)
      : context_(context), transaction_(context.begin()) {}

  /// Writes a record, or deletes it if `value` is empty.
  void write(const RentalId& id, std::optional<Json> value) {
    std::string key = keys::rental(id);
    transaction_.compares.push_back({key, context_.replica.modRevisionOf(key)});
    transaction_.writes.push_back({key, std::move(value), std::nullopt});
  }
  void countBytes(std::size_t bytes) { bytes_ += bytes; }
  bool full() const {
    return transaction_.writes.size() >= context_.platform.transactionOps ||
           bytes_ > kMaxTransactionBytes;
  }
  bool empty() const { return transaction_.writes.empty(); }
  Transaction take() { return std::move(transaction_); }

 private:
  LeaderContext& context_;
  Transaction transaction_;
  std::size_t bytes_ =
      1024;  // Includes an allowance for the parts of the records that are not counted.
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
    if (transaction.full()) break;
    ended.push_back(id);
    auto rental = context_.replica.rentals().find(id);
    if (rental == context_.replica.rentals().end()) continue;
    RentalRecord record = rental->second;
    record.answered = true;
    for (const auto& machine : result.machines) {
      transaction.countBytes(machine.value.size() + 4);
      const auto* known = context_.replica.machine(machine);
      if ((known && !known->rental.empty()) || fleet_.isTerminated(machine)) continue;
      record.machines.push_back({machine, false});
    }
    transaction.write(id, record.machines.empty() ? std::nullopt : std::optional(toJson(record)));
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
    if (transaction.full()) break;
    record.id = nextRentalId("a-");
    record.type = offering.type;
    record.zone = offering.zone;
    record.spot = offering.spot;
    record.count = static_cast<std::uint32_t>(record.machines.size());
    record.requestedAtMs = context_.runtime.wallMillis();
    record.answered = true;
    logInfo("machines without a rental record adopted", "count", record.count, "zone",
            offering.zone);
    transaction.write(record.id, toJson(record));
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
  while (!machinesToRent_.empty() && pending + written < limit && !transaction.full()) {
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
    transaction.write(record.id, toJson(record));
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
