/// \file
/// Why a job's tasks wait: one reason for each group of them, noted by the decision that left them
/// waiting. "Batches sat unmoved, and nobody could say who held them."
#pragma once

#include <map>
#include <vector>

#include "base/runtime.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

enum class PendingReason {
  dependencies,  ///< jobs that it awaits are not done
  quota,         ///< the team uses all that it may
  capacity,      ///< the cloud refuses machines for it in every zone it may go to
  boot,          ///< machines for it are rented and not up yet
  resources,     ///< nothing is free that it may use, and nothing is rented for it yet
  policy,        ///< the policy holds it back now
  preemption,    ///< less important work is stopping for it
  writeQueue,  ///< there is room; the changes that the state service takes are used by others first
  errors,      ///< its tasks failed wherever they went: tried again after a pause
  refused,     ///< workers refused its start: tried again after a pause
  image,       ///< on its machine, which fetches the image
  start,       ///< on record, the worker has not confirmed it yet
  unreachable  ///< on a machine that is not heard
};
const char* toString(PendingReason why);

struct PendingGroup {
  PendingReason why{};
  std::uint32_t tasks{};
  auto operator<=>(const PendingGroup&) const = default;
};

/// By the newest decision of this leadership, and for the log: a line when the first reason of a
/// job changes, few lines in a window.
class PendingReasons {
 public:
  /// A decision about all jobs begins and ends; jobs that it does not name wait for nothing.
  void begin() { next_.clear(); }
  void note(const JobId& job, PendingReason why, std::uint32_t tasks);
  void end(Instant now);
  std::vector<PendingGroup> of(const JobId& job) const;
  /// Since when its first reason is this one.
  Instant since(const JobId& job) const;

 private:
  struct Entry {
    std::vector<PendingGroup> groups;
    Instant since{};
    bool logged{};
  };
  void log(const JobId& job, Entry& entry, Instant now);
  static constexpr int kLines = 20;  ///< in kWindow
  static constexpr Duration kWindow{10000};
  static constexpr Duration kWorthLogging{5000};  ///< shorter waits are told nobody

  std::map<JobId, std::vector<PendingGroup>> next_;
  std::map<JobId, Entry> entries_;
  Instant windowAt_{};
  int lines_ = 0;
};

}  // namespace kestrelhoist
