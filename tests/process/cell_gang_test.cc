#include <gtest/gtest.h>

#include <string>

#include "tests/process/cell_harness.h"

namespace basilspring {
namespace {

using testing::CellHarness;
using testing::FakeAgent;

// A cell with two workers of 8 accelerators each, whose scheduler is ready.
class CellGang : public ::testing::Test {
 protected:
  CellGang() {
    cell.AddWorker("a");
    cell.AddWorker("b");
    cell.Run(6000);
  }
  CellHarness cell;
};

// Guards against an answer that is incomplete or out of rank order.
TEST_F(CellGang, AnswersWithAllOutputsInRankOrder) {
  cell.Submit("j", 2);
  EXPECT_EQ(cell.Running("j"), 2U);
  cell.FinishTasks("j");
  const JobResult* const result = cell.Result("j");
  ASSERT_NE(result, nullptr);
  EXPECT_EQ(result->answer.outputs, (std::vector<std::string>{"j/0", "j/1"}));
  EXPECT_TRUE(HasValidChecksum(result->answer));
  cell.Run(100);
  EXPECT_TRUE(cell.agent("a").tasks.empty()) << "the output is not acknowledged";
}

// Guards against a partial gang: if one member refuses or doesn't answer, no other member may
// start, and their reservations must be released.
TEST_F(CellGang, StartsNothingUnlessAllMembersPrepared) {
  cell.agent("b").refuse_prepare = true;
  cell.Submit("refused", 2);
  cell.Run(2000);
  cell.agent("b").refuse_prepare = false;
  cell.agent("b").ignore_prepare = true;
  cell.Run(9000);
  EXPECT_TRUE(cell.Sent<Start>().empty());
  cell.agent("b").ignore_prepare = false;
  cell.Run(12000);
  EXPECT_EQ(cell.Running("refused"), 2U);
  EXPECT_EQ(cell.PreparedTasks(), 0U);
}

// Guards against a gang that keeps running after a member failed or was lost.
TEST_F(CellGang, StopsTheOthersWhenAMemberIsLost) {
  cell.Submit("j", 2);
  ASSERT_EQ(cell.Running("j"), 2U);
  cell.agent("a").silent = true;
  cell.Run(9000);
  EXPECT_EQ(cell.agent("b").tasks.size(), 0U);
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kCount) << "an idempotent job waits for a new attempt";
  cell.AddWorker("c");
  cell.Run(6000);
  cell.FinishTasks("j");
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kNone);
}

// Guards against a start without a permit, and against a not_after later than the end of the
// permit. The agent's clock is 500 ms ahead of the scheduler's, and the permit is valid for 700 ms
// from its request, which is sent between 1 s and 1.5 s after Prepared.
TEST_F(CellGang, StartsOnlyWithAValidPermit) {
  cell.Run(8000);
  cell.give_permits = false;
  cell.Submit("j", 1);
  cell.Run(1000);
  EXPECT_TRUE(cell.Sent<Start>().empty());
  const TimePoint prepared_at = cell.now - Duration(1000);
  cell.give_permits = true;
  cell.permit_remaining = Duration(700);
  cell.Run(500);
  const std::vector<Start> starts = cell.Sent<Start>();
  ASSERT_EQ(starts.size(), 1U);
  const Duration after_prepared = starts[0].not_after - (prepared_at + Duration(500));
  EXPECT_LE(after_prepared, Duration(1000 + 500 + 700));
  EXPECT_GT(after_prepared, Duration(1000));
}

// Guards against a job that a faulty worker's refusals keep from running forever, and against
// endless attempts: each failed run counts, and the job ends with the last failure after
// attempts.max runs.
TEST_F(CellGang, EndsAfterAttemptsMax) {
  for (const char* name : {"a", "b"}) {
    cell.agent(name).start_error = ErrorKind::kTaskFailed;
    cell.agent(name).error_after_start = true;
  }
  cell.Submit("j", 1);
  cell.Run(20000);
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kAttemptsExhausted);
  EXPECT_EQ(cell.Sent<Start>().size(), 3U);
}

}  // namespace
}  // namespace basilspring
