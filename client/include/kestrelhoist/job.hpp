// Job descriptions that users submit, and job states that the service returns.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kestrelhoist/export.hpp"

namespace kestrelhoist::client {

// How the tasks of a job run. The tasks of an `array` are independent and run to completion. The
// replicas of a `service` run until the job is cancelled. The tasks of a `gang` run only if all of
// them run at the same time.
enum class Shape { array, service, gang };
// The priority of a job, from the lowest to the highest.
enum class Priority { best_effort, standard, high, production };
// The phase of a job. The phases `done` and `withdrawn` are final: a job never leaves them.
enum class Phase { pending, running, done, withdrawn };

// These functions return the name of an enumerator.
KESTRELHOIST_API const char* wordOf(Shape shape);
KESTRELHOIST_API const char* wordOf(Priority priority);
KESTRELHOIST_API const char* wordOf(Phase phase);
// These functions parse the name of an enumerator and return std::nullopt for any other word.
KESTRELHOIST_API std::optional<Shape> shapeFrom(const std::string& word);
KESTRELHOIST_API std::optional<Priority> priorityFrom(const std::string& word);
KESTRELHOIST_API std::optional<Phase> phaseFrom(const std::string& word);
// Returns whether the phase is final.
inline bool ended(Phase phase) { return phase == Phase::done || phase == Phase::withdrawn; }

// The description of a job. The amounts of resources are per task.
struct Job {
  // The job class. Operators define service objectives per job class.
  std::string jobClass = "job";
  // The team of the job. If it is empty, the client uses the team of the key or of the settings.
  std::string team;
  Shape shape = Shape::array;
  Priority priority = Priority::best_effort;
  // The number of tasks, from 1 to 100,000.
  std::uint32_t tasks = 1;
  double cpus = 1, gpus = 0, ramGb = 1;
  std::string image = "default";
  double imageGb = 0;
  // The allowed machine types. If the list is empty, all machine types are allowed.
  std::vector<std::string> types;
  // The only allowed zone. If it is empty, all zones are allowed.
  std::string zone;
  // Whether all tasks must run in the same zone.
  bool oneZone = false;
  // Whether each zone may run at most half of the tasks, rounded up.
  bool spread = false;
  // Whether tasks may run on spot machines.
  bool spot = false;
  // The estimated run time of a task. It is 0 for services.
  double estimateS = 0;
  // The run time between two checkpoints of a task. It is 0 if tasks write no checkpoints.
  double checkpointS = 0;
  // The time that a task needs to save its state when it is stopped.
  double saveS = 0;
  // The time after submission by which the job is to be complete.
  std::optional<double> deadlineS;
};

// The state of a job in the service's last response. A job goes from `pending` to `running` to one
// of the final phases.
struct JobState {
  // The id that the member uses for the job: "j-" and digits.
  std::string id;
  Phase phase = Phase::pending;
  // The number of tasks, or 0 if the response does not contain it.
  std::uint32_t tasks = 0;
  std::uint32_t done = 0, running = 0;
  // The job class, or empty if the response does not contain it.
  std::string jobClass;
  // The time of acceptance in milliseconds since 1970, or 0 if the response does not contain it.
  std::int64_t acceptedAtMs = 0;
  // The job id that workers and operators see. It is empty if it equals `id`.
  std::string serviceName;
  // The digest of the job description, or empty if the response does not contain it.
  std::string digest;

  bool hasEnded() const { return ended(phase); }
  bool operator==(const JobState&) const = default;
};

// One page of a list of jobs.
struct JobPage {
  // The jobs in the order of their last changes.
  std::vector<JobState> jobs;
  // The cursor at which the next page and all later changes start.
  std::string cursor;
  // Whether another page exists now.
  bool more = false;
};

// Selects the jobs of a list.
struct JobQuery {
  std::optional<Phase> phase;
  std::string jobClass;
  // The cursor at which the list starts. An empty cursor starts at the oldest change. The cursor
  // "now" selects only changes after this request.
  std::string since;
  std::size_t limit = 100;
};

// The owner and the rights of a member key.
struct Identity {
  std::string key, team, member;
  // The rights, separated by commas: "submit,read,cancel,admin".
  std::string rights;
};

// A member key as the calls that manage keys return it.
struct KeyInfo {
  std::string id, team, member, rights, note;
  // The times at which the key was created and at which it expires, in milliseconds since 1970. The
  // field `endsAtMs` is 0 if the key does not expire.
  std::int64_t madeAtMs = 0, endsAtMs = 0;
  bool ended = false;
  // The complete key ("kh_..."). Only the call that creates the key returns it.
  std::string secret;
};

}  // namespace kestrelhoist::client
