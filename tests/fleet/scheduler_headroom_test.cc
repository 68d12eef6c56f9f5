#include <gtest/gtest.h>

#include <cmath>
#include <cstdint>
#include <iostream>
#include <map>
#include <numbers>
#include <string>
#include <utility>
#include <vector>

#include "fleet_harness.h"

// Simulates urgent gangs whose number varies, beside long tasks that take all capacity that is not
// kept free, and compares what callers get with both headroom policies.
namespace basilspring::fleet {
namespace {

constexpr std::int64_t kSecond = 1000;
constexpr std::int64_t kPeriodMs = 13 * kSecond;
constexpr std::int64_t kUrgentMs = 2100;
constexpr std::int64_t kTargetMs = 400;
constexpr double kStretch = 1.5;
// On the slowest workers, at 0.8 of the mean speed, the gang takes 2,625 ms. There it is on time if
// it starts within 925 ms.
constexpr auto kSlackMs =
    static_cast<std::int64_t>(kUrgentMs * kStretch) + kTargetMs - kUrgentMs * 10 / 8;
static_assert(kSlackMs == 925);
constexpr std::int64_t kBatchMs = 8 * kSecond;
constexpr std::int64_t kBatchOnTimeMs = 3 * kBatchMs + 3 * kSecond;
// A job is of use to its caller within three times the time in which it is on time.
constexpr std::int64_t kBatchUsefulMs = 3 * kBatchOnTimeMs;

/// What callers have got.
struct Outcome {
  std::size_t gangs = 0;
  std::size_t gangs_on_time = 0;
  std::size_t batch_jobs = 0;
  std::size_t batch_jobs_on_time = 0;
  std::size_t batch_jobs_useful = 0;
  std::uint64_t preempted = 0;
  /// The task, agent and time of each start.
  std::vector<std::string> starts;
  /// The accelerators that urgent work used, waited for or found free, every 100 ms.
  std::vector<double> ceilings;

  double ShareOnTime() const {
    return static_cast<double>(gangs_on_time) / static_cast<double>(gangs);
  }
};

/// A fleet of 12 workers. Urgent gangs and long tasks arrive for `length_ms`.
class Load {
 public:
  Load(HeadroomPolicy policy, std::int64_t stop_ms) {
    fleet_.stop_time_ms = stop_ms;
    fleet_.options.stop_time = Duration(stop_ms);
    fleet_.options.headroom = policy;
    fleet_.ChangeScheduler(2);
    fleet_.AddQueue("urgent", 0, kStretch, kTargetMs);
    fleet_.AddQueue("batch", 2, 3.0, 3 * kSecond);
    fleet_.AddWorkspace("other", 0);
    for (int i = 0; i < 12; ++i) {
      fleet_.AddAgent("a" + std::to_string(i), "rack" + std::to_string(i / 6));
    }
    fleet_.Advance(kSecond);
  }

  /// `due` returns whether an urgent gang arrives at a time, given in ms since the beginning.
  template <typename Due>
  Outcome Play(std::int64_t length_ms, Due due) {
    const std::int64_t begin = fleet_.now_ms();
    for (std::int64_t at = 0; at < length_ms; at += 100) {
      if (at % 1000 == 0) SubmitBatch();
      if (due(at)) SubmitGang();
      Step();
    }
    // Waits until it is known for all jobs whether they ended in time.
    while (fleet_.now_ms() - begin < length_ms + kBatchUsefulMs) Step();
    Outcome outcome = std::move(outcome_);
    outcome.preempted = fleet_.core().counts().runs_preempted;
    for (const auto& [agent, run] : fleet_.starts()) {
      outcome.starts.push_back(run.task.ToString() + " on " + agent + " at " +
                               std::to_string(run.started_ms));
    }
    EXPECT_TRUE(fleet_.overlapping_tasks().empty());
    return outcome;
  }

 private:
  void SubmitBatch() {
    StepSpec tasks = MakeStep(8, 1, kBatchMs);
    tasks.needs.milli_cores = 8000;
    const JobId job = fleet_.Submit("batch", "other", tasks);
    open_[job] = {fleet_.now_ms() + kBatchUsefulMs, false};
    ++outcome_.batch_jobs;
  }

  void SubmitGang() {
    StepSpec gang = MakeStep(2, 8, kUrgentMs);
    gang.gang = true;
    gang.needs.milli_cores = 15000;
    const JobId job = fleet_.Submit("urgent", "other", gang);
    open_[job] = {fleet_.now_ms() + kSlackMs, true};
    ++outcome_.gangs;
  }

  void Step() {
    fleet_.Advance(100);
    const auto& services = fleet_.core().urgent_headroom().services();
    const auto state = services.find(ServiceId("service"));
    outcome_.ceilings.push_back(state == services.end() ? 0 : state->second.ceiling);
    std::erase_if(open_, [&](const auto& row) {
      const auto& [job, limit] = row;
      const auto& [until, urgent] = limit;
      const bool met =
          urgent ? fleet_.StartsOf(job) > 0 : fleet_.PhaseOf(job) == JobPhase::kCompleted;
      if (fleet_.now_ms() > until) return true;
      if (met) ++(urgent ? outcome_.gangs_on_time : outcome_.batch_jobs_useful);
      const bool on_time = fleet_.now_ms() <= until - kBatchUsefulMs + kBatchOnTimeMs;
      if (met && !urgent && on_time) ++outcome_.batch_jobs_on_time;
      return met;
    });
  }

  FleetHarness fleet_;
  /// For each job whose outcome is open the time limit, and whether it is urgent.
  std::map<JobId, std::pair<std::int64_t, bool>> open_;
  Outcome outcome_;
};

/// Gangs arrive at a rate that varies by 0.55 around its mean of 1.1 a second.
bool WaveIsDue(std::int64_t at_ms) {
  const auto arrived = [](std::int64_t until_ms) {
    const double period = kPeriodMs / 1000.0;
    const double seconds = static_cast<double>(until_ms) / 1000.0;
    const double phase = 2 * std::numbers::pi * seconds / period;
    return std::floor(1.1 *
                      (seconds - 0.55 * period / (2 * std::numbers::pi) * (std::cos(phase) - 1)));
  };
  return arrived(at_ms + 100) > arrived(at_ms);
}

/// Five gangs arrive at once, every 13 s.
bool BurstIsDue(std::int64_t at_ms) { return at_ms % kPeriodMs < 500; }

template <typename Due>
Outcome Play(HeadroomPolicy policy, std::int64_t stop_ms, Due due) {
  Load load(policy, stop_ms);
  return load.Play(8 * kPeriodMs, due);
}

/// Counts how often the value changes from rising to falling or back by at least half a gang.
int Turns(const std::vector<double>& values) {
  constexpr double kSmallestTurn = 8;
  int turns = 0;
  double extreme = 0;
  bool rising = true;
  for (const double value : values) {
    if (rising ? value > extreme : value < extreme) extreme = value;
    if (std::abs(value - extreme) < kSmallestTurn) continue;
    ++turns;
    rising = !rising;
    extreme = value;
  }
  return turns;
}

void RecordOutcome(const std::string& name, const Outcome& outcome) {
  const auto record = [&](const char* what, std::size_t value) {
    ::testing::Test::RecordProperty(name + "_" + what, std::to_string(value));
    std::cout << name << " " << what << "=" << value << "\n";
  };
  record("gangs", outcome.gangs);
  record("gangs_on_time", outcome.gangs_on_time);
  record("batch_jobs", outcome.batch_jobs);
  record("batch_jobs_on_time", outcome.batch_jobs_on_time);
  record("batch_jobs_useful", outcome.batch_jobs_useful);
  record("preempted", outcome.preempted);
  record("turns", static_cast<std::size_t>(Turns(outcome.ceilings)));
}

// Guards against urgent gangs that find the capacity occupied again in each wave, so that they must
// wait for a stop that takes nearly all of their slack. The long tasks must not pay for it.
TEST(SchedulerHeadroomTest, MoreUrgentGangsOfAWaveStartWithinTheirSlack) {
  const Outcome peak = Play(HeadroomPolicy::kPeak, 900, WaveIsDue);
  const Outcome forecast = Play(HeadroomPolicy::kForecast, 900, WaveIsDue);
  RecordOutcome("peak", peak);
  RecordOutcome("forecast", forecast);
  EXPECT_GE(forecast.ShareOnTime(), peak.ShareOnTime() + 0.1);
  EXPECT_LT(forecast.preempted, peak.preempted);
  EXPECT_GE(forecast.batch_jobs_useful, peak.batch_jobs_useful);
  EXPECT_GE(forecast.batch_jobs_on_time, peak.batch_jobs_on_time);
  EXPECT_GE(forecast.batch_jobs_useful, forecast.batch_jobs * 95 / 100);
}

// Guards against a forecast that costs urgent callers, or takes long tasks their use, in quiet
// times between bursts that no forecast can cover.
TEST(SchedulerHeadroomTest, BurstsAreServedNoWorseThanWithThePeak) {
  const Outcome peak = Play(HeadroomPolicy::kPeak, 900, BurstIsDue);
  const Outcome forecast = Play(HeadroomPolicy::kForecast, 900, BurstIsDue);
  RecordOutcome("peak", peak);
  RecordOutcome("forecast", forecast);
  EXPECT_GE(forecast.gangs_on_time, peak.gangs_on_time);
  EXPECT_GE(forecast.batch_jobs_useful, peak.batch_jobs_useful);
}

// Guards against an amount that swings by itself, because what is kept free delays other work, and
// its later starts change what is free: it may turn no more often than the decaying peak does.
TEST(SchedulerHeadroomTest, WavesAndBurstsCauseNoOscillation) {
  for (const auto& due : {WaveIsDue, BurstIsDue}) {
    const Outcome peak = Play(HeadroomPolicy::kPeak, 900, due);
    const Outcome forecast = Play(HeadroomPolicy::kForecast, 900, due);
    EXPECT_GT(Turns(forecast.ceilings), 0);
    EXPECT_LE(Turns(forecast.ceilings), Turns(peak.ceilings));
  }
}

// Guards against capacity that is kept free at the cost of callers whose stops take little of the
// slack: as many gangs are on time, no more runs are stopped, and of the long jobs at most 0.03
// more are of no use, which is what a deployment may fall by.
TEST(SchedulerHeadroomTest, AShortStopCostsNoOtherCallers) {
  const Outcome peak = Play(HeadroomPolicy::kPeak, 200, WaveIsDue);
  const Outcome forecast = Play(HeadroomPolicy::kForecast, 200, WaveIsDue);
  RecordOutcome("peak", peak);
  RecordOutcome("forecast", forecast);
  EXPECT_GE(forecast.gangs_on_time, peak.gangs_on_time);
  EXPECT_LE(forecast.preempted, peak.preempted);
  EXPECT_GE(static_cast<double>(forecast.batch_jobs_useful) +
                0.03 * static_cast<double>(forecast.batch_jobs),
            static_cast<double>(peak.batch_jobs_useful));
}

// Guards against work that waits for the headroom in a service that is less than half used, and
// against work that is made late by it.
TEST(SchedulerHeadroomTest, IdleServicesAndWorkAboutToBeLateUseTheHeadroom) {
  FleetHarness fleet;
  fleet.options.stop_time = Duration(900);
  fleet.options.headroom = HeadroomPolicy::kForecast;
  fleet.ChangeScheduler(2);
  fleet.AddQueue("urgent", 0, kStretch, kTargetMs);
  fleet.AddQueue("soon", 1, 1.0, 1000);
  fleet.AddQueue("batch", 2, 3.0, 3 * kSecond);
  fleet.AddWorkspace("other", 0);
  for (int i = 0; i < 12; ++i) fleet.AddAgent("a" + std::to_string(i), "rack");
  fleet.Advance(kSecond);
  const JobId urgent = fleet.Submit("urgent", "other", MakeStep(80, 1, kUrgentMs));
  ASSERT_TRUE(fleet.RunUntil(urgent, JobPhase::kCompleted, 5 * kSecond));
  // All of the service is free.
  const JobId first = fleet.Submit("batch", "other", MakeStep(56, 1, 60 * kSecond));
  fleet.Advance(500);
  EXPECT_EQ(fleet.StartsOf(first), 56U);
  // 40 of 96 accelerators are free, and as many are kept free.
  const JobId second = fleet.Submit("batch", "other", MakeStep(8, 1, 60 * kSecond));
  fleet.Advance(500);
  EXPECT_EQ(fleet.StartsOf(second), 0U);
  const JobId soon = fleet.Submit("soon", "other", MakeStep(8, 1, 60 * kSecond));
  fleet.Advance(500);
  EXPECT_EQ(fleet.StartsOf(soon), 8U);
}

}  // namespace
}  // namespace basilspring::fleet
