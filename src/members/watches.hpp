/// \file
/// Requests that are held open until something of their member changes, or their time is over. What
/// one holds is bounded: a place in the order, its filter and its answer.
#pragma once

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "members/job_index.hpp"

namespace kestrelhoist {

/// Which jobs of the member are asked for.
struct JobFilter {
  std::string phase;     ///< pending, running, done, withdrawn; empty: any
  std::string jobClass;  ///< empty: any
  std::size_t limit = 100;
};

struct Watch {
  Owner owner;
  KeyId key;
  ChangePlace since;
  JobFilter filter;
  Respond respond;
};

class Watches {
 public:
  using Number = std::uint64_t;
  Watches(std::size_t perMember, std::size_t all) : perMember_(perMember), all_(all) {}

  bool full(const Owner& owner) const;
  Number add(Watch watch);
  /// Back, under the number that it had.
  void put(Number number, Watch watch);
  /// Takes it out, if it is still there.
  std::optional<Watch> take(Number number);
  /// Numbers of a member's watches.
  std::vector<Number> of(const Owner& owner) const;
  std::size_t size() const { return watches_.size(); }
  /// A member whose newest change is not to be shown yet: this copy may miss older ones of others.
  void defer(const Owner& owner) { early_.insert(owner); }
  /// Those that were put off, once.
  std::set<Owner> takeDeferred() { return std::exchange(early_, {}); }

 private:
  std::size_t perMember_, all_;
  Number next_ = 0;
  std::map<Number, Watch> watches_;
  std::map<Owner, std::set<Number>> byOwner_;
  std::set<Owner> early_;
};

}  // namespace kestrelhoist
