#include "basilspring/fleet/urgent_headroom.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <numbers>
#include <string>
#include <vector>

namespace basilspring::fleet {
namespace {

constexpr std::int64_t kPassMs = 100;
constexpr std::int64_t kPeriodMs = 13000;
constexpr std::int64_t kCapacity = 400;
const ServiceId kService("service");
const QueueId kQueue("urgent");

/// The demand of a customer whose callers compete: it varies by 0.55 around its mean.
std::int64_t Wave(std::int64_t at_ms) {
  const double angle =
      2 * std::numbers::pi * static_cast<double>(at_ms) / static_cast<double>(kPeriodMs);
  return std::llround(100 * (1 + 0.55 * std::sin(angle)));
}

/// Gangs of 64 accelerators that run for 2.4 s and arrive at irregular times.
std::int64_t Bursts(std::int64_t at_ms) {
  constexpr std::int64_t kArrivals[] = {0, 1100, 1300, 5200, 7900, 8300, 8400, 15800, 16100, 21900};
  constexpr std::int64_t kCycleMs = 27000;
  std::int64_t demand = 0;
  for (const std::int64_t arrival : kArrivals) {
    const std::int64_t age = at_ms % kCycleMs - arrival;
    if (age >= 0 && age < 2400) demand += 64;
  }
  return demand;
}

UrgentDemand MakeDemand(std::int64_t accelerators, std::int64_t slack_ms,
                        std::int64_t capacity = kCapacity) {
  UrgentDemand demand;
  demand.accelerators = accelerators;
  demand.capacity = capacity;
  if (accelerators > 0) demand.slack[kQueue] = {Duration(slack_ms), 1};
  return demand;
}

class UrgentHeadroomTest : public ::testing::Test {
 protected:
  static SchedulerOptions Options(HeadroomPolicy policy, std::int64_t stop_ms) {
    SchedulerOptions options;
    options.headroom = policy;
    options.stop_time = Duration(stop_ms);
    return options;
  }

  /// Runs passes from `now_ms_` on, and returns the state of the service after each of them.
  std::vector<UrgentHeadroom::Service> Run(UrgentHeadroom& headroom, std::int64_t length_ms,
                                           std::int64_t slack_ms,
                                           const std::function<std::int64_t(std::int64_t)>& demand,
                                           std::int64_t capacity = kCapacity) {
    std::vector<UrgentHeadroom::Service> states;
    for (const std::int64_t end = now_ms_ + length_ms; now_ms_ < end; now_ms_ += kPassMs) {
      headroom.Update(TimePoint(now_ms_),
                      {{kService, MakeDemand(demand(now_ms_), slack_ms, capacity)}});
      states.push_back(StateOf(headroom));
    }
    return states;
  }

  /// Counts how often the value changes from rising to falling or back by at least 3, which is less
  /// than any gang needs. The demand is rounded to whole accelerators, which moves the value by 1.
  template <typename Value>
  static int Turns(const std::vector<UrgentHeadroom::Service>& states, Value value) {
    constexpr double kSmallestTurn = 3;
    int turns = 0;
    double extreme = static_cast<double>(value(states.front()));
    bool rising = true;
    for (const auto& state : states) {
      const auto current = static_cast<double>(value(state));
      const bool continues = rising ? current > extreme : current < extreme;
      if (continues) extreme = current;
      if (std::abs(current - extreme) < kSmallestTurn) continue;
      ++turns;
      rising = !rising;
      extreme = current;
    }
    return turns;
  }

  static UrgentHeadroom::Service StateOf(const UrgentHeadroom& headroom) {
    const auto found = headroom.services().find(kService);
    return found == headroom.services().end() ? UrgentHeadroom::Service() : found->second;
  }

  static double LowestCeiling(const std::vector<UrgentHeadroom::Service>& states) {
    double lowest = states.front().ceiling;
    for (const auto& state : states) lowest = std::min(lowest, state.ceiling);
    return lowest;
  }

  std::int64_t now_ms_ = kPeriodMs * 100;
};

// Guards against a change of decisions where the setting is not used: the amount must be that of
// the decaying peak, computed here as the scheduler did before this class existed.
TEST_F(UrgentHeadroomTest, KeepsTheDecayingPeakByDefault) {
  UrgentHeadroom headroom(Options(HeadroomPolicy::kPeak, 900));
  double peak = 0;
  std::int64_t now_ms = 1000;
  for (int i = 0; i < 2000; ++i) {
    const std::int64_t step_ms = 20 + i * 37 % 400;
    now_ms += step_ms;
    const std::int64_t demand = Bursts(now_ms);
    peak *= std::exp(-static_cast<double>(step_ms) / 6000.0);
    if (peak < 1.0) peak = 0;
    peak = std::max(peak, static_cast<double>(demand));
    headroom.Update(TimePoint(now_ms), {{kService, MakeDemand(demand, 1450)}});
    ASSERT_EQ(StateOf(headroom).kept_free,
              static_cast<std::int64_t>(peak - static_cast<double>(demand)))
        << i;
  }
  EXPECT_TRUE(headroom.TakeChanges(TimePoint(now_ms)).empty());
}

// Guards against capacity that is taken from other work although urgent jobs lose nothing by a
// stop: without a stop time, or without a known queue, the amount must be exactly that of the peak.
TEST_F(UrgentHeadroomTest, WithoutStopPressureKeepsAsMuchAsThePeak) {
  for (const bool known_queue : {true, false}) {
    for (const auto& demand : {Wave, Bursts}) {
      UrgentHeadroom peak(Options(HeadroomPolicy::kPeak, known_queue ? 0 : 900));
      UrgentHeadroom forecast(Options(HeadroomPolicy::kForecast, known_queue ? 0 : 900));
      for (int i = 0; i < 1200; ++i) {
        now_ms_ += kPassMs;
        auto row = MakeDemand(demand(now_ms_), 1450);
        if (!known_queue) row.slack.clear();
        peak.Update(TimePoint(now_ms_), {{kService, row}});
        forecast.Update(TimePoint(now_ms_), {{kService, row}});
        ASSERT_EQ(StateOf(peak).kept_free, StateOf(forecast).kept_free);
      }
    }
  }
}

// Guards against capacity that is occupied again before the next wave of urgent jobs: a stop of
// 900 ms takes 0.62 of their slack. The mean of the demand stays available to it through the whole
// period, and a third more than its crest for a moment; the peak alone falls far below the mean.
TEST_F(UrgentHeadroomTest, ALongStopKeepsTheCapacityThroughAPeriod) {
  UrgentHeadroom peak(Options(HeadroomPolicy::kPeak, 900));
  Run(peak, 5 * kPeriodMs, 1450, Wave);
  EXPECT_LT(LowestCeiling(Run(peak, kPeriodMs, 1450, Wave)), 70);
  UrgentHeadroom forecast(Options(HeadroomPolicy::kForecast, 900));
  Run(forecast, 5 * kPeriodMs, 1450, Wave);
  const auto states = Run(forecast, kPeriodMs, 1450, Wave);
  EXPECT_GE(LowestCeiling(states), 100);
  for (const auto& state : states) {
    EXPECT_NEAR(state.pressure, 0.62, 0.01);
    EXPECT_LE(state.ceiling, 1.31 * 155);
  }
}

// Guards against a threshold that changes the amount at once: two customers whose slack differs by
// a few milliseconds must get nearly the same.
TEST_F(UrgentHeadroomTest, TheAmountGrowsGraduallyWithThePressureAndIsCapped) {
  double before = 0;
  for (std::int64_t slack_ms = 20000; slack_ms >= 1000; slack_ms -= 100) {
    UrgentHeadroom forecast(Options(HeadroomPolicy::kForecast, 200));
    Run(forecast, 3 * kPeriodMs, slack_ms, Wave);
    double highest = 0;
    for (const auto& state : Run(forecast, kPeriodMs, slack_ms, Wave)) {
      highest = std::max(highest, state.ceiling);
    }
    if (before > 0) {
      EXPECT_GE(highest, before - 0.01);
      EXPECT_LE(highest, before + 4);
    }
    before = highest;
  }
  EXPECT_NEAR(before, 1.3 * 155, 1);
}

// Guards against an amount that swings by itself: the ceiling may turn only where the demand does,
// twice in each period, and it may fall no faster than it decays.
TEST_F(UrgentHeadroomTest, WavesCauseNoOscillation) {
  UrgentHeadroom forecast(Options(HeadroomPolicy::kForecast, 900));
  Run(forecast, 2 * kPeriodMs, 1450, Wave);
  const auto states = Run(forecast, 10 * kPeriodMs, 1450, Wave);
  EXPECT_LE(Turns(states, [](const auto& state) { return state.ceiling; }), 20);
  EXPECT_LE(Turns(states, [](const auto& state) { return state.kept_free; }), 20);
  for (std::size_t i = 1; i < states.size(); ++i) {
    EXPECT_GE(states[i].ceiling, states[i - 1].ceiling * std::exp(-kPassMs / 14000.0));
  }
}

// The same for bursts. The kept amount mirrors the demand between two turns of the ceiling, so it
// may turn only when a gang arrives or ends, of which there are ten in each cycle.
TEST_F(UrgentHeadroomTest, BurstsCauseNoOscillation) {
  UrgentHeadroom forecast(Options(HeadroomPolicy::kForecast, 900));
  Run(forecast, 27000, 1450, Bursts);
  const auto states = Run(forecast, 4 * 27000, 1450, Bursts);
  EXPECT_LE(Turns(states, [](const auto& state) { return state.ceiling; }), 4 * 20);
  EXPECT_LE(Turns(states, [](const auto& state) { return state.kept_free; }), 4 * 2 * 20);
  for (std::size_t i = 1; i < states.size(); ++i) {
    EXPECT_GE(states[i].ceiling, states[i - 1].ceiling * std::exp(-kPassMs / 14000.0));
  }
}

// Guards against a forecast that leaves other work no room.
TEST_F(UrgentHeadroomTest, AtMostHalfOfTheServiceIsKeptFree) {
  UrgentHeadroom forecast(Options(HeadroomPolicy::kForecast, 900));
  const auto demand = [](std::int64_t at_ms) { return at_ms / 3000 % 4 == 0 ? 180 : 0; };
  std::int64_t most = 0;
  for (const auto& state : Run(forecast, 60000, 1450, demand, 200)) {
    most = std::max(most, state.kept_free);
  }
  EXPECT_EQ(most, 100);
}

// Guards against capacity that is kept free for a demand that does not vary, and guards the start
// of a new scheduler: until it has seen the demand vary, it keeps the peak.
TEST_F(UrgentHeadroomTest, ADemandThatDoesNotVaryKeepsNothingFree) {
  UrgentHeadroom forecast(Options(HeadroomPolicy::kForecast, 900));
  for (const auto& state : Run(forecast, 60000, 1450, [](std::int64_t) { return 120; })) {
    EXPECT_EQ(state.kept_free, 0);
    EXPECT_NEAR(state.level, 120, 0.01);
  }
}

// Guards against a pressure that follows the queue with much slack, or none at all, and against
// a service whose queues influence another.
TEST_F(UrgentHeadroomTest, TheQueueWithTheSmallestSlackDeterminesThePressureOfItsService) {
  UrgentHeadroom forecast(Options(HeadroomPolicy::kForecast, 900));
  const ServiceId other("other");
  UrgentDemand mixed = MakeDemand(10, 9000);
  mixed.slack[QueueId("tight")] = {Duration(3000), 2};
  forecast.Update(TimePoint(1000), {{kService, mixed}, {other, MakeDemand(10, 9000)}});
  EXPECT_DOUBLE_EQ(forecast.services().at(kService).pressure, 0.6);
  EXPECT_DOUBLE_EQ(forecast.services().at(other).pressure, 0.1);
  // The queue still counts when it has no jobs for a moment, and no longer after ten minutes.
  forecast.Update(TimePoint(60000), {{kService, MakeDemand(10, 9000)}});
  EXPECT_DOUBLE_EQ(forecast.services().at(kService).pressure, 0.6);
  forecast.Update(TimePoint(602000), {{kService, MakeDemand(10, 9000)}});
  EXPECT_DOUBLE_EQ(forecast.services().at(kService).pressure, 0.1);
}

// Guards against a division by zero, and against an unbounded amount, for jobs without any slack.
TEST_F(UrgentHeadroomTest, JobsWithoutSlackGetTheCappedAmount) {
  UrgentHeadroom forecast(Options(HeadroomPolicy::kForecast, 900));
  double highest = 0;
  for (const auto& state : Run(forecast, 5 * kPeriodMs, -500, Wave)) {
    highest = std::max(highest, state.ceiling);
  }
  EXPECT_LE(highest, 1.31 * 155);
}

// Guards against memory that grows with services that have no urgent jobs any more.
TEST_F(UrgentHeadroomTest, ServicesWithoutDemandAreForgotten) {
  UrgentHeadroom forecast(Options(HeadroomPolicy::kForecast, 900));
  Run(forecast, 2 * kPeriodMs, 1450, Wave);
  for (int i = 0; i < 700; ++i) {
    now_ms_ += 1000;
    forecast.Update(TimePoint(now_ms_), {});
  }
  EXPECT_TRUE(forecast.services().empty());
}

// Guards against a log that repeats what is known, or that is written in each pass.
TEST_F(UrgentHeadroomTest, LogsChangesAtIntervals) {
  UrgentHeadroom forecast(Options(HeadroomPolicy::kForecast, 900));
  std::size_t lines = 0;
  for (std::int64_t end = now_ms_ + 30000; now_ms_ < end; now_ms_ += kPassMs) {
    forecast.Update(TimePoint(now_ms_), {{kService, MakeDemand(Wave(now_ms_), 1450)}});
    lines += forecast.TakeChanges(TimePoint(now_ms_)).size();
  }
  EXPECT_EQ(lines, 6U);
  UrgentHeadroom steady(Options(HeadroomPolicy::kForecast, 900));
  lines = 0;
  for (int i = 0; i < 300; ++i) {
    now_ms_ += kPassMs;
    steady.Update(TimePoint(now_ms_), {{kService, MakeDemand(50, 1450)}});
    for (const std::string& line : steady.TakeChanges(TimePoint(now_ms_))) {
      EXPECT_EQ(line, "service=service kept_free=0 ceiling=50 level=50 swing=0 pressure=0.62");
      ++lines;
    }
  }
  EXPECT_EQ(lines, 1U);
}

}  // namespace
}  // namespace basilspring::fleet
