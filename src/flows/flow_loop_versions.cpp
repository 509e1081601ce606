// Implements amendments and cancellations of flows, and the removal of unused versions.
#include <algorithm>

#include "base/log.hpp"
#include "flows/flow_transaction.hpp"

namespace kestrelhoist {
namespace {
// Age at which an uploaded version that was never committed is removed. A long delay only keeps
// unused records longer.
constexpr std::int64_t kAbandonedMs = 30 * 60 * 1000;
const FlowVersion kNoVersion;
}  // namespace

// Applies an amendment, which changes a flow to another version. Instances with the same
// fingerprint in both versions keep their state and their running tasks; other tasks are dropped
// and stopped. Each step is derived from the records, so a new leader can continue an unfinished
// amendment. The flow creates no jobs until the amendment is complete.
std::optional<Commit> FlowLoop::amend(const FlowId& id, const FlowState& flow) {
  const FlowVersion* target = flow.version(flow.head->graph);
  auto old = buildRun(flow, flow.head->from);
  if (!target || !target->complete() || !old) return std::nullopt;
  const FlowVersion& source = *flow.version(flow.head->from);
  std::unordered_map<std::uint64_t, Instance> instanceByFingerprint;
  instanceByFingerprint.reserve(target->graph.size());
  for (Instance i = 0; i < target->graph.size(); ++i)
    instanceByFingerprint.emplace(target->graph.fingerprint(i), i);

  std::string letters(target->graph.size(), 'w');
  for (Instance i = 0; i < source.graph.size(); ++i) {
    if (source.stateOf(i) != 'd') continue;
    if (auto it = instanceByFingerprint.find(source.graph.fingerprint(i));
        it != instanceByFingerprint.end())
      letters[it->second] = 'd';
  }
  FlowTransaction builder(context_, id, flow, *target, flow.head->graph);
  std::size_t dropped = 0, jobs = 0;
  bool full = false, unwritable = false;
  for (const auto& [jobId, open] : old->jobs) {
    const auto* job = context_.replica.job(jobId);
    std::vector<std::uint32_t> unwanted;
    for (std::uint32_t task = 0; task < open.instances.size(); ++task) {
      Instance i = open.instances[task];
      auto kept = i == kNone ? instanceByFingerprint.end()
                             : instanceByFingerprint.find(source.graph.fingerprint(i));
      // A failed instance is retried in a new job.
      bool wanted =
          kept != instanceByFingerprint.end() && (job->isFinished(task) || !job->isGivenUp(task));
      if (wanted) {
        if (letters[kept->second] == 'w') letters[kept->second] = 'a';
      } else if (!job->isDropped(task) && !job->isFinished(task)) {
        unwanted.push_back(task);
      }
    }
    if (unwanted.empty() || full) continue;
    JobRecord record = job->record;
    FlowTaskMapping part = *record.flow;
    part.dropped.insert(part.dropped.end(), unwanted.begin(), unwanted.end());
    std::sort(part.dropped.begin(), part.dropped.end());
    record.flow = std::make_shared<const FlowTaskMapping>(std::move(part));
    auto result = builder.add([&, &jobId = jobId](FlowTransaction& t) {
      t.set(keys::job(jobId), toJson(record), job->modRevision);
    });
    full = result == FlowTransaction::Result::full;
    unwritable = unwritable || result == FlowTransaction::Result::unwritable;
    if (result != FlowTransaction::Result::added) continue;
    dropped += unwanted.size();
    ++jobs;
  }
  if (jobs > 0) {
    return Commit{builder.finish(), [this] { tasks_.sendStops(); },
                  "flow " + id.value + ": " + std::to_string(dropped) + " tasks no longer wanted"};
  }
  // The amendment must not be completed while a task that it drops may still run.
  if (unwritable) return std::nullopt;
  for (std::uint32_t page = 0; page * kPageSize < letters.size(); ++page) {
    std::string states = letters.substr(page * kPageSize, kPageSize);
    auto known = target->pages.find(page);
    if (known == target->pages.end() ? states.find_first_not_of('w') == std::string::npos
                                     : known->second == states) {
      continue;
    }
    auto result = builder.add([&](FlowTransaction& t) {
      for (std::size_t k = 0; k < states.size(); ++k) {
        t.setState(static_cast<Instance>(page * kPageSize + k), states[k]);
      }
    });
    if (result == FlowTransaction::Result::full) break;
    unwritable = unwritable || result == FlowTransaction::Result::unwritable;
  }
  if (!builder.empty()) {
    return Commit{builder.finish(), nullptr, "flow " + id.value + ": states of the new version"};
  }
  if (unwritable) return std::nullopt;
  FlowHead head = *flow.head;
  head.from = Digest{};
  TransactionBuilder lastStep = context_.beginBounded();
  lastStep.add({{{keys::flow(id), flow.modRevision}}, {{keys::flow(id), toJson(head), {}}}});
  if (lastStep.empty()) return std::nullopt;
  logInfo("flow amendment completed", "flow", id, "version", head.version);
  return Commit{lastStep.take(), nullptr, "flow " + id.value + ": changed"};
}

// Cancels the jobs of a cancelled flow, and ends each of them when its tasks have stopped.
std::optional<Commit> FlowLoop::endCancelledFlow(const FlowId& id, const FlowState& flow) {
  const FlowVersion* version = flow.version(flow.head->graph);
  FlowTransaction builder(context_, id, flow, version ? *version : kNoVersion, flow.head->graph);
  std::size_t cancelled = 0, ended = 0;
  for (const auto& jobId : flow.jobs) {
    const auto* job = context_.replica.job(jobId);
    if (!job) continue;
    const bool active = job->active();
    if (!active && !job->placed.empty()) continue;
    auto result = builder.add([&](FlowTransaction& t) {
      if (!active) return endJob(t, flow, jobId, *job, nullptr, nullptr);
      JobRecord record = job->record;
      record.phase = JobPhase::cancelled;
      t.set(keys::job(jobId), toJson(record), job->modRevision);
    });
    if (result == FlowTransaction::Result::full) break;
    if (result == FlowTransaction::Result::added) ++(active ? cancelled : ended);
  }
  if (builder.empty()) return std::nullopt;
  std::vector<JobId> removedJobs = builder.removedJobs();
  return Commit{builder.finish(),
                [this, removedJobs] {
                  for (const auto& job : removedJobs) outcomes_.forgetJob(job);
                  tasks_.sendStops();
                },
                "flow " + id.value + ": " + std::to_string(cancelled) + " jobs cancelled, " +
                    std::to_string(ended) + " ended"};
}

// Removes versions that no head and no job refers to. The upload record is first marked as closing.
// This changes its revision, so that a late write of a part fails. The upload record itself is
// removed last.
std::optional<Commit> FlowLoop::removeUnusedVersion(const FlowId& id, const FlowState& flow) {
  bool over = flow.head && flow.head->phase != FlowPhase::open;
  std::int64_t wall = context_.runtime.wallMillis();
  for (const auto& [digest, version] : flow.versions) {
    // The change feed has delivered a part, but not yet the upload record.
    if (!version.upload) continue;
    if (flow.head && !over && (digest == flow.head->graph || digest == flow.head->from)) continue;
    bool used = std::any_of(flow.jobs.begin(), flow.jobs.end(), [&](const JobId& job) {
      const auto* state = context_.replica.job(job);
      return state && state->record.flow->graph == digest;
    });
    if (used) continue;
    if (!over && !version.upload->closing && wall - version.upload->atMs < kAbandonedMs) continue;
    std::string key = keys::upload(id, digest);
    Transaction first = context_.begin();
    first.compares.push_back({key, version.modRevision});
    TransactionBuilder builder(context_.store.limits(), std::move(first));
    if (!version.upload->closing) {
      FlowUpload closing = *version.upload;
      closing.closing = true;
      builder.add({{}, {{key, toJson(closing), std::nullopt}}});
      if (builder.empty()) continue;
      return Commit{builder.take(), nullptr, "flow " + id.value + ": a version is being removed"};
    }
    std::uint32_t& at = removedKeyCounts_[{id, digest}];
    std::uint32_t pages = version.upload->instances / kPageSize + 1;
    std::uint32_t total = version.upload->texts + pages + version.upload->parts;
    std::uint32_t next = at;
    bool full = false;
    for (; next < total; ++next) {
      std::uint32_t n = next;
      std::string name;
      if (n < version.upload->texts) {
        name = keys::text(id, digest, n);
      } else if ((n -= version.upload->texts) < pages) {
        if (!version.pages.contains(n)) continue;
        name = keys::page(id, digest, n);
      } else {
        name = keys::graphPart(id, digest, n - pages);
      }
      auto result = builder.add({{}, {{std::move(name), std::nullopt, std::nullopt}}});
      full = result == TransactionBuilder::Result::full;
      if (full) break;
    }
    bool last = !full && builder.add({{}, {{key, std::nullopt, std::nullopt}}}) ==
                             TransactionBuilder::Result::added;
    if (builder.empty()) continue;
    return Commit{builder.take(),
                  [this, id, digest, next, last] {
                    removedKeyCounts_[{id, digest}] = next;
                    if (last) removedKeyCounts_.erase({id, digest});
                  },
                  "flow " + id.value + ": a version removed"};
  }
  return std::nullopt;
}

}  // namespace kestrelhoist
