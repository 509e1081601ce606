/// \file
/// Simulates the state service as PROTOCOL describes it.
#pragma once

#include <functional>
#include <map>

#include "simulator/model/seams.hpp"

namespace kestrelhoist::simulator {

/// Stores keys with revisions, leases and a change log, and serves them over HTTP.
class StateService {
 public:
  StateService(Clock& clock, Transport& transport, const std::string& address);
  /// Answers every request with 503 for this time; afterwards every lease has its full
  /// duration again.
  void outage(std::int64_t ms);
  /// Answers this host's requests with 503 for this time.
  void rejectRequestsFrom(const std::string& host, std::int64_t ms) {
    rejectedUntil_[host] = clock_.now() + ms;
  }
  std::size_t transactionOps = 8;
  std::size_t valueBytes = 8192;
  /// One page of a listing has at most this many rows.
  std::size_t maxPageRows = 1000;
  /// The service accepts this many puts and deletes per second; 0 means no limit.
  double writesPerS = 0;
  /// The service rejected this many transactions with 400 because of their size, and this many with
  /// 429 because of the write rate limit.
  std::size_t rejectedForSize = 0, rejectedForRate = 0;
  /// A checker can set this function; transactions for which it returns true get 503.
  std::function<bool(const Json& writes)> rejectsTransaction;
  /// This counts all puts and deletes received, including those of failed transactions.
  std::size_t changeCount = 0;
  std::size_t readCount = 0;
  /// This sums the sizes of the written values as JSON text.
  std::size_t writtenBytes = 0;
  /// The service calls this after it applied a transaction and before it sends the response.
  std::function<void(const Json& writes)> onCommit;
  /// The service calls this when it grants a lease to a host.
  std::function<void(const std::string& host)> onLease;
  /// Returns the keys with this prefix, for checkers.
  std::vector<std::string> keysBelow(const std::string& prefix) const;
  /// Returns the value of the key, or null if the key does not exist.
  const Json* valueOf(const std::string& key) const;
  /// Stores a value that exists before the simulation starts.
  void put(const std::string& key, Json value);
  /// Writes the present value of an existing key again, as its owner may do. The key stays attached
  /// to its lease and gets a new revision.
  void rewrite(const std::string& key);

 private:
  struct Entry {
    Json data;
    std::uint64_t revision{};
    std::uint64_t lease{};
    /// The value has this size as JSON text.
    std::size_t bytes{};
  };
  struct Lease {
    std::int64_t durationMs{};
    std::int64_t expiresAtMs{};
  };
  struct Change {
    std::string key;
    std::optional<Json> data;
    std::uint64_t revision{};
  };
  Response handle(const std::string& from, const Request& request);
  Response commit(const Json& body);
  Response list(const std::map<std::string, std::string>& query);
  Response changes(const std::map<std::string, std::string>& query);
  void expire();
  void drop(const std::string& key);
  bool exceedsWriteRate(std::size_t changes);

  Clock& clock_;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Change> changeLog_;
  std::uint64_t revision_ = 0, nextLease_ = 1;
  std::int64_t outageUntil_ = 0;
  /// The write rate limit allows this many changes at the time availableChangesAt_.
  double availableChanges_ = 0;
  std::int64_t availableChangesAt_ = 0;
  std::map<std::string, std::int64_t> rejectedUntil_;
};

}  // namespace kestrelhoist::simulator
