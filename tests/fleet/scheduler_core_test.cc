#include "basilspring/fleet/scheduler_core.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

#include "fleet_harness.h"

namespace basilspring::fleet {
namespace {

constexpr std::int64_t kSecond = 1000;

class SchedulerCoreTest : public ::testing::Test {
 protected:
  SchedulerCoreTest() {
    fleet_.AddQueue("urgent", 0, 1.5, 400);
    fleet_.AddQueue("batch", 2, 3.0, 3000);
    fleet_.AddWorkspace("shop", 0);
  }

  void AddAgents(int count, int per_rack = 3) {
    for (int i = 0; i < count; ++i) {
      fleet_.AddAgent("a" + std::to_string(i), "rack" + std::to_string(i / per_rack));
    }
    fleet_.Advance(kSecond);
  }

  FleetHarness fleet_;
};

TEST_F(SchedulerCoreTest, RunsStepsInOrderAndShowsTheFinalPhase) {
  AddAgents(2);
  StepSpec second = MakeStep(3, 1, 500);
  second.after = {0};
  const JobId job = fleet_.Submit("batch", "shop", {MakeStep(2, 1, 500), second});
  EXPECT_EQ(fleet_.PhaseOf(job), JobPhase::kQueued);
  fleet_.Advance(300);
  EXPECT_EQ(fleet_.PhaseOf(job), JobPhase::kRunning);
  EXPECT_EQ(fleet_.StartsOf(job), 2U);
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 5 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 5U);
}

// Guards against showing a final phase before it is stored. If the backend server that lists the
// end is replaced in the meantime, the next scheduler would show the job as running again (found
// on the test day hunt-a8fd-31 of ondh-basil).
TEST_F(SchedulerCoreTest, ShowsAFinalPhaseOnlyOnceItIsStored) {
  AddAgents(1);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 1, 500));
  fleet_.Advance(300);
  fleet_.store_available = false;
  fleet_.Advance(2 * kSecond);
  EXPECT_EQ(fleet_.PhaseOf(job), JobPhase::kRunning);
  EXPECT_FALSE(fleet_.agent("a0").report.ended.empty());
}

// Guards against reporting a job as running after an entry has reported it as completed: a write
// that was not answered may have been applied, and entries without a scheduler read the store.
TEST_F(SchedulerCoreTest, LeavesTheAnswerToTheStoreWhileAnEndMayBeStored) {
  AddAgents(1);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 1, 500));
  fleet_.Advance(300);
  EXPECT_TRUE(fleet_.core().AnswerQuery(job, true).accepted);
  fleet_.store_available = false;
  fleet_.Advance(2 * kSecond);
  EXPECT_FALSE(fleet_.core().AnswerQuery(job, true).accepted);
}

// Guards against running a finished job again that is read before its removal is stored.
TEST_F(SchedulerCoreTest, AFinishedJobStaysKnownUntilItsRemovalIsStored) {
  AddAgents(1);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 1, 500));
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 5 * kSecond));
  fleet_.store_available = false;
  fleet_.Advance(fleet_.options.keep_finished.milliseconds() + kSecond);
  fleet_.ReadJobsAgain();
  fleet_.Advance(kSecond);
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
  EXPECT_EQ(fleet_.PhaseOf(job), JobPhase::kCompleted);
}

// Guards against keys that stay in the store for good: cancellations of jobs that were never
// accepted.
TEST_F(SchedulerCoreTest, RemovesTheCancellationOfAnUnknownJobAfterAWhile) {
  AddAgents(1);
  const JobId unknown("00000000000000ff");
  fleet_.Cancel(unknown);
  fleet_.Advance(fleet_.options.keep_finished.milliseconds() - kSecond);
  EXPECT_EQ(fleet_.removed().count(unknown), 0U);
  fleet_.Advance(2 * kSecond);
  EXPECT_EQ(fleet_.removed().count(unknown), 1U);
}

// Guards against forgetting a cancellation that was acknowledged again since it was first stored: a
// submission that is read afterwards would be accepted.
TEST_F(SchedulerCoreTest, ARepeatedCancellationIsKeptForTheWholeTimeAgain) {
  AddAgents(1);
  const std::int64_t keep_ms = fleet_.options.keep_finished.milliseconds();
  const JobId unknown("00000000000000ff");
  const JobId finished = fleet_.Submit("batch", "shop", MakeStep(1, 1, 500));
  fleet_.Cancel(unknown);
  ASSERT_TRUE(fleet_.RunUntil(finished, JobPhase::kCompleted, 5 * kSecond));
  fleet_.Advance(keep_ms - 6 * kSecond);
  fleet_.Cancel(unknown);
  fleet_.Cancel(finished);
  fleet_.Advance(keep_ms - kSecond);
  EXPECT_TRUE(fleet_.removed().empty());
  fleet_.Advance(2 * kSecond);
  EXPECT_EQ(fleet_.removed().size(), 2U);
}

// Guards against removing a job that has just finished because the time of day jumped ahead.
TEST_F(SchedulerCoreTest, AFinishedJobStaysKnownWhenTheTimeOfDayJumps) {
  AddAgents(1);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 1, 500));
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 5 * kSecond));
  const std::int64_t keep_ms = fleet_.options.keep_finished.milliseconds();
  fleet_.wall_offset_ms = 2 * keep_ms;
  fleet_.Advance(kSecond);
  EXPECT_EQ(fleet_.PhaseOf(job), JobPhase::kCompleted);
  fleet_.ChangeScheduler(2);
  fleet_.Advance(keep_ms / 2);
  EXPECT_EQ(fleet_.PhaseOf(job), JobPhase::kCompleted);
  fleet_.Advance(keep_ms);
  EXPECT_EQ(fleet_.PhaseOf(job), std::nullopt);
}

// Guards against a task that never starts because a run that was listed before its job was known
// was not counted among the task's live runs when it ended.
TEST_F(SchedulerCoreTest, StartsATaskOfWhichARunWasListedBeforeItsJobWasKnown) {
  AddAgents(1);
  FleetHarness::Run run;
  run.task = TaskId{JobId("0000000000000001"), 0, 0, 0};
  run.started_ms = fleet_.now_ms();
  run.work_ms = 60 * kSecond;
  fleet_.agent("a0").runs.push_back(run);
  fleet_.Advance(200);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 1, 500));
  ASSERT_EQ(job, run.task.job);
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 5 * kSecond));
  EXPECT_TRUE(fleet_.overlapping_tasks().empty());
}

// Guards against a task that runs twice at the same time: a scheduler that does not know which
// agent may have a run of its predecessor would start the task again.
TEST_F(SchedulerCoreTest, StartsNothingBeforeTheRecordOfItsAgentIsStored) {
  AddAgents(1);
  fleet_.store_available = false;
  const JobId job = fleet_.Submit("urgent", "shop", MakeStep(1, 1, 500));
  fleet_.Advance(2 * kSecond);
  EXPECT_EQ(fleet_.StartsOf(job), 0U);
}

// Guards against two active runs of one task. A run that is being stopped is no longer listed as
// running, but is still active; its task must not be started elsewhere before it has ended.
TEST_F(SchedulerCoreTest, KeepsTheCapacityOfAStoppedRunUntilItsEnd) {
  AddAgents(2);
  StepSpec victim = MakeStep(2, 8, 20 * kSecond);
  const JobId batch = fleet_.Submit("batch", "shop", victim);
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.RunningTasks(batch), 2U);
  const JobId urgent = fleet_.Submit("urgent", "shop", MakeStep(1, 8, 2 * kSecond));
  ASSERT_TRUE(fleet_.RunUntil(urgent, JobPhase::kCompleted, 10 * kSecond));
  // Headroom for urgent work is kept free for a while after the last urgent job.
  fleet_.Advance(15 * kSecond);
  EXPECT_TRUE(fleet_.overlapping_tasks().empty());
  EXPECT_EQ(fleet_.RunningTasks(batch), 2U);
}

// Guards against two active runs of one task. An unanswered start may have taken effect; if it is
// treated as refused once it has been stopped, the task is started elsewhere while the first run is
// still stopping.
TEST_F(SchedulerCoreTest, WaitsForAnUnansweredStartThatWasStopped) {
  AddAgents(2);
  fleet_.agent("a0").next_start_status = BackendStatus::kStopped;
  fleet_.agent("a0").starts_despite_status = true;
  fleet_.agent("a1").next_start_status = BackendStatus::kStopped;
  fleet_.agent("a1").starts_despite_status = true;
  const JobId job = fleet_.Submit("urgent", "shop", MakeStep(1, 8, kSecond));
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 10 * kSecond));
  EXPECT_TRUE(fleet_.overlapping_tasks().empty());
  EXPECT_GE(fleet_.StartsOf(job), 2U);
}

// Guards against tasks of a lost worker that are never restarted, because releasing one run
// destroys the key that is still in use for the next.
TEST_F(SchedulerCoreTest, RestartsAllTasksOfALostWorker) {
  AddAgents(2);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(6, 1, 3 * kSecond));
  fleet_.Advance(500);
  ASSERT_EQ(fleet_.RunningTasks(job), 6U);
  FleetHarness::Agent& lost = fleet_.agent(fleet_.starts().front().first);
  lost.runs.clear();
  lost.report.backend_gone = true;
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 15 * kSecond));
  EXPECT_TRUE(fleet_.overlapping_tasks().empty());
}

// Guards against restarting a task too early: while an agent is unreachable, its backend server may
// continue until the lease expires.
TEST_F(SchedulerCoreTest, WaitsForTheLeaseOfASilentAgentToExpire) {
  AddAgents(2);
  const JobId job = fleet_.Submit("urgent", "shop", MakeStep(1, 8, 30 * kSecond));
  fleet_.Advance(500);
  const std::string first = fleet_.starts().front().first;
  fleet_.agent(first).reachable = false;
  fleet_.Advance(4 * kSecond);
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
  fleet_.Advance(4 * kSecond);
  EXPECT_EQ(fleet_.StartsOf(job), 2U);
}

// Guards against a run that goes on after the scheduler has counted it as ended: the agent extended
// the lease with polls that were carried out and not answered.
TEST_F(SchedulerCoreTest, GrantsNoLongerLeaseThanItCountsOn) {
  AddAgents(2);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 8, 60 * kSecond));
  fleet_.Advance(500);
  ASSERT_EQ(fleet_.StartsOf(job), 1U);
  FleetHarness::Agent& agent = fleet_.agent(fleet_.starts().front().first);
  agent.reachable = false;
  agent.report.poll_age = Duration::Seconds(5);
  std::int64_t granted_until_ms = 0;
  for (int i = 0; i < 60 && fleet_.StartsOf(job) == 1; ++i) {
    ++agent.report.number;
    const auto reply = fleet_.core().OnReport(TimePoint(fleet_.now_ms()), agent.report);
    granted_until_ms = std::max(granted_until_ms, fleet_.now_ms() + reply.lease.milliseconds());
    fleet_.Advance(200);
  }
  ASSERT_EQ(fleet_.StartsOf(job), 2U);
  EXPECT_LE(granted_until_ms, fleet_.now_ms());
}

// Guards against treating a backend server that has just joined as silent since the start of the
// term. Its runs would be abandoned immediately and restarted elsewhere.
TEST_F(SchedulerCoreTest, KeepsTheRunsOfAWorkerThatHasJustJoined) {
  AddAgents(1);
  fleet_.Advance(20 * kSecond);
  fleet_.AddAgent("late", "rack9");
  fleet_.Advance(400);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(2, 8, 3 * kSecond));
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 10 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 2U);
}

// Guards against repeated restarts of a gang that is mistaken for stalled: members that have
// completed their work wait at 100% for the slowest one.
TEST_F(SchedulerCoreTest, LetsTheMembersOfAGangWaitForTheSlowest) {
  AddAgents(3);
  StepSpec gang = MakeStep(3, 8, 4 * kSecond);
  gang.gang = true;
  fleet_.run_time_of = [](const TaskId& task) {
    return task.index == 0 ? 12 * kSecond : 4 * kSecond;
  };
  const JobId job = fleet_.Submit("batch", "shop", gang);
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 20 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 3U);
}

TEST_F(SchedulerCoreTest, RestartsAStalledTaskElsewhere) {
  AddAgents(2);
  const JobId job = fleet_.Submit("urgent", "shop", MakeStep(1, 1, 2 * kSecond));
  fleet_.Advance(300);
  for (auto* name : {"a0", "a1"}) {
    for (FleetHarness::Run& run : fleet_.agent(name).runs) run.stalled = true;
  }
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 12 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 2U);
  EXPECT_TRUE(fleet_.overlapping_tasks().empty());
}

// Guards against tasks that run twice: a report of the earlier term, made before the backend server
// started again and got runs, must not show the new scheduler that nothing runs there.
TEST_F(SchedulerCoreTest, AReportOfAnEarlierTermDoesNotShowThatABackendServerHasExited) {
  AddAgents(2);
  FleetHarness::Agent& agent = fleet_.agent("a0");
  fleet_.Advance(kSecond);
  AgentReport stale = agent.report;
  stale.backend_gone = true;
  fleet_.Submit("batch", "shop", MakeStep(1, 8, 60 * kSecond));
  fleet_.Advance(100);
  ASSERT_EQ(fleet_.starts().size(), 1U);
  ASSERT_EQ(fleet_.starts().front().first, "a0");
  agent.reachable = false;
  fleet_.ChangeScheduler(2);
  stale.number += 10;
  fleet_.core().OnReport(TimePoint(fleet_.now_ms()), stale);
  fleet_.Advance(kSecond);
  EXPECT_EQ(fleet_.core().counts().starts_planned, 0U);
  EXPECT_TRUE(fleet_.overlapping_tasks().empty());
}

// Guards against a long task that is stopped again and again before its listed progress can change.
TEST_F(SchedulerCoreTest, DoesNotTakeALongTaskForStalled) {
  AddAgents(2);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 1, 600 * kSecond));
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 610 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
}

// The same for a task that runs far longer than its caller has estimated.
TEST_F(SchedulerCoreTest, GivesATaskMoreTimeAfterRepeatedStalls) {
  AddAgents(2);
  fleet_.run_time_of = [](const TaskId&) { return 1000 * kSecond; };
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 1, 10 * kSecond));
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 1100 * kSecond));
}

// Guards against stopping sound runs because a backend server does not answer polls for a while.
TEST_F(SchedulerCoreTest, JudgesAStallByWhatTheLastPollHasShown) {
  AddAgents(1);
  fleet_.Submit("batch", "shop", MakeStep(1, 1, 60 * kSecond));
  fleet_.Advance(kSecond);
  fleet_.agent("a0").reachable = false;
  AgentReport report = fleet_.agent("a0").report;
  for (int i = 1; i <= 20; ++i) {
    fleet_.Advance(200);
    ++report.number;
    report.poll_age = Duration(200 * i);
    fleet_.core().OnReport(TimePoint(fleet_.now_ms()), report);
  }
  EXPECT_EQ(fleet_.core().counts().runs_stalled, 0U);
}

// Guards against counting a failure twice, which would fail the job too early: an end that was not
// acknowledged is listed again to the next scheduler.
TEST_F(SchedulerCoreTest, CountsAFailureOnceAcrossSchedulers) {
  AddAgents(2);
  fleet_.AddQueue("twice", 2, 3.0, 3000, 2);
  bool fail = true;
  fleet_.outcome_of = [&](const std::string&, const TaskId&) {
    const bool failed = std::exchange(fail, false);
    return failed ? RunEnd::kFailed : RunEnd::kDone;
  };
  const JobId job = fleet_.Submit("twice", "shop", MakeStep(1, 1, 500));
  fleet_.Advance(700);
  // The end is recorded, but its acknowledgement is lost with the scheduler.
  ASSERT_FALSE(fail);
  const auto& first = fleet_.starts().front();
  fleet_.agent(first.first)
      .report.ended.push_back(
          {1, first.second.task, first.second.run, static_cast<std::uint8_t>(RunEnd::kFailed), ""});
  fleet_.ChangeScheduler(2);
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 10 * kSecond));
}

TEST_F(SchedulerCoreTest, FailsAJobThatFailsOnEveryAttempt) {
  AddAgents(4);
  fleet_.AddQueue("twice", 2, 3.0, 3000, 2);
  fleet_.outcome_of = [](const std::string&, const TaskId&) { return RunEnd::kFailed; };
  const JobId job = fleet_.Submit("twice", "shop", MakeStep(1, 1, 500));
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kFailed, 10 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 2U);
}

// Guards against failing a job by the limit of a queue that the scheduler does not know.
TEST_F(SchedulerCoreTest, AFailedRunOfAnUnknownQueueDoesNotFailTheJob) {
  AddAgents(2);
  fleet_.AddQueue("passing", 2, 3.0, 3000, 4);
  bool fail = true;
  fleet_.outcome_of = [&](const std::string&, const TaskId&) {
    return std::exchange(fail, false) ? RunEnd::kFailed : RunEnd::kDone;
  };
  const JobId job = fleet_.Submit("passing", "shop", MakeStep(1, 1, kSecond));
  fleet_.Advance(500);
  fleet_.RemoveQueue("passing");
  fleet_.ChangeScheduler(2);
  fleet_.Advance(2 * kSecond);
  ASSERT_FALSE(fail);
  EXPECT_EQ(fleet_.PhaseOf(job), JobPhase::kRunning);
  fleet_.AddQueue("passing", 2, 3.0, 3000, 4);
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 10 * kSecond));
}

// Guards against starting a task again whose attempts were used up while its queue was unknown.
TEST_F(SchedulerCoreTest, FailsAJobOnceItsQueueShowsThatItsAttemptsAreUsedUp) {
  AddAgents(2);
  fleet_.AddQueue("passing", 2, 3.0, 3000, 1);
  fleet_.outcome_of = [](const std::string&, const TaskId&) { return RunEnd::kFailed; };
  const JobId job = fleet_.Submit("passing", "shop", MakeStep(1, 1, kSecond));
  fleet_.Advance(500);
  fleet_.RemoveQueue("passing");
  fleet_.ChangeScheduler(2);
  fleet_.Advance(2 * kSecond);
  fleet_.ChangeScheduler(3);
  fleet_.AddQueue("passing", 2, 3.0, 3000, 1);
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kFailed, 10 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
}

TEST_F(SchedulerCoreTest, TakesOverRunsWithoutRestartingThem) {
  AddAgents(3);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(4, 4, 6 * kSecond));
  fleet_.Advance(kSecond);
  const std::uint64_t first_run = fleet_.starts().front().second.run.value();
  fleet_.ChangeScheduler(2);
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 15 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 4U);
  EXPECT_TRUE(fleet_.overlapping_tasks().empty());
  EXPECT_GE(first_run, 1U);
}

// Guards against delaying a job after a failover until an unrelated agent reports. Only the agents
// named in a job's record may have runs of it; otherwise an urgent job waited six seconds for an
// agent on a host that no longer existed.
TEST_F(SchedulerCoreTest, WaitsAfterFailoverOnlyForAgentsThatMayHaveRuns) {
  AddAgents(3);
  const JobId old_job = fleet_.Submit("batch", "shop", MakeStep(1, 8, 20 * kSecond));
  fleet_.Advance(500);
  const std::string holder = fleet_.starts().front().first;
  fleet_.agent(holder).reachable = false;
  const JobId queued = fleet_.Submit("urgent", "shop", MakeStep(1, 1, 300));
  fleet_.ChangeScheduler(2);
  ASSERT_TRUE(fleet_.RunUntil(queued, JobPhase::kCompleted, 2 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(old_job), 1U);
}

// Guards against a step that is left out of placement without a trace in logs and metrics.
TEST_F(SchedulerCoreTest, CountsAStepThatWaitsForAnAgentToListItsRuns) {
  AddAgents(2);
  fleet_.Submit("batch", "shop", MakeStep(1, 8, 20 * kSecond));
  fleet_.Advance(500);
  fleet_.agent(fleet_.starts().front().first).reachable = false;
  fleet_.ChangeScheduler(2);
  fleet_.Advance(kSecond);
  EXPECT_EQ(fleet_.core().counts().steps_blocked, 1U);
  fleet_.Advance(8 * kSecond);
  EXPECT_EQ(fleet_.core().counts().steps_blocked, 0U);
}

TEST_F(SchedulerCoreTest, RunNumbersIncreaseAcrossSchedulers) {
  AddAgents(1);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 8, 20 * kSecond));
  fleet_.Advance(500);
  fleet_.agent("a0").runs.clear();
  fleet_.agent("a0").report.backend.front().started_unix_ms = 2;
  fleet_.agent("a0").next_end = 1;
  fleet_.ChangeScheduler(2);
  fleet_.Advance(8 * kSecond);
  ASSERT_EQ(fleet_.StartsOf(job), 2U);
  EXPECT_EQ(fleet_.starts()[0].second.run.value(), 1U);
  EXPECT_GT(fleet_.starts()[1].second.run.value(), 1U);
}

TEST_F(SchedulerCoreTest, CancellationStopsActiveRuns) {
  AddAgents(1);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(3, 1, 20 * kSecond));
  fleet_.Advance(500);
  fleet_.Cancel(job);
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCancelled, 2 * kSecond));
  fleet_.Advance(kSecond);
  EXPECT_EQ(fleet_.RunningTasks(job), 0U);
  EXPECT_TRUE(fleet_.agent("a0").runs.empty());
}

// Guards against sending a start that was decided before the cancellation and waited for the job's
// record.
TEST_F(SchedulerCoreTest, ACancelledJobDoesNotStartOnceItsRecordIsStored) {
  AddAgents(1);
  fleet_.Advance(kSecond);
  fleet_.store_available = false;
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(2, 1, 20 * kSecond));
  fleet_.Advance(500);
  EXPECT_EQ(fleet_.StartsOf(job), 0U);
  fleet_.Cancel(job);
  fleet_.store_available = true;
  // The record that the starts waited for.
  fleet_.core().OnSaved(job, 1);
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCancelled, 5 * kSecond));
  fleet_.ReadJobsAgain();
  fleet_.ChangeScheduler(2);
  fleet_.Advance(5 * kSecond);
  EXPECT_EQ(fleet_.StartsOf(job), 0U);
}

TEST_F(SchedulerCoreTest, RemembersTheCancellationOfAJobNotYetAdded) {
  AddAgents(1);
  fleet_.Cancel(JobId("0000000000000001"));
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 1, kSecond));
  fleet_.Advance(kSecond);
  EXPECT_EQ(fleet_.PhaseOf(job), JobPhase::kCancelled);
  EXPECT_EQ(fleet_.StartsOf(job), 0U);
}

// Guards against stopping runs only after the worker has shut down. Each report repeats the drain
// announcement, so the remaining time must not be counted from the latest report.
TEST_F(SchedulerCoreTest, StopsRunsBeforeADrainingWorkerLeaves) {
  AddAgents(1);
  StepSpec step = MakeStep(1, 1, 30 * kSecond);
  step.checkpoints = true;
  const JobId job = fleet_.Submit("batch", "shop", step);
  fleet_.Advance(500);
  BackendAnnouncement& backend = fleet_.agent("a0").report.backend.front();
  backend.draining = true;
  backend.drain_remaining = Duration(2000);
  ++backend.sequence;
  fleet_.Advance(1500);
  EXPECT_EQ(fleet_.RunningTasks(job), 0U);
  fleet_.Advance(500);
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
}

// Guards against a superseded scheduler that was paused and then shows a job as running that its
// successor has shown as completed (soak seed 14).
// Guards against tasks that run twice: a backend server lists only its first 500 ends until they
// are acknowledged, and the runs whose ends it did not list yet were taken for runs that do not
// exist.
TEST_F(SchedulerCoreTest, RunsWhoseEndsAreNotListedYetAreNotGivenUp) {
  AddAgents(1);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(2, 1, 10 * kSecond));
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.StartsOf(job), 2U);
  FleetHarness::Agent& agent = fleet_.agent("a0");
  const std::vector<FleetHarness::Run> runs = std::exchange(agent.runs, {});
  agent.report.more_ends = true;
  fleet_.Advance(2 * kSecond);
  EXPECT_EQ(fleet_.StartsOf(job), 2U);
  agent.report.more_ends = false;
  for (const FleetHarness::Run& run : runs) {
    agent.report.ended.push_back({agent.next_end++, run.task, run.run, 0, ""});
  }
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 2U);
}

// The same for a scheduler that takes over while ends are not listed yet.
TEST_F(SchedulerCoreTest, ANewSchedulerWaitsForTheEndsThatAreNotListedYet) {
  AddAgents(2);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 1, 10 * kSecond));
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.StartsOf(job), 1U);
  FleetHarness::Agent& agent = fleet_.agent(fleet_.starts().front().first);
  const std::vector<FleetHarness::Run> runs = std::exchange(agent.runs, {});
  agent.report.more_ends = true;
  fleet_.ChangeScheduler(2);
  fleet_.Advance(10 * kSecond);
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
  agent.report.more_ends = false;
  agent.report.ended.push_back({agent.next_end++, runs.front().task, runs.front().run, 0, ""});
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
}

/// Tests of ends that an agent has read from a backend server that leaves while the scheduler
/// changes.
class LeavingServerTest : public SchedulerCoreTest {
 protected:
  LeavingServerTest() {
    AddAgents(2);
    job_ = fleet_.Submit("batch", "shop", MakeStep(1, 1, 10 * kSecond));
    fleet_.Advance(kSecond);
    FleetHarness::Agent& agent = fleet_.agent(fleet_.starts().front().first);
    const FleetHarness::Run run = agent.runs.front();
    agent.runs.clear();
    agent.reachable = false;
    report_ = agent.report;
    report_.running.clear();
    report_.ended.push_back({agent.next_end++, run.task, run.run, 0, ""});
    fleet_.ChangeScheduler(2);
    fleet_.Advance(200);
    // No poll of the new term is answered.
    report_.term = Term(2);
    report_.poll = 0;
  }

  AgentReportReply Report() {
    ++report_.number;
    return fleet_.core().OnReport(TimePoint(fleet_.now_ms()), report_);
  }

  JobId job_;
  AgentReport report_;
};

// Guards against tasks that run again: the next scheduler ignored ends that an agent had read in
// the term before, and the server that listed them has left.
TEST_F(LeavingServerTest, EndsOfAnEarlierTermAreRecorded) {
  Report();
  report_.backend_gone = true;
  fleet_.Advance(kSecond);
  Report();
  EXPECT_TRUE(fleet_.RunUntil(job_, JobPhase::kCompleted, kSecond));
  EXPECT_EQ(fleet_.StartsOf(job_), 1U);
}

// The same if the server has left before the agent's first report to the new scheduler.
TEST_F(LeavingServerTest, EndsOfAServerThatHasLeftAreRecordedAndAcknowledged) {
  report_.backend_gone = true;
  Report();
  EXPECT_TRUE(fleet_.RunUntil(job_, JobPhase::kCompleted, kSecond));
  EXPECT_EQ(fleet_.StartsOf(job_), 1U);
  const AgentReportReply reply = Report();
  EXPECT_EQ(reply.acknowledged, report_.ended.back().number);
  EXPECT_EQ(reply.started_unix_ms, report_.backend.front().started_unix_ms);
}

// Guards against new work on a backend server that is about to leave: its agent was restarted, does
// not know the notice any more, and reports an announcement that was delayed on the way.
TEST_F(SchedulerCoreTest, ALateAnnouncementAtARestartedAgentDoesNotEndADrain) {
  fleet_.AddAgent("a0", "rack");
  fleet_.Advance(kSecond);
  AgentReport& report = fleet_.agent("a0").report;
  BackendAnnouncement& backend = report.backend.front();
  backend.sequence = 7;
  backend.draining = true;
  backend.drain_remaining = Duration(30 * kSecond);
  fleet_.Advance(kSecond);
  ++report.incarnation;
  report.number = 0;
  report.poll = 0;
  backend.sequence = 6;
  backend.draining = false;
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 1, kSecond));
  fleet_.Advance(kSecond);
  EXPECT_EQ(fleet_.StartsOf(job), 0U);
  // A newer announcement is not late.
  backend.sequence = 8;
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 5 * kSecond));
}

// Guards against tasks that run twice: a report of a killed agent process that arrives after those
// of its successor made the scheduler give up the runs that it lacks.
TEST_F(SchedulerCoreTest, ALateReportOfAKilledAgentProcessHasNoEffect) {
  AddAgents(2);
  std::map<std::string, AgentReport> late;
  for (const char* name : {"a0", "a1"}) {
    AgentReport& report = fleet_.agent(name).report;
    late[name] = report;
    ++report.incarnation;
    report.number = 0;
    report.poll = 0;
  }
  fleet_.Advance(kSecond);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 1, 10 * kSecond));
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.StartsOf(job), 1U);
  AgentReport& report = late[fleet_.starts().front().first];
  for (int i = 0; i < 3; ++i) {
    ++report.number;
    fleet_.core().OnReport(TimePoint(fleet_.now_ms()), report);
    fleet_.Advance(kSecond);
  }
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
  EXPECT_TRUE(fleet_.overlapping_tasks().empty());
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 10 * kSecond));
}

// The same for a process that an earlier scheduler has accepted with a session.
TEST_F(SchedulerCoreTest, ASessionOfAnEarlierTermDoesNotAdmitALateReport) {
  AddAgents(1);
  AgentReport& report = fleet_.agent("a0").report;
  ++report.incarnation;
  report.number = 0;
  fleet_.Advance(kSecond);
  ASSERT_NE(report.session, 0U);
  AgentReport late = report;
  fleet_.ChangeScheduler(2);
  ++report.incarnation;
  report.number = 0;
  fleet_.Advance(kSecond);
  for (int i = 0; i < 3; ++i) {
    ++late.number;
    EXPECT_FALSE(fleet_.core().OnReport(TimePoint(fleet_.now_ms()), late).accepted);
  }
}

TEST_F(SchedulerCoreTest, ReportsOnlyFinalPhasesWithoutAValidLease) {
  AddAgents(1);
  const JobId ended = fleet_.Submit("batch", "shop", MakeStep(1, 1, 100));
  ASSERT_TRUE(fleet_.RunUntil(ended, JobPhase::kCompleted, 2 * kSecond));
  const JobId running = fleet_.Submit("batch", "shop", MakeStep(1, 1, 30 * kSecond));
  fleet_.Advance(kSecond);
  EXPECT_TRUE(fleet_.core().AnswerQuery(running, true).accepted);
  EXPECT_FALSE(fleet_.core().AnswerQuery(running, false).accepted);
  EXPECT_TRUE(fleet_.core().AnswerQuery(ended, false).accepted);
}

TEST_F(SchedulerCoreTest, StartsNothingInAnEvacuatedDataCentre) {
  AddAgents(1);
  auto state = std::make_shared<OperatorState>();
  Queue queue;
  queue.id = QueueId("urgent");
  queue.service = ServiceId("service");
  state->config.queues.push_back(queue);
  state->evacuated.insert(DataCentreId("here"));
  fleet_.core().SetOperatorState(state);
  const JobId job = fleet_.Submit("urgent", "shop", MakeStep(1, 1, kSecond));
  fleet_.Advance(3 * kSecond);
  EXPECT_EQ(fleet_.StartsOf(job), 0U);
}

// Guards against two active runs of one task whose stop was carried out but not answered.
TEST_F(SchedulerCoreTest, KeepsTheCapacityOfARunWhoseStopWasNotAnswered) {
  AddAgents(2);
  const JobId batch = fleet_.Submit("batch", "shop", MakeStep(2, 8, 20 * kSecond));
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.RunningTasks(batch), 2U);
  fleet_.stop_time_ms = 900;
  for (const char* name : {"a0", "a1"}) fleet_.agent(name).loses_next_stop_answer = true;
  const JobId urgent = fleet_.Submit("urgent", "shop", MakeStep(1, 4, kSecond));
  std::size_t most_on_one_worker = 0;
  for (int i = 0; i < 250; ++i) {
    fleet_.Advance(20);
    for (const char* name : {"a0", "a1"}) {
      most_on_one_worker = std::max(most_on_one_worker, fleet_.agent(name).runs.size());
    }
  }
  EXPECT_EQ(fleet_.PhaseOf(urgent), JobPhase::kCompleted);
  EXPECT_EQ(most_on_one_worker, 1U);
}

// Guards against a task that never starts, because an unanswered start that did not take effect
// keeps its capacity although it was stopped.
TEST_F(SchedulerCoreTest, StartsATaskAgainWhoseStoppedStartNeverBegan) {
  AddAgents(1);
  fleet_.agent("a0").next_start_status = BackendStatus::kStopped;
  const JobId job = fleet_.Submit("urgent", "shop", MakeStep(1, 8, kSecond));
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 6 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
}

// Guards against the same if the start was not answered at all and only its stop is confirmed.
TEST_F(SchedulerCoreTest, StartsATaskAgainWhoseStartWasNotAnswered) {
  AddAgents(1);
  fleet_.agent("a0").next_start_status = BackendStatus::kUnknown;
  const JobId job = fleet_.Submit("urgent", "shop", MakeStep(1, 8, kSecond));
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 6 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
}

// Guards against repeated stops that postpone the poll that shows their effect, if polls take
// longer than the interval of the stops.
TEST_F(SchedulerCoreTest, RepeatedStopsDoNotPostponeTheirPoll) {
  AddAgents(1);
  fleet_.agent("a0").poll_interval_ms = 1200;
  fleet_.agent("a0").next_start_status = BackendStatus::kStopped;
  const JobId job = fleet_.Submit("urgent", "shop", MakeStep(1, 8, kSecond));
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 10 * kSecond));
}

// Guards against runs that wait for the end of their lease although their backend server has
// exited before a poll has listed them.
TEST_F(SchedulerCoreTest, RestartsTheRunsOfAnExitedBackendServerWithoutWaitingForTheirLease) {
  AddAgents(2);
  for (const char* name : {"a0", "a1"}) fleet_.agent(name).poll_interval_ms = 400;
  fleet_.Advance(kSecond);
  const JobId job = fleet_.Submit("urgent", "shop", MakeStep(1, 8, kSecond));
  while (fleet_.StartsOf(job) == 0) fleet_.Advance(20);
  FleetHarness::Agent& exited = fleet_.agent(fleet_.starts().front().first);
  exited.runs.clear();
  exited.report.backend_gone = true;
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 3 * kSecond));
}

// Guards against starting more on a backend server than the capacity that it has left.
TEST_F(SchedulerCoreTest, StartsNothingBeyondACapacityThatHasShrunk) {
  AddAgents(1);
  BackendAnnouncement& backend = fleet_.agent("a0").report.backend.front();
  const JobId running = fleet_.Submit("batch", "shop", MakeStep(1, 2, 3 * kSecond));
  fleet_.Advance(kSecond);
  backend.capacity.accelerators = 3;
  ++backend.sequence;
  fleet_.Advance(kSecond);
  const JobId waiting = fleet_.Submit("batch", "shop", MakeStep(1, 2, kSecond));
  fleet_.Advance(kSecond);
  EXPECT_EQ(fleet_.RunningTasks(running), 1U);
  EXPECT_EQ(fleet_.StartsOf(waiting), 0U);
  backend.capacity.accelerators = 8;
  ++backend.sequence;
  fleet_.Advance(500);
  EXPECT_EQ(fleet_.StartsOf(waiting), 1U);
}

// Guards against refusing a job as too large for all workers after a worker has grown.
TEST_F(SchedulerCoreTest, KnowsTheCapacityOfAWorkerThatHasGrown) {
  AddAgents(1);
  BackendAnnouncement& backend = fleet_.agent("a0").report.backend.front();
  backend.capacity.accelerators = 16;
  ++backend.sequence;
  fleet_.Advance(20 * kSecond);
  JobSpec job;
  job.steps = {MakeStep(1, 16, kSecond)};
  const auto shapes = fleet_.core().Shapes(TimePoint(fleet_.now_ms()));
  ASSERT_FALSE(shapes.empty());
  EXPECT_EQ(DescribeInfeasibleStep(job, ServiceId("service"), shapes), std::nullopt);
}

// Guards against giving the same capacity to two steps in one pass.
TEST_F(SchedulerCoreTest, GivesCapacityOnceInAPass) {
  AddAgents(1);
  fleet_.Submit("batch", "shop", MakeStep(1, 8, 20 * kSecond));
  fleet_.Submit("batch", "shop", MakeStep(1, 8, 20 * kSecond));
  fleet_.Advance(kSecond);
  EXPECT_EQ(fleet_.starts().size(), 1U);
}

// Guards against a task that never starts: its agent restarts after it has stopped an unanswered
// start that did not take effect.
TEST_F(SchedulerCoreTest, StartsATaskAgainIfItsAgentRestartsAfterAStoppedStart) {
  AddAgents(1);
  FleetHarness::Agent& agent = fleet_.agent("a0");
  agent.next_start_status = BackendStatus::kStopped;
  const JobId job = fleet_.Submit("urgent", "shop", MakeStep(1, 8, kSecond));
  while (agent.next_start_status) fleet_.Advance(20);
  agent.report.incarnation = 2;
  agent.report.number = 0;
  agent.report.poll = 0;
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 30 * kSecond));
}

// Guards against a lease that is granted beyond the time at which the scheduler stops waiting for
// the runs of an earlier term.
TEST_F(SchedulerCoreTest, GrantsNoLongerLeaseThanItWaitsForRunsOfAnEarlierTerm) {
  AddAgents(2);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 8, 60 * kSecond));
  fleet_.Advance(500);
  ASSERT_EQ(fleet_.StartsOf(job), 1U);
  FleetHarness::Agent& agent = fleet_.agent(fleet_.starts().front().first);
  agent.reachable = false;
  fleet_.ChangeScheduler(2);
  fleet_.Advance(4500);
  // The agent reaches the new scheduler; its polls of the new term are carried out, not answered.
  agent.report.poll = 0;
  std::int64_t granted_until_ms = 0;
  for (int i = 0; i < 60 && fleet_.StartsOf(job) == 1; ++i) {
    ++agent.report.number;
    agent.report.poll_age = Duration(1000 + i * 200);
    const auto reply = fleet_.core().OnReport(TimePoint(fleet_.now_ms()), agent.report);
    granted_until_ms = std::max(granted_until_ms, fleet_.now_ms() + reply.lease.milliseconds());
    fleet_.Advance(200);
  }
  ASSERT_EQ(fleet_.StartsOf(job), 2U);
  EXPECT_LE(granted_until_ms, fleet_.now_ms());
}

// Guards against a task that runs twice: a report that its agent made under the earlier term, and
// that lacks the run, reaches the new scheduler at the same address.
TEST_F(SchedulerCoreTest, AReportOfAnEarlierTermDoesNotShowThatARunIsGone) {
  AddAgents(2);
  FleetHarness::Agent& agent = fleet_.agent("a0");
  fleet_.Advance(kSecond);
  AgentReport stale = agent.report;
  fleet_.Submit("batch", "shop", MakeStep(1, 8, 60 * kSecond));
  fleet_.Advance(100);
  ASSERT_EQ(fleet_.starts().size(), 1U);
  ASSERT_EQ(fleet_.starts().front().first, "a0");
  agent.reachable = false;
  fleet_.ChangeScheduler(2);
  stale.number += 10;
  fleet_.core().OnReport(TimePoint(fleet_.now_ms()), stale);
  fleet_.Advance(kSecond);
  EXPECT_EQ(fleet_.core().counts().starts_planned, 0U);
}

// Guards against running tasks again whose ends are not seen: a backend server lists at most 500
// ends, beginning with the first one that is not acknowledged.
TEST_F(SchedulerCoreTest, StartsNothingOnAWorkerWithManyUnacknowledgedEnds) {
  AddAgents(1);
  FleetHarness::Agent& agent = fleet_.agent("a0");
  JobSpec unreadable;
  unreadable.id = JobId("00000000000000ff");
  fleet_.core().AddUnreadableJob(TimePoint(fleet_.now_ms()), fleet_.now_ms(), unreadable);
  agent.report.ended.push_back({1, {unreadable.id, 0, 0, 0}, RunNumber(1), 0, ""});
  agent.next_end = 2;
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(600, 1, 40));
  fleet_.Advance(30 * kSecond);
  EXPECT_LE(agent.report.ended.size(), 300U);
  fleet_.Cancel(unreadable.id);
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 60 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 600U);
}

// Guards against two active runs of one task: a stop that the earlier scheduler sent takes time.
TEST_F(SchedulerCoreTest, ANewSchedulerWaitsForRunsThatAreBeingStopped) {
  AddAgents(2);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 1, 10 * kSecond));
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.StartsOf(job), 1U);
  FleetHarness::Agent& agent = fleet_.agent(fleet_.starts().front().first);
  agent.runs.front().stop_at_ms = fleet_.now_ms() + fleet_.stop_time_ms;
  fleet_.ChangeScheduler(2);
  fleet_.Advance(2 * kSecond);
  EXPECT_TRUE(fleet_.overlapping_tasks().empty());
  EXPECT_EQ(fleet_.StartsOf(job), 2U);
}

// Guards against more work than a worker's capacity: what is being stopped still counts.
TEST_F(SchedulerCoreTest, ANewSchedulerKeepsTheCapacityOfRunsThatAreBeingStopped) {
  fleet_.SetEnforcesCapacity(false);
  AddAgents(1);
  const JobId stopped = fleet_.Submit("batch", "shop", MakeStep(1, 8, 10 * kSecond));
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.StartsOf(stopped), 1U);
  FleetHarness::Agent& agent = fleet_.agent("a0");
  fleet_.Submit("batch", "shop", MakeStep(1, 8, 10 * kSecond));
  agent.runs.front().stop_at_ms = fleet_.now_ms() + fleet_.stop_time_ms;
  fleet_.ChangeScheduler(2);
  fleet_.Advance(fleet_.stop_time_ms - 40);
  EXPECT_EQ(agent.runs.size(), 1U);
}

// Guards against two active runs: the agent stops a run whose start was not answered to it.
TEST_F(SchedulerCoreTest, ARunIsNotGivenUpWhileTheOutcomeOfItsStartIsOpen) {
  AddAgents(2);
  fleet_.Submit("batch", "shop", MakeStep(1, 1, 10 * kSecond));
  SchedulerCore& core = fleet_.core();
  TimePoint now(fleet_.now_ms());
  const auto pass = [&] {
    now = now + Duration(20);
    SchedulerOutput out = core.Tick(now, now.milliseconds(), true);
    for (const ProgressSave& save : out.saves) core.OnSaved(save.job, save.version);
    return out;
  };
  pass();
  const SchedulerOutput out = pass();
  ASSERT_EQ(out.orders.size(), 1U);
  const Order order = out.orders.front().message.orders.front();
  AgentReport report = fleet_.agent(out.orders.front().agent.ip).report;
  report.running.push_back({order.task, order.run, "", 0});
  ++report.number;
  ++report.poll;
  core.OnReport(now, report);
  report.running.clear();
  ++report.number;
  ++report.poll;
  core.OnReport(now, report);
  for (int i = 0; i < 5; ++i) pass();
  EXPECT_EQ(core.counts().starts_planned, 1U);
}

// Guards against two active runs of one task on a backend server that is suspended after a stop.
TEST_F(SchedulerCoreTest, AnOldPollDoesNotShowThatAStoppedRunHasNotBegun) {
  AddAgents(2);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 1, kSecond));
  fleet_.Advance(300);
  ASSERT_EQ(fleet_.StartsOf(job), 1U);
  FleetHarness::Agent& agent = fleet_.agent(fleet_.starts().front().first);
  agent.runs.front().stalled = true;
  fleet_.stop_time_ms = 60 * kSecond;
  for (int i = 0; i < 300 && agent.runs.front().stop_at_ms < 0; ++i) fleet_.Advance(20);
  ASSERT_GE(agent.runs.front().stop_at_ms, 0);
  fleet_.Advance(200);
  agent.poll_interval_ms = 60 * kSecond;
  for (int i = 0; i < 75; ++i) {
    agent.report.poll_age = Duration(fleet_.now_ms() - agent.polled_at_ms);
    fleet_.Advance(20);
  }
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
  EXPECT_TRUE(fleet_.overlapping_tasks().empty());
}

}  // namespace
}  // namespace basilspring::fleet
