#include "flows/flow_loop.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "flows/batching.hpp"
#include "flows/flow_transaction.hpp"

namespace kestrelhoist {
namespace {

// The record of an ended job is removed after this time, even if no other change is due.
constexpr Duration kMaxEndedJobDelay{5000};
// The loop creates no jobs for a flow while this many of its tasks wait for a machine.
constexpr std::size_t kMaxQueuedTasks = 20000;

bool isFinishedOrGivenUp(const JobState& job, std::uint32_t task) {
  return job.isFinished(task) || job.isGivenUp(task);
}

}  // namespace

// Maps the tasks of a job to instances of the given version. Tasks of a job of an earlier version
// are matched by fingerprint; a task that the amendment dropped is mapped to kNone.
FlowLoop::OpenJob FlowLoop::openJobFor(
    const FlowState& flow, const JobState& job, const FlowVersion& version,
    const std::unordered_map<std::uint64_t, Instance>* instanceByFingerprint) const {
  OpenJob open;
  const FlowTaskMapping& part = *job.record.flow;
  const FlowVersion* own = flow.version(part.graph);
  for (const auto& [first, count] : part.runs) {
    for (std::uint32_t k = 0; k < count; ++k) {
      auto task = static_cast<std::uint32_t>(open.instances.size());
      Instance instance = first + k;
      if (!own || instance >= own->graph.size() || part.isDropped(task)) {
        instance = kNone;
      } else if (instanceByFingerprint) {
        auto it = instanceByFingerprint->find(own->graph.fingerprint(instance));
        instance = it == instanceByFingerprint->end() ? kNone : it->second;
      }
      if (instance != kNone && instance >= version.graph.size()) instance = kNone;
      open.instances.push_back(instance);
      open.unfinishedTasks.push_back(task);
    }
  }
  return open;
}

// Updates the progress of the flow with the tasks of the job that have ended.
void FlowLoop::applyEndedTasks(const FlowState& flow, Run& run, const JobState& job,
                               OpenJob& open) const {
  const FlowTaskMapping& part = *job.record.flow;
  const FlowVersion* own = flow.version(part.graph);
  std::erase_if(open.unfinishedTasks, [&](std::uint32_t task) {
    Instance i = open.instances[task];
    if (part.isDropped(task)) {
      if (job.placed.contains(task)) return false;
      // The dropped task is confirmed as stopped, so no process writes its outputs any more.
      Instance at = task;
      for (const auto& [first, count] : part.runs) {
        if (at < count) {
          at += first;
          break;
        }
        at -= count;
      }
      if (own && at < own->graph.size()) {
        for (auto o : own->graph.outputs(at)) run.progress.unblock(o);
      }
      return true;
    }
    if (!isFinishedOrGivenUp(job, task)) return false;
    if (i != kNone && run.progress.state(i) == Progress::State::assigned) {
      if (job.isFinished(task)) {
        run.progress.finish(i);
      } else {
        run.progress.fail(i);
      }
    }
    return true;
  });
  if (open.unfinishedTasks.empty() && open.endedAt == Instant{})
    open.endedAt = context_.runtime.now();
  if (run.progress.readyCount() > 0 && run.readySince == Instant{})
    run.readySince = context_.runtime.now();
}

// Derives the state of the flow from its records only.
std::optional<FlowLoop::Run> FlowLoop::buildRun(const FlowState& flow, const Digest& graph) const {
  const FlowVersion* version = flow.version(graph);
  if (!version || !version->complete()) return std::nullopt;
  const FlowGraph& g = version->graph;
  Run run;
  run.graph = graph;
  run.progress = Progress(g, flow.head->keepGoing);
  std::unordered_map<std::uint64_t, Instance> instanceByFingerprint;
  bool others = std::any_of(flow.jobs.begin(), flow.jobs.end(), [&](const JobId& id) {
    const auto* job = context_.replica.job(id);
    return job && job->record.flow->graph != graph;
  });
  if (others) {
    instanceByFingerprint.reserve(g.size());
    for (Instance i = 0; i < g.size(); ++i) instanceByFingerprint.emplace(g.fingerprint(i), i);
  }
  std::vector<bool> covered(g.size());
  for (const auto& id : flow.jobs) {
    const auto* job = context_.replica.job(id);
    if (!job) continue;
    bool same = job->record.flow->graph == graph;
    OpenJob open = openJobFor(flow, *job, *version, same ? nullptr : &instanceByFingerprint);
    for (Instance i : open.instances) {
      if (i != kNone) covered[i] = true;
    }
    run.jobs.emplace(id, std::move(open));
  }
  for (Instance i = 0; i < g.size(); ++i) {
    char letter = version->stateOf(i);
    // The instance was in a job when the page was written, but the job no longer contains it.
    if (letter == 'a' && !covered[i]) letter = 'w';
    run.progress.restore(i, letter == 'd'   ? Progress::State::done
                            : letter == 'f' ? Progress::State::failed
                            : letter == 'a' ? Progress::State::assigned
                                            : Progress::State::waiting);
  }
  for (const auto& [id, open] : run.jobs) {
    const auto* job = context_.replica.job(id);
    const FlowVersion* own = flow.version(job->record.flow->graph);
    if (!own) continue;
    std::uint32_t task = 0;
    for (const auto& [first, count] : job->record.flow->runs) {
      for (std::uint32_t k = 0; k < count; ++k, ++task) {
        if (!job->isDropped(task) || first + k >= own->graph.size()) continue;
        for (auto o : own->graph.outputs(first + k)) run.progress.block(o);
      }
    }
  }
  run.progress.recompute();
  for (auto& [id, open] : run.jobs) applyEndedTasks(flow, run, *context_.replica.job(id), open);
  if (run.progress.readyCount() > 0) run.readySince = context_.runtime.now();
  return run;
}

void FlowLoop::applyJobChange(const FlowId& id, const JobId& jobId) {
  auto it = runs_.find(id);
  const FlowState* flow = context_.replica.flows().find(id);
  if (it == runs_.end() || !flow || !flow->head) return;
  Run& run = it->second;
  const auto* job = context_.replica.job(jobId);
  if (!job) {
    run.jobs.erase(jobId);
    return;
  }
  const FlowVersion* version = flow->version(run.graph);
  if (!version) return;
  auto open = run.jobs.find(jobId);
  if (open == run.jobs.end()) {
    if (job->record.flow->graph != run.graph) return;
    open = run.jobs.emplace(jobId, openJobFor(*flow, *job, *version, nullptr)).first;
    for (Instance i : open->second.instances) {
      if (i != kNone && run.progress.state(i) == Progress::State::waiting) run.progress.assign(i);
    }
    run.readySince = run.progress.readyCount() > 0 ? context_.runtime.now() : Instant{};
  }
  applyEndedTasks(*flow, run, *job, open->second);
}

void FlowLoop::onRecordsChanged(bool) {
  auto& copy = context_.replica.flows();
  for (const auto& [flow, job] : copy.takeChangedJobs()) applyJobChange(flow, job);
  std::erase_if(runs_, [&](const auto& r) {
    const FlowState* flow = copy.find(r.first);
    // The derived state is discarded if the flow has ended or was amended. It is rebuilt
    // from the records when it is needed.
    return !flow || !flow->head || flow->head->phase != FlowPhase::open ||
           flow->head->graph != r.second.graph || !flow->head->from.empty();
  });
}

LoopStep FlowLoop::next() {
  const auto& active = context_.replica.flows().active();
  // The search starts after the flow of the previous commit, so that all flows are served in turn.
  auto at = active.upper_bound(lastServedFlow_);
  for (std::size_t n = 0; n < active.size(); ++n) {
    if (at == active.end()) at = active.begin();
    const FlowId id = *at++;
    if (auto commit = nextCommit(id, *context_.replica.flows().find(id))) {
      lastServedFlow_ = id;
      return LoopStep::committing(std::move(commit));
    }
  }
  return LoopStep::committing(removeOrphanSubChunks());
}

// Removes task sub-chunks whose job record is already removed. The sub-chunks and the end of the
// job may not fit in one transaction. Removing them later is safe because job ids are never reused.
std::optional<Commit> FlowLoop::removeOrphanSubChunks() const {
  TransactionBuilder builder = context_.beginBounded();
  for (const auto& [key, modRevision] : context_.replica.orphanSubChunks()) {
    auto result = builder.add({{{key, modRevision}}, {{key, std::nullopt, std::nullopt}}});
    if (result == TransactionBuilder::Result::full) break;
  }
  if (builder.empty()) return std::nullopt;
  return Commit{builder.take(), nullptr, "parts of ended jobs"};
}

std::optional<Commit> FlowLoop::nextCommit(const FlowId& id, const FlowState& flow) {
  if (!flow.head) return removeUnusedVersion(id, flow);
  if (flow.head->phase != FlowPhase::open) {
    return flow.jobs.empty() ? removeUnusedVersion(id, flow) : endCancelledFlow(id, flow);
  }
  if (!flow.head->from.empty()) return amend(id, flow);
  auto run = runs_.find(id);
  if (run == runs_.end()) {
    auto built = buildRun(flow, flow.head->graph);
    if (!built) return std::nullopt;
    run = runs_.emplace(id, std::move(*built)).first;
    logInfo("derived flow progress from records", "flow", id, "version", flow.head->version, "done",
            run->second.progress.count(Progress::State::done), "instances",
            flow.version(flow.head->graph)->graph.size());
  }
  if (auto commit = advance(id, flow, run->second)) return commit;
  return removeUnusedVersion(id, flow);
}

bool FlowLoop::canEnd(const JobState& job) const {
  return job.placed.empty() && (!job.active() || job.waitingCount() == 0);
}

// Ends a job: removes the record and the task chunks of the job, adds its use to the account of the
// rule, and writes the final states of its instances. All of this happens in one transaction, so
// the use is counted exactly once.
void FlowLoop::endJob(FlowTransaction& builder, const FlowState& flow, const JobId& id,
                      const JobState& job, const OpenJob* open, Run* run) {
  ResourceUse use = job.flow->use();
  for (const auto& [chunk, s] : job.flow->chunks) {
    std::string key = keys::tasks(id, chunk);
    Revision modRevision = context_.replica.modRevisionOf(key);
    if (modRevision != Revision{}) builder.remove(key, modRevision);
  }
  builder.remove(keys::job(id), job.modRevision);
  const FlowVersion* own = flow.version(job.record.flow->graph);
  if (own && job.record.flow->rule < own->graph.rules().size()) {
    builder.addUse(own->graph.rules()[job.record.flow->rule], use);
  }
  if (!open || !run) return;
  for (std::size_t task = 0; task < open->instances.size(); ++task) {
    Instance i = open->instances[task];
    if (i == kNone) continue;
    auto n = static_cast<std::uint32_t>(task);
    if (job.isFinished(n)) builder.setState(i, 'd');
    if (!job.isFinished(n) && job.isGivenUp(n)) builder.setState(i, 'f');
  }
}

void FlowLoop::createJob(FlowTransaction& builder, const FlowId& id, const FlowState& flow,
                         Run& run, std::uint32_t rule, const std::vector<Instance>& instances) {
  const FlowRule& r = flow.version(run.graph)->graph.rules()[rule];
  FlowTaskMapping part;
  part.flow = id;
  part.graph = run.graph;
  part.rule = rule;
  part.retries = r.retries;
  for (Instance i : instances) {
    if (!part.runs.empty() && part.runs.back().first + part.runs.back().second == i) {
      ++part.runs.back().second;
    } else {
      part.runs.emplace_back(i, 1);
    }
    builder.setState(i, 'a');
  }
  auto spec = std::make_shared<JobSpec>();
  // The id is unique: a fencing token is never reused and the counter is unique within one token.
  // Job ids of users have another prefix.
  spec->id = JobId{"f-" + std::to_string(context_.token.value) + "-" + std::to_string(++jobCount_)};
  spec->jobClass = flow.head->jobClass;
  spec->team = TeamId{flow.head->team};
  spec->kind = JobKind::array;
  spec->priority = static_cast<Priority>(flow.head->priority);
  spec->tasks = static_cast<std::uint32_t>(instances.size());
  spec->perTask = r.perTask;
  spec->image = ImageId{r.image};
  spec->imageGb = r.imageGb;
  spec->spotAllowed = r.spot;
  spec->estimate = r.estimate;
  spec->checkpointEvery = r.checkpointEvery;
  spec->saveTime = r.saveTime;
  JobRecord record{spec, JobPhase::active, context_.runtime.wallMillis(), tasksPerChunk(),
                   std::make_shared<const FlowTaskMapping>(std::move(part))};
  builder.set(keys::job(spec->id), toJson(record), Revision{});
}

// Adds the ends of the jobs that have ended, as far as they fit. Returns their number.
std::size_t FlowLoop::endFinishedJobs(FlowTransaction& builder, const FlowState& flow, Run& run) {
  std::size_t endedJobs = 0;
  for (auto& [jobId, open] : run.jobs) {
    const auto* job = context_.replica.job(jobId);
    if (!open.unfinishedTasks.empty() || !canEnd(*job)) continue;
    auto result = builder.add([&, &jobId = jobId, &open = open](FlowTransaction& t) {
      endJob(t, flow, jobId, *job, &open, &run);
    });
    if (result == FlowTransaction::Result::full) break;
    if (result == FlowTransaction::Result::added) ++endedJobs;
  }
  return endedJobs;
}

// Returns the rules that have ready instances, those with the highest priority first.
std::vector<std::uint32_t> FlowLoop::readyRules(const FlowVersion& version, const Run& run) {
  std::vector<std::uint32_t> rules;
  for (std::uint32_t r = 0; r < version.graph.rules().size(); ++r) {
    if (run.progress.readyCountOf(r) > 0) rules.push_back(r);
  }
  std::stable_sort(rules.begin(), rules.end(), [&](auto a, auto b) {
    return version.graph.rules()[a].priority > version.graph.rules()[b].priority;
  });
  return rules;
}

// Returns the first of the ready instances from `from` on that one job can have. The later end of
// the job must also fit in one transaction. The number of pages is therefore limited, even if the
// ready instances are scattered over many pages.
std::vector<Instance> FlowLoop::nextBatch(const std::vector<Instance>& ready,
                                          std::size_t from) const {
  std::vector<Instance> batch;
  std::size_t pages = 0;
  for (; from < ready.size() && batch.size() < tasksPerChunk(); ++from) {
    bool newPage = batch.empty() || batch.back() / kPageSize != ready[from] / kPageSize;
    if (newPage && pages == maxPagesPerJob()) break;
    pages += newPage ? 1 : 0;
    batch.push_back(ready[from]);
  }
  return batch;
}

// Adds jobs for ready instances, as far as they fit.
FlowLoop::CreatedJobs FlowLoop::createReadyJobs(FlowTransaction& builder, const FlowId& id,
                                                const FlowState& flow, Run& run) {
  CreatedJobs created;
  const FlowVersion& version = *flow.version(run.graph);
  for (std::uint32_t rule : readyRules(version, run)) {
    auto ready = run.progress.readyInstances(rule, run.progress.readyCountOf(rule));
    std::sort(ready.begin(), ready.end());
    for (std::size_t from = 0; from < ready.size();) {
      const std::vector<Instance> batch = nextBatch(ready, from);
      from += batch.size();
      auto result =
          builder.add([&](FlowTransaction& t) { createJob(t, id, flow, run, rule, batch); });
      if (result == FlowTransaction::Result::full) return created;
      if (result != FlowTransaction::Result::added) continue;
      ++created.jobs;
      created.instances += batch.size();
    }
  }
  return created;
}

void FlowLoop::endFlow(FlowTransaction& builder, const FlowId& id, const FlowState& flow,
                       const Run& run) const {
  FlowHead head = *flow.head;
  head.done = run.progress.count(Progress::State::done);
  head.failed = run.progress.count(Progress::State::failed);
  head.skipped = run.progress.count(Progress::State::skipped);
  head.phase = head.failed > 0 ? FlowPhase::failed : FlowPhase::done;
  auto result = builder.add([&](FlowTransaction& t) { t.endFlow(head); });
  if (result != FlowTransaction::Result::added) return;
  logInfo("flow ended", "flow", id, "done", head.done, "failed", head.failed, "skipped",
          head.skipped);
}

// Returns which changes of the flow are due.
FlowLoop::DueChanges FlowLoop::dueChanges(const Run& run) const {
  const Instant now = context_.runtime.now();
  BatchingInput input;
  std::size_t ended = 0;
  Instant firstEndedAt{};
  for (const auto& [jobId, open] : run.jobs) {
    const auto* job = context_.replica.job(jobId);
    input.queued += job->waitingCount();
    input.running += job->placed.size();
    if (!open.unfinishedTasks.empty() || !canEnd(*job)) continue;
    if (ended++ == 0 || open.endedAt < firstEndedAt) firstEndedAt = open.endedAt;
  }
  input.ready = input.queued >= kMaxQueuedTasks ? 0 : run.progress.readyCount();
  input.maxJobTasks = tasksPerChunk();
  input.oldestReadyAge = now - run.readySince;
  input.ended = run.progress.count(Progress::State::done);
  input.changes = run.changes;
  DueChanges due;
  due.newJobs = shouldCreateJobs(input);
  due.endOfFlow = run.progress.hasEnded();
  due.endsOfJobs = ended > 0 && now - firstEndedAt >= kMaxEndedJobDelay;
  return due;
}

// Records ended instances and creates jobs for ready instances in one transaction. The transaction
// compares the revisions of the head, the pages and the jobs, and carries the leader's fencing
// token. So it fails if an amendment or a cancellation has been committed in the meantime.
std::optional<Commit> FlowLoop::advance(const FlowId& id, const FlowState& flow, Run& run) {
  const DueChanges due = dueChanges(run);
  if (!due.newJobs && !due.endOfFlow && !due.endsOfJobs) return std::nullopt;
  FlowTransaction builder(context_, id, flow, *flow.version(run.graph), run.graph);
  const std::size_t ended = endFinishedJobs(builder, flow, run);
  CreatedJobs created;
  if (due.newJobs) created = createReadyJobs(builder, id, flow, run);
  if (due.endOfFlow && ended == run.jobs.size()) endFlow(builder, id, flow, run);
  if (builder.empty()) return std::nullopt;
  std::size_t changes = builder.changes();
  std::vector<JobId> removedJobs = builder.removedJobs();
  return Commit{builder.finish(),
                [this, id, changes, removedJobs] {
                  for (const auto& job : removedJobs) outcomes_.forgetJob(job);
                  if (auto r = runs_.find(id); r != runs_.end()) r->second.changes += changes;
                },
                "flow " + id.value + ": " + std::to_string(created.jobs) + " jobs of " +
                    std::to_string(created.instances) + " instances, " + std::to_string(ended) +
                    " jobs ended"};
}

std::vector<ProjectedDemand> FlowLoop::upcoming(Duration horizon) const {
  std::vector<ProjectedDemand> out;
  for (const auto& [id, run] : runs_) {
    const FlowState* flow = context_.replica.flows().find(id);
    const FlowVersion* version = flow ? flow->version(run.graph) : nullptr;
    if (!version) continue;
    std::vector<Instance> soon;
    for (const auto& [jobId, open] : run.jobs) {
      const auto* job = context_.replica.job(jobId);
      if (!job || !job->record.spec || job->record.spec->estimate > horizon) continue;
      for (auto task : open.unfinishedTasks) {
        if (open.instances[task] != kNone && job->placed.contains(task) &&
            run.progress.state(open.instances[task]) == Progress::State::assigned) {
          soon.push_back(open.instances[task]);
        }
      }
    }
    auto byRule = run.progress.upcoming(soon);
    for (std::size_t r = 0; r < byRule.size(); ++r) {
      const FlowRule& rule = version->graph.rules()[r];
      if (byRule[r] > 0) out.push_back({rule.perTask, byRule[r], rule.spot});
    }
  }
  return out;
}

std::vector<ProjectedDemand> FlowLoop::ending(Duration horizon) const {
  std::vector<ProjectedDemand> out;
  for (const auto& [id, run] : runs_) {
    for (const auto& [jobId, open] : run.jobs) {
      const auto* job = context_.replica.job(jobId);
      if (!job || !job->record.spec || job->record.spec->estimate > horizon) continue;
      out.push_back({job->record.spec->perTask, static_cast<std::uint32_t>(job->placed.size()),
                     job->record.spec->spotAllowed});
    }
  }
  return out;
}

}  // namespace kestrelhoist
