#include "basilspring/fleet/admission.h"

#include <gtest/gtest.h>

#include "fleet_harness.h"

namespace basilspring::fleet {
namespace {

const ServiceId kPlanner("planner");

std::vector<WorkerShape> SmallAndLargeShapes() {
  return {{kPlanner, {8000, 16000, 2}, {"small"}}, {kPlanner, {64000, 128000, 8}, {"large"}}};
}

JobSpec SingleStepJob(const StepSpec& step) {
  JobSpec job;
  job.steps.push_back(step);
  return job;
}

TEST(AdmissionTest, AcceptsAJobThatTheLargestWorkerCanHold) {
  EXPECT_FALSE(DescribeInfeasibleStep(SingleStepJob(MakeStep(100, 8, 1000)), kPlanner,
                                      SmallAndLargeShapes()));
}

// Guards against jobs that no worker can hold and that wait without a reason given until their
// callers give up.
TEST(AdmissionTest, NamesTheStepThatNoWorkerCanHold) {
  JobSpec job = SingleStepJob(MakeStep(1, 1, 1000));
  job.steps.push_back(MakeStep(1, 9, 1000));
  const auto reason = DescribeInfeasibleStep(job, kPlanner, SmallAndLargeShapes());
  ASSERT_TRUE(reason);
  EXPECT_NE(reason->find("step 1"), std::string::npos);
}

TEST(AdmissionTest, RequiresCapacityAndLabelOnTheSameWorker) {
  StepSpec step = MakeStep(1, 8, 1000);
  step.required_label = "large";
  EXPECT_FALSE(DescribeInfeasibleStep(SingleStepJob(step), kPlanner, SmallAndLargeShapes()));
  step.required_label = "small";
  EXPECT_TRUE(DescribeInfeasibleStep(SingleStepJob(step), kPlanner, SmallAndLargeShapes()));
}

TEST(AdmissionTest, AcceptsAnyJobForAServiceWithoutWorkers) {
  EXPECT_FALSE(DescribeInfeasibleStep(SingleStepJob(MakeStep(1, 9, 1000)), ServiceId("other"),
                                      SmallAndLargeShapes()));
  EXPECT_FALSE(DescribeInfeasibleStep(SingleStepJob(MakeStep(1, 9, 1000)), kPlanner, {}));
}

// Guards against refusing a job for good that only unreported workers can hold: a scheduler whose
// term has just started, or that lacks reports of agents of an earlier term, does not know all
// workers.
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
