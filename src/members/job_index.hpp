/// \file
/// The jobs of each member in the order in which they last changed, part of the replica. Lists and
/// watches read it: a page costs what it shows, and a place in the order (a revision and a job)
/// means the same on every controller, since both come from the records alone.
#pragma once

#include <map>
#include <set>
#include <unordered_map>

#include "members/records.hpp"

namespace kestrelhoist {

/// Everything up to and with this change was seen.
struct ChangePlace {
  Revision revision;
  JobId job;  ///< empty: all jobs that changed at the revision
  auto operator<=>(const ChangePlace&) const = default;
};

class JobIndex {
 public:
  using Order = std::set<std::pair<Revision, JobId>>;

  /// The job's record, or one of its tasks' records, was written at this revision. An older write
  /// that is read later (after a load) leaves its place as it is.
  void note(const Owner& owner, const JobId& job, Revision at);
  void drop(const JobId& job);

  /// Null: no such member, or no jobs.
  const Order* of(const Owner& owner) const;
  std::size_t size() const { return entries_.size(); }
  /// Members with changes since the last call.
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

/// The first entry after a place.
JobIndex::Order::const_iterator after(const JobIndex::Order& order, const ChangePlace& place);

/// A place as clients hold it: sealed, so that neither its text nor its length tells how much
/// others do, and bound to its owner. The same place has the same text.
class CursorSeal {
 public:
  explicit CursorSeal(const std::string& key);  ///< any text; the controllers share it
  std::string seal(const Owner& owner, const ChangePlace& place) const;
  std::optional<ChangePlace> open(const Owner& owner, const std::string& cursor) const;

 private:
  std::string key_;  ///< 32 bytes
};

}  // namespace kestrelhoist
