#include "basilspring/process/agent_core.h"

#include "tests/process/agent_fixture.h"

namespace basilspring {
namespace {

using AgentCoreTest = AgentFixture;

// Guards against a superseded scheduler that still commands workers.
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

// Guards against a superseded scheduler that stops a running task.
TEST_F(AgentCoreTest, StopOfALowerEpochLeavesTheTaskRunning) {
  SetUpBackendAndScheduler();
  StartSingle("j1#5.1");
  Receive(SchedulerHello{CellId("plovdiv-a/0"), Epoch(9)}, kNextScheduler);
  Receive(StopOf("j1#5.1", Duration(0)));
  EXPECT_EQ(OnlySent<Prepared>().error, ErrorKind::kStaleEpoch);
  EXPECT_EQ(CountCalls(BackendCallKind::kStop), 0U);
  EXPECT_EQ(core.counts().running, 1U);
}

// Guards against starting a task after its permit has expired, when its data centre may already be
// out of service.
TEST_F(AgentCoreTest, RefusesAStartWithAnExpiredPermitWithoutCallingTheBackend) {
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

// Guards against a start after the reservation has expired, when another task may hold the
// reserved resources.
TEST_F(AgentCoreTest, RefusesAStartAfterItsReservationHasExpired) {
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

// Guards against running a non-idempotent task twice: the agent crashes after the start, and the
// transport delivers Prepare and Start again to its next incarnation, a case that the formal model
// of the gang start has shown. Here the agent holds no reservation, and Start names another
// incarnation.
TEST_F(AgentCoreTest, RefusesAStartThatNamesAnotherIncarnationOfTheAgent) {
  Receive(PrepareOf("j1#5.1"));
  Start start = StartOf("j1#5.1");
  start.reservation = Incarnation(99);
  Receive(start);
  EXPECT_TRUE(out.calls.empty());
  const auto done = Sent<TaskDone>();
  ASSERT_EQ(done.size(), 1U);
  EXPECT_EQ(done[0].error, ErrorKind::kReservationMissing);
}

// Guards against a second reservation or a different answer when a scheduler repeats its command.
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

// Guards against reporting that a task has not started although an earlier incarnation of the agent
// may have started it.
TEST_F(AgentCoreTest, UnknownAttemptsCountAsPossiblyStarted) {
  SetUpBackendAndScheduler();
  Receive(StartOf("j1#5.1"));
  EXPECT_TRUE(OnlySent<TaskDone>().started);
  Receive(StopOf("j2#5.1", Duration(0)));
  EXPECT_TRUE(OnlySent<TaskStopped>().started);
  Receive(PrepareOf("j2#5.1"));
  EXPECT_NE(OnlySent<Prepared>().error, ErrorKind::kNone);
}

// Guards against losing an outcome when the scheduler fails or a message is lost.
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

// Guards against new tasks on a backend server that is leaving or has stopped announcing itself.
TEST_F(AgentCoreTest, LeavingBackendGetsNoNewTasks) {
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

// Guards against reporting that a task has not started although it may have, or that it may have
// started although it has not.
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

// Guards against stopping a task before its checkpoint is complete, and against waiting for the
// checkpoint beyond the grace period.
TEST_F(AgentCoreTest, StopCheckpointsFirstAndWaitsUpToTheGracePeriod) {
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

// Guards against a stop call that overtakes the start call and leaves the task running.
TEST_F(AgentCoreTest, StopWaitsForTheAnswerOfTheStart) {
  SetUpBackendAndScheduler();
  Receive(PrepareOf("j1#5.1"));
  Receive(StartOf("j1#5.1"));
  Receive(StopOf("j1#5.1", Duration(0)));
  EXPECT_TRUE(out.calls.empty());
  AnswerBackendCall("j1#5.1", BackendCallKind::kStart, BackendStatus::kRunning);
  EXPECT_EQ(CountCalls(BackendCallKind::kStop), 1U);
}

// Guards against polling again on a half-open connection, which never delivers an answer, and
// against polling an unreachable backend server forever.
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

// Guards against an agent that was paused and gives up its task as lost, because no answer came
// while it stood still, although the backend server has finished the task (seen in faults_ci).
TEST_F(AgentCoreTest, AsksTheBackendOnceMoreAfterAPauseOfItsOwn) {
  SetUpBackendAndScheduler();
  StartSingle("j1#5.1");
  now = now + Duration(20000);
  AnswerBackendCall("j1#5.1", BackendCallKind::kPoll, BackendStatus::kNoAnswer);
  EXPECT_TRUE(Sent<TaskDone>().empty());
  ASSERT_EQ(CountCalls(BackendCallKind::kPoll), 1U);
  AnswerBackendCall("j1#5.1", BackendCallKind::kPoll, BackendStatus::kDone, "output");
  EXPECT_EQ(OnlySent<TaskDone>().error, ErrorKind::kNone);
}

// Guards against an agent that asks a silent backend server for ever after a pause.
TEST_F(AgentCoreTest, GivesUpATaskWhoseBackendStaysSilentAfterAPause) {
  SetUpBackendAndScheduler();
  StartSingle("j1#5.1");
  now = now + Duration(20000);
  AnswerBackendCall("j1#5.1", BackendCallKind::kPoll, BackendStatus::kNoAnswer);
  now = now + Duration(2500);
  AnswerBackendCall("j1#5.1", BackendCallKind::kPoll, BackendStatus::kNoAnswer);
  EXPECT_EQ(OnlySent<TaskDone>().error, ErrorKind::kBackendUnavailable);
}

/// Starts a gang of two ranks: rank 0 runs on the worker under test.
struct AgentGangTest : public AgentFixture {
  /// Starts one rank. `second_worker` is the worker of rank 1.
  void StartRank(std::uint32_t rank, const WorkerId& second_worker, const Address& second_agent) {
    Start start = StartOf("j1#5.1", rank);
    start.members = {{0, WorkerId("w1"), kAgentAddress}, {1, second_worker, second_agent}};
    Receive(start);
    if (!out.calls.empty()) {
      AnswerBackendCall("j1#5.1", BackendCallKind::kStart, BackendStatus::kRunning, "", rank);
    }
  }
};

// Guards against a gang that runs on after the loss of a member while there is no scheduler to stop
// it.
TEST_F(AgentGangTest, StopsLocalRanksWhenAMemberIsSilentForTheDurationOfTheTaskLease) {
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

// Guards against stopping a gang whose ranks all run on one worker, where no heartbeats are sent.
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

// Guards against an incomplete gang that runs on after the scheduler has died between two starts on
// the same worker.
TEST_F(AgentGangTest, ExpiredReservationOfAnotherRankStopsTheGang) {
  SetUpBackendAndScheduler();
  Receive(PrepareOf("j1#5.1", 0, 2));
  Receive(PrepareOf("j1#5.1", 1, 2));
  StartRank(0, WorkerId("w1"), kAgentAddress);
  AdvanceTime(5100);
  EXPECT_EQ(core.counts().stopping, 1U);
}

// Guards against a checkpoint that is cut short because another rank has stopped sooner.
TEST_F(AgentGangTest, StopOrderedByTheSchedulerKeepsItsGracePeriod) {
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

// Guards against starting a rank while another rank of the gang on this worker can no longer start.
TEST_F(AgentGangTest, RefusesAStartWhenAnotherLocalRankHasNoReservation) {
  SetUpBackendAndScheduler();
  Receive(PrepareOf("j1#5.1", 0, 2));
  StartRank(0, WorkerId("w1"), kAgentAddress);
  EXPECT_TRUE(out.calls.empty());
  EXPECT_FALSE(OnlySent<TaskDone>().started);
  EXPECT_EQ(OnlySent<TaskDone>().error, ErrorKind::kReservationMissing);
}

// Guards against wasting attempts on a backend server that has just died.
TEST_F(AgentCoreTest, RefusedConnectionStopsNewTasksUntilTheNextAnnouncement) {
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

// Guards against a draining agent that aborts running tasks or takes new ones.
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

// Guards against tasks that run on without an agent after the drain limit.
TEST_F(AgentCoreTest, DrainStopsTasksThatRunPastItsLimit) {
  SetUpBackendAndScheduler();
  StartSingle("j1#5.1");
  Handle(DrainRequest{});
  AdvanceTime(30100);
  EXPECT_EQ(CountCalls(BackendCallKind::kCheckpoint), 1U);
}

}  // namespace
}  // namespace basilspring
