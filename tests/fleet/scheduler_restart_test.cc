#include <gtest/gtest.h>

#include "fleet_harness.h"

// Backend servers that restart under their id, so that orders for the former incarnation can reach
// the new one.
namespace basilspring::fleet {
namespace {

constexpr std::int64_t kSecond = 1000;

class SchedulerRestartTest : public ::testing::Test {
 protected:
  SchedulerRestartTest() {
    fleet_.AddQueue("batch", 2, 3.0, 3000);
    fleet_.AddWorkspace("shop", 0);
    for (int i = 0; i < 3; ++i) fleet_.AddAgent("a" + std::to_string(i), "rack");
    fleet_.Advance(kSecond);
  }

  /// Starts a run and reports a new incarnation of its backend server, which has not been polled.
  /// Returns the agent.
  FleetHarness::Agent& RestartUnderARun(const JobId& job) {
    while (fleet_.StartsOf(job) == 0) fleet_.Advance(20);
    FleetHarness::Agent& agent = fleet_.agent(fleet_.starts().front().first);
    agent.report.backend.front().started_unix_ms = fleet_.now_ms();
    AgentReport unpolled = agent.report;
    unpolled.number = ++agent.report.number;
    unpolled.poll = 0;
    unpolled.running.clear();
    fleet_.core().OnReport(TimePoint(fleet_.now_ms()), unpolled);
    agent.reachable = false;
    return agent;
  }

  FleetHarness fleet_;
  SchedulerOptions options_;
};

// Guards against a task that runs twice: the new incarnation carries it out, but was not polled.
TEST_F(SchedulerRestartTest, WaitsForTheRunsOfANewIncarnationWithTheSameId) {
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 8, 10 * kSecond));
  FleetHarness::Agent& agent = RestartUnderARun(job);
  fleet_.Advance(kSecond);
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
  agent.reachable = true;
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 20 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
  EXPECT_TRUE(fleet_.overlapping_tasks().empty());
}

// Guards against a job that fails because a run that goes on was counted as crashed.
TEST_F(SchedulerRestartTest, CountsNoCrashOfARunThatTheNewIncarnationLists) {
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 8, 10 * kSecond));
  for (int restart = 0; restart < 5; ++restart) {
    RestartUnderARun(job).reachable = true;
    fleet_.Advance(500);
  }
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 20 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
}

// Guards against a task that waits for the whole lease after a restart.
TEST_F(SchedulerRestartTest, StartsATaskAgainOnceANewIncarnationDoesNotListIt) {
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 8, 2 * kSecond));
  FleetHarness::Agent& agent = RestartUnderARun(job);
  agent.runs.clear();
  agent.reachable = true;
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 4 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(job), 2U);
}

// Guards against a task that runs twice because of a lease on the former clock.
TEST_F(SchedulerRestartTest, ARestartedServerThatFallsSilentMayHoldTheLongestLease) {
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 8, 30 * kSecond));
  FleetHarness::Agent& agent = RestartUnderARun(job);
  agent.reachable = true;
  fleet_.Advance(500);
  agent.reachable = false;
  fleet_.Advance(options_.longest_lease.milliseconds() - 500);
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
  agent.runs.clear();
  fleet_.Advance(3 * kSecond);
  EXPECT_EQ(fleet_.StartsOf(job), 2U);
}

// Guards against a task that runs twice because the record lacks an adopted run's agent.
TEST_F(SchedulerRestartTest, ASuccessorWaitsForTheAgentOfARunThatWasAdopted) {
  fleet_.AddAgent("large", "rack", 16);
  fleet_.Advance(kSecond);
  const StepSpec large = MakeStep(1, 16, 10 * kSecond);
  const StepSpec small = MakeStep(1, 1, 60);
  fleet_.outcome_of = [&](const std::string&, const TaskId&) {
    return fleet_.starts().size() <= 2 ? RunEnd::kFailed : RunEnd::kDone;
  };
  FleetHarness::Agent& agent = fleet_.agent("large");
  agent.next_start_status = BackendStatus::kRefused;
  agent.starts_despite_status = true;
  const JobId job = fleet_.Submit("batch", "shop", {large, small});
  fleet_.Advance(40);
  ASSERT_EQ(fleet_.StartsOf(job), 2U);
  ASSERT_EQ(agent.runs.size(), 1U);
  // The failure of the other task is recorded before the refused run is listed.
  agent.reachable = false;
  fleet_.Advance(300);
  agent.reachable = true;
  fleet_.Advance(300);
  ASSERT_EQ(agent.runs.size(), 1U);
  agent.reachable = false;
  fleet_.AddAgent("spare", "rack", 16);
  fleet_.ChangeScheduler(2);
  fleet_.Advance(2 * kSecond);
  EXPECT_TRUE(fleet_.overlapping_tasks().empty());
  agent.reachable = true;
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 20 * kSecond));
  EXPECT_TRUE(fleet_.overlapping_tasks().empty());
}

// Guards against a worker whose capacity is exceeded: a run whose job is not known occupies room.
TEST_F(SchedulerRestartTest, StartsNothingBesideARunOfUnknownSize) {
  fleet_.SetEnforcesCapacity(false);
  FleetHarness::Agent& agent = fleet_.AddAgent("large", "rack", 16);
  fleet_.Advance(kSecond);
  FleetHarness::Run unknown;
  unknown.task = {JobId("00000000000000ff"), 0, 0, 0};
  unknown.run = RunNumber(1);
  unknown.stalled = true;
  agent.runs.push_back(unknown);
  fleet_.Advance(200);
  const JobId job = fleet_.Submit("batch", "shop", MakeStep(1, 16, kSecond));
  while (fleet_.StartsOf(job) == 0) {
    ASSERT_LT(fleet_.now_ms(), 1020 * kSecond);
    fleet_.Advance(20);
  }
  EXPECT_EQ(agent.runs.size(), 1U);
  EXPECT_EQ(agent.runs.front().task.job, job);
}

}  // namespace
}  // namespace basilspring::fleet
