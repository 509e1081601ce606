/// \file
/// Defines distinct types for ids, counters, times and resources.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace kestrelhoist {

/// Represents an id that is a text. Ids with different tags are different types.
template <class Tag>
struct Name {
  std::string value;
  Name() = default;
  explicit Name(std::string v) : value(std::move(v)) {}
  auto operator<=>(const Name&) const = default;
  bool empty() const { return value.empty(); }
  const std::string& str() const { return value; }
};

/// Represents a counter or numeric id. Numbers with different tags are different types.
template <class Tag, class Rep = std::uint64_t>
struct Number {
  Rep value{};
  Number() = default;
  constexpr explicit Number(Rep v) : value(v) {}
  auto operator<=>(const Number&) const = default;
};

using JobId = Name<struct JobIdTag>;
using MachineId = Name<struct MachineIdTag>;
using MemberId = Name<struct MemberIdTag>;
using ZoneId = Name<struct ZoneIdTag>;
using TypeId = Name<struct TypeIdTag>;
using TeamId = Name<struct TeamIdTag>;
using ImageId = Name<struct ImageIdTag>;
using RentalId = Name<struct RentalIdTag>;

/// Represents a revision of the state service, which increases with each transaction.
using Revision = Number<struct RevisionTag>;
/// Represents the revision of the leader's key, which serves as the fencing token. Workers ignore
/// commands with a smaller token than the largest that they have received.
using FencingToken = Number<struct FencingTokenTag>;
using LeaseId = Number<struct LeaseIdTag>;
using Attempt = Number<struct AttemptTag>;
/// Identifies a session of a worker.
using WorkerEpoch = Number<struct WorkerEpochTag>;
/// Represents the sequence number of a worker's report within a session.
using ReportSequence = Number<struct ReportSequenceTag>;

using Duration = std::chrono::milliseconds;

/// Represents a point on this process's steady clock.
struct Instant {
  std::int64_t ms{};
  auto operator<=>(const Instant&) const = default;
  friend Instant operator+(Instant a, Duration d) { return {a.ms + d.count()}; }
  friend Instant operator-(Instant a, Duration d) { return {a.ms - d.count()}; }
  friend Duration operator-(Instant a, Instant b) { return Duration{a.ms - b.ms}; }
};

/// Converts a duration to seconds.
inline double toSeconds(Duration d) { return static_cast<double>(d.count()) / 1000.0; }
/// Converts seconds to a duration, rounded to milliseconds.
inline Duration fromSeconds(double s) {
  return Duration{static_cast<std::int64_t>(s * 1000.0 + 0.5)};
}

/// Identifies a task of a job by its index.
struct TaskId {
  JobId job;
  std::uint32_t index{};
  auto operator<=>(const TaskId&) const = default;
  std::string str() const { return job.value + "/" + std::to_string(index); }
};

/// Identifies one attempt of a task, which is one placement on a machine.
struct AttemptId {
  TaskId task;
  Attempt attempt;
  auto operator<=>(const AttemptId&) const = default;
  std::string str() const { return task.str() + "#" + std::to_string(attempt.value); }
};

/// Describes the resources that a task needs or that a machine has.
struct Resources {
  double cpus{}, gpus{}, ramGb{};
  Resources& operator+=(const Resources& o) {
    cpus += o.cpus;
    gpus += o.gpus;
    ramGb += o.ramGb;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpus -= o.cpus;
    gpus -= o.gpus;
    ramGb -= o.ramGb;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(Resources a, double k) {
    return {a.cpus * k, a.gpus * k, a.ramGb * k};
  }
  /// `fitsIn` and `countIn` allow this rounding error of CPUs, GPUs and gigabytes.
  static constexpr double kSlack = 1e-6;
  /// Returns whether `o` has at least these resources, apart from rounding errors.
  bool fitsIn(const Resources& o) const {
    return cpus <= o.cpus + kSlack && gpus <= o.gpus + kSlack && ramGb <= o.ramGb + kSlack;
  }
  /// Returns how many times these resources fit into `o` side by side, but at most `most`. The time
  /// does not depend on the result, which is `most` for resources that are zero.
  std::uint32_t countIn(const Resources& o, std::uint32_t most) const {
    if (most == 0 || !fitsIn(o)) return 0;
    double count = most;
    auto limitTo = [&count](double needed, double available) {
      if (needed > 0) count = std::min(count, std::floor((available + kSlack) / needed));
    };
    limitTo(cpus, o.cpus);
    limitTo(gpus, o.gpus);
    limitTo(ramGb, o.ramGb);
    return std::max(1U, static_cast<std::uint32_t>(count));
  }
  /// Returns the largest of the shares that this takes of the CPUs, GPUs and memory of `whole`.
  double shareOf(const Resources& whole) const {
    double s = 0;
    if (whole.cpus > 0) s = std::max(s, cpus / whole.cpus);
    if (whole.gpus > 0) s = std::max(s, gpus / whole.gpus);
    if (whole.ramGb > 0) s = std::max(s, ramGb / whole.ramGb);
    return s;
  }
};

}  // namespace kestrelhoist

template <class Tag>
struct std::hash<kestrelhoist::Name<Tag>> {
  std::size_t operator()(const kestrelhoist::Name<Tag>& n) const {
    return std::hash<std::string>{}(n.value);
  }
};
