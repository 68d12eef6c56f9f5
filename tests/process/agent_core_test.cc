#include "basilspring/process/agent_core.h"

#include "tests/process/agent_fixture.h"

namespace basilspring {
namespace {

using AgentCoreTest = AgentFixture;

// Guards against a deposed scheduler that goes on to command workers.
TEST_F(AgentCoreTest, RefusesCommandsOfALowerEpoch) {
  Ready();
  Receive(SchedulerHello{CellId("plovdiv-a/0"), Epoch(9)}, kNextScheduler);
  EXPECT_EQ(Only<AgentReport>().epoch, Epoch(9));
  Receive(PrepareOf("j1#5.1"));
  EXPECT_EQ(Only<Prepared>().error, ErrorKind::kStaleEpoch);
  Receive(PrepareOf("j1#9.1", 0, 1, 9), kNextScheduler);
  EXPECT_EQ(Only<Prepared>().error, ErrorKind::kNone);
  Receive(StartOf("j1#9.1", 0, 5));
  EXPECT_EQ(Only<TaskDone>().error, ErrorKind::kStaleEpoch);
  EXPECT_FALSE(Only<TaskDone>().started);
  EXPECT_TRUE(out.calls.empty());
  // The refusal said "not started", so the attempt must not start afterwards.
  Receive(StartOf("j1#9.1", 0, 9), kNextScheduler);
  EXPECT_TRUE(out.calls.empty());
}

TEST_F(AgentCoreTest, StopOfALowerEpochLeavesTheTaskRunning) {
  Ready();
  StartSingle("j1#5.1");
  Receive(SchedulerHello{CellId("plovdiv-a/0"), Epoch(9)}, kNextScheduler);
  Receive(StopOf("j1#5.1", Duration(0)));
  EXPECT_EQ(Only<Prepared>().error, ErrorKind::kStaleEpoch);
  EXPECT_EQ(Calls(BackendCallKind::kStop), 0U);
  EXPECT_EQ(core.counts().running, 1U);
}

// Guards against a start in a data centre that was taken out of service meanwhile.
TEST_F(AgentCoreTest, RefusesAStartAfterNotAfterBeforeCallingTheBackend) {
  Ready();
  Receive(PrepareOf("j1#5.1"));
  const Start start = StartOf("j1#5.1");
  now = now + Duration(2001);
  Receive(start);
  EXPECT_EQ(Only<TaskDone>().error, ErrorKind::kPermitExpired);
  EXPECT_FALSE(Only<TaskDone>().started);
  EXPECT_TRUE(out.calls.empty());
}

// Guards against running a non-idempotent task twice.
TEST_F(AgentCoreTest, StartsAnAttemptOnce) {
  Ready();
  Receive(PrepareOf("j1#5.1"));
  Receive(StartOf("j1#5.1"));
  EXPECT_EQ(Calls(BackendCallKind::kStart), 1U);
  Receive(StartOf("j1#5.1"));
  EXPECT_TRUE(out.calls.empty());
  Answer("j1#5.1", BackendCallKind::kStart, BackendStatus::kDone, "out");
  Receive(TaskDoneAck{AttemptId("j1#5.1"), 0});
  Receive(PrepareOf("j1#5.1"));
  EXPECT_EQ(Only<Prepared>().error, ErrorKind::kConflict);
  Receive(StartOf("j1#5.1"));
  EXPECT_TRUE(out.calls.empty());
  EXPECT_TRUE(Sent<TaskDone>().empty());
}

// Guards against a start without a reservation, whose resources another task may hold.
TEST_F(AgentCoreTest, ReservationLapsesAndItsStartIsRefused) {
  Ready();
  Receive(PrepareOf("j1#5.1"));
  EXPECT_EQ(Only<Prepared>().agent_now, now);
  Receive(PrepareOf("j2#5.2"));
  EXPECT_EQ(Only<Prepared>().error, ErrorKind::kResourcesTaken);
  Pass(5000);
  EXPECT_EQ(core.counts().prepared, 0U);
  Receive(PrepareOf("j3#5.3"));
  EXPECT_EQ(Only<Prepared>().error, ErrorKind::kNone);
  Receive(StartOf("j1#5.1"));
  EXPECT_EQ(Only<TaskDone>().error, ErrorKind::kReservationMissing);
  EXPECT_FALSE(Only<TaskDone>().started);
  EXPECT_TRUE(out.calls.empty());
}

// Guards against a second reservation, or another answer, when a scheduler repeats its command.
TEST_F(AgentCoreTest, RepeatedPrepareGivesTheSameAnswer) {
  Ready();
  Receive(PrepareOf("j1#5.1"));
  Receive(PrepareOf("j1#5.1"));
  EXPECT_EQ(Only<Prepared>().error, ErrorKind::kNone);
  EXPECT_EQ(core.counts().prepared, 1U);
  Receive(PrepareOf("j2#5.2"));
  Receive(StopOf("j1#5.1", Duration(0)));
  EXPECT_FALSE(Only<TaskStopped>().started);
  Receive(PrepareOf("j2#5.2"));
  EXPECT_EQ(Only<Prepared>().error, ErrorKind::kResourcesTaken);
}

// Guards against claiming "not run" for a task that an earlier run of the agent may have started.
TEST_F(AgentCoreTest, UnknownAttemptsCountAsPossiblyStarted) {
  Ready();
  Receive(StartOf("j1#5.1"));
  EXPECT_TRUE(Only<TaskDone>().started);
  Receive(StopOf("j2#5.1", Duration(0)));
  EXPECT_TRUE(Only<TaskStopped>().started);
  Receive(PrepareOf("j2#5.1"));
  EXPECT_NE(Only<Prepared>().error, ErrorKind::kNone);
}

// Guards against losing an answer with the scheduler or with one message.
TEST_F(AgentCoreTest, OutcomeIsSentUntilTheCurrentSchedulerAcknowledges) {
  Ready();
  StartSingle("j1#5.1");
  Answer("j1#5.1", BackendCallKind::kPoll, BackendStatus::kDone, "out");
  EXPECT_EQ(Only<TaskDone>().output, "out");
  Pass(2100);
  EXPECT_FALSE(Sent<TaskDone>().empty());
  Receive(SchedulerHello{CellId("plovdiv-a/0"), Epoch(9)}, kNextScheduler);
  EXPECT_EQ(Only<TaskDone>().output, "out");
  ASSERT_EQ(Only<AgentReport>().tasks.size(), 1U);
  EXPECT_EQ(Only<AgentReport>().tasks.front().state, TaskState::kFinished);
  Receive(TaskDoneAck{AttemptId("j1#5.1"), 0}, kScheduler);
  EXPECT_EQ(core.counts().undelivered, 1U);
  Receive(TaskDoneAck{AttemptId("j1#5.1"), 0}, kNextScheduler);
  EXPECT_EQ(core.counts().undelivered, 0U);
}

// Guards against new work on a backend server that leaves or is gone; running work goes on.
TEST_F(AgentCoreTest, LeavingBackendGetsNoNewWork) {
  Ready();
  Receive(PrepareOf("j1#5.1"));
  StartSingle("j0#5.0");
  Handle(Announcement(true));
  EXPECT_FALSE(Only<Heartbeat>().accepting);
  Receive(StartOf("j1#5.1"));
  EXPECT_EQ(Only<TaskDone>().error, ErrorKind::kBackendUnavailable);
  EXPECT_TRUE(out.calls.empty());
  Receive(PrepareOf("j2#5.2"));
  EXPECT_EQ(Only<Prepared>().error, ErrorKind::kBackendUnavailable);
  Handle(Announcement());
  EXPECT_TRUE(core.accepting());
  Pass(6100, false);
  EXPECT_FALSE(core.accepting());
}

// Guards against a "not run" that is wrong, and against one that is missing.
TEST_F(AgentCoreTest, FailedStartsSayWhetherTheTaskMayHaveStarted) {
  Ready();
  const auto outcome = [this](const std::string& attempt, BackendStatus status) {
    Handle(Announcement());
    Receive(PrepareOf(attempt));
    Receive(StartOf(attempt));
    Answer(attempt, BackendCallKind::kStart, status);
    if (out.calls.empty()) return Only<TaskDone>();
    now = now + Duration(3000);
    Answer(attempt, BackendCallKind::kPoll, BackendStatus::kUnknownTask);
    return Only<TaskDone>();
  };
  EXPECT_FALSE(outcome("j1#5.1", BackendStatus::kRefused).started);
  EXPECT_EQ(outcome("j2#5.1", BackendStatus::kTooLate).error, ErrorKind::kPermitExpired);
  EXPECT_FALSE(outcome("j3#5.1", BackendStatus::kUnreachable).started);
  EXPECT_TRUE(outcome("j4#5.1", BackendStatus::kNoAnswer).started);
  EXPECT_EQ(outcome("j5#5.1", BackendStatus::kFailed).error, ErrorKind::kTaskFailed);
}

// Guards against a task that is stopped before its checkpoint, or never.
TEST_F(AgentCoreTest, StopCheckpointsFirstAndWaitsUpToTheGrace) {
  Ready();
  StartSingle("j1#5.1");
  Receive(StopOf("j1#5.1", Duration(3000)));
  EXPECT_EQ(Calls(BackendCallKind::kCheckpoint), 1U);
  EXPECT_EQ(Calls(BackendCallKind::kStop), 0U);
  Pass(2900);
  EXPECT_EQ(Calls(BackendCallKind::kStop), 0U);
  Pass(200);
  EXPECT_EQ(Calls(BackendCallKind::kStop), 1U);
  Answer("j1#5.1", BackendCallKind::kStop, BackendStatus::kDone);
  EXPECT_TRUE(Only<TaskStopped>().started);
  EXPECT_FALSE(Only<TaskStopped>().checkpointed);
}

// Guards against a stop that overtakes the start call and leaves the task running.
TEST_F(AgentCoreTest, StopWaitsForTheAnswerOfTheStart) {
  Ready();
  Receive(PrepareOf("j1#5.1"));
  Receive(StartOf("j1#5.1"));
  Receive(StopOf("j1#5.1", Duration(0)));
  EXPECT_TRUE(out.calls.empty());
  Answer("j1#5.1", BackendCallKind::kStart, BackendStatus::kRunning);
  EXPECT_EQ(Calls(BackendCallKind::kStop), 1U);
}

// Guards against waiting on a connection that has gone silent.
TEST_F(AgentCoreTest, PollsOnAFreshConnectionAfterATimeout) {
  Ready();
  StartSingle("j1#5.1");
  EXPECT_FALSE(out.calls.at(0).fresh_connection);
  now = now + Duration(3000);
  Answer("j1#5.1", BackendCallKind::kPoll, BackendStatus::kNoAnswer);
  EXPECT_TRUE(out.calls.at(0).fresh_connection);
  for (int i = 0; i < 3; ++i) {
    Answer("j1#5.1", BackendCallKind::kPoll, BackendStatus::kUnreachable);
  }
  EXPECT_EQ(Only<TaskDone>().error, ErrorKind::kBackendUnavailable);
  EXPECT_TRUE(Only<TaskDone>().started);
}

/// A gang of two ranks; rank 1 runs on the given worker.
struct AgentGangTest : public AgentFixture {
  void StartRank(std::uint32_t rank, const WorkerId& second_worker, const Address& second_agent) {
    Start start = StartOf("j1#5.1", rank);
    start.members = {{0, WorkerId("w1"), kAgentAddress}, {1, second_worker, second_agent}};
    Receive(start);
    if (!out.calls.empty()) {
      Answer("j1#5.1", BackendCallKind::kStart, BackendStatus::kRunning, "", rank);
    }
  }
};

// Guards against a partial gang that goes on although no scheduler is there to stop it.
TEST_F(AgentGangTest, StopsItsPartWhenAMemberIsNotHeardForTheTaskLease) {
  Ready();
  Receive(PrepareOf("j1#5.1", 0, 2));
  StartRank(0, WorkerId("w2"), {"127.0.0.1", 7001});
  Pass(9900);
  EXPECT_EQ(Calls(BackendCallKind::kCheckpoint), 0U);
  Pass(200);
  EXPECT_EQ(Calls(BackendCallKind::kCheckpoint), 1U);
  Answer("j1#5.1", BackendCallKind::kCheckpoint, BackendStatus::kDone);
  Answer("j1#5.1", BackendCallKind::kStop, BackendStatus::kDone);
  EXPECT_TRUE(Only<TaskStopped>().checkpointed);
}

// Guards against stopping a gang that is whole on one worker, where nothing is sent.
TEST_F(AgentGangTest, GangOnOneWorkerNeedsNoHeartbeats) {
  Ready();
  Receive(PrepareOf("j1#5.1", 0, 2));
  Receive(PrepareOf("j1#5.1", 1, 2));
  StartRank(0, WorkerId("w1"), kAgentAddress);
  StartRank(1, WorkerId("w1"), kAgentAddress);
  Pass(30000);
  EXPECT_EQ(core.counts().running, 2U);
  EXPECT_TRUE(Sent<GangHeartbeat>().empty());
}

// Guards against a partial gang when the scheduler dies between two starts on the same worker.
TEST_F(AgentGangTest, LapsedReservationOfAnotherRankStopsTheGang) {
  Ready();
  Receive(PrepareOf("j1#5.1", 0, 2));
  Receive(PrepareOf("j1#5.1", 1, 2));
  StartRank(0, WorkerId("w1"), kAgentAddress);
  Pass(5100);
  EXPECT_EQ(core.counts().stopping, 1U);
}

// Guards against a checkpoint that is cut short because another rank has stopped sooner.
TEST_F(AgentGangTest, StopOfTheSchedulerKeepsItsGrace) {
  Ready();
  Receive(PrepareOf("j1#5.1", 0, 2));
  StartRank(0, WorkerId("w2"), {"127.0.0.1", 7001});
  Receive(StopOf("j1#5.1", Duration(5000)));
  GangHeartbeat ended;
  ended.attempt = AttemptId("j1#5.1");
  ended.rank = 1;
  ended.worker = WorkerId("w2");
  Receive(ended, {"127.0.0.1", 7001});
  Pass(4900);
  EXPECT_EQ(Calls(BackendCallKind::kStop), 0U);
  Pass(200);
  EXPECT_EQ(Calls(BackendCallKind::kStop), 1U);
}

// Guards against starting a rank whose fellow on this worker can't start any more.
TEST_F(AgentGangTest, RefusesAStartWhenAnotherLocalRankHasNoReservation) {
  Ready();
  Receive(PrepareOf("j1#5.1", 0, 2));
  StartRank(0, WorkerId("w1"), kAgentAddress);
  EXPECT_TRUE(out.calls.empty());
  EXPECT_FALSE(Only<TaskDone>().started);
  EXPECT_EQ(Only<TaskDone>().error, ErrorKind::kReservationMissing);
}

// Guards against attempts that are used up on a backend server that has died a moment ago.
TEST_F(AgentCoreTest, RefusedConnectionStopsNewWorkUntilTheNextAnnouncement) {
  Ready();
  Receive(PrepareOf("j1#5.1"));
  Receive(StartOf("j1#5.1"));
  Answer("j1#5.1", BackendCallKind::kStart, BackendStatus::kUnreachable);
  EXPECT_FALSE(Only<Heartbeat>().accepting);
  Receive(PrepareOf("j2#5.1"));
  EXPECT_EQ(Only<Prepared>().error, ErrorKind::kBackendUnavailable);
  Handle(Announcement());
  EXPECT_TRUE(Only<Heartbeat>().accepting);
}

// Guards against a stop of the process that cuts off running tasks or takes new ones.
TEST_F(AgentCoreTest, DrainFinishesRunningTasksAndRefusesNewOnes) {
  Ready();
  StartSingle("j1#5.1");
  Handle(DrainRequest{});
  Receive(PrepareOf("j2#5.2"));
  EXPECT_EQ(Only<Prepared>().error, ErrorKind::kShuttingDown);
  Pass(29000);
  EXPECT_EQ(Calls(BackendCallKind::kCheckpoint), 0U);
  EXPECT_FALSE(core.Drained());
  Answer("j1#5.1", BackendCallKind::kPoll, BackendStatus::kDone, "out");
  EXPECT_FALSE(core.Drained());
  Receive(TaskDoneAck{AttemptId("j1#5.1"), 0});
  EXPECT_TRUE(core.Drained());
}

// Guards against a stop of the process that leaves tasks running unowned.
TEST_F(AgentCoreTest, DrainStopsWhatRunsPastItsLimit) {
  Ready();
  StartSingle("j1#5.1");
  Handle(DrainRequest{});
  Pass(30100);
  EXPECT_EQ(Calls(BackendCallKind::kCheckpoint), 1U);
}

}  // namespace
}  // namespace basilspring
