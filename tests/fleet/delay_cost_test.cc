#include "basilspring/fleet/delay_cost.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>
#include <vector>

namespace basilspring::fleet {
namespace {

JobValue MakeValue(double work, std::int64_t due_ms) {
  JobValue value;
  value.work = work;
  value.due = TimePoint(due_ms);
  value.useless_after = TimePoint(3 * due_ms);
  return value;
}

// Guards against a value that changes before a bound or only after it.
TEST(DelayCostTest, TheValueDropsAfterTheDueTimeAndAfterTheTimeOfUse) {
  JobValue value = MakeValue(100, 1000);
  value.weight = 0.5;
  EXPECT_DOUBLE_EQ(ValueOfEnd(value, TimePoint(1000)), 50.0);
  EXPECT_DOUBLE_EQ(ValueOfEnd(value, TimePoint(1001)), 10.0);
  EXPECT_DOUBLE_EQ(ValueOfEnd(value, TimePoint(3000)), 10.0);
  EXPECT_DOUBLE_EQ(ValueOfEnd(value, TimePoint(3001)), 0.0);
}

// Guards against charging a delay that costs the caller nothing.
TEST(DelayCostTest, ADelayCostsOnlyWhatItsBoundsTake) {
  const JobValue value = MakeValue(100, 1000);
  EXPECT_DOUBLE_EQ(DelayCost(value, TimePoint(500), Duration(500)), 0.0);
  EXPECT_DOUBLE_EQ(DelayCost(value, TimePoint(500), Duration(501)), 80.0);
  EXPECT_DOUBLE_EQ(DelayCost(value, TimePoint(500), Duration(2501)), 100.0);
  EXPECT_DOUBLE_EQ(DelayCost(value, TimePoint(1500), Duration(1000)), 0.0);
  EXPECT_DOUBLE_EQ(DelayCost(value, TimePoint(3500), Duration(1000)), 0.0);
}

TEST(DelayCostTest, EachPriorityCountsTwiceTheNext) {
  EXPECT_DOUBLE_EQ(WeightOfPriority(0), 1.0);
  EXPECT_DOUBLE_EQ(WeightOfPriority(1), 0.5);
  EXPECT_DOUBLE_EQ(WeightOfPriority(2), 0.25);
}

// Guards against an order that ignores one of the criteria: priority, work, or the slack to either
// bound.
TEST(DelayCostTest, TheIndexGrowsWithWeightAndUrgencyAndFallsWithWork) {
  const TimePoint now(0);
  const Duration remaining(1000);
  const double index = OrderIndex(MakeValue(100, 4000), remaining, now);
  JobValue heavier = MakeValue(100, 4000);
  heavier.weight = 2;
  EXPECT_DOUBLE_EQ(OrderIndex(heavier, remaining, now), 2 * index);
  EXPECT_DOUBLE_EQ(OrderIndex(MakeValue(400, 4000), remaining, now), index / 2);
  EXPECT_GT(OrderIndex(MakeValue(100, 3000), remaining, now), index);
  JobValue soon_useless = MakeValue(100, 4000);
  soon_useless.useless_after = TimePoint(5000);
  EXPECT_GT(OrderIndex(soon_useless, remaining, now), index);
}

// Guards against late work that goes before work that can still be on time, and against a division
// by almost no work.
TEST(DelayCostTest, LateWorkCountsWithItsShareAndUselessWorkNotAtAll) {
  const Duration remaining(1000);
  const JobValue value = MakeValue(100, 1000);
  EXPECT_NEAR(OrderIndex(value, remaining, TimePoint(0)),
              (0.8 + 0.2 * std::exp(-2000.0 / 3000.0)) / 10.0, 1e-9);
  EXPECT_NEAR(OrderIndex(value, remaining, TimePoint(1)), 0.2 * std::exp(-1999.0 / 3000.0) / 10.0,
              1e-9);
  EXPECT_DOUBLE_EQ(OrderIndex(value, remaining, TimePoint(2001)), 0.0);
  EXPECT_DOUBLE_EQ(OrderIndex(MakeValue(0, 1000), remaining, TimePoint(0)),
                   OrderIndex(MakeValue(1, 1000), remaining, TimePoint(0)));
}

/// Plays jobs of one kind in the order of the index, and returns how often the jobs of the largest
/// tenth end while they are of use, relative to all jobs. The demand varies by 0.55 around 1.15
/// times the capacity with a period of 13 s.
double ServiceOfLargestTenth(std::uint32_t seed) {
  constexpr std::int64_t kTaskMs = 8000;
  constexpr std::int64_t kStepMs = 200;
  constexpr std::int64_t kJobs = 1200;
  constexpr double kTaskWork = 150;
  // Tasks that can run at the same time. Jobs have 27.5 tasks on average, one job each 2.4 s.
  constexpr std::int64_t kSlots = 80;
  constexpr double kMeanGapMs = 2400;
  constexpr double kSwing = 0.55;
  constexpr double kPeriodMs = 13000;
  struct PlayedJob {
    std::int64_t arrival_ms = 0;
    std::int64_t tasks = 0;
    std::int64_t waiting = 0;
    std::int64_t end_ms = 0;
  };
  std::mt19937 random(seed);
  std::lognormal_distribution<double> tasks(std::log(20.0), 0.8);
  std::exponential_distribution<double> gap(1.0 / kMeanGapMs);
  std::vector<PlayedJob> jobs(kJobs);
  double arrival = 0;
  for (PlayedJob& job : jobs) {
    const double swing = kSwing * std::sin(arrival * 2 * std::numbers::pi / kPeriodMs);
    arrival += gap(random) / (1.0 + swing);
    job.arrival_ms = static_cast<std::int64_t>(arrival);
    job.tasks = std::max<std::int64_t>(1, static_cast<std::int64_t>(tasks(random)));
    job.waiting = job.tasks;
  }
  std::vector<std::int64_t> busy_until(kSlots, 0);
  const auto useless_after = [](const PlayedJob& job) {
    return job.arrival_ms + 3 * (3 * kTaskMs + 3000);
  };
  for (std::int64_t now = 0; now < jobs.back().arrival_ms + 120000; now += kStepMs) {
    std::vector<std::pair<double, PlayedJob*>> ready;
    for (PlayedJob& job : jobs) {
      if (job.arrival_ms > now || job.waiting == 0) continue;
      if (now + kTaskMs > useless_after(job)) continue;
      JobValue value;
      value.work = static_cast<double>(job.waiting) * kTaskWork;
      value.due = TimePoint(job.arrival_ms + 3 * kTaskMs + 3000);
      value.useless_after = TimePoint(useless_after(job));
      ready.emplace_back(-OrderIndex(value, Duration(kTaskMs), TimePoint(now)), &job);
    }
    std::sort(ready.begin(), ready.end());
    std::size_t next = 0;
    for (std::int64_t& busy : busy_until) {
      while (next < ready.size() && ready[next].second->waiting == 0) ++next;
      if (next == ready.size()) break;
      if (busy > now) continue;
      busy = now + kTaskMs;
      --ready[next].second->waiting;
      ready[next].second->end_ms = busy;
    }
  }
  std::sort(jobs.begin(), jobs.end(),
            [](const auto& left, const auto& right) { return left.tasks > right.tasks; });
  const auto served = [&](std::size_t count) {
    const auto end = jobs.begin() + static_cast<std::ptrdiff_t>(count);
    return static_cast<double>(std::count_if(jobs.begin(), end,
                                             [&](const PlayedJob& job) {
                                               return job.waiting == 0 &&
                                                      job.end_ms <= useless_after(job);
                                             })) /
           static_cast<double>(count);
  };
  return served(jobs.size() / 10) / served(jobs.size());
}

// Guards against large jobs that starve behind small ones: the largest tenth of a kind must be
// served at least half as often as the kind.
TEST(DelayCostTest, LargeJobsAreNotStarved) {
  for (const std::uint32_t seed : {1U, 2U, 3U}) {
    EXPECT_GE(ServiceOfLargestTenth(seed), 0.5) << "seed " << seed;
  }
}

}  // namespace
}  // namespace basilspring::fleet
