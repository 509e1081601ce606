/// \file
/// Sends typed requests to the state service over HTTP.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/rate.hpp"
#include "base/runtime.hpp"
#include "store/commit_limits.hpp"

namespace kestrelhoist {

/// Describes the outcome of a transaction.
enum class CommitOutcome {
  applied,   ///< The state service answered 200.
  conflict,  ///< The state service answered 409 and changed nothing.
  refused,   ///< The state service answered 429 or 503 and changed nothing.
  noLease,   ///< The state service answered 400 because the lease does not exist.
  rejected,  ///< The transaction is invalid. It was not sent, or the state service answered 400.
  unknown    ///< No usable answer arrived, so the transaction may or may not be applied.
};

struct CommitResult {
  CommitOutcome outcome{};
  Revision revision;
};

/// Describes the value or the deletion of a key at one modification revision.
struct Change {
  std::string key;
  std::optional<Json> value;  ///< Empty if the key was deleted.
  Revision modRevision;
};

/// Holds the result of a read of the change feed. The kind is `tooOld` if the state service no
/// longer has all changes since the requested revision.
struct ChangesResult {
  enum class Kind { ok, tooOld, failed } kind = Kind::failed;
  Revision revision;
  std::vector<Change> changes;
};

/// Holds one page of the keys with a common prefix. `more` is true if further pages follow.
struct ListResult {
  bool ok = false;
  bool more = false;
  Revision revision;
  std::vector<Change> rows;
};

/// Holds the result of a read of one key.
struct GetResult {
  bool ok = false;
  std::optional<Json> value;  ///< Empty if the key does not exist.
};

const char* toString(CommitOutcome outcome);

/// Describes the outcome of a lease renewal. The outcome is `notFound` if the state service
/// answered that the lease does not exist, and `failed` if there was no usable answer.
enum class LeaseOutcome { ok, notFound, failed };

/// Sends requests to the state service. Each method sends one request and calls `done` once.
class StoreClient {
 public:
  StoreClient(Runtime& runtime, HttpClient& http, std::string address, double requestsPerS,
              CommitLimits limits);

  /// Sends the transaction, unless it exceeds the limits in force or was rejected before. The
  /// outcome is then `rejected`.
  void commit(const Transaction& t, Duration timeout, std::function<void(CommitResult)> done);
  void changes(const std::string& prefix, Revision since, Duration timeout,
               std::function<void(ChangesResult)> done);
  void list(const std::string& prefix, const std::string& since, Duration timeout,
            std::function<void(ListResult)> done);
  void get(const std::string& key, Duration timeout, std::function<void(GetResult)> done);
  void grantLease(Duration timeToLive, Duration timeout,
                  std::function<void(std::optional<LeaseId>)> done);
  void renewLease(LeaseId id, Duration timeout, std::function<void(LeaseOutcome)> done);
  void revokeLease(LeaseId id);

  /// Returns the limits in force for transactions.
  CommitLimits& limits() { return limits_; }

  /// Is called with the outcome of each transaction that was sent. The callback may be null.
  std::function<void(CommitOutcome)> onCommitOutcome;

  /// Takes one request from this controller's share of the state service's rate limit. Returns
  /// false if the share is used up.
  bool tryAcquireRequest() { return budget_.take(runtime_.now(), 1); }

 private:
  Runtime& runtime_;
  HttpClient& http_;
  std::string address_;
  TokenBucket budget_;
  CommitLimits limits_;
};

}  // namespace kestrelhoist
