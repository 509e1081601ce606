/// \file
/// Typed client of the state service.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/rate.hpp"
#include "base/runtime.hpp"

namespace kestrelhoist {

/// A transaction may be 64 KiB altogether, in text form.
inline constexpr std::size_t kMaxTransactionBytes = 56 * 1024;

struct Compare {
  std::string key;
  Revision modRevision;  ///< 0: the key must not exist
};

struct Write {
  std::string key;
  std::optional<Json> value;  ///< empty: drop
  std::optional<LeaseId> lease;
};

struct Transaction {
  std::vector<Compare> compares;
  std::vector<Write> writes;
  std::string requestId{};  ///< of the user's request that it is for, if it is for one
};

enum class CommitOutcome {
  applied,   ///< 200
  conflict,  ///< 409: nothing was changed
  refused,   ///< 429, 503: not carried out
  noLease,   ///< 400 no such lease: not carried out
  rejected,  ///< any other definite refusal: a fault of ours
  unknown    ///< no answer: carried out, or not, or later
};

struct CommitResult {
  CommitOutcome outcome{};
  Revision revision;
};

struct Change {
  std::string key;
  std::optional<Json> value;  ///< empty: dropped
  Revision modRevision;
};

struct ChangesResult {
  enum class Kind { ok, tooOld, failed } kind = Kind::failed;
  Revision revision;
  std::vector<Change> changes;
};

struct ListResult {
  bool ok = false;
  bool more = false;
  Revision revision;
  std::vector<Change> rows;
};

struct GetResult {
  bool ok = false;
  std::optional<Json> value;  ///< empty: no such key
};

const char* toString(CommitOutcome outcome);

enum class LeaseOutcome { ok, gone, failed };

class StoreClient {
 public:
  StoreClient(Runtime& runtime, HttpClient& http, std::string address, double requestsPerS);

  void commit(const Transaction& t, Duration timeout, std::function<void(CommitResult)> done);
  void changes(const std::string& prefix, Revision since, Duration timeout,
               std::function<void(ChangesResult)> done);
  void list(const std::string& prefix, const std::string& since, Duration timeout,
            std::function<void(ListResult)> done);
  void get(const std::string& key, Duration timeout, std::function<void(GetResult)> done);
  void grantLease(Duration life, Duration timeout,
                  std::function<void(std::optional<LeaseId>)> done);
  void renewLease(LeaseId id, Duration timeout, std::function<void(LeaseOutcome)> done);
  void dropLease(LeaseId id);

  std::function<void(CommitOutcome)> onCommitted;  ///< of each transaction; may be null

  /// Whether a request may be sent now within this node's share of the rate.
  bool mayAsk() { return budget_.take(runtime_.now(), 1); }

 private:
  Runtime& runtime_;
  HttpClient& http_;
  std::string address_;
  TokenBucket budget_;
};

}  // namespace kestrelhoist
