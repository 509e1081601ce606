/// \file
/// Indexes each member's jobs by their last change. The index is part of the replica. Lists and
/// watches read it, so the cost of a page depends on its length only. A position in the order (a
/// revision and a job id) is the same on every controller, because it depends on the records alone.
#pragma once

#include <map>
#include <set>
#include <unordered_map>

#include "members/records.hpp"

namespace kestrelhoist {

/// Marks a position in the change order of a member's jobs. A reader at this position has received
/// this change and all earlier ones.
struct ChangePosition {
  Revision revision;
  JobId job;  ///< If it is empty, the position is after all jobs that changed at the revision.
  auto operator<=>(const ChangePosition&) const = default;
};

/// Holds the jobs of all members, ordered by their last change.
class JobIndex {
 public:
  /// Holds the jobs of one member with the revisions of their last changes, oldest first.
  using Order = std::set<std::pair<Revision, JobId>>;

  /// Records that the job's record or one of its task chunks was written at this revision. An older
  /// revision than the recorded one, as may be read after a full load, is ignored.
  void recordChange(const Owner& owner, const JobId& job, Revision at);
  /// Removes a job.
  void remove(const JobId& job);

  /// Returns the jobs of a member, or null if the member has none.
  const Order* of(const Owner& owner) const;
  /// Returns the number of jobs of all members.
  std::size_t size() const { return entries_.size(); }
  /// Returns the members whose jobs have changed since the last call.
  std::set<Owner> takeChangedOwners() { return std::exchange(changedOwners_, {}); }

 private:
  struct Entry {
    std::map<Owner, Order>::iterator owner;
    Revision at;
  };
  std::map<Owner, Order> orders_;
  std::unordered_map<JobId, Entry> entries_;
  std::set<Owner> changedOwners_;
};

/// Returns an iterator to the first entry after a position.
JobIndex::Order::const_iterator after(const JobIndex::Order& order, const ChangePosition& position);

/// Encrypts a position as the cursor that clients receive. Neither the text nor the length of a
/// cursor shows how many changes other members make. A cursor is valid for its owner only, and the
/// same position always has the same text.
class CursorCipher {
 public:
  /// Derives the encryption key from a text of any length, which all controllers share.
  explicit CursorCipher(const std::string& key);
  /// Returns the cursor for a position of this owner.
  std::string encrypt(const Owner& owner, const ChangePosition& position) const;
  /// Returns the position of a cursor, or nullopt if it is invalid or belongs to another owner.
  std::optional<ChangePosition> decrypt(const Owner& owner, const std::string& cursor) const;

 private:
  std::string key_;  ///< The derived key has 32 bytes.
};

}  // namespace kestrelhoist
