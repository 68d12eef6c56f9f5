#include "basilspring/connection/frame.h"
#include "tests/process/entry_core_harness.h"

namespace basilspring {
namespace {

class EntryRecordsTest : public EntryCoreTest {
 protected:
  EntryRecordsTest() { Summarize(1); }

  /// Submits a non-idempotent job whose records were created.
  void Record(std::uint64_t caller, const std::string& job, const std::string& key) {
    Do(Completed(Submit(caller, Spec(job, JobClass::kUrgent, false, key)), true));
  }
};

// Guards against a job that is sent before its record stands, and against a record that does not
// name job and cell.
TEST_F(EntryRecordsTest, RecordsStandBeforeTheJobIsSent) {
  const EntryEffects effects = Submit(1, Spec("j1", JobClass::kUrgent, false, "k"));
  EXPECT_TRUE(effects.messages.empty());
  ASSERT_EQ(effects.operations.size(), 1U);
  const EntryStoreOperation& operation = effects.operations[0];
  ASSERT_EQ(operation.writes.size(), 2U);
  EXPECT_EQ(std::get<PutKey>(operation.writes[0]).key, "/basilspring/jobs/a/1/j1");
  EXPECT_EQ(DecodeJobSpec(std::get<PutKey>(operation.writes[0]).value).id, JobId("j1"));
  EXPECT_EQ(std::get<PutKey>(operation.writes[1]).key, "/basilspring/requests/quotes/k");
  EXPECT_EQ(std::get<PutKey>(operation.writes[1]).value, "open j1 a/1");
  EXPECT_EQ(operation.conditions.size(), 2U);
  EXPECT_EQ(Sent<SubmitJob>(Do(Completed(effects, true))).size(), 1U);
}

// Guards against running a non-idempotent request twice when it is repeated at another entry.
TEST_F(EntryRecordsTest, ARepeatAtAnotherEntryIsAttachedToTheFirstJob) {
  const EntryEffects open = Submit(1, Spec("j1", JobClass::kUrgent, false, "k"));
  const auto sent =
      Sent<SubmitJob>(Do(FoundRecord(open, RequestRecordState::kOpen, "first", "a/1")));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].second.spec.id, JobId("first"));
  Finished(Scheduler(1), "first", Success("one"));
  EXPECT_EQ(OutputOf(1), "one");

  const EntryEffects done = Submit(2, Spec("j2", JobClass::kUrgent, false, "k2"));
  const EntryEffects read = Do(FoundRecord(done, RequestRecordState::kDone, "second", "a/1", "t"));
  EXPECT_TRUE(Sent<SubmitJob>(read).empty());
  StoreCompleted answer = Completed(read, false);
  answer.found.push_back({"/basilspring/answers/second", EncodeJobResult(Success("two"))});
  Do(answer);
  EXPECT_EQ(OutputOf(2), "two");
}

// Guards against a key that stays unusable after a true "not run".
TEST_F(EntryRecordsTest, AFencedRecordIsReplaced) {
  const EntryEffects created = Submit(1, Spec("j2", JobClass::kUrgent, false, "k"));
  const EntryEffects again = Do(FoundRecord(created, RequestRecordState::kFenced, "j1", "a/1"));
  ASSERT_EQ(again.operations.size(), 1U);
  EXPECT_EQ(std::get<ValueIs>(again.operations[0].conditions[1]).value, "fenced j1 a/1");
  EXPECT_EQ(Sent<SubmitJob>(Do(Completed(again, true))).size(), 1U);
}

// Guards against "not run" before the request record is fenced.
TEST_F(EntryRecordsTest, ARefusalGoesOutAfterTheFence) {
  Record(1, "j1", "k");
  const EntryEffects fence = Finished(Scheduler(1), "j1", Failure(ErrorKind::kNoCapacity));
  EXPECT_TRUE(replies_[1].empty());
  ASSERT_EQ(fence.operations.size(), 1U);
  EXPECT_EQ(std::get<ValueIs>(fence.operations[0].conditions[0]).value, "open j1 a/1");
  EXPECT_EQ(std::get<PutKey>(fence.operations[0].writes[0]).value, "fenced j1 a/1");
  Do(Completed(fence, true));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kNoCapacity);
}

// Guards against "not run" for a job that was claimed.
TEST_F(EntryRecordsTest, ARefusalAfterAClaimIsUnknownUnlessItsAnswerStands) {
  Record(1, "j1", "k1");
  EntryEffects fence = Finished(Scheduler(1), "j1", Failure(ErrorKind::kNoCapacity));
  EntryEffects read = Do(FoundRecord(fence, RequestRecordState::kClaimed, "j1", "a/1", "t"));
  Do(Completed(read, false));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kOutcomeUnknown);

  Record(2, "j2", "k2");
  fence = Finished(Scheduler(1), "j2", Failure(ErrorKind::kNoCapacity));
  read = Do(FoundRecord(fence, RequestRecordState::kDone, "j2", "a/1", "t"));
  StoreCompleted answer = Completed(read, false);
  answer.found.push_back({"/basilspring/answers/j2", EncodeJobResult(Success("two"))});
  Do(answer);
  EXPECT_EQ(OutputOf(2), "two");
}

// Guards against "not run" when nobody can tell whether the fence holds.
TEST_F(EntryRecordsTest, AFenceWithoutAnswerGivesUnknown) {
  Record(1, "j1", "k");
  StoreCompleted lost =
      Completed(Finished(Scheduler(1), "j1", Failure(ErrorKind::kNoCapacity)), false);
  lost.error = ErrorKind::kStoreOutcomeUnknown;
  Do(lost);
  EXPECT_EQ(ErrorOf(1), ErrorKind::kOutcomeUnknown);
}

// Guards against a create whose answer was lost and that arrives after the refusal.
TEST_F(EntryRecordsTest, ACreateOfUnknownOutcomeIsFencedOrBlocked) {
  StoreCompleted lost = Completed(Submit(1, Spec("j1", JobClass::kUrgent, false, "k")), false);
  lost.error = ErrorKind::kStoreOutcomeUnknown;
  const EntryEffects fence = Do(lost);
  const EntryEffects block = Do(Completed(fence, false));
  ASSERT_EQ(block.operations.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<KeyAbsent>(block.operations[0].conditions[0]));
  EXPECT_TRUE(replies_[1].empty());
  Do(Completed(block, true));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kStoreUnavailable);
}

// Guards against accepting work that needs a record while the store is away.
TEST_F(EntryRecordsTest, WithoutTheStoreNothingIsSent) {
  StoreCompleted failed = Completed(Submit(1, Spec("j1", JobClass::kBatch)), false);
  failed.error = ErrorKind::kStoreUnavailable;
  EXPECT_TRUE(Do(failed).messages.empty());
  EXPECT_EQ(ErrorOf(1), ErrorKind::kStoreUnavailable);
  EXPECT_EQ(Sent<SubmitJob>(Submit(2, Spec("j2"))).size(), 1U);
  // A store that is known to hang is not written to, so that the refusal can say "not run".
  Do(StoreState{false});
  EXPECT_TRUE(Submit(3, Spec("j3", JobClass::kBatch)).operations.empty());
  EXPECT_EQ(ErrorOf(3), ErrorKind::kStoreUnavailable);
}

// Guards against "not run" for a durable job whose record a later scheduler would take up.
TEST_F(EntryRecordsTest, TheJobRecordIsRemovedBeforeARefusal) {
  Do(Completed(Submit(1, Spec("j1", JobClass::kBatch)), true));
  const EntryEffects read = Finished(Scheduler(1), "j1", Failure(ErrorKind::kNoCapacity));
  EXPECT_TRUE(replies_[1].empty());
  StoreCompleted found = Completed(read, false);
  StoreKeyValue pair;
  pair.key = "/basilspring/jobs/a/1/j1";
  pair.mod_revision = 7;
  found.found.push_back(pair);
  const EntryEffects removal = Do(found);
  ASSERT_EQ(removal.operations.size(), 1U);
  EXPECT_EQ(std::get<ModRevisionIs>(removal.operations[0].conditions[0]).revision, 7);
  Do(Completed(removal, true));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kNoCapacity);
}

// Guards against two cells that may both claim a job that was moved, and against the refusal of the
// first cell standing in the store as the answer of the job.
TEST_F(EntryRecordsTest, AMoveReopensTheFencedRecordAndDropsTheStoredRefusal) {
  Summarize(2, 1, 0, "south", 60000);
  Record(1, "j1", "k");
  const EntryEffects move = Finished(Scheduler(1), "j1", Failure(ErrorKind::kOverloaded));
  ASSERT_EQ(move.operations.size(), 1U);
  const EntryStoreOperation& operation = move.operations[0];
  EXPECT_EQ(std::get<ValueIs>(operation.conditions[1]).value, "fenced j1 a/1");
  EXPECT_EQ(std::get<PutKey>(operation.writes[1]).value, "open j1 a/2");
  EXPECT_EQ(std::get<DeleteKey>(operation.writes[3]).key, "/basilspring/answers/j1");
  const auto sent = Sent<SubmitJob>(Do(Completed(move, true)));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].first, Scheduler(2));
}

// Guards against running a job whose id is known to callers, who can have read its refusal "not
// run" at another entry.
TEST_F(EntryRecordsTest, AnAcknowledgedDurableJobStaysRefused) {
  Summarize(2, 1, 0, "south", 60000);
  Do(Completed(Submit(1, Spec("j1", JobClass::kBatch), Duration(0)), true));
  After(Duration(100));
  ASSERT_EQ(replies_[1].size(), 1U);
  const EntryEffects read = Finished(Scheduler(1), "j1", Failure(ErrorKind::kOverloaded));
  ASSERT_EQ(read.operations.size(), 1U);
  EXPECT_TRUE(read.operations[0].writes.empty());
}

// Guards against a second run of a non-idempotent job whose cell is only out of reach.
TEST_F(EntryRecordsTest, NonIdempotentJobsStayInASilentCell) {
  Record(1, "j1", "k");
  now_ = now_ + Duration(11000);
  Summarize(2);
  const EntryEffects effects = After(Duration(0));
  EXPECT_TRUE(effects.operations.empty());
  EXPECT_TRUE(Sent<SubmitJob>(effects).empty());
}

// Guards against a deadline that is answered "not run" although the job was claimed.
TEST_F(EntryRecordsTest, AnOverdueDeadlineIsDecidedByTheFence) {
  JobSpec spec = Spec("j1", JobClass::kUrgent, false, "k");
  spec.deadline = Duration(1000);
  Do(Completed(Submit(1, spec), true));
  const EntryEffects fence = After(Duration(2100));
  ASSERT_EQ(fence.operations.size(), 1U);
  const EntryEffects read = Do(FoundRecord(fence, RequestRecordState::kClaimed, "j1", "a/1", "t"));
  Do(Completed(read, false));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kOutcomeUnknown);
}

// Guards against a cancellation whose end is dropped because another entry had submitted the job,
// and against a stale state there.
TEST_F(EntryRecordsTest, ACancellationAtAnotherEntryIsSeenAtBoth) {
  Do(CancelRequest{CallerId(1), JobId("other"), Duration(5000)});
  JobReport report;
  report.job = JobId("other");
  report.known = true;
  report.state = JobState::kRunning;
  EXPECT_EQ(Sent<CancelJob>(Do(ProcessMessage{Scheduler(1), report})).size(), 1U);
  Finished(Scheduler(1), "other", Failure(ErrorKind::kCancelledRunning));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kCancelledRunning);

  Do(Completed(Submit(2, Spec("j1", JobClass::kBatch)), true));
  const EntryEffects asked = Do(ResultRequest{CallerId(3), JobId("j1"), Duration(0)});
  EXPECT_EQ(Sent<QueryJob>(asked).size(), 1U);
  Finished(Scheduler(1), "j1", Failure(ErrorKind::kNotFound));
  EXPECT_TRUE(replies_[2].empty());
}

// Guards against an answer that can be fetched only where the job was submitted.
TEST_F(EntryRecordsTest, AnswersOfOtherEntriesAreReadFromTheStore) {
  const EntryEffects look = Do(ResultRequest{CallerId(1), JobId("other"), Duration(0)});
  EXPECT_EQ(Sent<QueryJob>(look).size(), 1U);
  StoreCompleted answer = Completed(look, false);
  answer.found.push_back({"/basilspring/answers/other", EncodeJobResult(Success("one"))});
  Do(answer);
  EXPECT_EQ(OutputOf(1), "one");
  const EntryEffects missing = Do(ResultRequest{CallerId(2), JobId("nobody"), Duration(0)});
  Do(Completed(missing, false));
  After(Duration(1600));
  EXPECT_EQ(ErrorOf(2), ErrorKind::kNotFound);
}

}  // namespace
}  // namespace basilspring
