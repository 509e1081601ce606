/// \file
/// Keeps the replica fresh: one read of changes at a time, which serves everyone who waits.
/// Requests are hedged.
#pragma once

#include <functional>
#include <vector>

#include "store/replica.hpp"

namespace kestrelhoist {

class ChangeWatcher {
 public:
  struct Settings {
    Duration minGap{50};        ///< between the starts of two reads
    Duration timeout{1000};     ///< of one read
    Duration staleAfter{2000};  ///< without a successful read the store counts as out of reach
  };
  ChangeWatcher(Runtime& runtime, StoreClient& store, Replica& replica, Settings settings);

  void start();
  /// Calls back true after a read that was sent after this call has been applied, false if that
  /// read failed.
  void linearizableRead(std::function<void(bool)> done);
  /// Reads at least this often.
  void setInterval(Duration d) { interval_ = d; }

  bool loaded() const { return loaded_; }
  /// Each change committed before this is in the copy: when the last successful read was sent, or
  /// the first page of a load.
  Instant snapshotTime() const { return snapshotTime_; }
  Duration contactAge() const { return runtime_.now() - snapshotTime_; }
  bool reachable() const {
    return loaded_ && failures_ == 0 && contactAge() < settings_.staleAfter;
  }
  /// When the first of the reads that fail now was sent.
  Instant failingSince() const { return failingSince_; }

  /// Called with changes that were just applied, before those who wait for the read that brought
  /// them.
  std::function<void(const std::vector<Change>&)> onApplied;
  /// Called after changes were applied, and when the copy had to be thrown away.
  std::function<void()> onChanged;
  std::function<void()> onReload;
  /// Called when a read is sent once more; may be null.
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
  bool reading_ = false;
  bool scheduled_ = false;
  int failures_ = 0;
  Instant failingSince_{};
  Instant snapshotTime_{};
  Instant lastSent_{};
  Revision loadRevision_;  ///< of the first page, and when it was asked for
  Instant loadSentAt_{};
  std::vector<std::function<void(bool)>> waiting_;  ///< for the next read
  std::vector<std::function<void(bool)>> served_;   ///< by the read in flight
};

}  // namespace kestrelhoist
