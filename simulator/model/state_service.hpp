/// \file
/// Stand-in of the state service, written from PROTOCOL.
#pragma once

#include <functional>
#include <map>

#include "simulator/model/seams.hpp"

namespace kestrelhoist::simulator {

class StateService {
 public:
  StateService(Clock& clock, Wire& wire, const std::string& address);
  void outage(std::int64_t ms);
  void refuse(const std::string& host, std::int64_t ms) { refused_[host] = clock_.now() + ms; }
  std::size_t transactionOps = 8;
  std::size_t valueBytes = 8192;
  std::size_t mostRows = 1000;            ///< of one page
  double writesPerS = 0;                  ///< puts and deletes; 0: any number
  std::size_t tooLarge = 0, tooMany = 0;  ///< transactions that got 400 for their size, or 429
  /// Transactions that get 503, as a checker decides; may be null.
  std::function<bool(const Json& writes)> refuses;
  std::size_t changes_made = 0;  ///< puts and deletes, failed transactions' included
  std::size_t reads_made = 0;
  std::size_t bytes_written = 0;  ///< of values, in text form
  /// After a transaction was carried out, before its answer is sent.
  std::function<void(const Json& writes)> onCommit;
  /// A host was given a lease.
  std::function<void(const std::string& host)> onLease;
  /// Keys with this prefix, for checkers.
  std::vector<std::string> keysBelow(const std::string& prefix) const;
  /// Null: there is no such key.
  const Json* valueOf(const std::string& key) const;
  /// What was there before the world began.
  void put(const std::string& key, Json value);

 private:
  struct Entry {
    Json data;
    std::uint64_t stamp{};
    std::uint64_t lease{};
    std::size_t bytes{};  ///< of its value, in text form
  };
  struct Lease {
    std::int64_t life{};
    std::int64_t ends{};
  };
  struct Change {
    std::string key;
    std::optional<Json> data;
    std::uint64_t stamp{};
  };
  Response handle(const std::string& from, const Request& request);
  Response commit(const Json& body);
  Response list(const std::map<std::string, std::string>& query);
  Response changes(const std::map<std::string, std::string>& query);
  void expire();
  void drop(const std::string& key);
  bool overRate(std::size_t changes);

  Clock& clock_;
  std::map<std::string, Entry> data_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Change> log_;
  std::uint64_t epoch_ = 0, nextLease_ = 1;
  std::int64_t outageUntil_ = 0;
  double room_ = 0;  ///< changes that may come now
  std::int64_t roomAt_ = 0;
  std::map<std::string, std::int64_t> refused_;
};

}  // namespace kestrelhoist::simulator
