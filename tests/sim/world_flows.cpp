// This file simulates users and tasks of flows and checks the rules of flows. No instance starts
// before its inputs are complete, no output has two writers at a time, and after the end of a flow
// exactly one completed attempt of the final version has made each requested output.
#include <sstream>

#include "sim/world.hpp"

namespace kestrelhoist::sim {
namespace {
std::int64_t ms(double s) { return static_cast<std::int64_t>(s * 1000); }

// Holds a parsed command of the form "run SECONDS [anew] [fail TIMES]".
struct TaskCommand {
  double runS = 1;
  int failTimes = 0;
};
TaskCommand parse(const std::string& text) {
  TaskCommand c;
  std::istringstream in(text);
  for (std::string word; in >> word;) {
    if (word == "run") in >> c.runS;
    if (word == "fail") in >> c.failTimes;
  }
  return c;
}
}  // namespace

std::string World::workKey(const rules::PlannedInstance& i) {
  std::string key = i.command;
  for (const auto& f : i.inputs) key += " <" + f;
  for (const auto& f : i.outputs) key += " >" + f;
  return key;
}

std::size_t World::flowInstances() const {
  std::size_t n = 0;
  for (const auto& [id, f] : flows_) n += f.plan.instances.size();
  return n;
}

Json World::teamAccount(const std::string& team) {
  Json out = Json::object();
  userClient_->get("/v2/flows/account?owner=" + team, Duration{20000},
                   [&out](FlowClient::Result r) {
                     if (r) out = r->body;
                   });
  runFor(21);
  return out;
}

void World::watchLeader() {
  if (int now = leaderNode(); now != leader_) {
    leader_ = now;
    leaderships += now >= 0 ? 1 : 0;
    ledSince_ = clock.now();
    firstStart_ = -1;
  }
  clock.in(20, [this] { watchLeader(); });
}

double World::flowResumeSeconds() const {
  return firstStart_ < 0 ? 1e9 : static_cast<double>(firstStart_ - ledSince_) / 1000.0;
}

double World::flowDurationS(const std::string& id) const {
  const UserFlow& f = flows_.at(id);
  return f.overAt < 0 ? 1e9 : static_cast<double>(f.overAt - f.sentAt) / 1000.0;
}

void World::submitFlow(const FlowPlanSpec& spec) {
  UserFlow& f = flows_[spec.id];
  f.spec = spec;
  f.sentAt = clock.now();
  f.order = {FlowId{spec.id}, spec.team, spec.member, spec.name, "best_effort", "flow", spec.keep};
  sendFlow(spec.id, 0);
}

void World::amendFlow(const FlowPlanSpec& spec) {
  UserFlow& f = flows_[spec.id];
  // A user amends a flow only after its first version was accepted.
  if (f.sending && f.version == 0) return clock.in(500, [this, spec] { amendFlow(spec); });
  f.spec = spec;
  f.order.keepGoing = spec.keep;
  sendFlow(spec.id, std::max<std::uint64_t>(1, f.version));
}

void World::sendFlow(const std::string& id, std::uint64_t base) {
  UserFlow& f = flows_[id];
  f.sending = true;
  auto plan = std::make_shared<rules::FlowPlan>(planFrom(f.spec));
  userClient_->submit(f.order, rules::bundle(*plan), base, Duration{300000},
                      [this, id, base, plan](FlowClient::Result r) {
                        UserFlow& flow = flows_[id];
                        flow.sending = false;
                        if (r) {
                          bool first = flow.version == 0;
                          flow.version = base + 1;
                          flow.plan = *plan;
                          if (first) watchFlow(id);
                          return;
                        }
                        flow.refusedWith = r.error().status;
                        if (flow.version == 0) flow.phase = "refused";
                        flow.status = {{"refused", r.error().why}, {"status", r.error().status}};
                      });
}

void World::cancelFlow(const std::string& id) {
  flows_[id].cancelRequested = true;
  userClient_->cancel(FlowId{id}, Duration{120000}, [this, id](FlowClient::Result r) {
    if (!r) return;
    auto phase = textField(r->body, "phase").value_or("");
    if (phase == "cancelled") {
      UserFlow& f = flows_[id];
      f.phase = phase;
      // All tasks of a cancelled flow must end within the same time limit as those of a job.
      clock.in(ms(settings.cancelS), [this, id] {
        for (const auto& [host, worker] : workers) {
          for (const auto& t : worker->tasks) {
            auto at = flowTasks_.find({host, t.executionId});
            if (at != flowTasks_.end() && at->second.flow == id && Worker::isExecuting(t) &&
                !worker->hasLeaseExpired()) {
              fail("ran_cancelled", id + ": " + t.job + " on " + host);
            }
          }
        }
      });
    }
  });
}

std::string World::flowPhase(const std::string& id) const {
  auto it = flows_.find(id);
  return it == flows_.end() ? "" : it->second.phase;
}

Json World::flowStatus(const std::string& id) const {
  auto it = flows_.find(id);
  return it == flows_.end() ? Json::object() : it->second.status;
}

Json World::flowReport(const std::string& id) const {
  auto it = flows_.find(id);
  return it == flows_.end() ? Json::object() : it->second.report;
}

void World::watchFlow(const std::string& id) {
  userClient_->status(FlowId{id}, Duration{20000}, [this, id](FlowClient::Result r) {
    UserFlow& f = flows_[id];
    if (!r && r.error().kind == client::ErrorKind::unknown)
      fail("forgotten", id + " status request got 404");
    if (r) {
      auto phase = textField(r->body, "phase").value_or("");
      if (!f.phase.empty() && f.phase != "open" && phase != f.phase) {
        fail("went_back", id + " was " + f.phase + ", now " + phase);
      }
      if (phase == "cancelled" && !f.cancelRequested)
        fail("went_back", id + " cancelled without a cancel request");
      bool hasEnded = phase != "open" && f.phase != phase;
      f.phase = phase;
      f.status = r->body;
      if (hasEnded) f.overAt = clock.now();
      if (hasEnded && phase != "cancelled") checkFlowOver(id);
      if (phase != "open") {
        userClient_->get("/v2/flows/" + id + "/report", Duration{60000},
                         [this, id](FlowClient::Result rep) {
                           if (rep) flows_[id].report = rep->body;
                         });
        return;
      }
    }
    clock.in(1500 + static_cast<std::int64_t>(random() % 2000), [this, id] { watchFlow(id); });
  });
}

void World::checkFlowOver(const std::string& id) {
  UserFlow& f = flows_[id];
  for (const auto& i : f.plan.instances) {
    const std::string& out = i.outputs[0];
    auto made = f.files.find(out);
    bool isCurrent = made != f.files.end() && made->second == workKey(i);
    if (f.phase == "done" && !isCurrent) fail("not_made", id + " " + out);
    if (isCurrent && f.completions[workKey(i)] != 1) fail("made_twice", id + " " + out);
  }
}

// Requests the description of the task from a random controller, as a real worker does.
void World::fetchFlowTask(Worker& worker, const Worker::Task& task, int triesLeft,
                          std::function<void(std::optional<simulator::TaskNeeds>)> done) {
  auto node = random() % static_cast<std::uint64_t>(settings.nodes);
  network.send(worker.host, nodeApi(static_cast<int>(node)),
               {"GET", "/v2/flows/tasks/" + task.job + "/" + std::to_string(task.index), ""}, 2000,
               [this, &worker, task, triesLeft, done](std::optional<Response> r) {
                 if (worker.isDead) return;
                 auto body = r && r->status == 200 ? decodeBody(r->body) : std::nullopt;
                 if (r && r->status == 404) return done(std::nullopt);
                 if (!body) {
                   if (triesLeft == 0) return done(std::nullopt);
                   clock.in(1000, [this, &worker, task, triesLeft, done] {
                     if (!worker.isDead) fetchFlowTask(worker, task, triesLeft - 1, done);
                   });
                   return;
                 }
                 auto& part = texts_[*textField(*body, "text")];
                 if (part.empty()) part = rules::instancesFrom(*textField(*body, "text"));
                 FlowTask flowTask{*textField(*body, "flow"), part.at(*countField(*body, "at"))};
                 flowTasks_[{worker.host, task.executionId}] = std::move(flowTask);
                 done(simulator::TaskNeeds{*numberField(*body, "cpus"), *numberField(*body, "gpus"),
                                           *numberField(*body, "snapshot_s") > 0});
               });
}

void World::beginFlowTask(Worker& worker, const Worker::Task& task) {
  if (firstStart_ < 0 && leader_ >= 0) firstStart_ = clock.now();
  const FlowTask flowTask = flowTasks_.at({worker.host, task.executionId});
  UserFlow& f = flows_[flowTask.flow];
  const auto& i = flowTask.instance;
  std::string key = workKey(i);
  std::string name = flowTask.flow + " " + i.outputs[0] + " on " + worker.host;
  for (const auto& input : i.inputs) {
    if (!f.files.contains(input)) fail("started_early", name + " without " + input);
  }
  auto& writers = writers_[flowTask.flow + "/" + i.outputs[0]];
  std::erase_if(writers, [&](const auto& other) {
    auto at = workers.find(other.first);
    const Worker::Task* t = at == workers.end() ? nullptr : at->second->findExecution(other.second);
    return !t || !Worker::isExecuting(*t);
  });
  if (!writers.empty()) fail("two_writers", name + " while on " + writers.begin()->first);
  writers.emplace(worker.host, task.executionId);
  TaskCommand c = parse(i.command);
  bool wasDone = f.completions.contains(key) && f.files[i.outputs[0]] == key;
  int attempt = wasDone ? 0 : ++flowAttempts_[flowTask.flow + key];
  bool fails = !wasDone && (c.failTimes < 0 || attempt <= c.failTimes);
  clock.in(wasDone ? 1 : ms(c.runS) + 1,
           [this, &worker, executionId = task.executionId, flowTask, key, fails, wasDone] {
             worker.whenAwake([this, &worker, executionId, flowTask, key, fails, wasDone] {
               Worker::Task* t = worker.findExecution(executionId);
               if (worker.isDead || !t || t->state != "running") return;
               UserFlow& flow = flows_[flowTask.flow];
               if (!fails) {
                 for (const auto& out : flowTask.instance.outputs) flow.files[out] = key;
                 if (!wasDone) ++flow.completions[key];
               }
               worker.exited(executionId, fails ? "error" : "done");
             });
           });
}

}  // namespace kestrelhoist::sim
