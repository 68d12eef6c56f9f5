#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <numbers>
#include <random>
#include <string>
#include <vector>

#include "fleet_harness.h"

// Plays loads with too little capacity under both shortage policies and compares what callers get.
namespace basilspring::fleet {
namespace {

constexpr std::int64_t kSecond = 1000;

/// A fleet of 8 accelerators per worker, three workers to a rack, under one shortage policy.
class ShortageFleet : public FleetHarness {
 public:
  ShortageFleet(ShortagePolicy policy, int workers, std::int64_t stop_ms = 400) {
    options.shortage = policy;
    options.stop_time = Duration(stop_ms);
    stop_time_ms = stop_ms;
    ChangeScheduler(2);
    AddQueue("urgent", 0, 1.5, 400);
    AddQueue("forecast", 1, 3.0, 1200);
    AddQueue("batch", 2, 3.0, 3000);
    AddQueue("tight", 2, 1.0, 3000);
    AddWorkspace("owner", 16);
    AddWorkspace("other", 0);
    for (int i = 0; i < workers; ++i) {
      AddAgent("a" + std::to_string(i), "rack" + std::to_string(i / 3));
    }
    Advance(kSecond);
  }
};

/// Returns the number of the jobs that are completed.
std::int64_t CountCompleted(const FleetHarness& fleet, const std::vector<JobId>& jobs) {
  return std::count_if(jobs.begin(), jobs.end(), [&](const JobId& job) {
    return fleet.PhaseOf(job) == JobPhase::kCompleted;
  });
}

struct ShortAndLong {
  std::int64_t short_on_time = 0;
  bool long_on_time = false;
  bool long_completed = false;
};

/// A job of 48 tasks of 8 s waits for the whole fleet, and 12 jobs of 4 tasks of 1 s can start half
/// a second later than it at the latest.
ShortAndLong PlayShortAndLong(ShortagePolicy policy) {
  ShortageFleet fleet(policy, 6);
  fleet.Submit("forecast", "other", MakeStep(48, 1, 2500));
  fleet.Advance(100);
  const JobId long_job = fleet.Submit("tight", "other", MakeStep(48, 1, 8 * kSecond));
  fleet.Advance(500);
  std::vector<JobId> short_jobs;
  short_jobs.reserve(12);
  for (int i = 0; i < 12; ++i) {
    short_jobs.push_back(fleet.Submit("tight", "other", MakeStep(4, 1, kSecond)));
  }
  ShortAndLong result;
  fleet.Advance(4 * kSecond);
  result.short_on_time = CountCompleted(fleet, short_jobs);
  fleet.Advance(6500);
  result.long_on_time = fleet.PhaseOf(long_job) == JobPhase::kCompleted;
  fleet.Advance(10 * kSecond);
  result.long_completed = fleet.PhaseOf(long_job) == JobPhase::kCompleted;
  return result;
}

// Guards against one long job that makes many short ones late, because it must start a little
// earlier. By tiers, as in the order of arrival, it is the only one of 13 jobs that is on time.
TEST(SchedulerShortageTest, ShortJobsAreServedBeforeALongOneWhenRoomIsShort) {
  const ShortAndLong by_tiers = PlayShortAndLong(ShortagePolicy::kTiers);
  EXPECT_EQ(by_tiers.short_on_time, 0);
  EXPECT_TRUE(by_tiers.long_on_time);
  const ShortAndLong by_cost = PlayShortAndLong(ShortagePolicy::kCost);
  EXPECT_EQ(by_cost.short_on_time, 12);
  EXPECT_TRUE(by_cost.long_completed);
}

struct Service {
  double largest_tenth = 0;
  double all = 0;
};

/// Jobs of one kind, of 1 to some 60 tasks of 2 s, whose demand varies by 0.55 around 1.5 times
/// the capacity of 48 tasks with a period of 13 s. Returns the shares of the jobs that end while
/// they are of use.
Service PlayVaryingSizes(ShortagePolicy policy) {
  constexpr std::int64_t kPlayedMs = 80 * kSecond;
  constexpr std::int64_t kTaskMs = 2000;
  constexpr std::int64_t kUsefulMs = 3 * (3 * kTaskMs + 3000);
  ShortageFleet fleet(policy, 6);
  std::mt19937 random(7);
  std::lognormal_distribution<double> tasks(std::log(8.0), 0.8);
  struct Played {
    std::int32_t tasks = 0;
    std::int64_t arrival_ms = 0;
    JobId id;
    bool useful = false;
  };
  std::vector<Played> jobs;
  double owed = 0;
  const std::int64_t begin_ms = fleet.now_ms();
  std::int32_t next = std::max(1, static_cast<std::int32_t>(tasks(random)));
  while (fleet.now_ms() - begin_ms < kPlayedMs + kUsefulMs) {
    const std::int64_t played_ms = fleet.now_ms() - begin_ms;
    const double phase = static_cast<double>(played_ms) * 2 * std::numbers::pi / 13000.0;
    owed += 1.5 * 48.0 * 20 / kTaskMs * (1 + 0.55 * std::sin(phase));
    while (played_ms < kPlayedMs && owed >= next) {
      owed -= next;
      const JobId id = fleet.Submit("batch", "other", MakeStep(next, 1, kTaskMs));
      jobs.push_back({next, fleet.now_ms(), id, false});
      next = std::max(1, static_cast<std::int32_t>(tasks(random)));
    }
    fleet.Advance(20);
    for (Played& job : jobs) {
      const bool in_time = fleet.now_ms() - job.arrival_ms <= kUsefulMs;
      if (in_time && fleet.PhaseOf(job.id) == JobPhase::kCompleted) job.useful = true;
    }
  }
  std::sort(jobs.begin(), jobs.end(),
            [](const auto& left, const auto& right) { return left.tasks > right.tasks; });
  const auto share = [&](std::size_t count) {
    const auto end = jobs.begin() + static_cast<std::ptrdiff_t>(count);
    return static_cast<double>(
               std::count_if(jobs.begin(), end, [](const Played& job) { return job.useful; })) /
           static_cast<double>(count);
  };
  return {share(jobs.size() / 10), share(jobs.size())};
}

// Guards against large jobs that starve behind small ones of the same kind: the largest tenth must
// be served at least half as often as the kind.
TEST(SchedulerShortageTest, LargeJobsAreNotStarved) {
  const Service by_tiers = PlayVaryingSizes(ShortagePolicy::kTiers);
  const Service by_cost = PlayVaryingSizes(ShortagePolicy::kCost);
  EXPECT_GE(by_cost.largest_tenth, by_cost.all / 2);
  EXPECT_GE(by_cost.all, by_tiers.all);
  RecordProperty("served_by_tiers", std::to_string(by_tiers.all));
  RecordProperty("served_by_cost", std::to_string(by_cost.all));
  RecordProperty("largest_tenth_by_tiers", std::to_string(by_tiers.largest_tenth));
  RecordProperty("largest_tenth_by_cost", std::to_string(by_cost.largest_tenth));
}

/// Returns the first worker on which a run is being stopped; empty if there is none.
std::string FindStoppingWorker(FleetHarness& fleet, int workers) {
  for (int i = 0; i < workers; ++i) {
    std::string name = "a" + std::to_string(i);
    for (const FleetHarness::Run& run : fleet.agent(name).runs) {
      if (run.stop_at_ms >= 0) return name;
    }
  }
  return {};
}

StepSpec MakeGang(std::int32_t count, std::int64_t estimate_ms) {
  StepSpec gang = MakeStep(count, 8, estimate_ms);
  gang.gang = true;
  return gang;
}

/// Returns whether an urgent gang of 2 s ends in time. Its first stop orders are lost, so that the
/// stops complete 1.4 s after it has reserved its workers, and two other workers become free 0.6 s
/// after it.
bool GangWithLateStopsIsOnTime(ShortagePolicy policy) {
  ShortageFleet fleet(policy, 6, 900);
  fleet.Submit("forecast", "other", MakeStep(2, 8, 4 * kSecond));
  fleet.Advance(2200);
  fleet.Submit("batch", "other", MakeStep(32, 1, 60 * kSecond));
  fleet.Advance(1100);
  const JobId urgent = fleet.Submit("urgent", "other", MakeGang(2, 2 * kSecond));
  const auto set_loss = [&fleet](bool loses) {
    for (int i = 0; i < 6; ++i) fleet.agent("a" + std::to_string(i)).loses_orders = loses;
  };
  set_loss(true);
  fleet.Advance(400);
  set_loss(false);
  const bool on_time = fleet.RunUntil(urgent, JobPhase::kCompleted, 3000);
  EXPECT_EQ(fleet.core().counts().runs_preempted, 16U);
  EXPECT_TRUE(fleet.overlapping_tasks().empty());
  return on_time;
}

// Guards against a gang that becomes late on its reservation while other workers are free.
TEST(SchedulerShortageTest, AGangWithLateStopsStartsOnWorkersThatBecomeFree) {
  EXPECT_FALSE(GangWithLateStopsIsOnTime(ShortagePolicy::kTiers));
  EXPECT_TRUE(GangWithLateStopsIsOnTime(ShortagePolicy::kCost));
}

struct LateStops {
  /// The first worker that stops runs.
  std::string stopping_worker;
  std::uint64_t preempted = 0;
  bool on_time = false;
};

/// An urgent gang of 4 whole workers stops 32 runs, while `lossy_worker`, unless it is empty, gets
/// no orders for a time.
LateStops PlayLateStops(ShortagePolicy policy, const std::string& lossy_worker,
                        std::int64_t loss_ms) {
  constexpr int kWorkers = 12;
  ShortageFleet fleet(policy, kWorkers, 200);
  fleet.Submit("batch", "other", MakeStep(96, 1, 10 * kSecond));
  fleet.Advance(kSecond);
  if (!lossy_worker.empty()) fleet.agent(lossy_worker).loses_orders = true;
  const JobId urgent = fleet.Submit("urgent", "other", MakeGang(4, 6 * kSecond));
  LateStops result;
  fleet.Advance(200);
  result.stopping_worker = FindStoppingWorker(fleet, kWorkers);
  fleet.Advance(loss_ms - 200);
  if (!lossy_worker.empty()) fleet.agent(lossy_worker).loses_orders = false;
  result.on_time = fleet.RunUntil(urgent, JobPhase::kCompleted, 9400 - loss_ms);
  result.preempted = fleet.core().counts().runs_preempted;
  EXPECT_TRUE(fleet.overlapping_tasks().empty());
  return result;
}

// Guards against a reservation that expires a moment before a late stop completes, and stops other
// runs although there is time to wait.
TEST(SchedulerShortageTest, AReservationWithLateStopsOnOneWorkerDoesNotPreemptTwice) {
  const std::string worker = PlayLateStops(ShortagePolicy::kTiers, "", 700).stopping_worker;
  ASSERT_FALSE(worker.empty());
  EXPECT_EQ(PlayLateStops(ShortagePolicy::kTiers, worker, 700).preempted, 40U);
  const LateStops by_cost = PlayLateStops(ShortagePolicy::kCost, worker, 700);
  EXPECT_EQ(by_cost.preempted, 32U);
  EXPECT_TRUE(by_cost.on_time);
}

// Guards against a gang that waits until it is late for a worker that never carries its stops out.
TEST(SchedulerShortageTest, AReservationReplacesOnlyTheWorkerThatNeverStops) {
  const std::string worker = PlayLateStops(ShortagePolicy::kCost, "", 700).stopping_worker;
  ASSERT_FALSE(worker.empty());
  const LateStops by_cost = PlayLateStops(ShortagePolicy::kCost, worker, 9 * kSecond);
  EXPECT_EQ(by_cost.preempted, 40U);
  EXPECT_TRUE(by_cost.on_time);
}

/// Returns the time until a guaranteed gang has started while `lossy_worker` gets no orders for a
/// time, and sets the worker that stops runs for it first.
std::int64_t TimeToReclaim(ShortagePolicy policy, const std::string& lossy_worker,
                           std::int64_t loss_ms, std::string* stopping_worker = nullptr) {
  ShortageFleet fleet(policy, 6, 400);
  fleet.Submit("batch", "other", MakeStep(48, 1, 60 * kSecond));
  fleet.Advance(kSecond);
  if (!lossy_worker.empty()) fleet.agent(lossy_worker).loses_orders = true;
  const JobId owner = fleet.Submit("urgent", "owner", MakeGang(2, 3 * kSecond));
  std::int64_t waited_ms = 0;
  for (; fleet.StartsOf(owner) == 0 && waited_ms < 10 * kSecond; waited_ms += 20) {
    if (waited_ms == 200 && stopping_worker != nullptr) {
      *stopping_worker = FindStoppingWorker(fleet, 6);
    }
    if (waited_ms == loss_ms && !lossy_worker.empty()) {
      fleet.agent(lossy_worker).loses_orders = false;
    }
    fleet.Advance(20);
  }
  EXPECT_TRUE(fleet.overlapping_tasks().empty());
  return waited_ms;
}

// Guards against a guarantee that is given back later under the other policy. 2.7 s are promised to
// operators.
TEST(SchedulerShortageTest, AGuaranteeIsReclaimedAsBefore) {
  std::string worker;
  TimeToReclaim(ShortagePolicy::kTiers, "", 0, &worker);
  ASSERT_FALSE(worker.empty());
  for (const std::int64_t loss_ms : {0, 700, 60000}) {
    const std::int64_t by_cost = TimeToReclaim(ShortagePolicy::kCost, worker, loss_ms);
    EXPECT_LE(by_cost, TimeToReclaim(ShortagePolicy::kTiers, worker, loss_ms)) << loss_ms;
    EXPECT_LE(by_cost, 2700) << loss_ms;
  }
}

struct UrgentGang {
  std::uint64_t preempted = 0;
  std::uint64_t declined = 0;
  bool on_time = false;
  bool of_use = false;
};

/// 8 workers run 64 tasks of 4 s, and as many wait, when a gang of 8 whole workers arrives. A stop
/// takes 0.9 s.
UrgentGang PlayUrgentGang(ShortagePolicy policy, std::int64_t gang_ms) {
  ShortageFleet fleet(policy, 8, 900);
  fleet.Submit("batch", "other", MakeStep(128, 1, 4 * kSecond));
  fleet.Advance(1500);
  const JobId urgent = fleet.Submit("urgent", "other", MakeGang(8, gang_ms));
  const std::int64_t due_ms = gang_ms * 3 / 2 + 400;
  UrgentGang result;
  result.on_time = fleet.RunUntil(urgent, JobPhase::kCompleted, due_ms);
  result.of_use = result.on_time || fleet.RunUntil(urgent, JobPhase::kCompleted, 2 * due_ms);
  result.preempted = fleet.core().counts().runs_preempted;
  result.declined = fleet.core().counts().preemptions_declined;
  return result;
}

// Guards against an urgent gang that stops all other work although it is late nevertheless. It is
// of the same use if it waits for the running tasks to end.
TEST(SchedulerShortageTest, AnUrgentGangThatIsLateAnywayDoesNotStopManyRuns) {
  const UrgentGang by_tiers = PlayUrgentGang(ShortagePolicy::kTiers, kSecond);
  EXPECT_EQ(by_tiers.preempted, 64U);
  EXPECT_FALSE(by_tiers.on_time);
  EXPECT_TRUE(by_tiers.of_use);
  const UrgentGang by_cost = PlayUrgentGang(ShortagePolicy::kCost, kSecond);
  EXPECT_EQ(by_cost.preempted, 0U);
  EXPECT_EQ(by_cost.declined, 1U);
  EXPECT_TRUE(by_cost.of_use);
}

// Guards against declining a preemption that makes an urgent gang on time.
TEST(SchedulerShortageTest, AnUrgentGangThatBecomesOnTimeStopsRunsAsBefore) {
  for (const ShortagePolicy policy : {ShortagePolicy::kTiers, ShortagePolicy::kCost}) {
    const UrgentGang gang = PlayUrgentGang(policy, 2500);
    EXPECT_EQ(gang.preempted, 64U);
    EXPECT_EQ(gang.declined, 0U);
    EXPECT_TRUE(gang.on_time);
  }
}

}  // namespace
}  // namespace basilspring::fleet
