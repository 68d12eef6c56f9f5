#include <gtest/gtest.h>

#include <stdexcept>

#include "fleet_harness.h"

// Plays the loads that the policy answers and checks what callers get.
namespace basilspring::fleet {
namespace {

constexpr std::int64_t kSecond = 1000;

class SchedulerLoadTest : public ::testing::Test {
 protected:
  SchedulerLoadTest() {
    fleet_.AddQueue("urgent", 0, 1.5, 400);
    fleet_.AddQueue("forecast", 1, 3.0, 1200);
    fleet_.AddQueue("batch", 2, 3.0, 3000);
    fleet_.AddWorkspace("owner", 16);
    fleet_.AddWorkspace("other", 0);
    for (int i = 0; i < 6; ++i) {
      fleet_.AddAgent("a" + std::to_string(i), "rack" + std::to_string(i / 3));
    }
    fleet_.Advance(kSecond);
  }

  /// Time until all tasks of the job have begun, or -1 after the limit.
  std::int64_t TimeToBegin(const JobId& job, std::size_t tasks, std::int64_t limit_ms) {
    const std::int64_t begun = fleet_.now_ms();
    while (fleet_.now_ms() - begun < limit_ms) {
      if (fleet_.StartsOf(job) >= tasks) return fleet_.now_ms() - begun;
      fleet_.Advance(20);
    }
    return -1;
  }

  /// An agent that has a run of the job.
  FleetHarness::Agent& AgentOf(const JobId& job) {
    for (const auto& [name, run] : fleet_.starts()) {
      if (run.task.job == job) return fleet_.agent(name);
    }
    throw std::logic_error("the job has not begun");
  }

  static void AnnounceDrain(FleetHarness::Agent& agent, std::int64_t remaining_ms) {
    BackendAnnouncement& backend = agent.report.backend.front();
    backend.draining = true;
    backend.drain_remaining = Duration(remaining_ms);
    ++backend.sequence;
  }

  FleetHarness fleet_;
};

// A workspace's guarantee is lent to long work of others; its owner gets it back within the time
// that the stop of a run takes and a bound far below the 2.7 s that operators are promised.
TEST_F(SchedulerLoadTest, AGuaranteeIsReclaimedFromBorrowers) {
  const JobId borrowed = fleet_.Submit("batch", "other", MakeStep(48, 1, 60 * kSecond));
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.Running(borrowed), 48U);
  StepSpec gang = MakeStep(2, 8, 3 * kSecond);
  gang.gang = true;
  const JobId owner = fleet_.Submit("urgent", "owner", gang);
  const std::int64_t waited = TimeToBegin(owner, 2, 10 * kSecond);
  EXPECT_GE(waited, 0);
  EXPECT_LE(waited, 2700);
  EXPECT_TRUE(fleet_.doubled().empty());
  EXPECT_TRUE(fleet_.RunUntil(owner, JobPhase::kCompleted, 6 * kSecond));
}

// Urgent jobs beyond a guarantee stopped work worth many times their own: whole gangs near their
// end were thrown away for one short task.
TEST_F(SchedulerLoadTest, AShortJobBeyondAGuaranteeDoesNotStopALongGang) {
  StepSpec gang = MakeStep(6, 8, 12 * kSecond);
  gang.gang = true;
  const JobId forecast = fleet_.Submit("forecast", "other", gang);
  fleet_.Advance(9 * kSecond);
  ASSERT_EQ(fleet_.Running(forecast), 6U);
  const JobId urgent = fleet_.Submit("urgent", "other", MakeStep(1, 1, kSecond));
  ASSERT_TRUE(fleet_.RunUntil(forecast, JobPhase::kCompleted, 6 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(forecast), 6U);
  EXPECT_TRUE(fleet_.RunUntil(urgent, JobPhase::kCompleted, 6 * kSecond));
}

// Urgent jobs beyond a guarantee waited until they were late, because what they would have stopped
// had worked for some seconds; late they are worth a fifth to their callers.
TEST_F(SchedulerLoadTest, AnUrgentJobBeyondAGuaranteeIsOnTimeAmongLongTasks) {
  fleet_.Submit("batch", "other", MakeStep(48, 1, 30 * kSecond));
  fleet_.Advance(6 * kSecond);
  StepSpec gang = MakeStep(2, 8, 2500);
  gang.gang = true;
  const JobId urgent = fleet_.Submit("urgent", "other", gang);
  EXPECT_TRUE(fleet_.RunUntil(urgent, JobPhase::kCompleted, 2500 * 3 / 2 + 400));
}

// A gang that needs whole workers starved while small tasks refilled every gap.
TEST_F(SchedulerLoadTest, AWaitingGangGetsRoomThoughSmallTasksKeepComing) {
  for (int i = 0; i < 48; ++i) {
    fleet_.Submit("batch", "other", MakeStep(1, 1, 2 * kSecond + i * 40));
  }
  fleet_.Advance(kSecond);
  StepSpec gang = MakeStep(3, 8, 2 * kSecond);
  gang.gang = true;
  const JobId forecast = fleet_.Submit("forecast", "other", gang);
  for (int i = 0; i < 40; ++i) {
    fleet_.Advance(200);
    fleet_.Submit("batch", "other", MakeStep(4, 1, 2 * kSecond));
    if (fleet_.StartsOf(forecast) > 0) break;
  }
  EXPECT_EQ(fleet_.StartsOf(forecast), 3U);
}

// Tasks away from the rack of their data take several times as long: a step waits for its rack
// while others have work, but not for long in a fleet that stands idle.
TEST_F(SchedulerLoadTest, AStepWaitsForItsRackOnlyBriefly) {
  fleet_.Submit("batch", "other", MakeStep(24, 1, 20 * kSecond));
  fleet_.Advance(kSecond);
  std::string full_rack;
  for (int i = 0; i < 6; i += 3) {
    if (fleet_.agent("a" + std::to_string(i)).runs.size() == 8) {
      full_rack = "rack" + std::to_string(i / 3);
    }
  }
  ASSERT_FALSE(full_rack.empty());
  StepSpec step = MakeStep(1, 8, kSecond);
  step.data_rack = full_rack;
  const JobId job = fleet_.Submit("forecast", "other", step);
  fleet_.Advance(500);
  EXPECT_EQ(fleet_.StartsOf(job), 0U);
  // The fleet is half used, so the wait goes on until the rack has room.
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 25 * kSecond));
}

// The worker of one member of an urgent gang left while the others were still being freed: the
// whole reservation was given up, and as much work was stopped again elsewhere.
TEST_F(SchedulerLoadTest, ALostWorkerOfAReservationIsReplacedAlone) {
  for (int i = 6; i < 12; ++i) fleet_.AddAgent("a" + std::to_string(i), "rack2");
  const JobId borrowed = fleet_.Submit("batch", "other", MakeStep(96, 1, 10 * kSecond));
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.Running(borrowed), 96U);
  StepSpec gang = MakeStep(4, 8, 8 * kSecond);
  gang.gang = true;
  const JobId urgent = fleet_.Submit("urgent", "other", gang);
  while (fleet_.core().counts().runs_preempted == 0) fleet_.Advance(20);
  fleet_.Advance(100);
  for (int i = 0; i < 12; ++i) {
    FleetHarness::Agent& agent = fleet_.agent("a" + std::to_string(i));
    if (agent.runs.empty() || agent.runs.front().stop_at_ms < 0) continue;
    AnnounceDrain(agent, 9 * kSecond);
    break;
  }
  EXPECT_GE(TimeToBegin(urgent, 4, 2 * kSecond), 0);
  EXPECT_EQ(fleet_.core().counts().runs_preempted, 40U);
}

// Gangs on a worker that was taken away at short notice worked on until it left, and lost all of
// it.
TEST_F(SchedulerLoadTest, AGangThatCannotFinishOnALeavingWorkerMovesAtOnce) {
  StepSpec gang = MakeStep(3, 8, 6 * kSecond);
  gang.gang = true;
  const JobId job = fleet_.Submit("urgent", "other", gang);
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.Running(job), 3U);
  AnnounceDrain(AgentOf(job), 2 * kSecond);
  EXPECT_GE(TimeToBegin(job, 6, 1000), 0);
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 7 * kSecond));
}

// Runs that would have ended before their worker left were stopped half a second too early.
TEST_F(SchedulerLoadTest, ARunThatEndsBeforeItsWorkerLeavesIsLeftAlone) {
  const JobId job = fleet_.Submit("urgent", "other", MakeStep(1, 8, 5 * kSecond));
  fleet_.Advance(3200);
  AnnounceDrain(AgentOf(job), 2100);
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 2100));
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
}

// One worker fails everything it starts and so attracts all work.
TEST_F(SchedulerLoadTest, AWorkerThatFailsEverythingGetsNoMoreWork) {
  fleet_.end_of = [](const std::string& agent, const TaskId&) {
    return agent == "a0" ? RunEnd::kFailed : RunEnd::kDone;
  };
  std::vector<JobId> jobs;
  for (int i = 0; i < 30; ++i) {
    jobs.push_back(fleet_.Submit("batch", "other", MakeStep(2, 1, 200)));
    fleet_.Advance(200);
  }
  fleet_.Advance(5 * kSecond);
  for (const JobId& job : jobs) EXPECT_EQ(fleet_.PhaseOf(job), JobPhase::kCompleted);
  const auto on_sick = std::count_if(fleet_.starts().begin(), fleet_.starts().end(),
                                     [](const auto& row) { return row.first == "a0"; });
  EXPECT_LE(on_sick, 12);
}

}  // namespace
}  // namespace basilspring::fleet
