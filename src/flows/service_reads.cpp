// Implements the read requests of users and workers for flows. A response follows a linearizable
// read that starts after the request arrives, except if the requested data is immutable.
#include <algorithm>

#include "base/query.hpp"
#include "flows/service.hpp"

namespace kestrelhoist {
namespace {
// A cached text is no larger than the value limit of the state service.
constexpr std::size_t kMaxCachedTexts = 48;
constexpr std::size_t kMaxReportedFailures = 200;
Response noFlow() { return jsonResponse(404, {{"error", "no such flow"}}); }
}  // namespace

// Counts the instances by state, using the pages and the records of the jobs.
Json FlowService::counts(const FlowState& flow) const {
  const FlowHead& head = *flow.head;
  std::uint32_t total = 0, done = 0, failed = 0, running = 0, queued = 0, blocked = 0;
  if (head.phase != FlowPhase::open) {
    return {{"total", head.done + head.failed + head.skipped},
            {"done", head.done},
            {"failed", head.failed},
            {"skipped", head.skipped},
            {"running", 0},
            {"queued", 0},
            {"waiting", 0},
            {"blocked", 0}};
  }
  const FlowVersion* version = flow.version(head.from.empty() ? head.graph : head.from);
  if (version) {
    total = version->graph.size();
    for (const auto& [n, page] : version->pages) {
      done += static_cast<std::uint32_t>(std::count(page.begin(), page.end(), 'd'));
      failed += static_cast<std::uint32_t>(std::count(page.begin(), page.end(), 'f'));
    }
    std::vector<bool> failedOrBlocked;
    auto mark = [&](Instance i) {
      if (failedOrBlocked.empty()) failedOrBlocked.resize(total);
      if (i < total) failedOrBlocked[i] = true;
    };
    for (const auto& id : flow.jobs) {
      const auto* job = replica_.job(id);
      if (!job) continue;
      std::uint32_t task = 0;
      for (const auto& [first, count] : job->record.flow->runs) {
        for (std::uint32_t k = 0; k < count; ++k, ++task) {
          if (job->isDropped(task)) continue;
          if (job->isFinished(task)) {
            ++done;
          } else if (job->placed.contains(task)) {
            ++running;
          } else if (job->isGivenUp(task)) {
            ++failed;
            if (job->record.flow->graph == head.graph) mark(first + k);
          } else {
            ++queued;
          }
        }
      }
    }
    if (failed > 0) {
      for (const auto& [n, page] : version->pages) {
        for (std::size_t k = 0; k < page.size(); ++k) {
          if (page[k] == 'f') mark(static_cast<Instance>(n * kPageSize + k));
        }
      }
      // An instance depends only on smaller numbers, so one pass in increasing order finds all
      // instances that depend on a failed one.
      for (Instance i = 0; i < total && !failedOrBlocked.empty(); ++i) {
        if (failedOrBlocked[i]) continue;
        auto deps = version->graph.deps(i);
        if (std::any_of(deps.begin(), deps.end(), [&](Instance d) { return failedOrBlocked[d]; })) {
          failedOrBlocked[i] = true;
          ++blocked;
        }
      }
    }
  }
  std::uint32_t known = done + failed + running + queued + blocked;
  return {{"total", total},     {"done", done},
          {"failed", failed},   {"skipped", 0},
          {"running", running}, {"queued", queued},
          {"blocked", blocked}, {"waiting", total > known ? total - known : 0}};
}

void FlowService::status(const FlowId& id, const Respond& respond) {
  watcher_.linearizableRead([this, id, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    const FlowState* flow = replica_.flows().find(id);
    if (!flow || !flow->head) return respond(noFlow());
    const FlowHead& head = *flow->head;
    Json v = counts(*flow);
    v["ref"] = id.value;
    v["name"] = head.name;
    v["owner"] = head.team;
    v["member"] = head.member;
    v["phase"] = toString(head.phase);
    v["version"] = head.version;
    v["changing"] = !head.from.empty();
    v["graph"] = head.graph.value;
    v["jobs"] = flow->jobs.size();
    v["age_s"] =
        static_cast<double>(std::max<std::int64_t>(0, runtime_.wallMillis() - head.atMs)) / 1000.0;
    respond(jsonResponse(200, v));
  });
}

std::vector<AccountEntry> FlowService::resourceUseByRule(const FlowState& flow) const {
  std::vector<AccountEntry> entries;
  auto add = [&](const std::string& rule, const Resources& room, const ResourceUse& use) {
    for (auto& e : entries) {
      if (e.rule == rule && e.perTask.cpus == room.cpus && e.perTask.gpus == room.gpus &&
          e.perTask.ramGb == room.ramGb) {
        e.use += use;
        return;
      }
    }
    entries.push_back({rule, room, use});
  };
  for (const auto& [block, list] : flow.accounts) {
    for (const auto& e : list) add(e.rule, e.perTask, e.use);
  }
  for (const auto& jobId : flow.jobs) {
    const auto* job = replica_.job(jobId);
    if (!job || !job->flow) continue;
    const FlowVersion* version = flow.version(job->record.flow->graph);
    if (!version || job->record.flow->rule >= version->graph.rules().size()) continue;
    const FlowRule& rule = version->graph.rules()[job->record.flow->rule];
    ResourceUse use = job->flow->use();
    if (!use.empty()) add(rule.name, rule.perTask, use);
  }
  return entries;
}

namespace {
// Returns the sums of the entries in the units of the response.
Json totalUse(const std::vector<AccountEntry>& entries) {
  ResourceUse all;
  double cpu = 0, gpu = 0, gb = 0;
  for (const auto& e : entries) {
    double seconds = static_cast<double>(e.use.ranMs) / 1000.0;
    all += e.use;
    cpu += seconds * e.perTask.cpus;
    gpu += seconds * e.perTask.gpus;
    gb += seconds * e.perTask.ramGb;
  }
  return {{"tasks", all.tasks},
          {"failed", all.failed},
          {"attempts", all.attempts},
          {"task_s", static_cast<double>(all.ranMs) / 1000.0},
          {"lost_s", static_cast<double>(all.lostMs) / 1000.0},
          {"cpu_s", cpu},
          {"gpu_s", gpu},
          {"gb_s", gb}};
}
}  // namespace

void FlowService::report(const FlowId& id, const Respond& respond) {
  watcher_.linearizableRead([this, id, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    const FlowState* flow = replica_.flows().find(id);
    if (!flow || !flow->head) return respond(noFlow());
    auto entries = resourceUseByRule(*flow);
    Json rules = Json::array();
    for (const auto& e : entries) {
      rules.push_back(totalUse({e}));
      rules.back()["rule"] = e.rule;
    }
    Json v = totalUse(entries);
    v["ref"] = id.value;
    v["name"] = flow->head->name;
    v["owner"] = flow->head->team;
    v["member"] = flow->head->member;
    v["phase"] = toString(flow->head->phase);
    v["rules"] = std::move(rules);
    respond(jsonResponse(200, v));
  });
}

void FlowService::account(const std::string& query, const Respond& respond) {
  std::string team = queryValue(query, "owner");
  if (team.empty()) return respond(jsonResponse(400, {{"error", "owner is missing"}}));
  watcher_.linearizableRead([this, team, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    std::map<std::string, std::vector<AccountEntry>> members;
    std::vector<AccountEntry> all;
    std::map<std::string, std::size_t> flows;
    for (const auto& [id, flow] : replica_.flows().flows()) {
      if (!flow.head || flow.head->team != team) continue;
      auto entries = resourceUseByRule(flow);
      auto& own = members[flow.head->member];
      own.insert(own.end(), entries.begin(), entries.end());
      all.insert(all.end(), entries.begin(), entries.end());
      ++flows[flow.head->member];
    }
    Json list = Json::array();
    for (const auto& [member, entries] : members) {
      list.push_back(totalUse(entries));
      list.back()["member"] = member;
      list.back()["flows"] = flows[member];
    }
    Json v = totalUse(all);
    v["owner"] = team;
    v["members"] = std::move(list);
    respond(jsonResponse(200, v));
  });
}

// Lists the instances that failed permanently, with the positions of their texts.
void FlowService::failures(const FlowId& id, const Respond& respond) {
  watcher_.linearizableRead([this, id, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    const FlowState* flow = replica_.flows().find(id);
    if (!flow || !flow->head) return respond(noFlow());
    const FlowVersion* version = flow->version(flow->head->graph);
    std::vector<Instance> failed;
    if (version && version->upload) {
      for (const auto& [n, page] : version->pages) {
        for (std::size_t k = 0; k < page.size() && failed.size() < kMaxReportedFailures; ++k) {
          if (page[k] == 'f') failed.push_back(static_cast<Instance>(n * kPageSize + k));
        }
      }
      for (const auto& jobId : flow->jobs) {
        const auto* job = replica_.job(jobId);
        if (!job || job->record.flow->graph != flow->head->graph) continue;
        std::uint32_t task = 0;
        for (const auto& [first, count] : job->record.flow->runs) {
          for (std::uint32_t k = 0; k < count; ++k, ++task) {
            if (job->isGivenUp(task) && !job->isDropped(task) &&
                failed.size() < kMaxReportedFailures) {
              failed.push_back(first + k);
            }
          }
        }
      }
    }
    std::sort(failed.begin(), failed.end());
    Json list = Json::array();
    for (Instance i : failed) {
      list.push_back({{"instance", i},
                      {"rule", version->graph.rules()[version->graph.ruleOf(i)].name},
                      {"text", i / version->upload->perText},
                      {"at", i % version->upload->perText}});
    }
    respond(jsonResponse(
        200,
        {{"ref", id.value}, {"version", flow->head->graph.value}, {"failed", std::move(list)}}));
  });
}

void FlowService::list(const std::string& query, const Respond& respond) {
  std::string team = queryValue(query, "owner"), member = queryValue(query, "member");
  if (team.empty() || !isValidLabel(member)) {
    return respond(jsonResponse(400, {{"error", "owner or member is missing"}}));
  }
  watcher_.linearizableRead([this, team, member, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    Json list = Json::array();
    for (const auto& id : replica_.flows().openFlowsOf(team, member)) {
      const FlowState* flow = replica_.flows().find(id);
      if (!flow || !flow->head) continue;
      list.push_back({{"ref", id.value},
                      {"name", flow->head->name},
                      {"version", flow->head->version},
                      {"phase", toString(flow->head->phase)}});
    }
    respond(jsonResponse(200, {{"flows", std::move(list)}}));
  });
}

// The cache needs no invalidation: a text never changes, and no client requests a removed text.
void FlowService::readText(const std::string& key, OnText done) {
  if (auto known = textCache_.find(key); known != textCache_.end()) {
    return done({true, known->second});
  }
  auto& waiting = pendingTextReads_[key];
  waiting.push_back(std::move(done));
  if (waiting.size() > 1) return;
  store_.get(key, Duration{1500}, [this, key](const GetResult& r) {
    if (r.ok && r.value) {
      textCache_[key] = *r.value;
      textCacheOrder_.push_back(key);
      if (textCacheOrder_.size() > kMaxCachedTexts) {
        textCache_.erase(textCacheOrder_.front());
        textCacheOrder_.pop_front();
      }
    }
    auto node = pendingTextReads_.extract(key);
    for (auto& f : node.mapped()) f(r);
  });
}

void FlowService::text(const FlowId& id, const Digest& version, std::uint32_t part,
                       const Respond& respond) {
  readText(keys::text(id, version, part), [respond](const GetResult& r) {
    if (!r.ok) return respond(retryLater(503));
    if (!r.value) return respond(jsonResponse(404, {{"error", "no such text"}}));
    respond(jsonResponse(200, {{"data", *r.value}}));
  });
}

void FlowService::task(const JobId& jobId, std::uint32_t task, const Respond& respond) {
  auto answer = [this, jobId, task, respond] {
    const auto* job = replica_.job(jobId);
    if (!job || !job->record.flow || task >= job->tasks) return false;
    const FlowTaskMapping& part = *job->record.flow;
    const FlowState* flow = replica_.flows().find(part.flow);
    const FlowVersion* version = flow ? flow->version(part.graph) : nullptr;
    if (!version || !version->upload || !flow->head) return false;
    std::uint32_t at = task;
    Instance i = 0;
    for (const auto& [first, count] : part.runs) {
      if (at < count) {
        i = first + at;
        break;
      }
      at -= count;
    }
    Json v = {{"flow", part.flow.value},
              {"owner", flow->head->team},
              {"member", flow->head->member},
              {"name", flow->head->name},
              {"instance", i},
              {"at", i % version->upload->perText},
              {"cpus", job->record.spec->perTask.cpus},
              {"gpus", job->record.spec->perTask.gpus},
              {"ram_gb", job->record.spec->perTask.ramGb},
              {"snapshot_s", toSeconds(job->record.spec->checkpointEvery)},
              {"flush_s", toSeconds(job->record.spec->saveTime)}};
    readText(keys::text(part.flow, part.graph, i / version->upload->perText),
             [respond, v](const GetResult& r) mutable {
               if (!r.ok) return respond(retryLater(503));
               if (!r.value) return respond(jsonResponse(404, {{"error", "no such text"}}));
               v["text"] = *r.value;
               respond(jsonResponse(200, v));
             });
    return true;
  };
  // A job specification never changes, so the response needs no linearizable read.
  if (answer()) return;
  watcher_.linearizableRead([answer, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    if (!answer()) respond(jsonResponse(404, {{"error", "no such task"}}));
  });
}

}  // namespace kestrelhoist
