#include "store/commit_limits.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {

// Bounds the memory for writes that are set aside. Beyond it, the first key's is forgotten.
constexpr std::size_t kMaxSetAside = 1000;

Revision comparedRevision(const std::string& key, const std::vector<Compare>& compares) {
  auto compare = std::find_if(compares.begin(), compares.end(),
                              [&](const Compare& candidate) { return candidate.key == key; });
  return compare == compares.end() ? Revision{} : compare->modRevision;
}

std::size_t valueBytesOf(const Write& write) { return write.value ? jsonBytes(*write.value) : 0; }

}  // namespace

std::optional<std::string> CommitLimits::refusalOf(const Transaction& transaction) const {
  const TransactionLimits present{limits_.operations, presentValueBytes_};
  if (auto limit = exceededLimit(sizeOf(transaction), present)) return "limit exceeded: " + *limit;
  if (transaction.parts > 1) return std::nullopt;
  if (!isSetAside({transaction.compares, transaction.writes})) return std::nullopt;
  return "rejected before";
}

bool CommitLimits::isSetAside(const TransactionPart& part) const {
  if (setAside_.empty() || part.writes.empty()) return false;
  return std::all_of(part.writes.begin(), part.writes.end(),
                     [&](const Write& write) { return isSetAside(write, part.compares); });
}

bool CommitLimits::isSetAside(const Write& write, const std::vector<Compare>& compares) const {
  auto entry = setAside_.find(write.key);
  return entry != setAside_.end() &&
         entry->second.comparedRevision == comparedRevision(write.key, compares) &&
         valueBytesOf(write) >= entry->second.valueBytes;
}

std::size_t CommitLimits::setAsideFrom(const std::string& key) const {
  auto entry = setAside_.find(key);
  return entry == setAside_.end() ? std::numeric_limits<std::size_t>::max()
                                  : entry->second.valueBytes;
}

bool CommitLimits::admitsAlone(const TransactionPart& part, const TransactionSize& size,
                               const TransactionLimits& limits) {
  if (auto limit = exceededLimit(size, limits)) {
    setAside(part, "limit exceeded: " + *limit);
    return false;
  }
  return !isSetAside(part);
}

bool CommitLimits::admitsTogether(std::size_t parts, const TransactionSize& size,
                                  const TransactionLimits& limits) const {
  return parts <= maxParts_ && !exceededLimit(size, limits);
}

void CommitLimits::setAside(const TransactionPart& part, const std::string& why) {
  for (const auto& write : part.writes) {
    // Each write with a lease differs from the ones before it.
    if (write.lease || isSetAside(write, part.compares)) continue;
    const SetAside entry{comparedRevision(write.key, part.compares), valueBytesOf(write)};
    setAside_.insert_or_assign(write.key, entry);
    logError("record can't be written; set aside", "key", write.key, "why", why, "bytes",
             entry.valueBytes, "revision", entry.comparedRevision);
    if (onSetAside) onSetAside();
  }
  while (setAside_.size() > kMaxSetAside) setAside_.erase(setAside_.begin());
}

// The number of parts grows by one with each success, as it may be one part of many that the state
// service rejects.
void CommitLimits::onApplied() {
  if (maxParts_ == kAnyNumberOfParts) return;
  ++maxParts_;
  if (maxParts_ > limits_.operations) maxParts_ = kAnyNumberOfParts;
}

void CommitLimits::onRejected(const Transaction& transaction, const std::string& why) {
  const TransactionSize size = sizeOf(transaction);
  logError("transaction rejected", "why", why, "bytes", size.bytes, "changes", size.operations,
           "conditions", size.compares, "largest_value", size.largestValueBytes, "parts",
           transaction.parts);
  if (size.largestValueBytes > limits_.valueBytes && presentValueBytes_ > limits_.valueBytes) {
    presentValueBytes_ = limits_.valueBytes;
    logInfo("the state service has lowered its limit for values", "bytes", presentValueBytes_);
    return;
  }
  if (transaction.parts > 1) {
    maxParts_ = std::max<std::size_t>(1, transaction.parts / 2);
    return;
  }
  setAside({transaction.compares, transaction.writes}, why);
}

TransactionBuilder::TransactionBuilder(CommitLimits& limits, Transaction first)
    : limits_(limits), transaction_(std::move(first)), size_(sizeOf(transaction_)) {
  emptySize_ = size_;
  transaction_.parts = 0;
}

TransactionBuilder::Result TransactionBuilder::add(const TransactionPart& part) {
  TransactionSize added = sizeOf(TransactionPart{{}, part.writes});
  TransactionSize alone = added;
  std::vector<Compare> newCompares;
  for (const auto& compare : part.compares) {
    const TransactionSize size = sizeOf(compare);
    alone += size;
    bool known = std::any_of(transaction_.compares.begin(), transaction_.compares.end(),
                             [&](const Compare& c) { return c.key == compare.key; });
    if (known) continue;
    added += size;
    newCompares.push_back(compare);
  }
  const TransactionLimits& limits = limits_.limits();
  if (!limits_.admitsAlone(part, sizeWith(emptySize_, alone), limits)) return Result::unwritable;
  const TransactionSize together = sizeWith(size_, added);
  if (!limits_.admitsTogether(transaction_.parts + 1, together, limits)) return Result::full;
  size_ = together;
  ++transaction_.parts;
  transaction_.compares.insert(transaction_.compares.end(), newCompares.begin(), newCompares.end());
  transaction_.writes.insert(transaction_.writes.end(), part.writes.begin(), part.writes.end());
  return Result::added;
}

}  // namespace kestrelhoist
