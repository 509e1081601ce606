/// \file
/// Collects the metrics of a controller, in the Prometheus text format (docs/members.md lists the
/// names). Label values come from small fixed sets. A member, a key or a job is never a label
/// value.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/types.hpp"

namespace kestrelhoist {

/// Holds the values of the gauges, which are read at each scrape.
struct MetricGauges {
  double watches{}, waiting{}, working{}, lateS{}, liveJobs{}, memberJobs{}, keys{}, machines{};
  double leading{}, storeAgeS{};
};

/// Collects and renders the metrics of one controller.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Counts an answered request of a member and its duration.
  void answered(const char* kind, int status, Duration took);
  /// Counts a member's request that was refused before any work. The cause `why` is "load", "rate",
  /// "queue", "key" or "watches".
  void shed(const char* kind, const char* why);
  /// Records how long a member's write waited in the fair queue.
  void queued(Duration waited);
  /// Counts a transaction of this controller by its outcome: "applied", "conflict", "refused",
  /// "unknown" or another.
  void committed(const char* outcome, bool leading);

  /// Counts a write that was set aside, because the state service accepts no transaction with it.
  void writeSetAside();

  /// Counts a hedged request that was sent a second time. Its kind `what` is "state_read",
  /// "forward" or "commands".
  void repeated(const char* what);

  /// Records that the leader requested the termination of an unreachable machine. The silence is
  /// the time since the newest acknowledged heartbeat of the machine that the leader has a record
  /// of.
  void terminationRequested(Duration silence);

  /// Counts a probe of a worker whose lease expired. The answer is "same_session", "new_session" or
  /// "none".
  void leaseEndProbed(const char* answer);

  /// Counts a raise of this leader's token.
  void tokenRaised();

  /// Counts an attempt that a worker reported again after it was cleared, which means that a task
  /// may have run on two machines at once.
  void clearedAttemptReported();

  /// Returns the present values of the gauges. If it is not set, no gauges are rendered.
  std::function<MetricGauges()> gauges;
  /// Returns all metrics in the Prometheus text format.
  std::string text();

 private:
  void collectRefusedMessages();

  struct Families;
  std::unique_ptr<Families> families_;
};

}  // namespace kestrelhoist
