/// \file
/// What a controller counts, in the Prometheus text form (docs/members.md lists the names). Labels
/// come from small fixed sets: never a member, a key or a job.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/types.hpp"

namespace kestrelhoist {

/// What is read when somebody asks.
struct MetricGauges {
  double watches{}, waiting{}, working{}, lateS{}, liveJobs{}, memberJobs{}, keys{}, machines{};
  double leading{}, storeAgeS{};
};

class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// A member's request was answered.
  void answered(const char* kind, int status, Duration took);
  /// It was refused before any work: "load", "rate", "queue", "key", "watches".
  void shed(const char* kind, const char* why);
  /// How long a write waited for its turn.
  void queued(Duration waited);
  /// A transaction of this node: "applied", "conflict", "refused", "unknown", ...
  void committed(const char* outcome, bool leading);

  /// A request that nobody had answered yet was sent once more: "state_read", "forward",
  /// "commands".
  void repeated(const char* what);

  /// The leader requested a machine's release after this silence, counted from the newest
  /// acknowledged heartbeat that it knows of.
  void machineGivenUp(Duration silence);

  /// A worker was probed at the end of its lease: "same_session", "new_session", "none".
  void leaseEndProbed(const char* answer);

  std::function<MetricGauges()> gauges;
  std::string text();

 private:
  struct Families;
  std::unique_ptr<Families> f_;
};

}  // namespace kestrelhoist
