/// Implements the scenario steps that concern jobs, flows and policies.
#include "scenario.hpp"

namespace kestrelhoist::sim {

// submit ID KEY VALUE ...: submits a job with these options.
void Scenario::submitJob(const Line& line) {
  world_->submit(jobFrom(line.words.at(1), options(line, 2)));
  jobsOfLines_.push_back(line.words.at(1));
}

// stream FROM-ID EVERY SECONDS for SECONDS KEY VALUE ...: submits jobs at regular intervals, with
// ids that count up from FROM-ID.
void Scenario::streamJobs(const Line& line) {
  JobPlan job = jobFrom(line.words.at(1), options(line, 6));
  int number = std::stoi(job.id.substr(2));
  auto every = toMilliseconds(line.words.at(3)), last = toMilliseconds(line.words.at(5));
  for (std::int64_t at = 0; at < last; at += every) {
    char id[16];
    std::snprintf(id, sizeof id, "j-%06d", number++);
    job.id = id;
    world_->clock.in(at, [world = world_.get(), job] { world->submit(job); });
  }
}

// abort ID [through NODE]: cancels the job; the user asks this controller first.
void Scenario::abortJob(const Line& line) {
  const auto& words = line.words;
  world_->abortThrough(words.at(1), words.size() > 3 ? nodeOf(words.at(3)) : -1);
}

// mend ID: makes the job's tasks succeed from now on, in spite of its mistake.
void Scenario::repairJob(const Line& line) { world_->stopFailing(line.words.at(1)); }

// faulty MACHINE SECONDS: makes every task on the machine fail after this time.
void Scenario::makeMachineFaulty(const Line& line) {
  world_->failTasksOn(busyMachine(line.words.at(1)), std::stod(line.words.at(2)));
}

// oncall mistaken|guest|singles|polls: submits a load that on-call operators have met in
// production, beside the other jobs of the scenario.
void Scenario::submitOnCallJobs(const Line& line) {
  const std::string& kind = line.words.at(1);
  if (kind == "polls") {
    world_->pollFactor = 20;
    world_->clock.in(60000, [world = world_.get()] { world->pollFactor = 1; });
    return;
  }
  bool guest = kind == "guest";
  bool singles = kind == "singles";  // The single jobs are a guest's, too.
  for (int i = 0; i < (singles ? 150 : guest ? 1 : 3); ++i) {
    JobPlan job;
    job.id = "j-900" + std::to_string(100 + i);
    job.jobClass = kind;
    job.team = guest || singles ? "rival" : "team";
    job.tasks = guest ? 2000 : singles ? 1 : 30;
    job.cpus = guest || singles ? 0.25 : 1;
    job.gpus = guest || singles ? 0 : 1;
    job.runS = 4;
    job.spot = true;
    job.failsAfterS = guest || singles ? -1 : 2 + i;
    world_->submit(job);
  }
}

// flow ID KEY VALUE ...: submits a flow with these options.
void Scenario::submitFlow(const Line& line) {
  FlowPlanSpec& spec = flows_[line.words.at(1)];
  spec.id = line.words.at(1);
  shape(spec, options(line, 2));
  world_->submitFlow(spec);
}

// amend ID KEY VALUE ...: amends the flow; options that are not given keep their values.
void Scenario::amendFlow(const Line& line) {
  FlowPlanSpec& spec = flows_[line.words.at(1)];
  spec.id = line.words.at(1);
  shape(spec, options(line, 2));
  world_->amendFlow(spec);
}

// cancelflow ID: cancels the flow.
void Scenario::cancelFlow(const Line& line) { world_->cancelFlow(line.words.at(1)); }

// crashcommit N|seed: crashes the leader at the N-th commit of flows from now on. `seed` takes the
// world's seed as N.
void Scenario::crashAtFlowCommit(const Line& line) {
  const std::string& word = line.words.at(1);
  auto commits = word == "seed" ? settings_.seed : std::stoull(word);
  world_->crashAtFlowCommit = world_->flowCommits + commits;
}

// policy JSON: sets the policy document, which is written without blanks.
void Scenario::setPolicy(const Line& line) {
  world_->setPolicy(Json::parse(line.words.at(1)), "set-" + std::to_string(line.number));
}

// calendar none|hours: sets the policy with calendar periods that tests/measure uses, or none.
void Scenario::setCalendar(const Line& line) {
  if (line.words.at(1) != "hours") return;
  world_->setPolicy(
      {{"calendar",
        {{"zone", "UTC"},
         {"periods",
          {{{"name", "hours"},
            {"from", "22:16"},
            {"to", "22:25"},
            {"first", {{{"class", "scanning"}}, {{"class", "again"}}, {{"class", "viewer"}}}},
            {"yields", {{{"class", "night"}}}}}}}}}},
      "calendar");
}

// keepviewer none|viewer: sets a policy that protects the services of the class viewer, or none.
void Scenario::protectViewer(const Line& line) {
  if (line.words.at(1) != "viewer") return;
  world_->setPolicy({{"continuity", {{"services", {{{"class", "viewer"}}}}, {"machines", 50}}}},
                    "viewer");
}

// policies drawn: makes `chaos` also set drawn policies and step clocks.
void Scenario::drawPolicies(const Line&) { policies_ = true; }

// starves class|team NAME: allows this class or team to get less than half of its share. The
// scenario's comment gives the reason.
void Scenario::mayBeUnderserved(const Line& line) {
  mayBeUnderserved_.insert(line.words.at(1) + " " + line.words.at(2));
}

// polls FACTOR SECONDS: multiplies the rate of users' status requests by FACTOR.
void Scenario::setPollRate(const Line& line) {
  world_->pollFactor = std::stod(line.words.at(1));
  world_->clock.in(toMilliseconds(line.words.at(2)),
                   [world = world_.get()] { world->pollFactor = 1; });
}

}  // namespace kestrelhoist::sim
