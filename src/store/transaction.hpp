/// \file
/// Defines transactions of the state service and measures them as the state service does, in JSON.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

/// Requires that a key has a certain modification revision when a transaction is applied.
struct Compare {
  std::string key;       ///< Names the key.
  Revision modRevision;  ///< Holds 0 if the key must not exist.
};

/// Sets or deletes one key in a transaction.
struct Write {
  std::string key;               ///< Names the key.
  std::optional<Json> value;     ///< Empty if the write deletes the key.
  std::optional<LeaseId> lease;  ///< Names the lease whose expiry deletes the key, if any.
};

/// Describes a compare-and-swap transaction. All writes are applied together if all compares hold,
/// and none is applied otherwise.
struct Transaction {
  std::vector<Compare> compares;  ///< Must all hold.
  std::vector<Write> writes;      ///< Is applied as a whole.
  /// Holds the id of the user request that caused the transaction, or is empty.
  std::string requestId{};
  /// Counts the parts that could also be committed one by one (see TransactionPart).
  std::size_t parts = 1;
};

/// Holds writes that must be applied together, with the compares that they need.
struct TransactionPart {
  std::vector<Compare> compares;  ///< Must all hold.
  std::vector<Write> writes;      ///< Is applied as a whole.
};

/// The state service accepts at most this many bytes of JSON text in one transaction.
inline constexpr std::size_t kMaxTransactionBytes = std::size_t{64} * 1024;
/// The state service accepts this many compares for each write that it allows in a transaction.
inline constexpr std::size_t kComparesPerOperation = 4;
/// The state service accepts keys of at most this many bytes.
inline constexpr std::size_t kMaxKeyBytes = 200;

/// Holds the limits of the state service for one transaction.
struct TransactionLimits {
  std::size_t operations{};  ///< Limits the writes.
  std::size_t valueBytes{};  ///< Limits the JSON text of each value.

  /// Returns the limit for compares.
  std::size_t compares() const { return kComparesPerOperation * operations; }
};

/// Holds the quantities of a transaction that the state service limits.
struct TransactionSize {
  std::size_t operations{};         ///< Counts the writes.
  std::size_t compares{};           ///< Counts the compares.
  std::size_t bytes{};              ///< Is the length of the whole transaction's JSON text.
  std::size_t largestValueBytes{};  ///< Is the length of the longest value's JSON text.
  bool hasInvalidKey = false;       ///< Is true if the state service accepts no such key.

  /// Adds further writes and compares, each with its separator.
  TransactionSize& operator+=(const TransactionSize& added);
  /// Returns whether all quantities are equal.
  bool operator==(const TransactionSize&) const = default;
};

/// Converts a transaction to the body of its request.
Json toJson(const Transaction& transaction);

/// Returns the length of the value's JSON text. A byte that is not UTF-8 counts as the replacement
/// character.
[[nodiscard]] std::size_t jsonBytes(const Json& value);

/// Returns the size of one compare in a transaction that has others of its kind.
[[nodiscard]] TransactionSize sizeOf(const Compare& compare);
/// Returns the size of one write in a transaction that has others of its kind.
[[nodiscard]] TransactionSize sizeOf(const Write& write);
/// Returns the size of the part in a transaction that has others.
[[nodiscard]] TransactionSize sizeOf(const TransactionPart& part);
/// Returns the size of the whole transaction.
[[nodiscard]] TransactionSize sizeOf(const Transaction& transaction);
/// Returns the size of a transaction after a part was added to it.
[[nodiscard]] TransactionSize sizeWith(const TransactionSize& transaction,
                                       const TransactionSize& part);

/// Returns which limit a transaction of this size exceeds, or nothing if it exceeds none.
[[nodiscard]] std::optional<std::string> exceededLimit(const TransactionSize& size,
                                                       const TransactionLimits& limits);

}  // namespace kestrelhoist
