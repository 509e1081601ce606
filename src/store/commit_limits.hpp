/// \file
/// Decides whether a transaction may be sent to the state service, and learns from the transactions
/// that the state service rejects.
#pragma once

#include <functional>
#include <limits>
#include <map>
#include <string>

#include "store/transaction.hpp"

namespace kestrelhoist {

/// Holds the limits in force for transactions, and the records that can't be written.
///
/// A rejected transaction is never sent again unchanged. If it has several parts, the next ones
/// have at most half as many until commits succeed. If it has one part, its writes are set aside:
/// as long as the records stay as they are, no part is sent in which all values are as long as
/// these or longer. So a record that can't be written does not delay others.
class CommitLimits {
 public:
  /// @param limits The limits for new values, which are accepted before and after an announced
  ///        change of the limits.
  /// @param presentValueBytes The limit for values at present, which may be larger.
  CommitLimits(const TransactionLimits& limits, std::size_t presentValueBytes)
      : limits_(limits), presentValueBytes_(presentValueBytes) {}

  /// Returns the limits for new values.
  const TransactionLimits& limits() const { return limits_; }
  /// Returns the limit for values that an older version may have made larger than the announced
  /// limit. It falls to that limit once the state service rejects such a value.
  std::size_t presentValueBytes() const { return presentValueBytes_; }

  /// Returns why the transaction must not be sent, or nothing if it may be sent.
  std::optional<std::string> refusalOf(const Transaction& transaction) const;
  /// Returns whether all writes of the part are set aside.
  bool isSetAside(const TransactionPart& part) const;
  /// Returns the length from which on values of this key were last set aside, whatever the revision
  /// of the record was, or the largest number if none was. A record that grows must stay below it.
  std::size_t setAsideFrom(const std::string& key) const;
  /// Returns whether a transaction may have this part and no other. If it may not, the part is set
  /// aside.
  /// @param size The size of that transaction.
  /// @param limits The limits for the part, which may have the form of an older version.
  bool admitsAlone(const TransactionPart& part, const TransactionSize& size,
                   const TransactionLimits& limits);
  /// Returns whether a transaction may have so many parts and this size.
  bool admitsTogether(std::size_t parts, const TransactionSize& size,
                      const TransactionLimits& limits) const;

  /// Notes that the state service applied the transaction.
  void onApplied();
  /// Notes that the transaction was rejected, by the state service or by refusalOf().
  void onRejected(const Transaction& transaction, const std::string& why);

  /// Is called for each write that is set aside. It may be null.
  std::function<void()> onSetAside;

 private:
  static constexpr std::size_t kAnyNumberOfParts = std::numeric_limits<std::size_t>::max();
  /// Describes a write that was set aside.
  struct SetAside {
    Revision comparedRevision;
    std::size_t valueBytes{};
  };
  bool isSetAside(const Write& write, const std::vector<Compare>& compares) const;
  /// Sets the writes of the part aside, and logs and counts them.
  void setAside(const TransactionPart& part, const std::string& why);

  TransactionLimits limits_;
  std::size_t presentValueBytes_;
  std::size_t maxParts_ = kAnyNumberOfParts;
  std::map<std::string, SetAside> setAside_;  ///< Is indexed by key.
};

/// Adds parts to a transaction as long as it stays within the limits.
class TransactionBuilder {
 public:
  /// Tells what became of a part.
  enum class Result {
    added,      ///< The transaction has the part.
    full,       ///< The part belongs into the next transaction.
    unwritable  ///< The part fits into no transaction. It is set aside.
  };

  /// @param first Compares that every transaction of the caller needs.
  TransactionBuilder(CommitLimits& limits, Transaction first);

  /// Adds the part, or changes nothing if the result is not `added`. A compare that the transaction
  /// has already is not added twice.
  Result add(const TransactionPart& part);
  /// Returns whether the transaction has no writes.
  bool empty() const { return transaction_.writes.empty(); }
  /// Returns the transaction. The builder must not be used afterwards.
  Transaction take() { return std::move(transaction_); }

 private:
  CommitLimits& limits_;
  Transaction transaction_;
  TransactionSize emptySize_;  ///< Is the size without any part.
  TransactionSize size_;
};

}  // namespace kestrelhoist
