#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "shared_store_fixture.h"
#include "tests/connection/raw_socket.h"

// The removal of a finished job's keys must not delete a job that was accepted anew under the same
// id. A scheduler that lost the record of such a job would run its finished tasks again.
namespace basilspring::fleet {
namespace {

class SchedulerRemovalTest : public SharedStoreTest {
 protected:
  // Finished jobs are removed with the pass after their final record is stored.
  SchedulerRemovalTest() { options_.keep_finished = Duration(0); }

  /// Makes the store treat the next removal in this way.
  void FailNextRemoval(Fault fault) {
    store_.fault = [fault, pending = std::make_shared<bool>(true)](const StoreCall& call) {
      const bool chosen = !call.removals.empty() && std::exchange(*pending, false);
      return chosen ? fault : Fault::kNone;
    };
  }

  /// Lets the scheduler start both tasks of the job and read their ends, so that it sends the
  /// removal of the job's keys.
  void RunToTheEnd(SchedulerDriver& scheduler) {
    EXPECT_EQ(SubmitTwoTasks(*a_)->status, 200);
    Deliver(scheduler);
    EXPECT_EQ(scheduler.core().counts().starts_planned, 2U);
    ReportWorker(scheduler, {DoneRow(1, 0), DoneRow(2, 1)});
    EXPECT_EQ(scheduler.core().counts().jobs_completed, 1U);
  }
  /// Stores a record of the job in which its first task is done, without the job itself.
  void StoreRecordOfFirstTask() {
    JobProgress progress;
    progress.phase = static_cast<std::uint8_t>(JobPhase::kRunning);
    progress.steps.emplace_back().done = {1, 0};
    store_.Apply(StoreCall::Transaction().Set(record_key_, EncodeJobProgress(progress)));
  }
  /// Runs passes until the condition holds. The pause after an unanswered write is real time.
  bool PassUntil(SchedulerDriver& scheduler, const std::function<bool()>& condition) {
    return Eventually([&] {
      scheduler.Tick(Clock::Now());
      Run();
      return condition();
    });
  }
  /// Runs passes for longer than the pause after an unanswered write.
  void PassBeyondThePause(SchedulerDriver& scheduler) {
    const TimePoint until = Clock::Now() + Duration(300);
    EXPECT_TRUE(PassUntil(scheduler, [until] { return Clock::Now() >= until; }));
  }
  /// Checks that the job that was accepted anew runs and that its progress outlasts the scheduler.
  void ExpectRunsAnew(std::unique_ptr<SchedulerDriver> scheduler) {
    EXPECT_TRUE(IsStored());
    EXPECT_EQ(scheduler->core().counts().starts_planned, 4U);
    EXPECT_EQ(scheduler->core().PhaseOf(JobId(kJob)), JobPhase::kQueued);
    ReportWorker(*scheduler, {DoneRow(3, 0)});
    store_.ApplyLate();
    ASSERT_TRUE(IsStored());
    ASSERT_TRUE(store_.Has(record_key_));
    EXPECT_EQ(CountDoneTasks(DecodeJobProgress(store_.ValueOf(record_key_))), 1);
    store_.DropWatches();
    scheduler = MakeScheduler();
    EXPECT_EQ(scheduler->core().PhaseOf(JobId(kJob)), JobPhase::kRunning);
  }
};

// Guards against a removal that the store carries out late, after it was repeated and the job was
// accepted anew.
TEST_F(SchedulerRemovalTest, ALateRemovalKeepsAJobThatWasAcceptedAnew) {
  auto scheduler = MakeScheduler();
  FailNextRemoval(Fault::kLate);
  RunToTheEnd(*scheduler);
  ASSERT_EQ(store_.late.size(), 1U);
  EXPECT_TRUE(PassUntil(*scheduler, [this] { return !IsStored(); }));
  EXPECT_FALSE(store_.Has(record_key_));
  EXPECT_EQ(SubmitTwoTasks(*a_)->status, 200);
  Deliver(*scheduler);
  ExpectRunsAnew(std::move(scheduler));
}

// Guards against the same for a job that has not been started, so that it has no record.
TEST_F(SchedulerRemovalTest, ALateRemovalKeepsAJobThatHasNoRecordYet) {
  const auto scheduler = MakeScheduler();
  FailNextRemoval(Fault::kLate);
  RunToTheEnd(*scheduler);
  EXPECT_TRUE(PassUntil(*scheduler, [this] { return !IsStored(); }));
  EXPECT_EQ(SubmitTwoTasks(*a_)->status, 200);
  store_.ApplyLate();
  EXPECT_TRUE(IsStored());
}

// Guards against a removal that was carried out without an answer and deletes, when it is repeated,
// the job that was accepted anew in between and that the scheduler has not read yet.
TEST_F(SchedulerRemovalTest, ARepeatedRemovalKeepsAJobThatWasAcceptedAnew) {
  auto scheduler = MakeScheduler();
  FailNextRemoval(Fault::kAnswerLost);
  RunToTheEnd(*scheduler);
  ASSERT_FALSE(IsStored());
  EXPECT_EQ(SubmitTwoTasks(*a_)->status, 200);
  PassBeyondThePause(*scheduler);
  Deliver(*scheduler);
  ExpectRunsAnew(std::move(scheduler));
}

// Guards against the same if the scheduler reads the job before it repeats the removal, and against
// taking the job for the one that has ended.
TEST_F(SchedulerRemovalTest, AJobThatIsReadBeforeTheRemovalIsRepeatedRuns) {
  auto scheduler = MakeScheduler();
  FailNextRemoval(Fault::kAnswerLost);
  RunToTheEnd(*scheduler);
  ASSERT_FALSE(IsStored());
  EXPECT_EQ(SubmitTwoTasks(*a_)->status, 200);
  Deliver(*scheduler);
  PassBeyondThePause(*scheduler);
  ExpectRunsAnew(std::move(scheduler));
}

// Guards against forgetting a job that was accepted anew and read before the answer to the removal
// arrived: it would wait until the next scheduler reads it.
TEST_F(SchedulerRemovalTest, AJobThatIsReadBeforeTheRemovalIsAnsweredRuns) {
  auto scheduler = MakeScheduler();
  FailNextRemoval(Fault::kAnswerLate);
  RunToTheEnd(*scheduler);
  ASSERT_FALSE(IsStored());
  EXPECT_EQ(SubmitTwoTasks(*a_)->status, 200);
  store_.DeliverChanges();
  Run();
  store_.DeliverLateAnswers();
  Run();
  Deliver(*scheduler);
  ExpectRunsAnew(std::move(scheduler));
}

// Guards against taking a job for cancelled, or removing it, because the cancellation of its id was
// removed without an answer before the job was accepted.
TEST_F(SchedulerRemovalTest, AJobThatIsAcceptedAfterItsCancellationWasRemovedRuns) {
  for (const bool delivered_first : {false, true}) {
    const auto scheduler = MakeScheduler();
    EXPECT_EQ(Cancel(*a_)->status, 410);
    FailNextRemoval(Fault::kAnswerLost);
    Deliver(*scheduler);
    ASSERT_FALSE(IsCancelled());
    EXPECT_EQ(SubmitTwoTasks(*a_)->status, 200);
    if (delivered_first) Deliver(*scheduler);
    PassBeyondThePause(*scheduler);
    Deliver(*scheduler);
    EXPECT_TRUE(IsStored());
    EXPECT_EQ(scheduler->core().PhaseOf(JobId(kJob)), JobPhase::kQueued);
    EXPECT_EQ(scheduler->core().counts().starts_planned, 2U);
    store_.DropWatches();
    store_.Apply(StoreCall::Transaction().Remove(job_key_).Remove(record_key_));
  }
}

// Guards against a removal that never ends, because its conditions are those of a record that this
// scheduler has only read, or that an earlier attempt has removed.
TEST_F(SchedulerRemovalTest, RemovesAJobThatAnEarlierSchedulerHasFinished) {
  for (const Fault fault : {Fault::kNone, Fault::kSilent, Fault::kAnswerLost}) {
    JobProgress progress;
    progress.phase = static_cast<std::uint8_t>(JobPhase::kCompleted);
    EXPECT_EQ(SubmitTwoTasks(*a_)->status, 200);
    store_.Apply(StoreCall::Transaction().Set(record_key_, EncodeJobProgress(progress)));
    FailNextRemoval(fault);
    const auto scheduler = MakeScheduler();
    EXPECT_TRUE(
        PassUntil(*scheduler, [&] { return !scheduler->core().PhaseOf(JobId(kJob)).has_value(); }));
    EXPECT_FALSE(IsStored());
    EXPECT_FALSE(store_.Has(record_key_));
    store_.DropWatches();
  }
}

// Guards against removals that the store rejects because they have too many entries.
TEST_F(SchedulerRemovalTest, ManyRemovalsStayWithinTheLimitOfATransaction) {
  constexpr std::size_t kMaxEntries = 32;
  constexpr int kJobs = 20;
  for (int i = 0; i < kJobs; ++i) {
    EXPECT_EQ(Send(*a_, "DELETE", "00000000000001" + std::to_string(10 + i))->status, 410);
  }
  std::size_t largest = 0;
  std::size_t removed = 0;
  store_.fault = [&](const StoreCall& call) {
    largest = std::max(largest, call.conditions.size() + call.writes.size() + call.removals.size());
    removed += call.removals.size();
    return Fault::kNone;
  };
  const auto scheduler = MakeScheduler();
  EXPECT_TRUE(PassUntil(*scheduler, [&] { return removed >= kJobs * 3; }));
  EXPECT_LE(largest, kMaxEntries);
}

// Guards against running finished tasks again because the record of a job was dropped.
TEST_F(SchedulerRemovalTest, AJobThatIsFirstSeenLaterKeepsTheRecordThatWasReadBefore) {
  StoreRecordOfFirstTask();
  const auto scheduler = MakeScheduler();
  EXPECT_EQ(SubmitTwoTasks(*a_)->status, 200);
  Deliver(*scheduler);
  EXPECT_EQ(scheduler->core().counts().starts_planned, 1U);
}

// Guards against taking such a record for that of a job that is accepted after its removal.
TEST_F(SchedulerRemovalTest, ARemovedRecordIsNotThatOfAJobThatIsAcceptedLater) {
  StoreRecordOfFirstTask();
  const auto scheduler = MakeScheduler();
  EXPECT_EQ(Cancel(*a_)->status, 410);
  Deliver(*scheduler);
  EXPECT_TRUE(PassUntil(*scheduler, [this] { return !IsCancelled(); }));
  ASSERT_FALSE(store_.Has(record_key_));
  EXPECT_EQ(SubmitTwoTasks(*a_)->status, 200);
  Deliver(*scheduler);
  EXPECT_EQ(scheduler->core().counts().starts_planned, 2U);
}

}  // namespace
}  // namespace basilspring::fleet
