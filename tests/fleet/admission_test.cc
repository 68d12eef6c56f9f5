#include "basilspring/fleet/admission.h"

#include <gtest/gtest.h>

#include "fleet_harness.h"

namespace basilspring::fleet {
namespace {

const ServiceId kPlanner("planner");

std::vector<WorkerShape> SmallAndLarge() {
  return {{kPlanner, {8000, 16000, 2}, {"small"}}, {kPlanner, {64000, 128000, 8}, {"large"}}};
}

JobSpec JobOf(const StepSpec& step) {
  JobSpec job;
  job.steps.push_back(step);
  return job;
}

TEST(AdmissionTest, TakesWhatTheLargestWorkerHolds) {
  EXPECT_FALSE(WhyNeverFits(JobOf(MakeStep(100, 8, 1000)), kPlanner, SmallAndLarge()));
}

// Such jobs waited in silence until their callers gave up.
TEST(AdmissionTest, NamesTheStepThatNoWorkerHolds) {
  JobSpec job = JobOf(MakeStep(1, 1, 1000));
  job.steps.push_back(MakeStep(1, 9, 1000));
  const auto reason = WhyNeverFits(job, kPlanner, SmallAndLarge());
  ASSERT_TRUE(reason);
  EXPECT_NE(reason->find("step 1"), std::string::npos);
}

TEST(AdmissionTest, WantsRoomAndLabelOnTheSameWorker) {
  StepSpec step = MakeStep(1, 8, 1000);
  step.required_label = "large";
  EXPECT_FALSE(WhyNeverFits(JobOf(step), kPlanner, SmallAndLarge()));
  step.required_label = "small";
  EXPECT_TRUE(WhyNeverFits(JobOf(step), kPlanner, SmallAndLarge()));
}

TEST(AdmissionTest, RefusesNothingForAServiceWithoutWorkers) {
  EXPECT_FALSE(WhyNeverFits(JobOf(MakeStep(1, 9, 1000)), ServiceId("other"), SmallAndLarge()));
  EXPECT_FALSE(WhyNeverFits(JobOf(MakeStep(1, 9, 1000)), kPlanner, {}));
}

// A scheduler that has just begun, or that misses agents of an earlier term, does not know all
// workers; a job that only the missing ones can hold would be refused for good.
TEST(AdmissionTest, ShapesAreKnownOnlyOnceAllAgentsHaveReported) {
  FleetHarness fleet;
  fleet.AddAgent("a0", "rack0", 2);
  fleet.AddAgent("a1", "rack0", 8);
  fleet.Advance(5000);
  EXPECT_TRUE(fleet.core().Shapes(TimePoint(fleet.now_ms())).empty());
  fleet.Advance(6000);
  EXPECT_EQ(fleet.core().Shapes(TimePoint(fleet.now_ms())).size(), 2U);
  fleet.agent("a1").reachable = false;
  fleet.ChangeScheduler(2);
  fleet.Advance(20000);
  EXPECT_TRUE(fleet.core().Shapes(TimePoint(fleet.now_ms())).empty());
  fleet.agent("a1").reachable = true;
  fleet.Advance(1000);
  EXPECT_EQ(fleet.core().Shapes(TimePoint(fleet.now_ms())).size(), 2U);
}

}  // namespace
}  // namespace basilspring::fleet
