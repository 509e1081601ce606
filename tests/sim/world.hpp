/// \file
/// Simulates controllers, a region and users in virtual time, and checks the rules of PROTOCOL and
/// of flows during the run.
#pragma once

#include <gtest/gtest.h>

#include "app/controller.hpp"
#include "client/src/flow_client.hpp"
#include "sim/balancer.hpp"
#include "sim/flow_plans.hpp"
#include "sim/pipeline_checks.hpp"
#include "sim/replica_gaps.hpp"
#include "sim/virtual_time.hpp"
#include "simulator/model/simulated_region.hpp"

namespace kestrelhoist::sim {

/// Configures a simulated world.
struct WorldSettings {
  int nodes = 3;
  std::vector<std::string> zones{"a", "b", "c"};
  /// The region has one machine type, which has these resources.
  double cpus = 8, gpus = 8, ram = 64;
  double bootS = 20;
  double fetchS = 2;
  int onDemandPerZone = 4, spotPerZone = 4;
  double reportS = 1, leaseS = 11, cancelS = 41;
  double listLagS = 3;
  /// Each team may use this many GPUs; 0 means no limit.
  double gpusMax = 0;
  double bootFailureShare = 0;
  /// The cloud lists a dead machine as failed after this time; 0 means never.
  double failedAfterS = 0;
  /// This share of the machines boots within 0.2 to 2 s.
  double fastBootShare = 0;
  /// A page of the state service has at most this many rows; 0 stands for the limit of PROTOCOL.
  std::size_t pageRows = 0;
  /// The cloud lists this many machine types.
  int machineTypes = 1;
  std::uint64_t seed = 1;
  double writesPerS = 25;
  int valueKb = 8, txnOps = 8;
  /// These are the limits of `settings.state.next`; 0 means that the setting has no such limit.
  int nextValueKb = 0, nextOps = 0;
  double nextWrites = 0;
  /// If set, the controllers run the version in production until they are upgraded. They ignore
  /// `next` and publish no record format.
  bool old = false;
  bool flows = true;
  int maxConnections = 600;
  /// If set, machines keep the images that they have fetched.
  bool cache = false;
  /// If set, a worker waits for its next regular report to report a new worker session.
  bool lateSessions = false;
  /// If set, a task change during an unanswered report waits for the next regular report.
  bool lateChanges = false;
  /// If set, users send their requests through the load balancer of PROTOCOL.
  bool balancer = false;
  /// If set, member keys are enabled. Requests without a key are still accepted.
  bool members = false;
  /// If set, users omit `awaits`, as if the controllers ignored the field.
  bool omitsAwaits = false;
};

/// Returns the operator's root key in worlds with members.
Credential rootCredential();

/// Describes a job that a user submits.
struct JobPlan {
  std::string id;
  std::string shape = "batch";
  int tasks = 1;
  double cpus = 1, gpus = 1, ram = 4;
  /// Task i runs for runS + i * staggerS.
  double runS = 10, staggerS = 0;
  bool together = false, apart = false, spot = false;
  double checkpointS = 0;
  /// If not negative, each task fails after this time.
  double failsAfterS = -1;
  std::string rank = "best_effort";
  std::string zone;
  std::string jobClass = "any", team = "team";
  std::string image = "img-1";
  double imageGb = 1;
  /// The job depends on these jobs. The user submits it once they are accepted.
  std::vector<std::string> awaits;
  /// If not empty, the submission contains this JSON text, which may be invalid, as `awaits`.
  std::string awaitsText;
  double dueS = -1;
  /// If set, the user submits the job only after its dependencies have ended.
  bool submitAfterDependencies = false;
  /// If not negative, the user cancels the job this long after its acceptance, through a random
  /// controller.
  double cancelAfterS = -1;
  /// If not negative, the first submission goes to this controller.
  int via = -1;
};

using simulator::Worker;

/// Runs one simulated world and collects violations of the rules.
class World : public simulator::TaskHost {
 public:
  explicit World(WorldSettings settings);
  ~World() override;

  /// Submits the job as soon as its dependencies allow it, with retries.
  void submit(const JobPlan& job);
  /// Registers the description of a job that a member submits. The service has chosen its id.
  void expectJob(const JobPlan& job) { users_[job.id].plan = job; }
  /// Records the violation of a rule that a scenario checks itself.
  void recordViolation(const std::string& rule, const std::string& what) { fail(rule, what); }
  /// Cancels the job through a random controller, with retries.
  void abort(const std::string& id);
  /// Cancels the job; the first request goes to this controller.
  void abortThrough(const std::string& id, int node);
  /// Returns the longest time in seconds for which a task of a cancelled job was still on a machine
  /// after its user had received the cancellation.
  double longestCancelledRunS() const {
    return static_cast<double>(longestCancelledRunMs_) / 1000.0;
  }
  /// Checks and records a response about a job. Tests that send their own requests call this, too.
  /// `requestedAt` is the time of the request.
  void recordResponse(const std::string& id, const Response& r, std::int64_t requestedAt);
  /// Records that a test has sent its own request to cancel the job.
  void recordCancelRequest(const std::string& id) {
    users_[id].cancelRequested = true;
    pipelines.cancelRequested(id);
  }
  bool isAccepted(const std::string& id) const {
    auto it = users_.find(id);
    return it != users_.end() && it->second.accepted;
  }
  /// Records the violation of a rule.
  void fail(const std::string& rule, const std::string& what);
  /// Returns the body of the request that submits the job.
  Json spec(const JobPlan& p) const;
  /// The world calls this when a user first receives that a job is accepted, done or withdrawn.
  std::function<void(const std::string& id, const std::string& what)> onPhaseReported;
  /// The world calls this when a task has completed on its machine.
  std::function<void(const std::string& id)> onResult;
  /// Returns the newest attempt of the task that was ever placed, or 0 if there is none.
  std::uint64_t newestAttempt(const std::string& job, int index) const;
  /// Makes every task that starts on this machine from now on fail after `s` seconds.
  void failTasksOn(const std::string& host, double s) { failingHosts_[host] = s; }
  /// Makes later attempts of the job's tasks succeed again.
  void stopFailing(const std::string& id) { users_[id].plan.failsAfterS = -1; }
  /// Ends the controller process and starts it again after `downMs`.
  void crash(int node, std::int64_t downMs = 4000);
  /// Sets the policy as an operator, with retries until a controller confirms it.
  void setPolicy(const Json& document, const std::string& request);
  /// Returns the most recent policy replica among the running controllers, or null if none runs.
  const PolicyReplica* policy() const;
  /// Returns whether every running controller has seen all controllers publish at least this record
  /// format.
  bool allKnowFormat(unsigned format) const;
  /// Returns whether no running controller has seen all controllers publish this record format.
  bool noneKnowsFormat(unsigned format) const;
  /// Shifts the time of day of a controller by `ms`. The shift persists across restarts.
  void stepClock(int node, std::int64_t ms);
  /// Restarts the controller with the new version, which it keeps across later restarts.
  void upgrade(int node, std::int64_t downMs);
  /// Sets the limits of the state service; a writesPerS of 0 means no rate limit.
  void limitState(int valueKb, int ops, double writesPerS);
  /// Pauses the controller process while its clocks run on.
  void freeze(int node, std::int64_t forMs);
  /// Returns the number of the leading controller, or -1 if none leads.
  int leaderNode() const;
  /// Starts to record the running replicas of this service for minRunningReplicas() and
  /// gapsOf().
  void recordReplicas(const std::string& id) {
    minRunningByService_[id] = runningReplicas(id);
    gaps_.insert_or_assign(id, ReplicaGaps(users_.at(id).plan.tasks));
  }
  /// Returns the lowest number of running replicas since recordReplicas().
  int minRunningReplicas(const std::string& id) const { return minRunningByService_.at(id); }
  /// Returns the periods since recordReplicas() in which some replicas did not run.
  const ReplicaGaps& gapsOf(const std::string& id) const { return gaps_.at(id); }
  /// Records a violation of `underserved` for each job class, each group of largest jobs of a class
  /// and each team that got less than this share of its due service. The due service consists of
  /// the replica time of services and the tasks of job arrays that had enough time to end. The
  /// largest jobs of a class are the tenth that requests the most resources, at least one; they
  /// must also start in time.
  void expectServed(double least);
  /// Records a violation for each accepted and not cancelled job whose user has received no
  /// response with status 200 for longer than this time.
  void expectAnswered(std::int64_t withinMs) {
    for (const auto& id : unanswered(withinMs)) fail("unanswered", id);
  }
  /// Returns the accepted and not cancelled jobs whose users have received no response with status
  /// 200 for longer than this time.
  std::set<std::string> unanswered(std::int64_t withinMs) const;
  /// Marks the end of all injected faults. From now on the world records jobs that wait although a
  /// machine has free resources for them, and expectNoWaiting() checks these records.
  void markFaultsOver();
  /// Records a violation of `waits` for each job that has waited too long since markFaultsOver(). A
  /// job waits too long if one suitable machine had free resources for it during the whole time
  /// limit, as seen by the worker, and the job's team was below its quota.
  void expectNoWaiting();
  /// Returns the jobs that have waited too long in the sense of expectNoWaiting(), each with the
  /// suitable machine.
  std::map<std::string, std::string> jobsWaitingTooLong() const;
  /// Returns the running jobs that need at least `leastS` more seconds, and the running services.
  std::vector<std::string> runningFor(double leastS) const;
  /// Returns the machines that hold unfinished tasks of this job.
  std::vector<std::string> machinesOf(const std::string& id) const;
  /// Returns the seconds from the job's acceptance, or from the end of its last dependency if that
  /// is later, to the first start of a task. The result is 1e9 if no task has started.
  double secondsUntilStart(const std::string& id) const;
  /// Prints for each job class the number of jobs and their times until the first start and until
  /// completion, each as mean, 90th percentile and maximum.
  void printWaitingTimes(std::ostream& out) const;
  /// Returns the classes, largest jobs and teams that got less than the share `least` of their due
  /// service and were observed for at least `sampledMs`, with their actual shares.
  std::map<std::string, double> underserved(double least, std::int64_t sampledMs) const;
  /// Returns the first pending reason of the job's tasks that the leader reports.
  std::string firstPendingReason(const std::string& id);
  /// This counts the changes to a new leader so far.
  int leaderships = 0;
  /// Returns the controller's number for the word "leader" or a number in decimal.
  int parseController(const std::string& word) const;
  std::vector<std::string> machinesWithTasks() const { return region.machinesWithTasks(); }
  void runFor(double seconds);
  double now() const { return static_cast<double>(clock.now()) / 1000.0; }

  /// Returns the job's phase in the newest response to a user.
  std::string phaseOf(const std::string& id) const;
  int runningReplicas(const std::string& id) const;
  /// Returns the number of running tasks of all jobs of a class.
  std::size_t runningOf(const std::string& jobClass) const;
  int runningBefore(const std::string& id) const;

  // world_pipelines.cpp implements the functions for jobs with dependencies.
  /// Requests the state of the job from all controllers repeatedly for a few seconds.
  void pollAllControllers(const std::string& id);
  /// Requests the state of every unfinished job of a pipeline at this interval for this time.
  void pollPipelineJobs(std::int64_t everyMs, std::int64_t forMs);
  /// Returns the jobs of pipelines that are not submitted or whose users have not received a final
  /// phase.
  std::vector<std::string> unfinishedJobs() const;

  // world_flows.cpp implements the functions for flows.
  /// Submits a flow; its user then requests the flow's state until the flow ends.
  void submitFlow(const FlowPlanSpec& spec);
  void amendFlow(const FlowPlanSpec& spec);
  void cancelFlow(const std::string& id);
  /// Returns the flow's phase in the newest response to its user.
  std::string flowPhase(const std::string& id) const;
  /// Returns the newest response about the flow's state.
  Json flowStatus(const std::string& id) const;
  /// Returns the flow's report, which its user reads after the end of the flow.
  Json flowReport(const std::string& id) const;
  std::size_t flowInstances() const;
  /// Requests the team's account of flows and returns it.
  Json teamAccount(const std::string& team);
  int flowRefusedWith(const std::string& id) const { return flows_.at(id).refusedWith; }
  /// Returns the seconds from submission to end of the flow, or 1e9 if the flow has not ended.
  double flowDurationS(const std::string& id) const;
  const rules::FlowPlan& flowPlan(const std::string& id) const { return flows_.at(id).plan; }
  const std::map<std::string, std::string>& flowFiles(const std::string& id) const {
    return flows_.at(id).files;
  }
  /// Returns a key that is equal for two instances with the same command, inputs and outputs.
  static std::string workKey(const rules::PlannedInstance& i);
  /// The leader crashes right after the state service has applied the transaction on flows with
  /// this number, before it receives the response.
  std::size_t crashAtFlowCommit = 0;
  std::size_t flowCommits = 0;
  /// Returns the seconds from the newest change of leader to the first start of a flow task after
  /// it, or 1e9 if none has started.
  double flowResumeSeconds() const;
  /// This counts the committed changes by the first segments of their keys.
  std::map<std::string, std::size_t> changesByKind;

  // These functions implement TaskHost.
  void describe(Worker& worker, const Worker::Task& task,
                std::function<void(std::optional<simulator::TaskNeeds>)> done) override;
  void onLaunchedAgain(Worker& worker, const Worker::Task& task) override;
  void begin(Worker& worker, const Worker::Task& task) override;
  void save(Worker& worker, const Worker::Task& task) override;
  void end(Worker&, const Worker::Task&) override {}

  WorldSettings settings;
  PipelineChecks pipelines;
  std::mt19937_64 random;
  VirtualClock clock;
  Network network;
  simulator::SimulatedRegion region;
  simulator::StateService& state = region.state;
  std::map<std::string, std::unique_ptr<Worker>>& workers = region.workers;
  /// Each entry describes one violated rule.
  std::vector<std::string> broken;
  std::size_t starts = 0;
  /// Users poll this many times as often as by default.
  double pollFactor = 1;
  /// This counts the task starts of each job.
  std::map<std::string, std::size_t> startsOf;

  // Workers and the checker use the following members.
  std::string nodeApi(int i) const { return "node" + std::to_string(i) + ":80"; }
  const JobPlan* plan(const std::string& id) const;
  void onStart(Worker& worker, const Worker::Task& task);
  void checkCancelled();
  /// The value is the work in seconds that the task in the key has saved in checkpoints.
  std::map<std::pair<std::string, int>, double> progress;
  /// These tasks have completed.
  std::set<std::pair<std::string, int>> results;

 private:
  struct Node {
    Platform platform;
    OperatorSettings operatorSettings;
    std::unique_ptr<HostRuntime> runtime;
    std::unique_ptr<PlanRunner> planner;
    std::unique_ptr<Controller> controller;
    int lives = 0;
    std::int64_t wallClockOffsetMs = 0;
    bool isNew = true;
  };
  struct UserJob {
    JobPlan plan;
    bool accepted = false;
    /// The user has received this final phase, `done` or `withdrawn`.
    std::string finalPhase;
    std::string lastPhase;
    std::int64_t finalPhaseAt = 0, acceptedAt = 0;
    std::int64_t cancellationReportedAt = -1;
    bool cancelRequested = false;
    /// The user received the last response with status 200 at this time.
    std::int64_t lastResponseAt = -1;
    /// The first task of the job started at this time.
    std::int64_t firstStartAt = -1;
    /// The user first received the phase `done` at this time.
    std::int64_t doneAt = -1;
    /// These are the sums of received and of due service over all samples since sampledFrom.
    double received = 0, due = 0;
    std::int64_t sampledFrom = -1;
    /// The keys are machines that have free resources for the waiting job. The values are the times
    /// since which the resources are free.
    std::map<std::string, std::int64_t> suitableMachinesSince;
  };
  void boot(int node);
  simulator::RegionSettings regionSettings() const;
  void send(const JobPlan& job);
  void trySubmit(const std::string& id);
  void onAccepted(const std::string& id);
  void onOver(const std::string& id);
  void sendReadyJobs();
  bool isReady(const JobPlan& job) const;
  /// Returns the time from which this job is due to run, as its user knows it. The result is -1 if
  /// the job is cancelled, not accepted or waits for a dependency.
  std::int64_t dueFrom(const std::string& id, const UserJob& j) const;
  /// Returns when a user first received the cancellation of the job or one of its dependencies. The
  /// result is -1 if no user has.
  std::int64_t cancelledSince(const std::string& id, const UserJob& j) const;
  /// The users have not submitted these jobs yet because a dependency is not ready.
  std::vector<JobPlan> unsentJobs_;
  void tryAbort(const std::string& id, int node = -1);
  void poll(const std::string& id);
  void pollUnknown();
  void sendToAnyController(Request q, std::int64_t timeout, OnReply done);
  void sendToController(int node, Request q, std::int64_t timeout, OnReply done) {
    network.send("users", nodeApi(node), std::move(q), timeout, std::move(done));
  }
  void recordPlacements(const Json& writes);

  void sampleService();
  /// Holds the free resources of one machine. world_waits.cpp uses it to find jobs that wait
  /// although a machine could hold them.
  struct FreeResources {
    std::string zone;
    bool spot{};
    double cpus{}, gpus{}, ram{};
  };
  void sampleWaitingJobs();
  std::map<std::string, FreeResources> freeResourcesByMachine() const;
  static double taskCapacity(const JobPlan& plan, const FreeResources& free);
  std::set<int> missingTasks(const std::string& id, const UserJob& job) const;
  std::set<std::string> suitableMachines(
      const std::string& id, const JobPlan& plan, std::size_t missing,
      const std::map<std::string, FreeResources>& freeResources) const;
  double teamGpuUse(const std::string& team) const;
  bool areFaultsOver_ = false;
  /// The keys are jobs that have waited too long since markFaultsOver(), and the values are the
  /// suitable machines.
  std::map<std::string, std::string> waitedTooLong_;
  std::set<std::string> largestJobs(const std::string& jobClass) const;
  std::unique_ptr<Balancer> balancer_;
  std::int64_t longestCancelledRunMs_ = 0;
  std::map<std::string, int> minRunningByService_;
  void sampleReplicaGaps();
  std::map<std::string, ReplicaGaps> gaps_;
  /// Tasks on these hosts fail after this many seconds.
  std::map<std::string, double> failingHosts_;
  std::vector<Node> nodes_;
  std::map<std::string, UserJob> users_;
  /// The value is the newest placed attempt of the task in the key.
  std::map<std::pair<std::string, int>, std::uint64_t> newestAttempts_;

  /// Holds the submitted versions of one user's flow and the state of its files.
  struct UserFlow {
    FlowPlanSpec spec;
    FlowSubmission order;
    /// This is the plan of the newest accepted version.
    rules::FlowPlan plan;
    /// This is the number of the newest accepted version, or 0 if none is accepted.
    std::uint64_t version{};
    bool sending{};
    /// The last refusal had this HTTP status.
    int refusedWith = 0;
    bool cancelRequested{};
    std::int64_t sentAt{}, overAt = -1;
    std::string phase;
    Json status, report;
    /// The keys are output files, and the values are the work keys of the instances that made them.
    std::map<std::string, std::string> files;
    /// This counts the completed attempts for each work key.
    std::map<std::string, int> completions;
  };
  /// Holds the description of a flow task that a worker has received from a controller.
  struct FlowTask {
    std::string flow;
    rules::PlannedInstance instance;
  };
  void sendFlow(const std::string& id, std::uint64_t base);
  void watchFlow(const std::string& id);
  void checkFlowOver(const std::string& id);
  void beginFlowTask(Worker& worker, const Worker::Task& task);
  void fetchFlowTask(Worker& worker, const Worker::Task& task, int triesLeft,
                     std::function<void(std::optional<simulator::TaskNeeds>)> done);
  void watchLeader();
  int leader_ = -1;
  std::int64_t ledSince_ = 0, firstStart_ = -1;
  std::map<std::string, UserFlow> flows_;
  /// A key holds a host and Worker::Task::executionId.
  std::map<std::pair<std::string, std::uint64_t>, FlowTask> flowTasks_;
  /// This counts the attempts for each flow id followed by a work key.
  std::map<std::string, int> flowAttempts_;
  /// The value holds the task attempts, as in flowTasks_, that write the output in the key.
  std::map<std::string, std::set<std::pair<std::string, std::uint64_t>>> writers_;
  std::map<std::string, std::vector<rules::PlannedInstance>> texts_;
  std::unique_ptr<HostRuntime> userRuntime_;
  std::unique_ptr<client::Caller> userCaller_;
  std::unique_ptr<FlowClient> userClient_;
};

}  // namespace kestrelhoist::sim
