#include "basilspring/process/agent_core.h"

#include "tests/process/agent_fixture.h"

namespace basilspring {
namespace {

using AgentCoreTest = AgentFixture;

// Guards against a deposed scheduler that goes on to command workers.
TEST_F(AgentCoreTest, RefusesCommandsOfALowerEpoch) {
  SetUpBackendAndScheduler();
  Receive(SchedulerHello{CellId("plovdiv-a/0"), Epoch(9)}, kNextScheduler);
  EXPECT_EQ(OnlySent<AgentReport>().epoch, Epoch(9));
  Receive(PrepareOf("j1#5.1"));
  EXPECT_EQ(OnlySent<Prepared>().error, ErrorKind::kStaleEpoch);
  Receive(PrepareOf("j1#9.1", 0, 1, 9), kNextScheduler);
  EXPECT_EQ(OnlySent<Prepared>().error, ErrorKind::kNone);
  Receive(StartOf("j1#9.1", 0, 5));
  EXPECT_EQ(OnlySent<TaskDone>().error, ErrorKind::kStaleEpoch);
  EXPECT_FALSE(OnlySent<TaskDone>().started);
  EXPECT_TRUE(out.calls.empty());
  // The refusal said "not started", so the attempt must not start afterwards.
  Receive(StartOf("j1#9.1", 0, 9), kNextScheduler);
  EXPECT_TRUE(out.calls.empty());
}

TEST_F(AgentCoreTest, StopOfALowerEpochLeavesTheTaskRunning) {
  SetUpBackendAndScheduler();
  StartSingle("j1#5.1");
  Receive(SchedulerHello{CellId("plovdiv-a/0"), Epoch(9)}, kNextScheduler);
  Receive(StopOf("j1#5.1", Duration(0)));
  EXPECT_EQ(OnlySent<Prepared>().error, ErrorKind::kStaleEpoch);
  EXPECT_EQ(CountCalls(BackendCallKind::kStop), 0U);
  EXPECT_EQ(core.counts().running, 1U);
}

// Guards against a start in a data centre that was taken out of service meanwhile.
TEST_F(AgentCoreTest, RefusesAStartAfterNotAfterBeforeCallingTheBackend) {
  SetUpBackendAndScheduler();
  Receive(PrepareOf("j1#5.1"));
  const Start start = StartOf("j1#5.1");
  now = now + Duration(2001);
  Receive(start);
  EXPECT_EQ(OnlySent<TaskDone>().error, ErrorKind::kPermitExpired);
  EXPECT_FALSE(OnlySent<TaskDone>().started);
  EXPECT_TRUE(out.calls.empty());
}

// Guards against running a non-idempotent task twice.
TEST_F(AgentCoreTest, StartsAnAttemptOnce) {
  SetUpBackendAndScheduler();
  Receive(PrepareOf("j1#5.1"));
  Receive(StartOf("j1#5.1"));
  EXPECT_EQ(CountCalls(BackendCallKind::kStart), 1U);
  Receive(StartOf("j1#5.1"));
  EXPECT_TRUE(out.calls.empty());
  AnswerBackendCall("j1#5.1", BackendCallKind::kStart, BackendStatus::kDone, "out");
  Receive(TaskDoneAck{AttemptId("j1#5.1"), 0});
  Receive(PrepareOf("j1#5.1"));
  EXPECT_EQ(OnlySent<Prepared>().error, ErrorKind::kConflict);
  Receive(StartOf("j1#5.1"));
  EXPECT_TRUE(out.calls.empty());
  EXPECT_TRUE(Sent<TaskDone>().empty());
}

// Guards against a start without a reservation, whose resources another task may hold.
TEST_F(AgentCoreTest, ReservationLapsesAndItsStartIsRefused) {
  SetUpBackendAndScheduler();
  Receive(PrepareOf("j1#5.1"));
  EXPECT_EQ(OnlySent<Prepared>().agent_now, now);
  Receive(PrepareOf("j2#5.2"));
  EXPECT_EQ(OnlySent<Prepared>().error, ErrorKind::kResourcesTaken);
  AdvanceTime(5000);
  EXPECT_EQ(core.counts().prepared, 0U);
  Receive(PrepareOf("j3#5.3"));
  EXPECT_EQ(OnlySent<Prepared>().error, ErrorKind::kNone);
  Receive(StartOf("j1#5.1"));
  EXPECT_EQ(OnlySent<TaskDone>().error, ErrorKind::kReservationMissing);
  EXPECT_FALSE(OnlySent<TaskDone>().started);
  EXPECT_TRUE(out.calls.empty());
}

// Guards against a second run of a non-idempotent task: the agent crashed after the start, and the
// transport delivers Prepare and Start to its next run once more. Found by the model of the gang
// start.
TEST_F(AgentCoreTest, RefusesAStartThatNamesAnotherRunOfTheAgent) {
  Receive(PrepareOf("j1#5.1"));
  Start start = StartOf("j1#5.1");
  start.reservation = Incarnation(99);
  Receive(start);
  EXPECT_TRUE(out.calls.empty());
  const auto done = Sent<TaskDone>();
  ASSERT_EQ(done.size(), 1U);
  EXPECT_EQ(done[0].error, ErrorKind::kReservationMissing);
}

// Guards against a second reservation, or another answer, when a scheduler repeats its command.
TEST_F(AgentCoreTest, RepeatedPrepareGivesTheSameAnswer) {
  SetUpBackendAndScheduler();
  Receive(PrepareOf("j1#5.1"));
  Receive(PrepareOf("j1#5.1"));
  EXPECT_EQ(OnlySent<Prepared>().error, ErrorKind::kNone);
  EXPECT_EQ(core.counts().prepared, 1U);
  Receive(PrepareOf("j2#5.2"));
  Receive(StopOf("j1#5.1", Duration(0)));
  EXPECT_FALSE(OnlySent<TaskStopped>().started);
  Receive(PrepareOf("j2#5.2"));
  EXPECT_EQ(OnlySent<Prepared>().error, ErrorKind::kResourcesTaken);
}

// Guards against claiming "not run" for a task that an earlier run of the agent may have started.
TEST_F(AgentCoreTest, UnknownAttemptsCountAsPossiblyStarted) {
  SetUpBackendAndScheduler();
  Receive(StartOf("j1#5.1"));
  EXPECT_TRUE(OnlySent<TaskDone>().started);
  Receive(StopOf("j2#5.1", Duration(0)));
  EXPECT_TRUE(OnlySent<TaskStopped>().started);
  Receive(PrepareOf("j2#5.1"));
  EXPECT_NE(OnlySent<Prepared>().error, ErrorKind::kNone);
}

// Guards against losing an answer with the scheduler or with one message.
TEST_F(AgentCoreTest, OutcomeIsSentUntilTheCurrentSchedulerAcknowledges) {
  SetUpBackendAndScheduler();
  StartSingle("j1#5.1");
  AnswerBackendCall("j1#5.1", BackendCallKind::kPoll, BackendStatus::kDone, "out");
  EXPECT_EQ(OnlySent<TaskDone>().output, "out");
  AdvanceTime(2100);
  EXPECT_FALSE(Sent<TaskDone>().empty());
  Receive(SchedulerHello{CellId("plovdiv-a/0"), Epoch(9)}, kNextScheduler);
  EXPECT_EQ(OnlySent<TaskDone>().output, "out");
  ASSERT_EQ(OnlySent<AgentReport>().tasks.size(), 1U);
  EXPECT_EQ(OnlySent<AgentReport>().tasks.front().state, TaskState::kFinished);
  Receive(TaskDoneAck{AttemptId("j1#5.1"), 0}, kScheduler);
  EXPECT_EQ(core.counts().undelivered, 1U);
  Receive(TaskDoneAck{AttemptId("j1#5.1"), 0}, kNextScheduler);
  EXPECT_EQ(core.counts().undelivered, 0U);
}

// Guards against new work on a backend server that leaves or is gone; running work goes on.
TEST_F(AgentCoreTest, LeavingBackendGetsNoNewWork) {
  SetUpBackendAndScheduler();
  Receive(PrepareOf("j1#5.1"));
  StartSingle("j0#5.0");
  Handle(Announcement(true));
  EXPECT_FALSE(OnlySent<Heartbeat>().accepting);
  Receive(StartOf("j1#5.1"));
  EXPECT_EQ(OnlySent<TaskDone>().error, ErrorKind::kBackendUnavailable);
  EXPECT_TRUE(out.calls.empty());
  Receive(PrepareOf("j2#5.2"));
  EXPECT_EQ(OnlySent<Prepared>().error, ErrorKind::kBackendUnavailable);
  Handle(Announcement());
  EXPECT_TRUE(core.accepting());
  AdvanceTime(6100, false);
  EXPECT_FALSE(core.accepting());
}

// Guards against a "not run" that is wrong, and against one that is missing.
TEST_F(AgentCoreTest, FailedStartsSayWhetherTheTaskMayHaveStarted) {
  SetUpBackendAndScheduler();
  const auto outcome = [this](const std::string& attempt, BackendStatus status) {
    Handle(Announcement());
    Receive(PrepareOf(attempt));
    Receive(StartOf(attempt));
    AnswerBackendCall(attempt, BackendCallKind::kStart, status);
    if (out.calls.empty()) return OnlySent<TaskDone>();
    now = now + Duration(3000);
    AnswerBackendCall(attempt, BackendCallKind::kPoll, BackendStatus::kUnknownTask);
    return OnlySent<TaskDone>();
  };
  EXPECT_FALSE(outcome("j1#5.1", BackendStatus::kRefused).started);
  EXPECT_EQ(outcome("j2#5.1", BackendStatus::kTooLate).error, ErrorKind::kPermitExpired);
  EXPECT_FALSE(outcome("j3#5.1", BackendStatus::kUnreachable).started);
  EXPECT_TRUE(outcome("j4#5.1", BackendStatus::kNoAnswer).started);
  EXPECT_EQ(outcome("j5#5.1", BackendStatus::kFailed).error, ErrorKind::kTaskFailed);
}

// Guards against a task that is stopped before its checkpoint, or never.
TEST_F(AgentCoreTest, StopCheckpointsFirstAndWaitsUpToTheGrace) {
  SetUpBackendAndScheduler();
  StartSingle("j1#5.1");
  Receive(StopOf("j1#5.1", Duration(3000)));
  EXPECT_EQ(CountCalls(BackendCallKind::kCheckpoint), 1U);
  EXPECT_EQ(CountCalls(BackendCallKind::kStop), 0U);
  AdvanceTime(2900);
  EXPECT_EQ(CountCalls(BackendCallKind::kStop), 0U);
  AdvanceTime(200);
  EXPECT_EQ(CountCalls(BackendCallKind::kStop), 1U);
  AnswerBackendCall("j1#5.1", BackendCallKind::kStop, BackendStatus::kDone);
  EXPECT_TRUE(OnlySent<TaskStopped>().started);
  EXPECT_FALSE(OnlySent<TaskStopped>().checkpointed);
}

// Guards against a stop that overtakes the start call and leaves the task running.
TEST_F(AgentCoreTest, StopWaitsForTheAnswerOfTheStart) {
  SetUpBackendAndScheduler();
  Receive(PrepareOf("j1#5.1"));
  Receive(StartOf("j1#5.1"));
  Receive(StopOf("j1#5.1", Duration(0)));
  EXPECT_TRUE(out.calls.empty());
  AnswerBackendCall("j1#5.1", BackendCallKind::kStart, BackendStatus::kRunning);
  EXPECT_EQ(CountCalls(BackendCallKind::kStop), 1U);
}

// Guards against waiting on a connection that has gone silent.
TEST_F(AgentCoreTest, PollsOnAFreshConnectionAfterATimeout) {
  SetUpBackendAndScheduler();
  StartSingle("j1#5.1");
  EXPECT_FALSE(out.calls.at(0).fresh_connection);
  now = now + Duration(3000);
  AnswerBackendCall("j1#5.1", BackendCallKind::kPoll, BackendStatus::kNoAnswer);
  EXPECT_TRUE(out.calls.at(0).fresh_connection);
  for (int i = 0; i < 3; ++i) {
    AnswerBackendCall("j1#5.1", BackendCallKind::kPoll, BackendStatus::kUnreachable);
  }
  EXPECT_EQ(OnlySent<TaskDone>().error, ErrorKind::kBackendUnavailable);
  EXPECT_TRUE(OnlySent<TaskDone>().started);
}

/// A gang of two ranks; rank 1 runs on the given worker.
struct AgentGangTest : public AgentFixture {
  void StartRank(std::uint32_t rank, const WorkerId& second_worker, const Address& second_agent) {
    Start start = StartOf("j1#5.1", rank);
    start.members = {{0, WorkerId("w1"), kAgentAddress}, {1, second_worker, second_agent}};
    Receive(start);
    if (!out.calls.empty()) {
      AnswerBackendCall("j1#5.1", BackendCallKind::kStart, BackendStatus::kRunning, "", rank);
    }
  }
};

// Guards against a partial gang that goes on although no scheduler is there to stop it.
TEST_F(AgentGangTest, StopsItsPartWhenAMemberIsNotHeardForTheTaskLease) {
  SetUpBackendAndScheduler();
  Receive(PrepareOf("j1#5.1", 0, 2));
  StartRank(0, WorkerId("w2"), {"127.0.0.1", 7001});
  AdvanceTime(9900);
  EXPECT_EQ(CountCalls(BackendCallKind::kCheckpoint), 0U);
  AdvanceTime(200);
  EXPECT_EQ(CountCalls(BackendCallKind::kCheckpoint), 1U);
  AnswerBackendCall("j1#5.1", BackendCallKind::kCheckpoint, BackendStatus::kDone);
  AnswerBackendCall("j1#5.1", BackendCallKind::kStop, BackendStatus::kDone);
  EXPECT_TRUE(OnlySent<TaskStopped>().checkpointed);
}

// Guards against stopping a gang that is whole on one worker, where nothing is sent.
TEST_F(AgentGangTest, GangOnOneWorkerNeedsNoHeartbeats) {
  SetUpBackendAndScheduler();
  Receive(PrepareOf("j1#5.1", 0, 2));
  Receive(PrepareOf("j1#5.1", 1, 2));
  StartRank(0, WorkerId("w1"), kAgentAddress);
  StartRank(1, WorkerId("w1"), kAgentAddress);
  AdvanceTime(30000);
  EXPECT_EQ(core.counts().running, 2U);
  EXPECT_TRUE(Sent<GangHeartbeat>().empty());
}

// Guards against a partial gang when the scheduler dies between two starts on the same worker.
TEST_F(AgentGangTest, LapsedReservationOfAnotherRankStopsTheGang) {
  SetUpBackendAndScheduler();
  Receive(PrepareOf("j1#5.1", 0, 2));
  Receive(PrepareOf("j1#5.1", 1, 2));
  StartRank(0, WorkerId("w1"), kAgentAddress);
  AdvanceTime(5100);
  EXPECT_EQ(core.counts().stopping, 1U);
}

// Guards against a checkpoint that is cut short because another rank has stopped sooner.
TEST_F(AgentGangTest, StopOfTheSchedulerKeepsItsGrace) {
  SetUpBackendAndScheduler();
  Receive(PrepareOf("j1#5.1", 0, 2));
  StartRank(0, WorkerId("w2"), {"127.0.0.1", 7001});
  Receive(StopOf("j1#5.1", Duration(5000)));
  GangHeartbeat ended;
  ended.attempt = AttemptId("j1#5.1");
  ended.rank = 1;
  ended.worker = WorkerId("w2");
  Receive(ended, {"127.0.0.1", 7001});
  AdvanceTime(4900);
  EXPECT_EQ(CountCalls(BackendCallKind::kStop), 0U);
  AdvanceTime(200);
  EXPECT_EQ(CountCalls(BackendCallKind::kStop), 1U);
}

// Guards against starting a rank whose fellow on this worker can't start any more.
TEST_F(AgentGangTest, RefusesAStartWhenAnotherLocalRankHasNoReservation) {
  SetUpBackendAndScheduler();
  Receive(PrepareOf("j1#5.1", 0, 2));
  StartRank(0, WorkerId("w1"), kAgentAddress);
  EXPECT_TRUE(out.calls.empty());
  EXPECT_FALSE(OnlySent<TaskDone>().started);
  EXPECT_EQ(OnlySent<TaskDone>().error, ErrorKind::kReservationMissing);
}

// Guards against attempts that are used up on a backend server that has died a moment ago.
TEST_F(AgentCoreTest, RefusedConnectionStopsNewWorkUntilTheNextAnnouncement) {
  SetUpBackendAndScheduler();
  Receive(PrepareOf("j1#5.1"));
  Receive(StartOf("j1#5.1"));
  AnswerBackendCall("j1#5.1", BackendCallKind::kStart, BackendStatus::kUnreachable);
  EXPECT_FALSE(OnlySent<Heartbeat>().accepting);
  Receive(PrepareOf("j2#5.1"));
  EXPECT_EQ(OnlySent<Prepared>().error, ErrorKind::kBackendUnavailable);
  Handle(Announcement());
  EXPECT_TRUE(OnlySent<Heartbeat>().accepting);
}

// Guards against a stop of the process that cuts off running tasks or takes new ones.
TEST_F(AgentCoreTest, DrainFinishesRunningTasksAndRefusesNewOnes) {
  SetUpBackendAndScheduler();
  StartSingle("j1#5.1");
  Handle(DrainRequest{});
  Receive(PrepareOf("j2#5.2"));
  EXPECT_EQ(OnlySent<Prepared>().error, ErrorKind::kShuttingDown);
  AdvanceTime(29000);
  EXPECT_EQ(CountCalls(BackendCallKind::kCheckpoint), 0U);
  EXPECT_FALSE(core.Drained());
  AnswerBackendCall("j1#5.1", BackendCallKind::kPoll, BackendStatus::kDone, "out");
  EXPECT_FALSE(core.Drained());
  Receive(TaskDoneAck{AttemptId("j1#5.1"), 0});
  EXPECT_TRUE(core.Drained());
}

// Guards against a stop of the process that leaves tasks running unowned.
TEST_F(AgentCoreTest, DrainStopsWhatRunsPastItsLimit) {
  SetUpBackendAndScheduler();
  StartSingle("j1#5.1");
  Handle(DrainRequest{});
  AdvanceTime(30100);
  EXPECT_EQ(CountCalls(BackendCallKind::kCheckpoint), 1U);
}

}  // namespace
}  // namespace basilspring
