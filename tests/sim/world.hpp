/// \file
/// A small world in virtual time: controllers over the model of the region, users, and a checker of
/// PROTOCOL's rules and of those of flows that looks at every step.
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

struct WorldSettings {
  int nodes = 3;
  std::vector<std::string> zones{"a", "b", "c"};
  double cpus = 8, gpus = 8, ram = 64;  ///< of the one machine type
  double bootS = 20;
  double fetchS = 2;
  int ordinaryPerZone = 4, spotPerZone = 4;
  double reportS = 1, leaseS = 11, cancelS = 41;
  double listLagS = 3;
  double gpusMax = 0;  ///< the team's limit
  double bootFail = 0;
  double failedAfterS = 0;   ///< a machine that has died is listed as failed then; 0: never
  double soon = 0;           ///< share of machines that are up within 0.2 to 2 s
  std::size_t pageRows = 0;  ///< most rows of a page of the state service; 0: as PROTOCOL says
  std::uint64_t seed = 1;
  double writesPerS = 25;
  int valueKb = 8, txnOps = 8;
  /// `settings.state.next`; 0: not there.
  int nextValueKb = 0, nextOps = 0;
  double nextWrites = 0;
  /// Controllers know nothing of `next` and tell no format until they are upgraded: what they write
  /// is as the version in production writes it.
  bool old = false;
  bool flows = true;
  int maxConnections = 600;
  bool cache = false;         ///< machines keep the images that they fetched
  bool lateSessions = false;  ///< workers report a new session with their next regular report only
  bool lateChanges = false;   ///< so do they what changes while a report is under way
  bool balancer = false;      ///< users reach the nodes as PROTOCOL's load balancer lets them
  bool members = false;       ///< with keys; users without one are served, too
  bool dropAwaits = false;    ///< users leave `awaits` out: as for a program that does not heed it
};

/// The operator's own key in worlds with members.
Credential rootCredential();

/// What a user asked for.
struct JobPlan {
  std::string id;
  std::string shape = "batch";
  int tasks = 1;
  double cpus = 1, gpus = 1, ram = 4;
  double runS = 10, staggerS = 0;  ///< task i runs for runS + i x staggerS
  bool together = false, apart = false, spot = false;
  double checkpointS = 0;
  double errsAfterS = -1;  ///< submitted with a mistake: each task ends in error after this
  std::string rank = "best_effort";
  std::string zone;
  std::string jobClass = "any", team = "team";
  std::string image = "img-1";
  double imageGb = 1;
  std::vector<std::string> awaits;  ///< submitted once these are accepted
  std::string awaitsText;           ///< JSON instead of the list: what no user should send
  double dueS = -1;
  bool late = false;         ///< submitted when those that it awaits are over
  double cancelAfterS = -1;  ///< cancelled so long after it was accepted, through a drawn node
  int via = -1;              ///< the node that is asked first
};

using simulator::Worker;

class World : public simulator::TaskHost {
 public:
  explicit World(WorldSettings settings);
  ~World() override;

  void submit(const JobPlan& job);
  /// A job that a member submits under this name of the service's: what its tasks are.
  void expectJob(const JobPlan& job) { users_[job.id].plan = job; }
  /// A rule of a scenario's own is broken.
  void breaks(const std::string& rule, const std::string& what) { fail(rule, what); }
  void abort(const std::string& id);
  /// The same, asking this controller first.
  void abortThrough(const std::string& id, int node);
  /// The longest that a task of a cancelled job was on a machine after its user had been told, s.
  double goneBy() const { return static_cast<double>(goneByMs_) / 1000.0; }
  /// What a user of a test's own hears counts like what the world's users hear; so does its wish to
  /// cancel. `askedAt`: when it asked.
  void note(const std::string& id, const Response& r, std::int64_t askedAt);
  void askedToCancel(const std::string& id) {
    users_[id].abortAsked = true;
    pipelines.cancelAsked(id);
  }
  bool isAccepted(const std::string& id) const {
    auto it = users_.find(id);
    return it != users_.end() && it->second.accepted;
  }
  void fail(const std::string& rule, const std::string& what);
  Json spec(const JobPlan& p) const;
  /// A user was told for the first time that a job is accepted, done or withdrawn.
  std::function<void(const std::string& id, const std::string& what)> onTold;
  /// A task has completed on its machine.
  std::function<void(const std::string& id)> onResult;
  /// Of the task's attempts, the newest that was ever placed; 0: none.
  std::uint64_t newestTry(const std::string& job, int index) const;
  /// From now on every task ends in error on this machine after `s`.
  void makeFaulty(const std::string& host, double s) { faulty_[host] = s; }
  /// The mistake is gone.
  void mend(const std::string& id) { users_[id].plan.errsAfterS = -1; }
  void crash(int node, std::int64_t downMs = 4000);
  /// An operator sets the policy, asking again until told.
  void setPolicy(const Json& document, const std::string& request);
  /// As the newest controller's copy has it; any that lives.
  const PolicyReplica* policy() const;
  /// Whether each controller that lives knows that all tell this format of records, or none does.
  bool allKnowFormat(unsigned format) const;
  bool noneKnowsFormat(unsigned format) const;
  /// A node's time of day is off by so much from now on, in each of its lives.
  void stepClock(int node, std::int64_t ms);
  /// The process ends and comes back as the new version, in each of its lives from then on.
  void upgrade(int node, std::int64_t downMs);
  /// From now on the state service has these limits; 0: any number of changes.
  void limitState(int valueKb, int ops, double writesPerS);
  void freeze(int node, std::int64_t forMs);  ///< stands still, its clocks run on
  int leaderNode() const;                     ///< -1: none
  /// From now on the fewest replicas of this service that ran at a time are remembered.
  void watch(const std::string& id) {
    watched_[id] = runningReplicas(id);
    gaps_.insert_or_assign(id, ReplicaGaps(users_.at(id).plan.tasks));
  }
  int fewest(const std::string& id) const { return watched_.at(id); }
  /// Spells since then in which some of its replicas did not run.
  const ReplicaGaps& gapsOf(const std::string& id) const { return gaps_.at(id); }
  /// Breaks `underserved` if a class, its largest jobs or a team got less than this share of what
  /// it should have: replica time of its services, tasks of its arrays that had time to end. The
  /// largest are the tenth of a class's jobs that asks for most room, at least one; they begin in
  /// time, too.
  void expectServed(double least);
  /// Each accepted job that was not cancelled was answered with a 200 within this time.
  void expectAnswered(std::int64_t withinMs) {
    for (const auto& id : unanswered(withinMs)) fail("unanswered", id);
  }
  std::set<std::string> unanswered(std::int64_t withinMs) const;
  /// All troubles are over: from now on who waits while there is room is remembered
  /// (`expectNoWaiting`).
  void calm();
  /// Breaks `waits` for each job that waited for so long while one machine that fits had room all
  /// the time, as its worker has it, and its team was under its limit: since `calm`, or until now.
  void expectNoWaiting();
  /// The jobs that wait like this now, with the machine.
  std::map<std::string, std::string> waitingBesideRoom() const;
  /// Jobs that run and would go on for so much longer if nobody cancelled them.
  std::vector<std::string> runningFor(double leastS) const;
  /// The machines on which tasks of this job are.
  std::vector<std::string> machinesOf(const std::string& id) const;
  /// Seconds from acceptance to the first start of a task; huge if there was none.
  double began(const std::string& id) const;
  /// By class: jobs, seconds until they began (mean, nine tenths, longest) and until they were
  /// done.
  void tellWaits(std::ostream& out) const;
  /// Those who got less, with their share, of those that were judged for this long.
  std::map<std::string, double> underserved(double least, std::int64_t judgedMs) const;
  /// The first reason for which this job's tasks wait, as the leader tells.
  std::string whyWaits(const std::string& id);
  int leaderships = 0;  ///< how many leaderships there have been
  /// "leader" or a number.
  int nodeFrom(const std::string& word) const;
  std::vector<std::string> machinesWithTasks() const { return region.machinesWithTasks(); }
  void runFor(double seconds);
  double now() const { return static_cast<double>(clock.now()) / 1000.0; }

  std::string phaseOf(const std::string& id) const;  ///< as last told to a user
  int runningReplicas(const std::string& id) const;
  std::size_t runningOf(const std::string& jobClass) const;  ///< tasks, of all jobs of a class
  int runningBefore(const std::string& id) const;

  /// Pipelines (world_pipelines.cpp). All controllers are asked for this job, again and again for a
  /// few seconds; `unsettled`: jobs of pipelines whose users were not told of an end, or that were
  /// not even submitted.
  void askEverywhere(const std::string& id);
  void askAllOfPipelines(std::int64_t everyMs, std::int64_t forMs);
  std::vector<std::string> unsettled() const;

  /// Flows (world_flows.cpp). Once submitted, a user asks for its state until it is over.
  void submitFlow(const FlowPlanSpec& spec);
  void amendFlow(const FlowPlanSpec& spec);
  void cancelFlow(const std::string& id);
  std::string flowPhase(const std::string& id) const;  ///< as last told
  Json flowStatus(const std::string& id) const;        ///< the same, whole
  Json flowReport(const std::string& id) const;        ///< read when it was over
  std::size_t flowInstances() const;
  Json teamAccount(const std::string& team);  ///< asked for now
  int flowRefusedWith(const std::string& id) const { return flows_.at(id).refusedWith; }
  double flowTook(const std::string& id) const;  ///< seconds; huge if it is not over
  const rules::FlowPlan& flowPlan(const std::string& id) const { return flows_.at(id).plan; }
  const std::map<std::string, std::string>& flowFiles(const std::string& id) const {
    return flows_.at(id).files;
  }
  /// What makes two runs of an instance the same work.
  static std::string workKey(const rules::PlannedInstance& i);
  /// The leader ends right after the n-th transaction that concerns flows, before it hears of it.
  std::size_t crashAtFlowCommit = 0;
  std::size_t flowCommits = 0;
  /// Between the newest leader's first moment and the first start of a flow's task under it.
  double resumedAfter() const;
  std::map<std::string, std::size_t> changesByKind;  ///< committed, by the start of their keys

  /// TaskHost
  void describe(Worker& worker, const Worker::Task& task,
                std::function<void(std::optional<simulator::TaskNeeds>)> done) override;
  void begin(Worker& worker, const Worker::Task& task) override;
  void save(Worker& worker, const Worker::Task& task) override;
  void end(Worker&, const Worker::Task&) override {}

  WorldSettings settings;
  PipelineChecks pipelines;
  std::mt19937_64 random;
  Clockwork clock;
  Network network;
  simulator::SimulatedRegion region;
  simulator::StateService& state = region.state;
  std::map<std::string, std::unique_ptr<Worker>>& workers = region.workers;
  std::vector<std::string> broken;  ///< rules, with what happened
  std::size_t starts = 0;
  double pollFactor = 1;                        ///< users ask so many times as often
  std::map<std::string, std::size_t> startsOf;  ///< by job

  /// For workers and the checker.
  std::string nodeApi(int i) const { return "node" + std::to_string(i) + ":80"; }
  const JobPlan* plan(const std::string& id) const;
  void onStart(Worker& worker, const Worker::Task& task);
  void checkCancelled();
  std::map<std::pair<std::string, int>, double> progress;  ///< saved, in seconds
  std::set<std::pair<std::string, int>> results;           ///< tasks that completed

 private:
  struct Node {
    Platform platform;
    OperatorSettings operatorSettings;
    std::unique_ptr<HostRuntime> runtime;
    std::unique_ptr<PlanRunner> planner;
    std::unique_ptr<Controller> controller;
    int lives = 0;
    std::int64_t clockOff = 0;
    bool isNew = true;
  };
  struct UserJob {
    JobPlan plan;
    bool accepted = false;
    std::string told;  ///< done or withdrawn, once told
    std::string last;
    std::int64_t toldAt = 0, acceptedAt = 0;
    std::int64_t cancelledToldAt = -1;
    bool abortAsked = false;
    std::int64_t answeredAt = -1;  ///< last with a 200
    std::int64_t beganAt = -1;     ///< first start of a task
    std::int64_t doneAt = -1;      ///< as first told
    double got = 0, due = 0;       ///< served, as far as it was judged
    std::int64_t judgedFrom = -1;
    std::map<std::string, std::int64_t> besideRoom;  ///< machines with room for it, since when
  };
  void boot(int node);
  simulator::RegionSettings regionSettings() const;
  void send(const JobPlan& job);
  void trySubmit(const std::string& id);
  void onAccepted(const std::string& id);
  void onOver(const std::string& id);
  void sendThoseReady();
  bool isReady(const JobPlan& job) const;
  /// Since when this job is owed service, as its user sees it; -1: it is not, or not yet.
  std::int64_t owedFrom(const std::string& id, const UserJob& j) const;
  /// Since when its user knows that it, or one before it, is cancelled; -1: not.
  std::int64_t cancelledSince(const std::string& id, const UserJob& j) const;
  std::vector<JobPlan> unsent_;  ///< their users wait for those that they await
  void tryAbort(const std::string& id, int node = -1);
  void poll(const std::string& id);
  void pollUnknown();
  void toSomeNode(Request q, std::int64_t timeout, OnReply done);
  void toNode(int node, Request q, std::int64_t timeout, OnReply done) {
    network.send("users", nodeApi(node), std::move(q), timeout, std::move(done));
  }
  void notePlaced(const Json& writes);

  void watchService();
  /// Who waits beside room (sim/world_waits.cpp).
  struct Roomy {
    std::string zone;
    bool spot{};
    double cpus{}, gpus{}, ram{};
  };
  void watchWaits();
  std::map<std::string, Roomy> machinesWithRoom() const;
  std::set<int> missingTasks(const std::string& id, const UserJob& job) const;
  std::set<std::string> fitting(const std::string& id, const JobPlan& plan, std::size_t missing,
                                const std::map<std::string, Roomy>& room) const;
  double teamUses(const std::string& team) const;
  bool calm_ = false;
  std::map<std::string, std::string> waited_;  ///< since `calm`, with the machine
  std::set<std::string> largest(const std::string& jobClass) const;
  std::unique_ptr<Balancer> balancer_;
  std::int64_t goneByMs_ = 0;
  std::map<std::string, int> watched_;
  void watchGaps();
  std::map<std::string, ReplicaGaps> gaps_;
  std::map<std::string, double> faulty_;  ///< by host
  std::vector<Node> nodes_;
  std::map<std::string, UserJob> users_;
  std::map<std::pair<std::string, int>, std::uint64_t> newestTry_;  ///< placed, by task

  /// One user's flow: its versions as handed over, and what its files are by now.
  struct UserFlow {
    FlowPlanSpec spec;
    FlowSubmission order;
    rules::FlowPlan plan;     ///< of the newest version that was accepted
    std::uint64_t version{};  ///< accepted
    bool sending{};
    int refusedWith = 0;  ///< status of the last refusal
    bool cancelAsked{};
    std::int64_t sentAt{}, overAt = -1;
    std::string phase;
    Json status, report;
    std::map<std::string, std::string> files;  ///< output -> command that made it
    std::map<std::string, int> completions;    ///< by output and command
  };
  /// What a worker knows of a flow's task.
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
  std::map<std::pair<std::string, std::uint64_t>, FlowTask> flowTasks_;  ///< by host and life
  std::map<std::string, int> flowAttempts_;                              ///< by flow and work
  std::map<std::string, std::set<std::pair<std::string, std::uint64_t>>> writers_;  ///< by output
  std::map<std::string, std::vector<rules::PlannedInstance>> texts_;
  std::unique_ptr<HostRuntime> userRuntime_;
  std::unique_ptr<client::Caller> userCaller_;
  std::unique_ptr<FlowClient> userClient_;
};

}  // namespace kestrelhoist::sim
