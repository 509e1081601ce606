/// \file
/// An index of each member's jobs by their last change, which is part of the replica. Lists and
/// watches read it, so the cost of a page depends on its length only. A place in the order (a
/// revision and a job id) is the same on every controller, because it depends on the records alone.
#pragma once

#include <map>
#include <set>
#include <unordered_map>

#include "members/records.hpp"

namespace kestrelhoist {

/// A place in the change order of a member's jobs. A reader at this place has received this change
/// and all earlier ones.
struct ChangePlace {
  Revision revision;
  JobId job;  ///< If it is empty, the place is after all jobs that changed at the revision.
  auto operator<=>(const ChangePlace&) const = default;
};

/// The jobs of all members, ordered by their last change.
class JobIndex {
 public:
  /// The jobs of one member with the revisions of their last changes, oldest first.
  using Order = std::set<std::pair<Revision, JobId>>;

  /// Records that the job's record or one of its task chunks was written at this revision. An older
  /// revision than the recorded one, as may be read after a full load, is ignored.
  void note(const Owner& owner, const JobId& job, Revision at);
  /// Removes a job.
  void drop(const JobId& job);

  /// Returns the jobs of a member, or null if the member has none.
  const Order* of(const Owner& owner) const;
  /// Returns the number of jobs of all members.
  std::size_t size() const { return entries_.size(); }
  /// Returns the members whose jobs have changed since the last call.
  std::set<Owner> takeTouched() { return std::exchange(touched_, {}); }

 private:
  struct Entry {
    std::map<Owner, Order>::iterator owner;
    Revision at;
  };
  std::map<Owner, Order> orders_;
  std::unordered_map<JobId, Entry> entries_;
  std::set<Owner> touched_;
};

/// Returns an iterator to the first entry after a place.
JobIndex::Order::const_iterator after(const JobIndex::Order& order, const ChangePlace& place);

/// Encrypts a place as the cursor that clients receive. Neither the text nor the length of a cursor
/// shows how many changes other members make. A cursor is valid for its owner only, and the same
/// place always has the same text.
class CursorSeal {
 public:
  /// Derives the encryption key from a text of any length, which all controllers share.
  explicit CursorSeal(const std::string& key);
  /// Returns the cursor for a place of this owner.
  std::string seal(const Owner& owner, const ChangePlace& place) const;
  /// Returns the place of a cursor, or nullopt if it is invalid or belongs to another owner.
  std::optional<ChangePlace> open(const Owner& owner, const std::string& cursor) const;

 private:
  std::string key_;  ///< The derived key has 32 bytes.
};

}  // namespace kestrelhoist
