#include "store/transaction.hpp"

#include <algorithm>

namespace kestrelhoist {
namespace {

constexpr std::size_t kSeparatorBytes = 1;

Json toJson(const Compare& compare) {
  return {{"path", compare.key}, {"stamp", compare.modRevision.value}};
}

Json toJson(const Write& write) {
  if (!write.value) return {{"drop", write.key}};
  Json entry = {{"set", write.key}, {"data", *write.value}};
  if (write.lease) entry["ticket"] = write.lease->value;
  return entry;
}

// Returns the entry without the value, whose size is counted apart.
Json withoutValue(const Write& write) {
  return toJson(Write{write.key, write.value ? std::optional(Json(0)) : std::nullopt, write.lease});
}

bool isValidKey(const std::string& key) {
  return !key.empty() && key.size() <= kMaxKeyBytes && key.find(' ') == std::string::npos;
}

}  // namespace

TransactionSize& TransactionSize::operator+=(const TransactionSize& added) {
  operations += added.operations;
  compares += added.compares;
  bytes += added.bytes;
  largestValueBytes = std::max(largestValueBytes, added.largestValueBytes);
  hasInvalidKey = hasInvalidKey || added.hasInvalidKey;
  return *this;
}

Json toJson(const Transaction& transaction) {
  Json compares = Json::array();
  for (const auto& compare : transaction.compares) compares.push_back(toJson(compare));
  Json writes = Json::array();
  for (const auto& write : transaction.writes) writes.push_back(toJson(write));
  return {{"when", std::move(compares)}, {"writes", std::move(writes)}};
}

std::size_t jsonBytes(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace).size();
}

TransactionSize sizeOf(const Compare& compare) {
  TransactionSize size;
  size.compares = 1;
  size.bytes = jsonBytes(toJson(compare)) + kSeparatorBytes;
  size.hasInvalidKey = !isValidKey(compare.key);
  return size;
}

TransactionSize sizeOf(const Write& write) {
  TransactionSize size;
  size.operations = 1;
  size.bytes = jsonBytes(withoutValue(write)) + kSeparatorBytes;
  size.hasInvalidKey = !isValidKey(write.key);
  if (!write.value) return size;
  size.largestValueBytes = jsonBytes(*write.value);
  size.bytes += size.largestValueBytes - jsonBytes(Json(0));
  return size;
}

TransactionSize sizeOf(const TransactionPart& part) {
  TransactionSize size;
  for (const auto& compare : part.compares) size += sizeOf(compare);
  for (const auto& write : part.writes) size += sizeOf(write);
  return size;
}

TransactionSize sizeOf(const Transaction& transaction) {
  TransactionSize empty;
  empty.bytes = jsonBytes(toJson(Transaction{}));
  return sizeWith(empty, sizeOf(TransactionPart{transaction.compares, transaction.writes}));
}

// The first compare and the first write of a transaction have no separator.
TransactionSize sizeWith(const TransactionSize& transaction, const TransactionSize& part) {
  TransactionSize size = transaction;
  size += part;
  if (transaction.compares == 0 && part.compares > 0) size.bytes -= kSeparatorBytes;
  if (transaction.operations == 0 && part.operations > 0) size.bytes -= kSeparatorBytes;
  return size;
}

std::optional<std::string> exceededLimit(const TransactionSize& size,
                                         const TransactionLimits& limits) {
  if (size.operations > limits.operations) return "writes";
  if (size.compares > limits.compares()) return "compares";
  if (size.bytes > kMaxTransactionBytes) return "bytes";
  if (size.largestValueBytes > limits.valueBytes) return "bytes of a value";
  if (size.hasInvalidKey) return "form of a key";
  return std::nullopt;
}

}  // namespace kestrelhoist
