// The namespace kestrelhoist::client submits, watches, cancels and queries jobs (docs/client.md).
//
// Each call has a blocking form, which returns a Result. Most calls also have a form that takes a
// callback; the callback runs once, on the client's own thread, and must not make blocking calls.
// All functions are thread-safe. The destructor of a client cancels its open calls: they end with
// the error kind `cancelled`.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kestrelhoist/error.hpp"
#include "kestrelhoist/job.hpp"

namespace kestrelhoist::client {

// How a client reaches the service and identifies its user.
struct Settings {
  // Addresses of controllers, each as "ip:port".
  std::vector<std::string> servers;
  // The member key ("kh_..."). It is empty if the service has no members.
  std::string key;
  // The team of jobs that name no team. It applies only if no member key
  // determines the team.
  std::string team;

  bool tls = false;
  // The PEM file of the trusted certificate authorities. If it is empty, the system's authorities
  // are trusted.
  std::string authority;
  // The host name that the servers' certificates must contain. If it is empty, each certificate
  // must contain the server's address.
  std::string serverName;

  // The retry budget that all calls of this client share. Each call adds 0.1 requests to the
  // budget, and each second adds `retriesPerS` requests, up to a total of `retryBurst`.
  double retriesPerS = 2, retryBurst = 20;
  // Whether a slow read is also sent to a second controller.
  bool hedgeReads = true;
  // The prefix of the ids of this client's requests.
  std::string agent = "client";
};

// Loads settings from a JSON file ({"servers": [...], "key": ..., "team": ..., "tls": {...}}) and
// from the environment (HOIST_SERVERS, HOIST_KEY, HOIST_TEAM), which overrides the file. If `file`
// is empty, the path comes from HOIST_CONFIG; if that is empty too, the function reads hoist.json
// in the user's configuration directory if that file exists.
KESTRELHOIST_API Result<Settings> loadSettings(const std::string& file = "");

// A cancellation token for calls and watches. All copies of a token share one state.
class KESTRELHOIST_API Cancel {
 public:
  Cancel();
  void request() const;
  bool requested() const;

 private:
  friend class Client;
  struct State;
  std::shared_ptr<State> state_;
};

// Options that every call takes.
struct CallOptions {
  // The time limit of the call, including all of its retries.
  std::chrono::milliseconds deadline{60000};
  // The token that cancels the call, or null. The pointer is read only when the call starts.
  const Cancel* cancel = nullptr;
};

// Options of one job submission.
struct SubmitOptions {
  // Two submissions of one team and member with the same idempotency key always refer to the same
  // job, so a script that is restarted submits no job twice. If the key and `id` are empty, the
  // submission creates a new job.
  std::string idempotencyKey;
  // A job id that the caller chooses instead of an idempotency key: "j-" and up to 18 digits.
  std::string id;
  CallOptions call;
};

// One job of Client::submitAll. The fields `idempotencyKey` and `id` are those of SubmitOptions.
struct Submission {
  Job job;
  std::string idempotencyKey, id;
};

// Selects the jobs that a watch reports.
struct WatchOptions {
  // The ids of the watched jobs. If the list is empty, the watch reports all jobs of the member.
  std::vector<std::string> ids;
  // The cursor after which a watch of all jobs starts. If it is empty, the watch starts with the
  // member's oldest job.
  std::string since;
  // The token that ends the watch, or null.
  const Cancel* cancel = nullptr;
};

// One event of a watch. A watch reports each job when it first sees the job and after each change,
// and reports the end of a job exactly once. The phase of a job never goes back to an earlier one.
// A watch may merge several changes into one event, but it never omits the end of a job.
struct JobEvent {
  JobState job;
  // The cursor from which a later watch of all jobs can continue. It is empty if more events of the
  // same response follow.
  std::string cursor;
};

// An active watch. The destructor ends the watch.
class KESTRELHOIST_API Watch {
 public:
  ~Watch();
  Watch(Watch&&) noexcept;
  Watch& operator=(Watch&&) noexcept;

  // Waits for the next event and returns it. Returns an empty optional once every job in
  // WatchOptions::ids has ended. Returns the error `deadlinePassed` if no event arrives within
  // `wait`; the caller may then call next() again. Any other error ends the watch.
  Result<std::optional<JobEvent>> next(std::chrono::milliseconds wait);

 private:
  friend class Client;
  struct State;
  explicit Watch(std::shared_ptr<State> state);
  std::shared_ptr<State> state_;
};

// A client of the kestrelhoist service.
class KESTRELHOIST_API Client {
 public:
  template <class T>
  using Done = std::function<void(Result<T>)>;

  // Starts the client's thread. The client connects to a controller at the first call. If the
  // settings are invalid, each call fails with the error kind `unusable`.
  explicit Client(Settings settings);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Submits a job. The service accepts the job exactly once, even if responses to earlier attempts
  // of this call were lost.
  Result<JobState> submit(const Job& job, const SubmitOptions& options = {});
  void submit(const Job& job, const SubmitOptions& options, Done<JobState> done);
  // Submits several jobs, at most 8 at the same time. The results are in the order of `jobs`.
  std::vector<Result<JobState>> submitAll(const std::vector<Submission>& jobs,
                                          const CallOptions& options = {});

  // Returns the current state of a job.
  Result<JobState> get(const std::string& id, const CallOptions& options = {});
  void get(const std::string& id, const CallOptions& options, Done<JobState> done);

  // Returns one page of the member's jobs. The service must have members, and the client a key.
  Result<JobPage> list(const JobQuery& query = {}, const CallOptions& options = {});
  void list(const JobQuery& query, const CallOptions& options, Done<JobPage> done);

  // Cancels a job and returns its state. The phase is `done` if the job completed before the
  // cancellation.
  Result<JobState> cancel(const std::string& id, const CallOptions& options = {});
  void cancel(const std::string& id, const CallOptions& options, Done<JobState> done);

  // Waits until a job has ended and returns its state. The call survives restarts of all
  // controllers. It fails with `deadlinePassed` if the job does not end before the deadline.
  Result<JobState> wait(const std::string& id, const CallOptions& options = {});
  void wait(const std::string& id, const CallOptions& options, Done<JobState> done);

  // Starts a watch; Watch::next() returns its events.
  Watch watch(const WatchOptions& options = {});
  // Starts a watch that calls `onEvent` for each event and calls `onEnd` once at the end of the
  // watch. `onEnd` receives the error if one ended the watch.
  Watch watch(const WatchOptions& options, std::function<void(const JobEvent&)> onEvent,
              std::function<void(std::optional<Error>)> onEnd);

  // Returns the team, member and rights of the client's key.
  Result<Identity> whoAmI(const CallOptions& options = {});
  // Returns the id of the job with this idempotency key. If the settings contain a member key, the
  // client requests the owner of that key from the service once.
  Result<std::string> idFor(const std::string& idempotencyKey, const CallOptions& options = {});

  // Creates a member key. The calls that manage keys need a key with the right to do so. The client
  // generates the secret of the new key and never sends it to the service.
  Result<KeyInfo> makeKey(const std::string& team, const std::string& member,
                          const std::string& rights, const std::string& note,
                          const CallOptions& options = {});
  // Returns the keys of a team or of a member.
  Result<std::vector<KeyInfo>> keys(const std::string& team = "", const std::string& member = "",
                                    const CallOptions& options = {});
  // Revokes a key. The key remains valid for the duration `after`.
  Result<KeyInfo> revokeKey(const std::string& id, std::chrono::milliseconds after,
                            const CallOptions& options = {});
  // Creates a key with the same team, member, rights and note as the key `id`, and revokes the key
  // `id`. The old key remains valid for the duration `grace`.
  Result<KeyInfo> rotateKey(const std::string& id, std::chrono::milliseconds grace,
                            const CallOptions& options = {});

 private:
  struct Inside;
  std::unique_ptr<Inside> in_;
};

}  // namespace kestrelhoist::client
