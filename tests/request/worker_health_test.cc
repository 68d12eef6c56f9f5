#include "basilspring/request/worker_health.h"

#include <gtest/gtest.h>

#include "basilspring/request/retry_budget.h"
#include "basilspring/request/run_time_estimate.h"

namespace basilspring {
namespace {

const WorkerId kWorker("w1");

JobId Job(int i) { return JobId("j" + std::to_string(i)); }

// Guards against a faulty worker that fails one job after another.
TEST(WorkerHealth, FailuresOfDistinctJobsQuarantineAWorkerForGrowingTimes) {
  WorkerHealth health{HealthSettings()};
  health.OnTaskFailed(kWorker, Job(1), TimePoint(0));
  health.OnTaskFailed(kWorker, Job(1), TimePoint(0));
  health.OnTaskFailed(kWorker, Job(2), TimePoint(0));
  EXPECT_TRUE(health.MayTakeTask(kWorker, 5, TimePoint(0)));
  EXPECT_EQ(health.OnTaskFailed(kWorker, Job(3), TimePoint(0)).changed.size(), 1U);
  EXPECT_FALSE(health.MayTakeTask(kWorker, 0, TimePoint(29'999)));
  EXPECT_EQ(health.NextQuarantineEnd(TimePoint(0)), TimePoint(30'000));
  EXPECT_TRUE(health.MayTakeTask(kWorker, 0, TimePoint(30'000)));
  EXPECT_FALSE(health.MayTakeTask(kWorker, 1, TimePoint(30'000)));
  health.OnTaskFailed(kWorker, Job(4), TimePoint(30'000));
  EXPECT_FALSE(health.MayTakeTask(kWorker, 0, TimePoint(89'999)));
  EXPECT_TRUE(health.MayTakeTask(kWorker, 0, TimePoint(90'000)));
  for (int i = 0; i < 2; ++i) EXPECT_FALSE(health.OnTaskSucceeded(kWorker, TimePoint(90'000)));
  EXPECT_TRUE(health.OnTaskSucceeded(kWorker, TimePoint(90'000)));
  EXPECT_EQ(health.StateOf(kWorker, TimePoint(90'000)), WorkerHealthState::kHealthy);
}

// Guards against one faulty job that causes the quarantine of healthy workers.
TEST(WorkerHealth, FailuresOfAFaultyJobAreRetractedFromWorkers) {
  WorkerHealth health{HealthSettings()};
  health.OnTaskFailed(kWorker, Job(1), TimePoint(0));
  health.OnTaskFailed(kWorker, Job(2), TimePoint(0));
  health.OnTaskFailed(kWorker, Job(0), TimePoint(0));
  ASSERT_EQ(health.StateOf(kWorker, TimePoint(0)), WorkerHealthState::kQuarantined);
  EXPECT_FALSE(health.OnTaskFailed(WorkerId("w2"), Job(0), TimePoint(1)).job_at_fault);
  const FailureVerdict verdict = health.OnTaskFailed(WorkerId("w3"), Job(0), TimePoint(2));
  EXPECT_TRUE(verdict.job_at_fault);
  EXPECT_EQ(verdict.changed, std::vector<WorkerId>{kWorker});
  EXPECT_EQ(health.StateOf(kWorker, TimePoint(2)), WorkerHealthState::kHealthy);
  EXPECT_EQ(health.FailedOn(Job(0)).size(), 3U);
}

TEST(WorkerHealth, AttemptsAreLimited) {
  WorkerHealth health{HealthSettings()};
  for (int i = 1; i < 5; ++i) {
    EXPECT_FALSE(health.OnTaskFailed(kWorker, Job(1), TimePoint(i)).attempts_exhausted);
  }
  EXPECT_TRUE(health.OnTaskFailed(kWorker, Job(1), TimePoint(5)).attempts_exhausted);
}

// Guards against wait estimates and backfilling that rely on wrong declared run times, or on one
// exceptional run.
TEST(RunTimeEstimate, LearnsTheRatioButNotFromOneSample) {
  RunTimeEstimate estimate(Duration(60'000));
  const WorkspaceId workspace("quotes");
  const auto correct = [&](double quantile) {
    return estimate.Correct(workspace, JobClass::kBatch, Duration(1000), quantile);
  };
  estimate.Observe(workspace, JobClass::kBatch, Duration(1000), Duration(64'000));
  EXPECT_EQ(correct(0.5), Duration(1000));
  for (int i = 0; i < 300; ++i) {
    estimate.Observe(workspace, JobClass::kBatch, Duration(1000),
                     Duration(i % 4 == 0 ? 8000 : 4000));
  }
  EXPECT_EQ(correct(0.5), Duration(4000));
  EXPECT_EQ(correct(0.9), Duration(8000));
  EXPECT_EQ(estimate.Correct(workspace, JobClass::kUrgent, Duration(1000)), Duration(1000));
  EXPECT_EQ(estimate.Correct(workspace, JobClass::kUrgent, Duration()), Duration(60'000));
}

// Guards against retries that multiply the load while most calls fail.
TEST(RetryBudget, AllowsAShareOfSuccesses) {
  RetryBudget budget(20, 2);
  EXPECT_TRUE(budget.TryRetry());
  EXPECT_TRUE(budget.TryRetry());
  EXPECT_FALSE(budget.TryRetry());
  for (int i = 0; i < 4; ++i) budget.OnSuccess();
  EXPECT_FALSE(budget.TryRetry());
  budget.OnSuccess();
  EXPECT_TRUE(budget.TryRetry());
  for (int i = 0; i < 1000; ++i) budget.OnSuccess();
  EXPECT_EQ(budget.tokens(), 2U);
}

}  // namespace
}  // namespace basilspring
