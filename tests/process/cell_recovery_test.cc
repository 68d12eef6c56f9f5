#include <gtest/gtest.h>

#include <string>

#include "tests/process/cell_harness.h"

namespace basilspring {
namespace {

using testing::CellHarness;
using testing::FakeAgent;

class CellRecovery : public ::testing::TestWithParam<bool> {
 protected:
  CellRecovery() {
    cell.AddWorker("a");
    cell.AddWorker("b");
    cell.Run(6000);
  }
  CellHarness cell;
};

// Guards against losing a job or running it twice if the scheduler changes while the gang is
// prepared but not started.
TEST_P(CellRecovery, ChangeDuringPrepare) {
  cell.agent("b").ignore_prepare = true;
  cell.Submit("j", 2, 8, GetParam(), JobClass::kBatch);
  EXPECT_EQ(cell.PreparedTasks(), 1U);
  cell.agent("b").ignore_prepare = false;
  cell.ReplaceScheduler();
  cell.Run(4000);
  EXPECT_EQ(cell.Running("j"), 2U);
  EXPECT_EQ(cell.PreparedTasks(), 0U);
  cell.FinishTasks("j");
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kCount) << "no entry has asked for it yet";
  EXPECT_TRUE(cell.answers.contains(JobId("j")));
}

// Guards against a second run of a request that the previous scheduler had claimed but not started.
TEST_F(CellRecovery, ChangeAfterTheClaim) {
  cell.hold_store_operations = true;
  cell.Submit("j", 2, 8, false);
  const auto claim = std::get<ClaimRequest>(cell.held_operations.at(0));
  cell.requests[claim.job] = "claimed " + claim.attempt.value();
  cell.hold_store_operations = false;
  cell.ReplaceScheduler();
  cell.Submit("j", 2, 8, false);
  cell.Run(4000);
  EXPECT_TRUE(cell.Sent<Start>().empty());
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kOutcomeUnknown);
}

// Guards against a partial gang if the previous scheduler failed between two Starts.
TEST_P(CellRecovery, ChangeBetweenTheStarts) {
  cell.agent("b").ignore_start = true;
  cell.Submit("j", 2, 8, GetParam(), JobClass::kBatch);
  EXPECT_EQ(cell.Running("j"), 1U);
  cell.agent("b").ignore_start = false;
  cell.ReplaceScheduler();
  cell.Submit("j", 2, 8, GetParam(), JobClass::kBatch);
  cell.Run(4000);
  EXPECT_EQ(cell.Running("j"), GetParam() ? 2U : 0U);
  EXPECT_EQ(cell.Outcome("j"), GetParam() ? ErrorKind::kCount : ErrorKind::kOutcomeUnknown);
}

// A gang of three whose tasks finished while the scheduler was away, and whose members report to
// the next scheduler one after another.
class CellRecoveryInParts : public CellRecovery {
 protected:
  CellRecoveryInParts() {
    cell.AddWorker("c");
    cell.Run(2000);
    cell.Submit("j", 3);
    EXPECT_EQ(cell.Running("j"), 3U);
    for (const char* name : {"a", "b", "c"}) cell.agent(name).silent = true;
    cell.FinishTasks("j");
    cell.ReplaceScheduler(false);
    cell.Submit("j", 3);
  }
  void Report(const std::string& name) {
    FakeAgent& agent = cell.agent(name);
    agent.silent = false;
    agent.unsent.clear();
    agent.epoch = Epoch(CellHarness::kFirstEpoch + 10);
    AgentReport report{
        agent.id, RackId("rack"), CellId("dc/0"), agent.epoch, agent.address, agent.capacity, true};
    for (const auto& [key, task] : agent.tasks) report.tasks.push_back(task);
    EXPECT_EQ(report.tasks.size(), 1U) << name;
    cell.FromAgent(agent, report);
  }
};

// Guards against refusing a job after one lost attempt: its members report their finished tasks one
// after another, each after the scheduler has given up the others, and must count as one failure.
TEST_F(CellRecoveryInParts, AnAttemptReportedInPartsCountsOnce) {
  for (const char* name : {"a", "b", "c"}) {
    Report(name);
    cell.Run(1200);
  }
  cell.Run(500);
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kCount);
  EXPECT_EQ(cell.Running("j"), 3U);
  cell.FinishTasks("j");
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kNone);
}

// Guards against a cancellation without an answer if it arrives between the report of a late member
// and the decision about it.
TEST_F(CellRecoveryInParts, ACancellationWaitsForTheLateMember) {
  Report("a");
  cell.Run(1200);
  Report("b");
  cell.Cancel("j");
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kCount);
  cell.Run(1200);
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kCancelledRunning);
}

// Guards against stopping a running job or running it again because the scheduler changed.
TEST_P(CellRecovery, ChangeWhileRunning) {
  cell.Submit("j", 2, 8, GetParam());
  cell.ReplaceScheduler();
  EXPECT_EQ(cell.Running("j"), 2U);
  cell.Submit("j", 2, 8, GetParam());
  cell.FinishTasks("j");
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kNone);
  EXPECT_EQ(cell.Sent<Start>().size(), 2U);
  EXPECT_TRUE(cell.Sent<StopTask>().empty());
}

// Guards against losing outputs that the previous scheduler had received but not passed on.
TEST_P(CellRecovery, ChangeAfterTheFirstTaskIsDone) {
  cell.Submit("j", 2, 8, GetParam());
  cell.agent("b").silent = true;
  cell.FinishTasks("j");
  cell.agent("b").silent = false;
  cell.ReplaceScheduler();
  cell.Submit("j", 2, 8, GetParam());
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kNone);
  EXPECT_EQ(cell.Result("j")->answer.outputs, (std::vector<std::string>{"j/0", "j/1"}));
  cell.Run(100);
  EXPECT_TRUE(cell.agent("a").tasks.empty());
}

// Guards against a gang that keeps running with one member after the other's host failed together
// with the scheduler.
TEST_P(CellRecovery, MemberMissingAfterTheChange) {
  cell.Submit("j", 2, 8, GetParam(), JobClass::kBatch);
  cell.agent("b").silent = true;
  cell.ReplaceScheduler();
  cell.Submit("j", 2, 8, GetParam(), JobClass::kBatch);
  cell.Run(200);
  EXPECT_EQ(cell.Running("j"), 1U) << "only the task of the silent worker is left";
  EXPECT_EQ(cell.Outcome("j"), GetParam() ? ErrorKind::kCount : ErrorKind::kOutcomeUnknown);
  // The worker reports again, later, and its task must be stopped.
  cell.agent("b").silent = false;
  cell.Run(2500);
  EXPECT_EQ(cell.Running("j"), GetParam() ? 2U : 0U);
}

INSTANTIATE_TEST_SUITE_P(IdempotentOrNot, CellRecovery, ::testing::Bool());

// Guards against jobs that are lost or queued twice when an entry submits them again.
TEST_F(CellRecovery, ResubmissionAttachesToTheKnownJob) {
  cell.Submit("blocker", 2);
  cell.Submit("j", 1, 8, true, JobClass::kBatch);
  cell.ReplaceScheduler();
  cell.entry.port = 2;
  cell.Submit("j", 1, 8, true, JobClass::kBatch);
  cell.Submit("j", 1, 8, true, JobClass::kBatch);
  cell.FinishTasks("blocker");
  cell.Run(1000);
  EXPECT_EQ(cell.Running("j"), 1U);
  cell.FinishTasks("j");
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kNone);
  EXPECT_EQ(cell.sent.back().to, cell.agent("a").address)
      << "the acknowledgement must be sent after the result";
  const std::size_t before = cell.Sent<JobFinished>().size();
  cell.Submit("j", 1, 8, true, JobClass::kBatch);
  EXPECT_EQ(cell.Sent<JobFinished>().size(), before + 1) << "the result must be sent again";
}

// Guards against the outcome "unknown" for a request whose answer was stored by the previous
// scheduler, when the entry didn't receive it and submits the job again.
TEST_F(CellRecovery, ResubmissionOfAFinishedJobGetsTheStoredAnswer) {
  cell.Submit("j", 1, 8, false);
  cell.FinishTasks("j");
  cell.ReplaceScheduler();
  cell.sent.clear();
  cell.Submit("j", 1, 8, false);
  cell.Run(1000);
  EXPECT_TRUE(cell.Sent<Start>().empty());
  ASSERT_EQ(cell.Outcome("j"), ErrorKind::kNone);
  EXPECT_EQ(cell.Result("j")->answer.outputs, std::vector<std::string>{"j/0"});
}

// Guards against giving up a running task on the last report of a killed agent.
TEST_F(CellRecovery, ALateReportOfAFormerAgentDoesNotEndRunningTasks) {
  AgentReport late{WorkerId("a"),
                   RackId("rack"),
                   CellId("dc/0"),
                   cell.agent("a").epoch,
                   cell.agent("a").address,
                   cell.agent("a").capacity,
                   true};
  cell.Submit("j", 2, 8, false);
  ASSERT_EQ(cell.Running("j"), 2U);
  cell.FromAgent(cell.agent("a"), late);
  cell.Run(3000);
  EXPECT_EQ(cell.Running("j"), 2U);
  cell.FinishTasks("j");
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kNone);
}

// Guards against waiting for ever for a task that was lost with its agent.
TEST_F(CellRecovery, ATaskThatARestartedAgentDoesNotHaveIsGivenUp) {
  cell.Submit("j", 2, 8, false);
  FakeAgent& agent = cell.agent("a");
  agent.tasks.clear();
  agent.sequence = 0;
  cell.Run(5000);
  EXPECT_EQ(cell.Running("j"), 0U);
  EXPECT_EQ(cell.Outcome("j"), ErrorKind::kOutcomeUnknown);
}

// Guards against the answer "not run" for a job that a previous scheduler may have run.
TEST_F(CellRecovery, CancelAfterAChangeDoesNotClaimNotRun) {
  cell.Submit("j", 2, 8, true, JobClass::kBatch);
  cell.agent("a").silent = cell.agent("b").silent = true;
  cell.ReplaceScheduler();
  cell.Cancel("j");
  EXPECT_EQ(ErrorInfo(cell.Outcome("j")).outcome, RunOutcome::kRan);
}

// Guards against a superseded scheduler that keeps sending commands.
TEST_F(CellRecovery, StopsAtAHigherEpoch) {
  cell.agent("a").epoch = Epoch(99);
  cell.Run(2000);
  EXPECT_TRUE(cell.superseded);
  cell.sent.clear();
  cell.Submit("j");
  cell.Run(3000);
  EXPECT_TRUE(cell.sent.empty());
}

}  // namespace
}  // namespace basilspring
