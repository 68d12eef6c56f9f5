#include <gtest/gtest.h>

#include <string>

#include "tests/process/cell_harness.h"

namespace basilspring {
namespace {

using testing::CellHarness;

class CellClaim : public ::testing::Test {
 protected:
  CellClaim() {
    cell.AddWorker("a");
    cell.AddWorker("b");
    cell.Run(6000);
  }
  void SubmitOnce(const std::string& id, std::uint32_t tasks = 1) {
    cell.Submit(id, tasks, 8, /*idempotent=*/false);
  }
  CellHarness cell;
};

// Guards against a start before the store has confirmed the claim, and against a second claim after
// the first.
TEST_F(CellClaim, StartsOnlyAfterTheClaim) {
  cell.hold_store_operations = true;
  SubmitOnce("j", 2);
  EXPECT_EQ(cell.Running("j"), 0U);
  ASSERT_EQ(cell.held_operations.size(), 1U);
  const auto claim = std::get<ClaimRequest>(cell.held_operations[0]);
  cell.hold_store_operations = false;
  cell.requests[claim.job] = "claimed " + claim.attempt.value();
  cell.Deliver(ClaimReply{claim.job, claim.attempt, StoreOutcome::kDone});
  EXPECT_EQ(cell.Running("j"), 2U);
  cell.FinishTasks("j");
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kNone);
  EXPECT_TRUE(cell.records.empty());
  EXPECT_TRUE(cell.answers.contains(JobId("j")));
}

// Guards against a second run after a member of a claimed attempt was lost.
TEST_F(CellClaim, LostMemberAfterTheClaimIsUnknown) {
  SubmitOnce("j", 2);
  ASSERT_EQ(cell.Running("j"), 2U);
  cell.agent("a").silent = true;
  cell.Run(9000);
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kOutcomeUnknown);
  EXPECT_EQ(cell.Sent<Start>().size(), 2U);
}

// Guards against the answer "not run" after a claim that took effect: even though no task was
// started, the outcome must be unknown.
TEST_F(CellClaim, RefusedStartAfterTheClaimIsUnknown) {
  cell.agent("a").start_error = ErrorKind::kPermitExpired;
  cell.agent("b").start_error = ErrorKind::kPermitExpired;
  SubmitOnce("j");
  cell.Run(1000);
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kOutcomeUnknown);
}

// Guards against running a job twice if the claim took effect but the store's reply was lost: the
// attempt without a confirmed claim must not start, and the next attempt must find the claim.
TEST_F(CellClaim, LostClaimReplyNeverRunsTheJobTwice) {
  cell.lose_claim_reply = true;
  SubmitOnce("j");
  cell.lose_claim_reply = false;
  cell.Run(3000);
  EXPECT_TRUE(cell.Sent<Start>().empty());
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kOutcomeUnknown);
}

// Guards against giving up a job because the store was temporarily unavailable.
TEST_F(CellClaim, WaitsForTheStore) {
  cell.store_down = true;
  SubmitOnce("j");
  cell.Run(3000);
  EXPECT_TRUE(cell.Sent<Start>().empty());
  cell.store_down = false;
  cell.Run(6000);
  EXPECT_EQ(cell.Running("j"), 1U);
}

// Guards against a cancelled job that another scheduler runs later: the answer "not run" must wait
// until the request is fenced.
TEST_F(CellClaim, CancelOfAQueuedJobFencesFirst) {
  cell.Submit("blocker", 2);
  SubmitOnce("j");
  cell.store_down = true;
  cell.Cancel("j");
  cell.Run(500);
  EXPECT_EQ(cell.Result("j"), nullptr);
  cell.store_down = false;
  cell.Run(2000);
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kCancelled);
  EXPECT_EQ(cell.requests[JobId("j")], "fenced");
}

// Guards against starting a job whose claim was in flight when the caller cancelled it.
TEST_F(CellClaim, CancelDuringTheClaimStartsNothing) {
  cell.hold_store_operations = true;
  SubmitOnce("j");
  ASSERT_EQ(cell.held_operations.size(), 1U);
  const auto claim = std::get<ClaimRequest>(cell.held_operations[0]);
  cell.Cancel("j");
  cell.hold_store_operations = false;
  cell.requests[claim.job] = "claimed " + claim.attempt.value();
  cell.Deliver(ClaimReply{claim.job, claim.attempt, StoreOutcome::kDone});
  EXPECT_TRUE(cell.Sent<Start>().empty());
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kOutcomeUnknown);
  EXPECT_EQ(cell.PreparedTasks(), 0U);
}

// Guards against losing an answer while the store is unavailable: the answer is delivered at once
// and written when the store is available again, and the agents keep the outputs until then.
TEST_F(CellClaim, DeliversWithTheStoreDownAndWritesLater) {
  SubmitOnce("j");
  cell.store_down = true;
  cell.FinishTasks("j");
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kNone);
  EXPECT_TRUE(cell.answers.empty());
  EXPECT_TRUE(cell.Sent<TaskDoneAck>().empty());
  cell.store_down = false;
  cell.Run(2000);
  EXPECT_TRUE(cell.answers.contains(JobId("j")));
  EXPECT_EQ(cell.Sent<TaskDoneAck>().size(), 1U);
}

// Guards against the answer "not run" for a durable job while its record exists, since a later
// scheduler may still run it.
TEST_F(CellClaim, RefusalOfADurableJobWaitsForItsRecord) {
  cell.store_down = true;
  cell.Submit("huge", 3, 8, true, JobClass::kBatch);
  cell.Run(1000);
  EXPECT_EQ(cell.Result("huge"), nullptr);
  cell.store_down = false;
  cell.Run(2000);
  EXPECT_EQ(cell.Outcome("huge"), ErrorKind::kNeverFits);
  EXPECT_TRUE(cell.records.empty());
}

}  // namespace
}  // namespace basilspring
