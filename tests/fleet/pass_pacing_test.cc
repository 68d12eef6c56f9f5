#include "basilspring/fleet/pass_pacing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <queue>

namespace basilspring::fleet {
namespace {

// Guards against reports that wait longer than their agents do, because a slow scheduler spends its
// time on passes. Simulates 68 agents that report every 200 ms, 1 ms to process each report, and
// passes of 40 ms.
TEST(PassPacingTest, AnswersReportsInTimeBesideSlowPasses) {
  constexpr std::int64_t kAgents = 68;
  constexpr Duration kReportInterval(200);
  constexpr Duration kReportTime(1);
  constexpr Duration kPassTime(40);
  constexpr Duration kReportTimeout(900);
  PassPacing pacing;
  TimePoint now(1000);
  const TimePoint end = now + Duration::Seconds(30);
  std::queue<TimePoint> reports;
  std::int64_t arrived = 0;
  Duration longest_wait;
  std::int64_t passes = 0;
  while (now < end) {
    while (TimePoint(1000) + kReportInterval * arrived / kAgents <= now) {
      reports.push(TimePoint(1000) + kReportInterval * arrived / kAgents);
      ++arrived;
    }
    if (reports.empty()) {
      now = now + Duration(1);
      continue;
    }
    longest_wait = std::max(longest_wait, now - reports.front());
    reports.pop();
    now = now + kReportTime;
    if (now < pacing.EarliestAfterEvent()) continue;
    const TimePoint began = now;
    now = now + kPassTime;
    pacing.OnPass(began, now);
    ++passes;
  }
  EXPECT_LE(longest_wait, kReportTimeout);
  // Starts must not be delayed for long either.
  EXPECT_GE(passes, 30 * 4);
}

TEST(PassPacingTest, RunsFastPassesAtShortIntervals) {
  PassPacing pacing;
  pacing.OnPass(TimePoint(1000), TimePoint(1001));
  EXPECT_LE(pacing.EarliestAfterEvent() - TimePoint(1000), Duration(12));
}

// Guards against a scheduler that starts nothing for seconds after one long pass.
TEST(PassPacingTest, BoundsTheDelayAfterALongPass) {
  PassPacing pacing;
  pacing.OnPass(TimePoint(1000), TimePoint(3000));
  EXPECT_LE(pacing.EarliestAfterEvent() - TimePoint(3000), Duration(400));
  EXPECT_LE(pacing.NextWithoutEvent() - TimePoint(3000), Duration(400));
}

}  // namespace
}  // namespace basilspring::fleet
