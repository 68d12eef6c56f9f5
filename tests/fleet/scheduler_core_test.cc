#include "basilspring/fleet/scheduler_core.h"

#include <gtest/gtest.h>

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

TEST_F(SchedulerCoreTest, RunsStepsInTheirOrderAndShowsTheEnd) {
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

// An end that is shown before it is stored would be taken back by the next scheduler when the
// backend server that held it has been replaced meanwhile (ondh-basil, hunted day hunt-a8fd-31).
TEST_F(SchedulerCoreTest, ShowsTheEndOnlyOnceItIsStored) {
  AddAgents(1);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 1, 500));
  fleet_.Advance(300);
  fleet_.store_answers = false;
  fleet_.Advance(2 * kSecond);
  EXPECT_EQ(fleet_.PhaseOf(job), JobPhase::kRunning);
  EXPECT_FALSE(fleet_.agent("a0").report.ended.empty());
}

// A successor that does not know where a run may be would start its task again beside it.
TEST_F(SchedulerCoreTest, StartsNothingBeforeTheRecordOfItsAgentIsStored) {
  AddAgents(1);
  fleet_.store_answers = false;
  const JobId job = fleet_.Submit("urgent", "shop", MakeStep(1, 1, 500));
  fleet_.Advance(2 * kSecond);
  EXPECT_EQ(fleet_.StartsOf(job), 0U);
}

// A run that is being stopped is not listed as running any more, though it still works: its task
// was started elsewhere, and two runs worked at the same time.
TEST_F(SchedulerCoreTest, KeepsTheRoomOfAStoppedRunUntilItsEnd) {
  AddAgents(2);
  StepSpec victim = MakeStep(2, 8, 20 * kSecond);
  const JobId batch = fleet_.Submit("batch", "shop", victim);
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.Running(batch), 2U);
  const JobId urgent = fleet_.Submit("urgent", "shop", MakeStep(1, 8, 2 * kSecond));
  ASSERT_TRUE(fleet_.RunUntil(urgent, JobPhase::kCompleted, 10 * kSecond));
  // Room is kept for urgent work for a while after the last of it.
  fleet_.Advance(15 * kSecond);
  EXPECT_TRUE(fleet_.doubled().empty());
  EXPECT_EQ(fleet_.Running(batch), 2U);
}

// A start without an answer may have begun: it was reported as refused once it had been stopped,
// and the task was started elsewhere while the first run was still stopping.
TEST_F(SchedulerCoreTest, WaitsForAStartThatWasStoppedWithoutAnAnswer) {
  AddAgents(2);
  fleet_.agent("a0").next_start = BackendStatus::kStopped;
  fleet_.agent("a0").starts_anyway = true;
  fleet_.agent("a1").next_start = BackendStatus::kStopped;
  fleet_.agent("a1").starts_anyway = true;
  const JobId job = fleet_.Submit("urgent", "shop", MakeStep(1, 8, kSecond));
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 10 * kSecond));
  EXPECT_TRUE(fleet_.doubled().empty());
  EXPECT_GE(fleet_.StartsOf(job), 2U);
}

// Releasing one run made the key of the next unreadable, and the other tasks of a lost worker were
// never started again.
TEST_F(SchedulerCoreTest, StartsAllTasksOfALostWorkerAgain) {
  AddAgents(2);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(6, 1, 3 * kSecond));
  fleet_.Advance(500);
  ASSERT_EQ(fleet_.Running(job), 6U);
  FleetHarness::Agent& lost = fleet_.agent(fleet_.starts().front().first);
  lost.runs.clear();
  lost.report.backend_gone = true;
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 15 * kSecond));
  EXPECT_TRUE(fleet_.doubled().empty());
}

// While an agent can't be reached, its backend server may work on until the lease runs out.
TEST_F(SchedulerCoreTest, WaitsForTheLeaseOfASilentAgent) {
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

// A backend server that had just joined counted as silent since the term began, so its runs were
// given up at once and started again elsewhere.
TEST_F(SchedulerCoreTest, KeepsTheRunsOfAWorkerThatHasJustJoined) {
  AddAgents(1);
  fleet_.Advance(20 * kSecond);
  fleet_.AddAgent("late", "rack9");
  fleet_.Advance(400);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(2, 8, 3 * kSecond));
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 10 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 2U);
}

// Members of a gang that have done their share wait at 100% for the slowest one: the gang was taken
// for stalled and started anew, again and again.
TEST_F(SchedulerCoreTest, LetsTheMembersOfAGangWaitForTheSlowest) {
  AddAgents(3);
  StepSpec gang = MakeStep(3, 8, 4 * kSecond);
  gang.gang = true;
  fleet_.work_of = [](const TaskId& task) { return task.index == 0 ? 12 * kSecond : 4 * kSecond; };
  const JobId job = fleet_.Submit("batch", "shop", gang);
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 20 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 3U);
}

TEST_F(SchedulerCoreTest, MovesATaskThatStandsStill) {
  AddAgents(2);
  const JobId job = fleet_.Submit("urgent", "shop", MakeStep(1, 1, 2 * kSecond));
  fleet_.Advance(300);
  for (auto* name : {"a0", "a1"}) {
    for (FleetHarness::Run& run : fleet_.agent(name).runs) run.hangs = true;
  }
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 12 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 2U);
  EXPECT_TRUE(fleet_.doubled().empty());
}

// Ends are listed again to the next scheduler; counted twice, a job would fail too early.
TEST_F(SchedulerCoreTest, CountsAFailureOnceAcrossSchedulers) {
  AddAgents(2);
  fleet_.AddQueue("twice", 2, 3.0, 3000, 2);
  bool fail = true;
  fleet_.end_of = [&](const std::string&, const TaskId&) {
    const bool failed = std::exchange(fail, false);
    return failed ? RunEnd::kFailed : RunEnd::kDone;
  };
  const JobId job = fleet_.Submit("twice", "shop", MakeStep(1, 1, 500));
  fleet_.Advance(700);
  // The first end was recorded, but its acknowledgement was lost with the scheduler.
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
  fleet_.end_of = [](const std::string&, const TaskId&) { return RunEnd::kFailed; };
  const JobId job = fleet_.Submit("twice", "shop", MakeStep(1, 1, 500));
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kFailed, 10 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 2U);
}

TEST_F(SchedulerCoreTest, TakesOverRunsWithoutStartingThemAgain) {
  AddAgents(3);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(4, 4, 6 * kSecond));
  fleet_.Advance(kSecond);
  const std::uint64_t first_run = fleet_.starts().front().second.run.value();
  fleet_.ChangeScheduler(2);
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 15 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 4U);
  EXPECT_TRUE(fleet_.doubled().empty());
  EXPECT_GE(first_run, 1U);
}

// Only the agents that a job's record names are waited for: a quote waited six seconds for an agent
// of a machine that was gone.
TEST_F(SchedulerCoreTest, WaitsAfterAChangeOnlyForAgentsThatMayHaveRuns) {
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

TEST_F(SchedulerCoreTest, RunNumbersRiseAcrossSchedulers) {
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

TEST_F(SchedulerCoreTest, CancelStopsWhatRuns) {
  AddAgents(1);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(3, 1, 20 * kSecond));
  fleet_.Advance(500);
  fleet_.Cancel(job);
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCancelled, 2 * kSecond));
  fleet_.Advance(kSecond);
  EXPECT_EQ(fleet_.Running(job), 0U);
  EXPECT_TRUE(fleet_.agent("a0").runs.empty());
}

TEST_F(SchedulerCoreTest, ACancellationThatComesBeforeItsJobCounts) {
  AddAgents(1);
  fleet_.Cancel(JobId("0000000000000001"));
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 1, kSecond));
  fleet_.Advance(kSecond);
  EXPECT_EQ(fleet_.PhaseOf(job), JobPhase::kCancelled);
  EXPECT_EQ(fleet_.StartsOf(job), 0U);
}

// Each report repeats the announcement; the time that remained was counted from the last report,
// and runs were stopped after the worker had left.
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
  EXPECT_EQ(fleet_.Running(job), 0U);
  fleet_.Advance(500);
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
}

// A deposed scheduler that had been paused showed a job as running that others had shown as
// completed (soak seed 14).
TEST_F(SchedulerCoreTest, TellsOnlyEndsWithoutAValidLease) {
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

}  // namespace
}  // namespace basilspring::fleet
