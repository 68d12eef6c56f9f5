#include <gtest/gtest.h>

#include <set>
#include <stdexcept>

#include "fleet_harness.h"

// Simulates the loads that the scheduling policy is designed for, and checks the results that
// callers see.
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

  /// Returns the time until `tasks` tasks of the job have started, or -1 if the limit passes first.
  std::int64_t TimeToStart(const JobId& job, std::size_t tasks, std::int64_t limit_ms) {
    const std::int64_t started_waiting_ms = fleet_.now_ms();
    while (fleet_.now_ms() - started_waiting_ms < limit_ms) {
      if (fleet_.StartsOf(job) >= tasks) return fleet_.now_ms() - started_waiting_ms;
      fleet_.Advance(20);
    }
    return -1;
  }

  /// Returns an agent on which a run of the job was started.
  FleetHarness::Agent& AgentOf(const JobId& job) {
    for (const auto& [name, run] : fleet_.starts()) {
      if (run.task.job == job) return fleet_.agent(name);
    }
    throw std::logic_error("no run of the job has started");
  }

  /// Runs until the job is completed, while the agent answers each start with this status without
  /// executing it. Returns false if the limit passes first.
  bool CompletesBesideFailingStarts(const JobId& job, const std::string& agent,
                                    BackendStatus status, std::int64_t limit_ms) {
    for (std::int64_t waited = 0; waited < limit_ms; waited += 20) {
      if (fleet_.PhaseOf(job) == JobPhase::kCompleted) return true;
      fleet_.agent(agent).next_start_status = status;
      fleet_.Advance(20);
    }
    return false;
  }

  static void AnnounceDrain(FleetHarness::Agent& agent, std::int64_t remaining_ms) {
    BackendAnnouncement& backend = agent.report.backend.front();
    backend.draining = true;
    backend.drain_remaining = Duration(remaining_ms);
    ++backend.sequence;
  }

  FleetHarness fleet_;
};

// Guards against slow reclaiming of a guarantee that long tasks of others occupy (borrowed). The
// owner gets its capacity back as soon as the borrowed runs have stopped, which takes far less than
// the 2.7 s promised to operators.
TEST_F(SchedulerLoadTest, AGuaranteeIsReclaimedFromBorrowers) {
  const JobId borrowed = fleet_.Submit("batch", "other", MakeStep(48, 1, 60 * kSecond));
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.RunningTasks(borrowed), 48U);
  StepSpec gang = MakeStep(2, 8, 3 * kSecond);
  gang.gang = true;
  const JobId owner = fleet_.Submit("urgent", "owner", gang);
  const std::int64_t waited = TimeToStart(owner, 2, 10 * kSecond);
  EXPECT_GE(waited, 0);
  EXPECT_LE(waited, 2700);
  EXPECT_TRUE(fleet_.overlapping_tasks().empty());
  EXPECT_TRUE(fleet_.RunUntil(owner, JobPhase::kCompleted, 6 * kSecond));
}

// Guards against borrowed urgent jobs that preempt many times their own work, such as a whole gang
// near its end for one short task.
TEST_F(SchedulerLoadTest, AShortJobBeyondAGuaranteeDoesNotStopALongGang) {
  StepSpec gang = MakeStep(6, 8, 12 * kSecond);
  gang.gang = true;
  const JobId forecast = fleet_.Submit("forecast", "other", gang);
  fleet_.Advance(9 * kSecond);
  ASSERT_EQ(fleet_.RunningTasks(forecast), 6U);
  const JobId urgent = fleet_.Submit("urgent", "other", MakeStep(1, 1, kSecond));
  ASSERT_TRUE(fleet_.RunUntil(forecast, JobPhase::kCompleted, 6 * kSecond));
  EXPECT_EQ(fleet_.StartsOf(forecast), 6U);
  EXPECT_TRUE(fleet_.RunUntil(urgent, JobPhase::kCompleted, 6 * kSecond));
}

// Guards against borrowed urgent jobs that wait until they are late, because the tasks to preempt
// have already run for some seconds. A late job has a fifth of its value to its caller.
TEST_F(SchedulerLoadTest, AnUrgentJobBeyondAGuaranteeIsOnTimeAmongLongTasks) {
  fleet_.Submit("batch", "other", MakeStep(48, 1, 30 * kSecond));
  fleet_.Advance(6 * kSecond);
  StepSpec gang = MakeStep(2, 8, 2500);
  gang.gang = true;
  const JobId urgent = fleet_.Submit("urgent", "other", gang);
  EXPECT_TRUE(fleet_.RunUntil(urgent, JobPhase::kCompleted, 2500 * 3 / 2 + 400));
}

// Guards against starvation of a gang that needs whole workers while small tasks take all capacity
// that becomes free.
TEST_F(SchedulerLoadTest, AWaitingGangStartsWhileSmallTasksKeepArriving) {
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

// Tasks away from the rack of their data take several times as long. A step therefore waits for its
// rack while the fleet is busy; in a mostly idle fleet it would wait only briefly.
TEST_F(SchedulerLoadTest, AStepWaitsForItsRackInABusyFleet) {
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
  // Half of the fleet is in use, so the step waits until the rack has free capacity.
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 25 * kSecond));
}

// Guards against giving up the whole reservation of an urgent gang, and preempting as much work
// again elsewhere, because one of the reserved workers starts to drain while the others are being
// freed.
TEST_F(SchedulerLoadTest, ALostWorkerOfAReservationIsReplacedAlone) {
  for (int i = 6; i < 12; ++i) fleet_.AddAgent("a" + std::to_string(i), "rack2");
  const JobId borrowed = fleet_.Submit("batch", "other", MakeStep(96, 1, 10 * kSecond));
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.RunningTasks(borrowed), 96U);
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
  EXPECT_GE(TimeToStart(urgent, 4, 2 * kSecond), 0);
  EXPECT_EQ(fleet_.core().counts().runs_preempted, 40U);
}

// Guards against lost work of a gang that keeps running on a worker that drains at short notice
// until the worker shuts down.
TEST_F(SchedulerLoadTest, AGangThatCannotFinishOnADrainingWorkerMovesImmediately) {
  StepSpec gang = MakeStep(3, 8, 6 * kSecond);
  gang.gang = true;
  const JobId job = fleet_.Submit("urgent", "other", gang);
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.RunningTasks(job), 3U);
  AnnounceDrain(AgentOf(job), 2 * kSecond);
  EXPECT_GE(TimeToStart(job, 6, 1000), 0);
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 7 * kSecond));
}

// Guards against stopping runs half a second too early that would end before their worker shuts
// down.
TEST_F(SchedulerLoadTest, ARunThatEndsBeforeItsWorkerShutsDownIsNotStopped) {
  const JobId job = fleet_.Submit("urgent", "other", MakeStep(1, 8, 5 * kSecond));
  fleet_.Advance(3200);
  AnnounceDrain(AgentOf(job), 2100);
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 2100));
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
}

// Guards against a faulty worker that fails every run immediately, is therefore always free, and so
// attracts all work.
TEST_F(SchedulerLoadTest, AWorkerThatFailsEverythingGetsNoMoreWork) {
  fleet_.outcome_of = [](const std::string& agent, const TaskId&) {
    return agent == "a0" ? RunEnd::kFailed : RunEnd::kDone;
  };
  std::vector<JobId> jobs;
  for (int i = 0; i < 30; ++i) {
    jobs.push_back(fleet_.Submit("batch", "other", MakeStep(2, 1, 200)));
    fleet_.Advance(200);
  }
  fleet_.Advance(5 * kSecond);
  for (const JobId& job : jobs) EXPECT_EQ(fleet_.PhaseOf(job), JobPhase::kCompleted);
  const auto on_faulty = std::count_if(fleet_.starts().begin(), fleet_.starts().end(),
                                       [](const auto& row) { return row.first == "a0"; });
  EXPECT_LE(on_faulty, 12);
}

// Guards against jobs that wait in an idle fleet until the last probation is over, after all
// workers have failed runs for a while. 3 s is the longest wait that the users allow.
TEST_F(SchedulerLoadTest, AJobIsNotLeftWaitingWhileAllWorkersAreOnProbation) {
  RunEnd end = RunEnd::kFailed;
  fleet_.outcome_of = [&end](const std::string&, const TaskId&) { return end; };
  for (int i = 0; i < 4; ++i) {
    fleet_.Submit("batch", "other", MakeStep(12, 4, 200));
    fleet_.Submit("batch", "other", MakeStep(12, 4, 200));
    fleet_.Advance(12 * kSecond);
  }
  end = RunEnd::kDone;
  const JobId job = fleet_.Submit("batch", "other", MakeStep(1, 1, 200));
  fleet_.Advance(20);
  ASSERT_EQ(fleet_.core().counts().workers_on_probation, 6U);
  EXPECT_GE(TimeToStart(job, 1, 3 * kSecond), 0);
  ASSERT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, kSecond));
  // The worker that has run the job is no longer on probation.
  const JobId next = fleet_.Submit("batch", "other", MakeStep(1, 1, 200));
  EXPECT_GE(TimeToStart(next, 1, kSecond), 0);
}

// Guards against a step that waits for ever for the rack of its first tasks, which drains, while
// other racks are idle.
TEST_F(SchedulerLoadTest, AStepInOneRackContinuesElsewhereWhenItsRackDrains) {
  StepSpec step = MakeStep(20, 1, kSecond);
  step.same_rack = true;
  fleet_.run_time_of = [](const TaskId& id) { return id.index == 0 ? 400 : kSecond; };
  const JobId job = fleet_.Submit("batch", "other", step);
  fleet_.Advance(600);
  ASSERT_EQ(fleet_.RunningTasks(job), 19U);
  const std::string rack = AgentOf(job).report.backend.front().rack;
  for (int i = 0; i < 6; ++i) {
    FleetHarness::Agent& agent = fleet_.agent("a" + std::to_string(i));
    if (agent.report.backend.front().rack == rack) AnnounceDrain(agent, 600);
  }
  EXPECT_GE(TimeToStart(job, 39, 3 * kSecond), 0);
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 3 * kSecond));
}

// Guards against a step that waits for the rack of its first tasks, which other work occupies for
// long, while most of the fleet is idle.
TEST_F(SchedulerLoadTest, AStepInOneRackContinuesElsewhereWhenItsRackIsOccupied) {
  for (int i = 6; i < 9; ++i) fleet_.AddAgent("a" + std::to_string(i), "rack2");
  StepSpec step = MakeStep(20, 1, 400);
  step.same_rack = true;
  step.data_rack = "rack0";
  bool failing = true;
  fleet_.outcome_of = [&failing](const std::string&, const TaskId& id) {
    return failing && id.index > 0 ? RunEnd::kFailed : RunEnd::kDone;
  };
  const JobId job = fleet_.Submit("batch", "other", step);
  fleet_.Advance(200);
  ASSERT_EQ(fleet_.RunningTasks(job), 20U);
  StepSpec filler = MakeStep(24, 1, 20 * kSecond);
  filler.data_rack = "rack0";
  const JobId occupant = fleet_.Submit("forecast", "other", filler);
  fleet_.Advance(300);
  failing = false;
  ASSERT_EQ(fleet_.RunningTasks(occupant), 24U);
  EXPECT_GE(TimeToStart(job, 39, 3 * kSecond), 0);
}

// Guards against a gang that is placed again and again on a worker that refuses each start, while
// other workers are idle.
TEST_F(SchedulerLoadTest, AGangAvoidsAWorkerThatRefusesEveryStart) {
  fleet_.stop_time_ms = 900;
  StepSpec gang = MakeStep(3, 8, kSecond);
  gang.gang = true;
  const JobId job = fleet_.Submit("batch", "other", gang);
  EXPECT_TRUE(CompletesBesideFailingStarts(job, "a0", BackendStatus::kRefused, 5 * kSecond));
}

// Guards against a long pause of a worker that refused several starts of one batch for one cause.
TEST_F(SchedulerLoadTest, ABatchOfRefusedStartsPausesItsWorkerOnce) {
  for (int i = 1; i < 6; ++i) fleet_.agent("a" + std::to_string(i)).reachable = false;
  fleet_.Advance(8 * kSecond);
  FleetHarness::Agent& agent = fleet_.agent("a0");
  agent.next_start_status = BackendStatus::kRefused;
  agent.keeps_start_status = true;
  const JobId job = fleet_.Submit("batch", "other", MakeStep(4, 1, kSecond));
  fleet_.Advance(60);
  ASSERT_EQ(fleet_.core().counts().starts_refused, 4U);
  agent.next_start_status.reset();
  const std::int64_t waited = TimeToStart(job, 4, 5 * kSecond);
  EXPECT_GE(waited, 0);
  EXPECT_LE(waited, 600);
}

// Guards against a task that is placed again and again on a worker that answers no start, while
// other workers are idle.
TEST_F(SchedulerLoadTest, ATaskAvoidsAWorkerThatAnswersNoStart) {
  fleet_.stop_time_ms = 900;
  const JobId job = fleet_.Submit("batch", "other", MakeStep(1, 4, kSecond));
  EXPECT_TRUE(CompletesBesideFailingStarts(job, "a0", BackendStatus::kUnknown, 5 * kSecond));
}

// Guards against a step that waits for the rack of its data while most of the fleet is idle.
TEST_F(SchedulerLoadTest, AStepWaitsOnlyBrieflyForItsRackInAnIdleFleet) {
  for (int i = 6; i < 12; ++i) {
    fleet_.AddAgent("a" + std::to_string(i), "rack" + std::to_string(i / 3));
  }
  StepSpec filling = MakeStep(3, 8, 60 * kSecond);
  filling.data_rack = "rack0";
  const JobId first = fleet_.Submit("batch", "other", filling);
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.RunningTasks(first), 3U);
  StepSpec step = MakeStep(1, 8, kSecond);
  step.data_rack = "rack0";
  const JobId job = fleet_.Submit("forecast", "other", step);
  fleet_.Advance(500);
  EXPECT_EQ(fleet_.StartsOf(job), 0U);
  fleet_.Advance(kSecond);
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
}

// Guards against a long wait for the rack of the data beside idle workers, because other idle
// workers that do not report at the moment were left out of the capacity of the service.
TEST_F(SchedulerLoadTest, IdleWorkersThatDoNotReportDoNotMakeTheFleetCountAsBusy) {
  for (int i = 6; i < 12; ++i) {
    fleet_.AddAgent("a" + std::to_string(i), "rack" + std::to_string(i / 3));
  }
  StepSpec filling = MakeStep(3, 8, 60 * kSecond);
  filling.data_rack = "rack0";
  const JobId first = fleet_.Submit("batch", "other", filling);
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.RunningTasks(first), 3U);
  for (int i = 5; i < 12; ++i) fleet_.agent("a" + std::to_string(i)).reachable = false;
  fleet_.Advance(2 * kSecond);
  StepSpec step = MakeStep(1, 8, kSecond);
  step.data_rack = "rack0";
  const JobId job = fleet_.Submit("forecast", "other", step);
  fleet_.Advance(1500);
  EXPECT_EQ(fleet_.StartsOf(job), 1U);
}

// Guards against slow work away from its data while the fleet is busy and its rack becomes free.
TEST_F(SchedulerLoadTest, AStepWaitsLongForItsRackInABusyFleet) {
  StepSpec filling = MakeStep(3, 8, 60 * kSecond);
  filling.data_rack = "rack0";
  const JobId first = fleet_.Submit("batch", "other", filling);
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.RunningTasks(first), 3U);
  StepSpec step = MakeStep(1, 8, kSecond);
  step.data_rack = "rack0";
  const JobId job = fleet_.Submit("forecast", "other", step);
  fleet_.Advance(3 * kSecond);
  EXPECT_EQ(fleet_.StartsOf(job), 0U);
}

// Guards against a long-running task that waits for the rack of its data in an idle fleet for as
// long as another task of its job runs.
TEST_F(SchedulerLoadTest, ALongRunningTaskLeavesItsFullRackWhileOthersOfItsJobRun) {
  StepSpec step = MakeStep(3, 8, kSecond);
  step.long_running = true;
  step.data_rack = "rack0";
  fleet_.run_time_of = [](const TaskId&) { return 600 * kSecond; };
  const JobId job = fleet_.Submit("batch", "other", step);
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.RunningTasks(job), 3U);
  FleetHarness::Agent& exited = AgentOf(job);
  exited.runs.clear();
  exited.report.backend_gone = true;
  fleet_.Advance(20 * kSecond);
  EXPECT_EQ(fleet_.RunningTasks(job), 3U);
}

// Guards against capacity that stays reserved for an urgent step whose queue was removed.
TEST_F(SchedulerLoadTest, AStepOfARemovedQueueReservesNoCapacity) {
  fleet_.Submit("batch", "owner", MakeStep(48, 1, 3 * kSecond));
  fleet_.Advance(kSecond);
  fleet_.AddQueue("passing", 0, 9.0, 60 * kSecond);
  StepSpec gang = MakeStep(6, 8, 2 * kSecond);
  gang.gang = true;
  fleet_.Submit("passing", "other", gang);
  while (fleet_.core().counts().runs_preempted == 0 && fleet_.now_ms() < 1010000) {
    fleet_.Advance(20);
  }
  ASSERT_GT(fleet_.core().counts().runs_preempted, 0U);
  fleet_.RemoveQueue("passing");
  const JobId job = fleet_.Submit("batch", "other", MakeStep(1, 1, kSecond));
  EXPECT_TRUE(fleet_.RunUntil(job, JobPhase::kCompleted, 30 * kSecond));
}

// Guards against a small job that waits in a mostly idle fleet, because all free capacity is held
// back for a gang that waits for long runs. 3 s is the longest wait that the users allow.
TEST_F(SchedulerLoadTest, CapacityHeldBackForAGangDoesNotKeepASmallJobWaiting) {
  StepSpec occupant = MakeStep(6, 1, 60 * kSecond);
  occupant.max_per_worker = 1;
  const JobId occupants = fleet_.Submit("batch", "other", occupant);
  fleet_.Advance(500);
  ASSERT_EQ(fleet_.RunningTasks(occupants), 6U);
  StepSpec gang = MakeStep(6, 8, 8 * kSecond);
  gang.gang = true;
  fleet_.Submit("forecast", "other", gang);
  fleet_.Advance(500);
  const JobId small = fleet_.Submit("batch", "other", MakeStep(1, 1, kSecond));
  const auto waited = TimeToStart(small, 1, 100 * kSecond);
  EXPECT_GE(waited, 0);
  EXPECT_LE(waited, 3 * kSecond);
}

// Guards against capacity that stays held back for a gang whose queue has been removed.
TEST_F(SchedulerLoadTest, CapacityHeldBackForAGangIsGivenUpWithItsQueue) {
  StepSpec occupant = MakeStep(6, 1, 3 * kSecond);
  occupant.max_per_worker = 1;
  const JobId occupants = fleet_.Submit("batch", "other", occupant);
  fleet_.Advance(500);
  ASSERT_EQ(fleet_.RunningTasks(occupants), 6U);
  StepSpec gang = MakeStep(6, 8, 8 * kSecond);
  gang.gang = true;
  fleet_.Submit("forecast", "other", gang);
  fleet_.Advance(500);
  fleet_.RemoveQueue("forecast");
  ASSERT_TRUE(fleet_.RunUntil(occupants, JobPhase::kCompleted, 5 * kSecond));
  const JobId small = fleet_.Submit("batch", "other", MakeStep(1, 1, kSecond));
  EXPECT_GE(TimeToStart(small, 1, 30 * kSecond), 0);
}

// Guards against a job whose queue is unknown and that uses up the guarantee of its workspace,
// because the default priority is that of urgent jobs.
TEST_F(SchedulerLoadTest, AJobOfAnUnknownQueueDoesNotUseUpTheGuarantee) {
  fleet_.AddQueue("passing", 2, 3.0, 3000);
  fleet_.Submit("batch", "other", MakeStep(48, 1, 100 * kSecond));
  fleet_.Advance(500);
  fleet_.Submit("passing", "owner", MakeStep(16, 1, kSecond));
  fleet_.Advance(500);
  fleet_.RemoveQueue("passing");
  fleet_.ChangeScheduler(2);
  fleet_.Advance(30 * kSecond);
  const JobId urgent = fleet_.Submit("urgent", "owner", MakeStep(16, 1, 200));
  const auto waited = TimeToStart(urgent, 16, 20 * kSecond);
  EXPECT_GE(waited, 0);
  EXPECT_LE(waited, 3400);
}

// Guards against a wait for a rack in an idle service, because the workers of another service are
// occupied.
TEST_F(SchedulerLoadTest, AnotherServiceDoesNotMakeAnIdleServiceCountAsBusy) {
  const JobId others = fleet_.Submit("batch", "other", MakeStep(48, 1, 100 * kSecond));
  fleet_.Advance(500);
  ASSERT_EQ(fleet_.RunningTasks(others), 48U);
  for (int i = 0; i < 6; ++i) {
    fleet_.agent("a" + std::to_string(i)).report.backend.front().service = ServiceId("second");
  }
  for (int i = 6; i < 9; ++i) fleet_.AddAgent("a" + std::to_string(i), "rack2");
  for (int i = 9; i < 14; ++i) fleet_.AddAgent("a" + std::to_string(i), "rack3");
  fleet_.Advance(kSecond);
  StepSpec filler = MakeStep(24, 1, 100 * kSecond);
  filler.data_rack = "rack2";
  const JobId fillers = fleet_.Submit("batch", "other", filler);
  fleet_.Advance(500);
  ASSERT_EQ(fleet_.RunningTasks(fillers), 24U);
  StepSpec step = MakeStep(1, 1, kSecond);
  step.data_rack = "rack2";
  const JobId job = fleet_.Submit("batch", "other", step);
  EXPECT_GE(TimeToStart(job, 1, 3 * kSecond), 0);
}

// Guards against a guarantee that is not reclaimed from runs on workers on probation. 3.4 s is the
// bound that the users set.
TEST_F(SchedulerLoadTest, AGuaranteeIsReclaimedFromWorkersOnProbation) {
  StepSpec occupant = MakeStep(42, 1, 60 * kSecond);
  occupant.max_per_worker = 7;
  fleet_.Submit("batch", "other", occupant);
  fleet_.Advance(500);
  fleet_.outcome_of = [](const std::string&, const TaskId&) { return RunEnd::kFailed; };
  for (int i = 0; i < 2; ++i) {
    StepSpec failing = MakeStep(6, 1, 200);
    failing.max_per_worker = 1;
    fleet_.Submit("batch", "other", failing);
    fleet_.Advance(240);
  }
  for (int i = 0; i < 100 && fleet_.core().counts().workers_on_probation < 6; ++i) {
    fleet_.Advance(20);
  }
  ASSERT_EQ(fleet_.core().counts().workers_on_probation, 6U);
  const JobId urgent = fleet_.Submit("urgent", "owner", MakeStep(16, 1, 2 * kSecond));
  const auto waited = TimeToStart(urgent, 16, 20 * kSecond);
  EXPECT_GE(waited, 0);
  EXPECT_LE(waited, 3400);
}

// Guards against a guarantee that is not reclaimed because the rack of the data is occupied by
// other guaranteed runs. 3.4 s is the bound that the users set.
TEST_F(SchedulerLoadTest, AGuaranteeIsReclaimedWhenTheRackOfTheDataIsOccupied) {
  fleet_.AddWorkspace("large", 32);
  StepSpec occupant = MakeStep(24, 1, 60 * kSecond);
  occupant.data_rack = "rack0";
  fleet_.Submit("urgent", "large", occupant);
  fleet_.Advance(500);
  fleet_.Submit("batch", "other", MakeStep(24, 1, 60 * kSecond));
  fleet_.Advance(500);
  ASSERT_EQ(fleet_.starts().size(), 48U);
  StepSpec step = MakeStep(8, 1, 2 * kSecond);
  step.data_rack = "rack0";
  const JobId urgent = fleet_.Submit("urgent", "large", step);
  const auto waited = TimeToStart(urgent, 8, 20 * kSecond);
  EXPECT_GE(waited, 0);
  EXPECT_LE(waited, 3400);
}

// Guards against headroom that is taken from another service: its workers can't run the urgent
// jobs, and these then find their own service full.
TEST_F(SchedulerLoadTest, TheHeadroomOfAServiceIsKeptOnItsOwnWorkers) {
  for (int i = 0; i < 6; ++i) {
    FleetHarness::Agent& agent = fleet_.AddAgent("b" + std::to_string(i), "rack9");
    agent.report.backend.front().service = ServiceId("second");
  }
  fleet_.Advance(kSecond);
  const JobId burst = fleet_.Submit("urgent", "owner", MakeStep(20, 1, 200));
  ASSERT_TRUE(fleet_.RunUntil(burst, JobPhase::kCompleted, 2 * kSecond));
  fleet_.Submit("batch", "other", MakeStep(26, 1, 60 * kSecond));
  fleet_.Advance(100);
  const JobId batch = fleet_.Submit("batch", "other", MakeStep(16, 1, 60 * kSecond));
  fleet_.Advance(400);
  // 22 accelerators are free, and the last peak of urgent work was 20.
  EXPECT_LE(fleet_.StartsOf(batch), 5U);
}

// Guards against a scheduler that has just taken over and stops runs although workers are idle,
// because the agents of these have not listed their runs yet.
TEST_F(SchedulerLoadTest, ANewSchedulerDoesNotPreemptBeforeItKnowsTheFleet) {
  const JobId borrowed = fleet_.Submit("batch", "other", MakeStep(24, 1, 60 * kSecond));
  fleet_.Advance(kSecond);
  ASSERT_EQ(fleet_.RunningTasks(borrowed), 24U);
  std::set<std::string> busy;
  for (const auto& [agent, run] : fleet_.starts()) busy.insert(agent);
  ASSERT_EQ(busy.size(), 3U);
  for (int i = 0; i < 6; ++i) {
    const std::string name = "a" + std::to_string(i);
    fleet_.agent(name).reachable = busy.count(name) > 0;
  }
  fleet_.ChangeScheduler(2);
  StepSpec gang = MakeStep(3, 8, 2500);
  gang.gang = true;
  const JobId urgent = fleet_.Submit("urgent", "other", gang);
  fleet_.Advance(600);
  for (int i = 0; i < 6; ++i) fleet_.agent("a" + std::to_string(i)).reachable = true;
  EXPECT_GE(TimeToStart(urgent, 3, kSecond), 0);
  EXPECT_EQ(fleet_.core().counts().runs_preempted, 0U);
}

// Guards against a step that a new scheduler places away from its data, where it takes three times
// as long, because the agents of the rack have not listed their runs yet.
TEST_F(SchedulerLoadTest, ANewSchedulerWaitsForTheRackOfTheData) {
  for (int i = 3; i < 6; ++i) fleet_.agent("a" + std::to_string(i)).reachable = false;
  fleet_.ChangeScheduler(2);
  StepSpec step = MakeStep(2, 8, 2 * kSecond);
  step.data_rack = "rack1";
  const JobId job = fleet_.Submit("forecast", "other", step);
  fleet_.Advance(600);
  EXPECT_EQ(fleet_.StartsOf(job), 0U);
  for (int i = 3; i < 6; ++i) fleet_.agent("a" + std::to_string(i)).reachable = true;
  EXPECT_GE(TimeToStart(job, 2, kSecond), 0);
  EXPECT_EQ(AgentOf(job).report.backend.front().rack, "rack1");
}

// Guards against an urgent task that waits on a free worker until the capacity of all tasks of its
// step is free, although they are not a gang. The first task starts once the runs on its worker
// have stopped; the second one is placed elsewhere when its reservation has expired.
TEST_F(SchedulerLoadTest, ReservedTasksThatAreNoGangStartOneByOne) {
  fleet_.Submit("batch", "other", MakeStep(48, 1, 60 * kSecond));
  fleet_.Advance(kSecond);
  const JobId urgent = fleet_.Submit("urgent", "other", MakeStep(2, 8, 2500));
  while (fleet_.core().counts().runs_preempted == 0) fleet_.Advance(20);
  // The stops on one of the two workers are not answered.
  for (int i = 0; i < 6; ++i) {
    FleetHarness::Agent& agent = fleet_.agent("a" + std::to_string(i));
    if (agent.runs.front().stop_at_ms < 0) continue;
    for (FleetHarness::Run& run : agent.runs) run.stop_at_ms += 60 * kSecond;
    break;
  }
  EXPECT_GE(TimeToStart(urgent, 1, 600), 0);
  EXPECT_GE(TimeToStart(urgent, 2, 3 * kSecond), 0);
}

// Guards against work that waits because another service has had a peak of urgent jobs.
TEST_F(SchedulerLoadTest, TheHeadroomOfAServiceDoesNotDelayAnother) {
  for (int i = 0; i < 3; ++i) {
    FleetHarness::Agent& agent = fleet_.AddAgent("b" + std::to_string(i), "rack9");
    agent.report.backend.front().service = ServiceId("second");
  }
  fleet_.AddQueue("labels", 2, 3.0, 3000, 4, "second");
  fleet_.Advance(kSecond);
  const JobId burst = fleet_.Submit("urgent", "owner", MakeStep(40, 1, 200));
  ASSERT_TRUE(fleet_.RunUntil(burst, JobPhase::kCompleted, 2 * kSecond));
  fleet_.Submit("batch", "other", MakeStep(40, 1, 60 * kSecond));
  fleet_.Submit("labels", "other", MakeStep(13, 1, 60 * kSecond));
  fleet_.Advance(100);
  const JobId labels = fleet_.Submit("labels", "other", MakeStep(8, 1, 60 * kSecond));
  EXPECT_GE(TimeToStart(labels, 8, kSecond), 0);
}

}  // namespace
}  // namespace basilspring::fleet
