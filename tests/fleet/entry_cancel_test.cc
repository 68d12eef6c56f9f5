#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "shared_store_fixture.h"
#include "tests/connection/raw_socket.h"

// An acknowledged cancellation is final: tests of two entries and the scheduler on one store.
namespace basilspring::fleet {
namespace {

class EntryCancelTest : public SharedStoreTest {
 protected:
  /// Checks that the job is neither stored now nor by a further submission, also after an entry was
  /// restarted, and that a scheduler that takes over starts nothing.
  void ExpectNeverRuns() {
    EXPECT_TRUE(IsCancelled());
    EXPECT_EQ(Submit(*a_)->status, 409);
    a_ = MakeEntry("a");
    EXPECT_EQ(Submit(*a_)->status, 409);
    EXPECT_EQ(Submit(*b_)->status, 409);
    EXPECT_EQ(Query(*b_)->status, 410);
    EXPECT_FALSE(IsStored());
    const auto scheduler = MakeScheduler();
    Deliver(*scheduler);
    EXPECT_EQ(scheduler->core().counts().starts_planned, 0U);
    EXPECT_FALSE(scheduler->core().PhaseOf(JobId(kJob)).has_value());
  }
};

// Shows that the other tests' check for starts can fail: without a cancellation the job starts.
TEST_F(EntryCancelTest, AJobThatIsNotCancelledStarts) {
  const auto scheduler = MakeScheduler();
  EXPECT_EQ(Submit(*a_)->status, 200);
  Deliver(*scheduler);
  EXPECT_EQ(scheduler->core().counts().starts_planned, 1U);
}

// Guards against an entry that was suspended before it read the submission and stores it
// afterwards.
TEST_F(EntryCancelTest, ASubmissionReadAfterItsCancellationIsNotStored) {
  EXPECT_EQ(Cancel(*b_)->status, 410);
  EXPECT_EQ(Submit(*a_)->status, 409);
  ExpectNeverRuns();
}

// Guards against an entry that is suspended between reading a submission and writing the job.
TEST_F(EntryCancelTest, ASubmissionThatWasReadBeforeIsNotWrittenAfterItsCancellation) {
  // The store drops the first write, and the entry writes again when its posted work runs.
  FailNextWrite(Fault::kSilent);
  const Answer submission = Submit(*a_);
  EXPECT_EQ(submission->status, 0);
  EXPECT_EQ(Cancel(*b_)->status, 410);
  Run();
  EXPECT_EQ(submission->status, 409);
  ExpectNeverRuns();
}

// Guards against a write that was sent before its entry was suspended, or that the store carries
// out late, and that stores a job cancelled meanwhile.
TEST_F(EntryCancelTest, ALateWriteOfTheJobComesToNothing) {
  FailNextWrite(Fault::kLate);
  const Answer submission = Submit(*a_);
  EXPECT_EQ(Cancel(*b_)->status, 410);
  store_.ApplyLate();
  EXPECT_FALSE(IsStored());
  Run();
  EXPECT_EQ(submission->status, 409);
  ExpectNeverRuns();
}

// Guards against starting a job whose write was carried out without an answer before its
// cancellation.
TEST_F(EntryCancelTest, AJobWhoseWriteWasNotAnsweredIsCancelled) {
  const auto scheduler = MakeScheduler();
  FailNextWrite(Fault::kAnswerLost);
  const Answer submission = Submit(*a_);
  EXPECT_EQ(Cancel(*b_)->status, 200);
  Run();
  Deliver(*scheduler);
  EXPECT_EQ(scheduler->core().counts().starts_planned, 0U);
  EXPECT_EQ(scheduler->core().PhaseOf(JobId(kJob)), JobPhase::kCancelled);
}

// Guards against losing a cancellation that the entry gets together with the submission when it
// resumes.
TEST_F(EntryCancelTest, TheSameEntryCancelsAfterItHasResumed) {
  const auto scheduler = MakeScheduler();
  EXPECT_EQ(Submit(*a_)->status, 200);
  EXPECT_EQ(Cancel(*a_)->status, 200);
  Deliver(*scheduler);
  EXPECT_EQ(scheduler->core().counts().starts_planned, 0U);
  const Answer status = Query(*b_);
  EXPECT_EQ(status->status, 200);
  EXPECT_NE(status->body.find("cancelled"), std::string::npos) << status->body;
}

// Guards against acknowledging a cancellation of which the store holds nothing.
TEST_F(EntryCancelTest, ACancellationIsNotAcknowledgedWithoutAnAnswerOfTheStore) {
  for (const Fault fault : {Fault::kRefused, Fault::kSilent, Fault::kLate, Fault::kAnswerLost}) {
    store_.fault = [fault](const StoreCall&) { return fault; };
    EXPECT_EQ(CancelBriefly(*a_)->status, 504);
    store_.fault = [fault](const StoreCall& call) {
      return call.kind() == StoreOperation::kTransaction ? fault : Fault::kNone;
    };
    EXPECT_EQ(CancelBriefly(*a_)->status, 504);
  }
  store_.fault = nullptr;
  store_.ApplyLate();
  EXPECT_EQ(Cancel(*b_)->status, 410);
  ExpectNeverRuns();
}

// Guards against a cancellation whose unanswered write is taken for done, or whose late write
// undoes anything.
TEST_F(EntryCancelTest, ACancellationIsRepeatedUntilItIsAnswered) {
  for (const Fault fault : {Fault::kRefused, Fault::kSilent, Fault::kLate, Fault::kAnswerLost}) {
    FailNextWrite(fault);
    const Answer cancellation = Cancel(*a_);
    EXPECT_EQ(cancellation->status, 0);
    Run();
    EXPECT_EQ(cancellation->status, 410);
    store_.ApplyLate();
    EXPECT_TRUE(IsCancelled());
  }
  ExpectNeverRuns();
}

// Guards against a cancellation that is stored first and forgotten when it is sent again, through
// either entry.
TEST_F(EntryCancelTest, ACancellationSentTwiceIsAcknowledgedTwice) {
  EXPECT_EQ(Cancel(*a_)->status, 410);
  EXPECT_EQ(Cancel(*b_)->status, 410);
  EXPECT_EQ(Cancel(*a_)->status, 410);
  ExpectNeverRuns();
}

// Guards against starting a cancelled job that is submitted again, that a new scheduler reads, or
// that is read again after a lost history.
TEST_F(EntryCancelTest, ACancelledJobStartsInNoLaterTermAndNotAfterALostHistory) {
  EXPECT_EQ(Submit(*a_)->status, 200);
  EXPECT_EQ(Cancel(*b_)->status, 200);
  for (int term = 0; term < 2; ++term) {
    const auto scheduler = MakeScheduler();
    ReportWorker(*scheduler);
    // The job is known, so this only repeats the answer.
    EXPECT_EQ(Submit(*b_)->status, 200);
    Deliver(*scheduler);
    store_.LoseHistory();
    Run();
    Deliver(*scheduler);
    EXPECT_EQ(scheduler->core().counts().starts_planned, 0U);
    EXPECT_EQ(scheduler->core().PhaseOf(JobId(kJob)), JobPhase::kCancelled);
    store_.DropWatches();
  }
}

// Guards against removing a cancellation that was acknowledged again a moment before the end of its
// retention, which the scheduler has not seen. Without it, a submission that is read then is
// stored and runs.
TEST_F(EntryCancelTest, ACancellationThatWasRepeatedIsNotRemovedWithTheFirst) {
  const auto scheduler = MakeScheduler();
  EXPECT_EQ(Cancel(*a_)->status, 410);
  Deliver(*scheduler);
  EXPECT_EQ(Cancel(*b_)->status, 410);
  scheduler->Tick(Clock::Now() + options_.keep_finished + Duration::Seconds(1));
  Run();
  ExpectNeverRuns();
}

// Guards against removing, with the keys of a finished job, a cancellation of it that was
// acknowledged a moment before.
TEST_F(EntryCancelTest, ACancellationAtTheEndOfAJobsRetentionIsNotRemovedWithTheJob) {
  options_.keep_finished = Duration::Seconds(60);
  JobProgress progress;
  progress.phase = static_cast<std::uint8_t>(JobPhase::kCompleted);
  EXPECT_EQ(Submit(*a_)->status, 200);
  store_.Apply(
      StoreCall::Transaction().Set(StoreKeys::Progress(JobId(kJob)), EncodeJobProgress(progress)));
  const auto scheduler = MakeScheduler();
  EXPECT_EQ(Cancel(*b_)->status, 200);
  scheduler->Tick(Clock::Now() + options_.keep_finished + Duration::Seconds(1));
  Run();
  EXPECT_TRUE(IsCancelled());
  EXPECT_TRUE(IsStored());
}

// Guards against a removal that was carried out without an answer and, when it is repeated, deletes
// a cancellation that was acknowledged in between; and against a removal that never ends.
TEST_F(EntryCancelTest, ARepeatedRemovalKeepsALaterCancellation) {
  const auto scheduler = MakeScheduler();
  EXPECT_EQ(Cancel(*a_)->status, 410);
  Deliver(*scheduler);
  FailNextWrite(Fault::kAnswerLost);
  const TimePoint over = Clock::Now() + options_.keep_finished + Duration::Seconds(1);
  scheduler->Tick(over);
  EXPECT_FALSE(IsCancelled());
  EXPECT_EQ(Cancel(*b_)->status, 410);
  // The pause after the unanswered write is real time.
  int pass = 0;
  EXPECT_TRUE(Eventually([&] {
    std::size_t removals = 0;
    store_.fault = [&](const StoreCall& call) {
      if (!call.removals.empty()) ++removals;
      return Fault::kNone;
    };
    scheduler->Tick(over + Duration::Seconds(++pass));
    Run();
    store_.fault = nullptr;
    return removals > 0;
  }));
  ExpectNeverRuns();
}

// Guards against a removal that the store carries out late, after the scheduler has repeated it and
// the job was cancelled again.
TEST_F(EntryCancelTest, ALateRemovalKeepsALaterCancellation) {
  const auto scheduler = MakeScheduler();
  EXPECT_EQ(Cancel(*a_)->status, 410);
  Deliver(*scheduler);
  FailNextWrite(Fault::kLate);
  scheduler->Tick(Clock::Now() + options_.keep_finished + Duration::Seconds(1));
  EXPECT_EQ(store_.late.size(), 1U);
  EXPECT_EQ(Cancel(*b_)->status, 410);
  store_.ApplyLate();
  ExpectNeverRuns();
}

}  // namespace
}  // namespace basilspring::fleet
