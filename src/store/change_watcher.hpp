/// \file
/// Keeps the replica up to date by reading the change feed of the state service. One read is in
/// flight at a time, and it serves all callers that wait for a linearizable read. Requests are
/// hedged.
#pragma once

#include <functional>
#include <vector>

#include "store/replica.hpp"

namespace kestrelhoist {

/// Loads all records into the replica and then applies changes as they are committed.
class ChangeWatcher {
 public:
  struct Settings {
    Duration minReadInterval{50};  ///< Sets the minimum time between the starts of two reads.
    Duration timeout{1000};        ///< Limits the duration of one read.
    /// The state service counts as unreachable if no read has succeeded for this long.
    Duration staleAfter{2000};
  };
  ChangeWatcher(Runtime& runtime, StoreClient& store, Replica& replica, Settings settings);

  void start();
  /// Calls `done` with true once a read that was sent after this call has been applied, and with
  /// false if that read failed or the records are not loaded.
  void linearizableRead(std::function<void(bool)> done);
  /// Sets the interval at which changes are read if no caller waits for a read.
  void setInterval(Duration d) { interval_ = d; }

  bool isLoaded() const { return loaded_; }
  /// Returns a time such that the replica contains every change committed before it. It is the time
  /// at which the last successful read, or the first page of the last load, was requested.
  Instant snapshotTime() const { return snapshotTime_; }
  Duration snapshotAge() const { return runtime_.now() - snapshotTime_; }
  bool isReachable() const {
    return loaded_ && consecutiveFailures_ == 0 && snapshotAge() < settings_.staleAfter;
  }
  /// Returns the time at which the first of the most recent consecutive failed reads was sent.
  Instant failingSince() const { return failingSince_; }

  /// Is called with the changes that a read returned, after they were applied and before the
  /// callers that wait for this read are called back.
  std::function<void(const std::vector<Change>&)> onApplied;
  /// Is called after the changes of a read were applied and its waiting callers were called back.
  std::function<void()> onChanged;
  /// Is called before the replica is cleared because it must be loaded again.
  std::function<void()> onReload;
  /// Is called when a read is sent a second time because its answer is late. The callback may be
  /// null.
  std::function<void()> onRepeated;

 private:
  void load(const std::string& since, bool first);
  void poll();
  void read();
  void schedule();
  void onPage(const std::string& since, bool first, Instant sentAt, const ListResult& page);
  void onRead(Instant sentAt, ChangesResult result);

  Runtime& runtime_;
  StoreClient& store_;
  Replica& replica_;
  Settings settings_;
  Duration interval_{1000};
  bool loaded_ = false;
  bool readInFlight_ = false;
  bool scheduled_ = false;
  int consecutiveFailures_ = 0;
  Instant failingSince_{};
  Instant snapshotTime_{};
  Instant lastReadSentAt_{};
  Revision loadRevision_;  ///< Holds the revision of the first page of the load.
  Instant loadSentAt_{};   ///< Holds the time at which the first page of the load was requested.
  /// Holds the callbacks of callers that wait for the next read.
  std::vector<std::function<void(bool)>> nextReadCallbacks_;
  /// Holds the callbacks of callers that wait for the read in flight.
  std::vector<std::function<void(bool)>> inFlightReadCallbacks_;
};

}  // namespace kestrelhoist
