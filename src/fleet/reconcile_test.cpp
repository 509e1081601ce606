// Tests when a report proves that a task no longer runs (docs/safety.md, "A task runs at most
// once").
#include "fleet/reconcile.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace kestrelhoist {
namespace {

const TokenRange kTokens{FencingToken{5}, FencingToken{5}};
const AttemptId kTask{{JobId{"j-000001"}, 3}, Attempt{7}};

struct Fixture : testing::Test {
  WorkerSession session;
  MachineState record;
  bool stop = false;

  Fixture() { record.tasks = {{kTask, WorkerEpoch{2}, nullptr}}; }
  Report report(std::uint64_t workerEpoch, std::uint64_t sequence, std::uint64_t token) {
    Report r;
    r.machine = MachineId{"host-000001"};
    r.workerEpoch = WorkerEpoch{workerEpoch};
    r.sequence = ReportSequence{sequence};
    r.token = FencingToken{token};
    return r;
  }
  std::vector<WorkerCommand> applyHeartbeat(const Report& r, bool mayLaunch = true) {
    updateSession(session, r, Instant{0});
    return reconcile(session, &record, kTokens, mayLaunch, [&](const AttemptId&) {
      return DesiredState{stop, Duration{0}};
    });
  }
  bool hasProvenOutcome() { return session.outcomes.contains(kTask); }
};

// Guards against a worker that waits for a lost answer being treated as one that sends no
// heartbeats; its machine got no tasks for 9.6 s (limits-fall-faults with cache 1, seed 710).
TEST_F(Fixture, AHeartbeatThatADirectAnswerOvertakesCountsAndItsCopiesDoNot) {
  updateSession(session, report(2, 1, 5), Instant{1000});
  updateSession(session, report(2, 3, 5), Instant{2000}, false);
  EXPECT_FALSE(updateSession(session, report(2, 2, 5), Instant{2500}));
  EXPECT_EQ(session.lastHeartbeatAt, Instant{2500});
  EXPECT_EQ(session.lastReport->sequence, ReportSequence{3});
  EXPECT_FALSE(updateSession(session, report(2, 2, 5), Instant{9000}));
  EXPECT_EQ(session.lastHeartbeatAt, Instant{2500});
}

TEST_F(Fixture, MissingTaskIsLaunchedAgainNotGivenUp) {
  auto commands = applyHeartbeat(report(2, 1, 5));
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].operation, WorkerCommand::Operation::launch);
  EXPECT_FALSE(hasProvenOutcome());
}

TEST_F(Fixture, AbsenceUnderAnEarlierTokenProvesNothing) {
  stop = true;
  applyHeartbeat(report(2, 1, 4));  // The worker may still obey an earlier leader's commands.
  EXPECT_FALSE(hasProvenOutcome());
  applyHeartbeat(report(2, 2, 5));
  EXPECT_TRUE(hasProvenOutcome());
}

TEST_F(Fixture, AbsenceFromTheReportThatWasAnsweredWithTheLaunchProvesNothing) {
  applyHeartbeat(report(2, 1, 5));
  stop = true;
  applyHeartbeat(report(2, 1, 5));
  EXPECT_FALSE(hasProvenOutcome());
  applyHeartbeat(report(2, 2, 5));
  EXPECT_TRUE(hasProvenOutcome());
}

// Guards against a task running twice: a forwarding peer or a network partition delayed the answer
// with the launch for 4 s, while the worker answered a direct command, and the absence of the task
// from that answer was taken as proof that it did not run.
TEST_F(Fixture, AbsenceFromADirectAnswerThatMayOvertakeTheLaunchProvesNothing) {
  applyHeartbeat(report(2, 1, 5));
  stop = true;
  auto direct = [&](const Report& r) {
    updateSession(session, r, Instant{0}, false);
    reconcile(session, &record, kTokens, false, [&](const AttemptId&) {
      return DesiredState{stop, Duration{0}};
    });
  };
  direct(report(2, 2, 5));
  EXPECT_FALSE(hasProvenOutcome());
  // A later direct answer does not show either that the worker has given up waiting for the answer
  // with the launch.
  direct(report(2, 4, 5));
  EXPECT_FALSE(hasProvenOutcome());
  // This heartbeat arrives after a newer direct answer that does not contain the task.
  applyHeartbeat(report(2, 3, 5));
  EXPECT_TRUE(hasProvenOutcome());
}

TEST_F(Fixture, ALateDirectLaunchIsMadeHarmlessBeforeTheTaskIsGivenUp) {
  session.directLaunches.onSent(kTask, FencingToken{5});
  stop = true;
  auto commands = applyHeartbeat(report(2, 1, 5));
  EXPECT_FALSE(hasProvenOutcome());
  ASSERT_EQ(commands.size(), 2U);
  EXPECT_EQ(commands[0].operation, WorkerCommand::Operation::launch);
  EXPECT_EQ(commands[1].operation, WorkerCommand::Operation::stop);
  auto ended = report(2, 2, 5);
  ended.tasks.push_back({kTask, TaskState::ended, EndCause::stopped});
  applyHeartbeat(ended);
  EXPECT_TRUE(hasProvenOutcome());
  // The attempt is no longer recorded, but the leader never sends `clear` for it, because the
  // worker must still recognize the attempt.
  record.tasks.clear();
  auto later = report(2, 3, 5);
  later.tasks = ended.tasks;
  EXPECT_TRUE(applyHeartbeat(later).empty());
}

// Two commands with the same launch may take different paths, so the answer to one proves nothing
// about the other.
TEST_F(Fixture, AnAttemptStaysInDoubtForEachCommandWithoutAnAnswer) {
  session.directLaunches.onSent(kTask, FencingToken{5});
  session.directLaunches.onSent(kTask, FencingToken{5});
  session.directLaunches.onAnswered(kTask, FencingToken{5});
  auto ended = report(2, 1, 5);
  ended.tasks.push_back({kTask, TaskState::ended, EndCause::stopped});
  applyHeartbeat(ended);
  record.tasks.clear();
  ended.sequence = ReportSequence{2};
  EXPECT_TRUE(applyHeartbeat(ended).empty()) << "cleared: the late copy would start it once more";
}

TEST_F(Fixture, AnEndedTaskIsClearedOnlyOnceOffTheRecord) {
  auto ended = report(2, 1, 5);
  ended.tasks.push_back({kTask, TaskState::ended, EndCause::done});
  EXPECT_TRUE(applyHeartbeat(ended).empty());
  EXPECT_EQ(session.outcomes.at(kTask), AttemptOutcome::done);
  record.tasks.clear();
  ended.sequence = ReportSequence{2};
  auto commands = applyHeartbeat(ended);
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].operation, WorkerCommand::Operation::clear);
}

TEST_F(Fixture, AHigherTenureProvesTheOldSessionsTasksGone) {
  applyHeartbeat(report(3, 1, 0));
  EXPECT_EQ(session.outcomes.at(kTask), AttemptOutcome::lost);
}

TEST_F(Fixture, ALateReportOfAnEarlierSessionSaysNothing) {
  stop = true;
  applyHeartbeat(report(1, 9, 5));
  EXPECT_FALSE(hasProvenOutcome());
}

TEST_F(Fixture, AnOlderReportIsNotTakenIn) {
  EXPECT_TRUE(updateSession(session, report(2, 5, 5), Instant{0}));
  EXPECT_FALSE(updateSession(session, report(2, 4, 5), Instant{1}));
  EXPECT_FALSE(updateSession(session, report(1, 9, 5), Instant{1}));
}

TEST_F(Fixture, ARunningTaskOnNoRecordIsStopped) {
  record.tasks.clear();
  auto r = report(2, 1, 5);
  r.tasks.push_back({kTask, TaskState::running, EndCause::done});
  auto commands = applyHeartbeat(r);
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].operation, WorkerCommand::Operation::stop);
}

TEST(ReportCodec, AListThatCannotBeReadWholeIsNoReport) {
  Json v = {{"host", "host-1"},
            {"addr", "10.1.0.1:9"},
            {"rig", "g"},
            {"site", "a"},
            {"loaners", true},
            {"tenure", 1},
            {"tick", 1},
            {"baton", 1},
            {"shards", Json::array({{{"shard", "j-1"}, {"try", 1}, {"phase", "running"}}})}};
  EXPECT_FALSE(reportFromJson(v));
  v["shards"][0]["shard"] = "j-000001/2";
  ASSERT_TRUE(reportFromJson(v));
  v["shards"][0]["phase"] = "dancing";
  EXPECT_FALSE(reportFromJson(v));
}

// Guards against a task on two machines at once: a copy of the answered launch starts the attempt
// again.
TEST_F(Fixture, AnAnsweredDirectLaunchIsNotClearedForACopyOfItMayArrive) {
  record.tasks.clear();
  std::uint64_t sequence = 0;
  for (EndCause cause : {EndCause::done, EndCause::stopped, EndCause::error, EndCause::noRoom,
                         EndCause::busy, EndCause::unknown, EndCause::gang}) {
    session.directLaunches.onSent(kTask, FencingToken{5});
    session.directLaunches.onAnswered(kTask, FencingToken{5});
    Report ended = report(2, ++sequence, 5);
    ended.tasks.push_back({kTask, TaskState::ended, cause});
    EXPECT_TRUE(applyHeartbeat(ended).empty()) << static_cast<int>(cause);
    EXPECT_EQ(session.retainedAttempts, 1U);
  }
}

TEST_F(Fixture, ADirectLaunchIsClearedOnceItsWorkerHasSeenARaisedToken) {
  record.tasks.clear();
  session.directLaunches.onSent(kTask, FencingToken{5});
  Report ended = report(2, 1, 5);
  ended.tasks.push_back({kTask, TaskState::ended, EndCause::done});
  const TokenRange raised{FencingToken{5}, FencingToken{9}};
  auto apply = [&](const Report& r) {
    updateSession(session, r, Instant{0});
    return reconcile(session, &record, raised, true,
                     [](const AttemptId&) { return DesiredState{}; });
  };
  EXPECT_TRUE(apply(ended).empty()) << "the worker has not seen the raised token";
  ended.sequence = ReportSequence{2};
  ended.token = FencingToken{9};
  ASSERT_EQ(apply(ended).size(), 1U);
  EXPECT_EQ(session.retainedAttempts, 0U);
}

// Guards against a stop that waits until a worker has taken up a token that its leader has raised.
TEST_F(Fixture, AbsenceUnderAnEarlierTokenOfTheSameLeaderIsProof) {
  stop = true;
  updateSession(session, report(2, 1, 5), Instant{0});
  reconcile(session, &record, {FencingToken{5}, FencingToken{9}}, true, [&](const AttemptId&) {
    return DesiredState{stop, Duration{0}};
  });
  EXPECT_TRUE(hasProvenOutcome());
}

// Guards against a launch without its stop: the launch alone would start a task of a job whose user
// was notified that it is cancelled.
TEST_F(Fixture, ALaunchThatMakesAnAttemptKnownNeverGoesWithoutItsStop) {
  record.tasks.clear();
  for (std::uint32_t i = 0; i < 299; ++i) {
    record.tasks.push_back({{{JobId{"j-000002"}, i}, Attempt{7}}, WorkerEpoch{2}, nullptr});
  }
  record.tasks.push_back({kTask, WorkerEpoch{2}, nullptr});
  session.directLaunches.onSent(kTask, FencingToken{5});
  updateSession(session, report(2, 1, 5), Instant{0});
  auto commands = reconcile(session, &record, kTokens, true, [&](const AttemptId& id) {
    return DesiredState{id == kTask, Duration{0}};
  });
  auto isForTask = [](const WorkerCommand& o) { return o.id == kTask; };
  EXPECT_EQ(std::count_if(commands.begin(), commands.end(), isForTask), 0);
}

struct LeaseOnly : Fixture {
  Report r = report(2, 1, 5);
  std::vector<WorkerCommand> answer(JobEnd end) {
    return leaseOnlyCommands(r, &record, [&](const JobId&) { return end; });
  }
};

TEST_F(LeaseOnly, AnswerStopsWhatIsOverAndNothingElse) {
  r.tasks = {{kTask, TaskState::running}, {{{JobId{"j-000009"}, 0}, Attempt{1}}, TaskState::ended}};
  EXPECT_TRUE(answer(JobEnd::none).empty());
  for (JobEnd end : {JobEnd::known, JobEnd::notReadBack}) {
    auto commands = answer(end);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].operation, WorkerCommand::Operation::stop);
    EXPECT_EQ(commands[0].id, kTask);
  }
}

// The leader's direct launch may still arrive, and this answer extends the worker session for which
// it is valid.
TEST_F(LeaseOnly, AnswerMakesAHeldLaunchOfWhatIsOverHarmless) {
  EXPECT_TRUE(answer(JobEnd::none).empty());
  auto commands = answer(JobEnd::known);
  ASSERT_EQ(commands.size(), 2U);
  EXPECT_EQ(commands[0].operation, WorkerCommand::Operation::launch);
  EXPECT_EQ(commands[1].operation, WorkerCommand::Operation::stop);
  // This report is from another session, in which the worker refuses the launch.
  r = report(3, 1, 5);
  EXPECT_TRUE(answer(JobEnd::known).empty());
}

// The worker may have cleared the attempt that these records contain, and a newer attempt may run
// on another machine; a launch would start the old attempt again (`users-own-abort`).
TEST_F(LeaseOnly, AnswerLaunchesNothingOfAnEndThatWasNotReadBack) {
  EXPECT_TRUE(answer(JobEnd::notReadBack).empty());
}

}  // namespace
}  // namespace kestrelhoist
