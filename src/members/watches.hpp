/// \file
/// Holds watches, which are list requests that stay open until a job of the member changes or a
/// timeout passes. The memory of each watch is bounded: it holds a position in the change order, a
/// filter and the callback for the answer.
#pragma once

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "members/job_index.hpp"

namespace kestrelhoist {

/// Selects which of the member's jobs a list returns.
struct JobFilter {
  /// The phase is pending, running, done or withdrawn. If it is empty, all phases match.
  std::string phase;
  std::string jobClass;  ///< If it is empty, all classes match.
  std::size_t limit = 100;
};

/// Describes one held request.
struct Watch {
  Owner owner;
  KeyId key;
  ChangePosition since;
  JobFilter filter;
  Respond respond;
};

/// Holds the open requests of all members on this controller.
class Watches {
 public:
  using Number = std::uint64_t;
  /// Limits the watches of one member and of all members together.
  Watches(std::size_t maxPerMember, std::size_t maxTotal)
      : maxPerMember_(maxPerMember), maxTotal_(maxTotal) {}

  /// Returns whether a limit allows no further watch of this member.
  bool isFull(const Owner& owner) const;
  /// Adds a watch and returns its new number.
  Number add(Watch watch);
  /// Inserts a watch again under the number that add() returned for it.
  void reinsert(Number number, Watch watch);
  /// Removes and returns a watch, or returns nullopt if it was already removed.
  std::optional<Watch> take(Number number);
  /// Returns the numbers of a member's watches.
  std::vector<Number> numbersOf(const Owner& owner) const;
  std::size_t size() const { return watches_.size(); }
  /// Marks a member whose watches must be checked again after the next change of the records. Its
  /// newest change is above the replica's revision and can't be shown before older changes, which
  /// may still be missing from the replica.
  void defer(const Owner& owner) { deferred_.insert(owner); }
  /// Returns the members that defer() marked and clears the marks.
  std::set<Owner> takeDeferred() { return std::exchange(deferred_, {}); }

 private:
  std::size_t maxPerMember_, maxTotal_;
  Number next_ = 0;
  std::map<Number, Watch> watches_;
  std::map<Owner, std::set<Number>> byOwner_;
  std::set<Owner> deferred_;
};

}  // namespace kestrelhoist
