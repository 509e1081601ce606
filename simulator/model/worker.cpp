// This file implements the simulated worker as PROTOCOL describes it.
#include <cmath>

#include "base/log.hpp"
#include "simulator/model/simulated_region.hpp"

namespace kestrelhoist::simulator {
Worker::Worker(SimulatedRegion& region, std::string h, std::string z, bool isSpot)
    : host(std::move(h)), zone(std::move(z)), spot(isSpot), region_(region) {}

void Worker::start() {
  lastAcknowledgedSentAt_ = region_.clock.now();
  controllerIndex_ = region_.random() % region_.settings.nodes.size();
  region_.transport.listen(host + ":9",
                           [this](const std::string&, const Request& q, const Respond& r) {
                             whenAwake([this, q, r] {
                               if (isDead) return;
                               const Response answer = onCommands(q);
                               if (answer.status == 200) mayCopyCommands(q);
                               r(answer);
                             });
                           });
  scheduleHeartbeat(1);
  checkLease();
}

bool Worker::hasLeaseExpired() const {
  return region_.clock.now() - lastAcknowledgedSentAt_ > millis(region_.settings.leaseS) + 200;
}

std::int64_t Worker::leaseRemainingMs() const {
  return lastAcknowledgedSentAt_ + millis(region_.settings.leaseS) - region_.clock.now();
}

bool Worker::isHanging() const { return region_.clock.now() < hangsUntil_; }

void Worker::whenAwake(std::function<void()> f) {
  if (isHanging()) {
    region_.clock.at(hangsUntil_ + 1, [this, f] {
      if (!isHanging()) endSessionIfLeaseExpired();
      whenAwake(f);
    });
  } else {
    f();
  }
}

std::string Worker::address() const { return host + ":9"; }

void Worker::die() {
  isDead = true;
  diedAtMs = region_.clock.now();
  for (const auto& t : tasks) region_.taskHost.end(*this, t);
  tasks.clear();
  region_.transport.powerOff(host);
}

void Worker::hang(std::int64_t forMs) { hangsUntil_ = region_.clock.now() + forMs; }

void Worker::notice(std::int64_t forMs) {
  terminationNoticeEndsAt_ = region_.clock.now() + forMs;
  region_.clock.at(terminationNoticeEndsAt_, [this] { die(); });
  onTaskChange();
}

Json Worker::report() {
  region_.mostReportedTasks = std::max(region_.mostReportedTasks, tasks.size());
  Json list = Json::array();
  for (const auto& t : tasks) {
    Json v = {
        {"shard", t.job + "/" + std::to_string(t.index)}, {"try", t.attempt}, {"phase", t.state}};
    if (t.state == "ended") v["cause"] = t.cause;
    if (t.state == "ended" && t.ranMs >= 0) v["ran_s"] = static_cast<double>(t.ranMs) / 1000.0;
    list.push_back(v);
  }
  Json r = {{"host", host},
            {"addr", region_.transport.publicAddress(address())},
            {"rig", "box"},
            {"site", zone},
            {"loaners", spot},
            {"tenure", session_},
            {"tick", ++reportSequence_},
            {"baton", fencingToken_},
            {"warning_s", nullptr},
            {"shards", list}};
  if (terminationNoticeEndsAt_ > 0) {
    r["warning_s"] = static_cast<double>(terminationNoticeEndsAt_ - region_.clock.now()) / 1000.0;
  }
  return r;
}

void Worker::scheduleHeartbeat(std::int64_t delay) {
  auto timer = ++heartbeatTimer_;
  region_.clock.in(delay, [this, timer] {
    if (timer == heartbeatTimer_ && !isDead)
      whenAwake([this, timer] {
        if (timer == heartbeatTimer_) sendHeartbeat();
      });
  });
}

void Worker::onTaskChange() {
  if (isDead) return;
  hasUnreportedChange_ = true;
  if (!hasReportInFlight_) scheduleChangeReport();
}

// The worker sends reports of task changes at least half a second apart.
void Worker::scheduleChangeReport() {
  scheduleHeartbeat(std::max<std::int64_t>(1, lastSentAt_ + 500 - region_.clock.now()));
}

void Worker::sendHeartbeat() {
  if (isDead || hasReportInFlight_) return;
  hasReportInFlight_ = true;
  hasUnreportedChange_ = false;
  auto sentAt = lastSentAt_ = region_.clock.now();
  auto session = session_;
  auto next = [this](std::int64_t delay) { scheduleHeartbeat(delay); };
  region_.transport.send(
      host, region_.settings.nodes[controllerIndex_], {"POST", "/agent/beat", encodeBody(report())},
      4000, [this, sentAt, session, next](std::optional<Response> r) {
        if (isDead) return;
        logDebug("simulated worker heartbeat", "machine", host, "node", controllerIndex_, "sent_ms",
                 sentAt, "waited_ms", region_.clock.now() - sentAt, "status", r ? r->status : 0);
        whenAwake([this, sentAt, session, next, r] {
          if (isDead) return;
          hasReportInFlight_ = false;
          auto body = r ? decodeBody(r->body) : std::nullopt;
          std::size_t nodes = region_.settings.nodes.size();
          if (!r || (r->status != 200 && r->status != 421)) {
            controllerIndex_ = (controllerIndex_ + 1) % nodes;
            return next(1000);
          }
          if (r->status == 421) {
            auto steward = body ? textField(*body, "steward") : std::nullopt;
            std::size_t to = controllerIndex_;
            // In simulated regions the controllers are named "node0", "node1" and so on.
            if (steward && steward->size() > 4) {
              to = static_cast<std::size_t>(std::atoi(steward->c_str() + 4));
            }
            if (to == controllerIndex_ || to >= nodes) {
              controllerIndex_ = (controllerIndex_ + 1) % nodes;
              return next(1000);
            }
            controllerIndex_ = to;
            return next(200);
          }
          bool higher = false;
          if (region_.clock.now() - sentAt <= 4000 && session == session_ && body) {
            auto token = countField(*body, "baton");
            if (token && *token >= fencingToken_) {
              higher = *token > fencingToken_;
              fencingToken_ = *token;
              lastAcknowledgedSentAt_ = sentAt;
              execute(body->at("orders"));
            }
          }
          if (hasUnreportedChange_ && !region_.settings.lateChanges) return scheduleChangeReport();
          if (higher) return next(500);
          double jitter = 0.75 + 0.5 * std::uniform_real_distribution<>(0, 1)(region_.random);
          next(millis(region_.settings.reportS * jitter));
        });
      });
}

void Worker::checkLease() {
  if (isDead) return;
  region_.clock.in(200, [this] {
    whenAwake([this] {
      if (isDead) return;
      endSessionIfLeaseExpired();
      checkLease();
    });
  });
}

// After a hang the worker calls this before it processes any message or timer that waited
// meanwhile.
void Worker::endSessionIfLeaseExpired() {
  if (isDead || region_.clock.now() - lastAcknowledgedSentAt_ <= millis(region_.settings.leaseS))
    return;
  logDebug("simulated worker lease ended", "machine", host, "at_ms", region_.clock.now(),
           "last_answered_ms", lastAcknowledgedSentAt_, "tasks", tasks.size());
  for (const auto& t : tasks) region_.taskHost.end(*this, t);
  tasks.clear();
  launchedAttempts_.clear();
  ++session_;
  reportSequence_ = 0;
  lastAcknowledgedSentAt_ = region_.clock.now();
  if (!region_.settings.lateSessions) onTaskChange();
}

Response Worker::onCommands(const Request& q) {
  auto body = decodeBody(q.body);
  auto token = body ? countField(*body, "baton") : std::nullopt;
  auto session = body ? countField(*body, "tenure") : std::nullopt;
  if (!token || !session) return jsonResponse(400, Json::object());
  if (*token < fencingToken_ || *session != session_) return jsonResponse(409, report());
  fencingToken_ = *token;
  execute(body->at("orders"));
  return jsonResponse(200, report());
}

void Worker::mayCopyCommands(const Request& q) {
  const CommandCopies& copies = region_.commandCopies;
  if (copies.share <= 0 || !std::bernoulli_distribution(copies.share)(region_.random)) return;
  std::uniform_int_distribution<std::int64_t> delay(copies.fromMs, copies.toMs);
  region_.clock.in(delay(region_.random), [this, q] {
    whenAwake([this, q] {
      if (isDead) return;
      const Response answer = onCommands(q);
      logDebug("simulated worker receives a copy of direct commands", "machine", host, "status",
               answer.status, "at_ms", region_.clock.now());
    });
  });
}

Worker::Task* Worker::findExecution(std::uint64_t executionId) {
  for (auto& t : tasks) {
    if (t.executionId == executionId) return &t;
  }
  return nullptr;
}

Worker::Task* Worker::find(const std::string& name, std::uint64_t attempt) {
  for (auto& t : tasks) {
    if (t.job + "/" + std::to_string(t.index) == name && t.attempt == attempt) return &t;
  }
  return nullptr;
}

void Worker::execute(const Json& orders) {
  for (const auto& o : orders) {
    auto verb = o.at("verb").get<std::string>();
    auto name = o.at("shard").get<std::string>();
    auto attempt = o.at("try").get<std::uint64_t>();
    Task* t = find(name, attempt);
    if (verb == "launch") {
      if (!t) launch(name, attempt);
    } else if (verb == "stop" && t && t->state != "ended") {
      double grace = o.value("wind_down_s", 0.0);
      if (t->state == "running" && t->needs.savesCheckpoint && grace >= 1.0) {
        t->state = "flushing";
        region_.taskHost.save(*this, *t);
      } else if (t->state != "flushing" || grace == 0.0) {
        region_.taskHost.end(*this, *t);
        finish(*t, "halted");
      }
    } else if (verb == "clear" && t && t->state == "ended") {
      std::erase_if(tasks, [&](const Task& x) { return &x == t; });
    }
  }
}

void Worker::launch(const std::string& name, std::uint64_t attempt) {
  auto slash = name.find('/');
  Task t;
  t.job = name.substr(0, slash);
  t.index = std::atoi(name.c_str() + slash + 1);
  t.attempt = attempt;
  t.state = "fetching";
  t.executionId = ++lastExecutionId_;
  if (!launchedAttempts_.emplace(name, attempt).second) checkLaunchedAgain(t.executionId);
  bool inUse = false;
  for (const auto& other : tasks) {
    inUse = inUse || (other.state != "ended" && other.job == t.job && other.index == t.index);
  }
  tasks.push_back(t);
  logDebug("simulated worker launches task", "machine", host, "task", name, "attempt", attempt,
           "worker_epoch", session_);
  if (inUse) return finish(tasks.back(), "in_use");
  onTaskChange();
  auto executionId = t.executionId;
  region_.taskHost.describe(*this, t, [this, executionId](std::optional<TaskNeeds> needs) {
    if (!isDead) onDescribed(executionId, needs);
  });
}

// The check runs after the other commands of the same message.
void Worker::checkLaunchedAgain(std::uint64_t executionId) {
  region_.clock.in(0, [this, executionId] {
    const Task* t = findExecution(executionId);
    if (!isDead && t && t->state != "ended") region_.taskHost.onLaunchedAgain(*this, *t);
  });
}

void Worker::onDescribed(std::uint64_t executionId, std::optional<TaskNeeds> needs) {
  Task* t = findExecution(executionId);
  if (!t || t->state != "fetching") return;
  if (!needs) return finish(*t, "unknown");
  double gpus = needs->gpus, cpus = needs->cpus;
  for (const auto& other : tasks) {
    if (other.state == "ended" || !other.hasNeeds) continue;
    gpus += other.needs.gpus;
    cpus += other.needs.cpus;
  }
  if (gpus > region_.settings.gpus + 1e-9 || cpus > region_.settings.cpus + 1e-9) {
    return finish(*t, "no_room");
  }
  t->needs = *needs;
  t->hasNeeds = true;
  bool isImageCached = !needs->image.empty() && cachedImages_.contains(needs->image);
  std::int64_t fetch = isImageCached ? 1 : millis(region_.settings.fetchS * needs->imageGb);
  region_.clock.in(fetch, [this, executionId, image = needs->image] {
    whenAwake([this, executionId, image] {
      if (isDead) return;
      if (!image.empty()) cachedImages_.insert(image);
      begin(executionId);
    });
  });
}

void Worker::begin(std::uint64_t executionId) {
  Task* t = findExecution(executionId);
  if (!t || t->state != "fetching") return;
  t->state = "running";
  t->startedAt = region_.clock.now();
  logDebug("simulated worker runs task", "machine", host, "job", t->job, "index", t->index,
           "attempt", t->attempt);
  onTaskChange();
  region_.taskHost.begin(*this, *t);
}

void Worker::exited(std::uint64_t executionId, const std::string& cause) {
  Task* t = findExecution(executionId);
  if (isDead || !t || !isExecuting(*t)) return;
  if (t->state == "flushing") t->kept = cause == "halted";
  finish(*t, cause);
}

void Worker::finish(Task& t, const std::string& cause) {
  if (isExecuting(t)) t.ranMs = region_.clock.now() - t.startedAt;
  t.state = "ended";
  t.cause = cause;
  onTaskChange();
}

}  // namespace kestrelhoist::simulator
