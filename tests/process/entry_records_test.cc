#include "basilspring/connection/frame.h"
#include "tests/process/entry_core_harness.h"

namespace basilspring {
namespace {

class EntryRecordsTest : public EntryCoreTest {
 protected:
  EntryRecordsTest() { ReceiveSummary(1); }

  /// Submits a non-idempotent job whose records were created.
  void CreateRecords(std::uint64_t caller, const std::string& job, const std::string& key) {
    Handle(MakeCompletion(Submit(caller, Spec(job, JobClass::kUrgent, false, key)), true));
  }
};

// Guards against a job that is sent before its records exist, and against records that do not
// contain the job and its cell.
TEST_F(EntryRecordsTest, RecordsAreCreatedBeforeTheJobIsSent) {
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
  EXPECT_EQ(Sent<SubmitJob>(Handle(MakeCompletion(effects, true))).size(), 1U);
}

// Guards against running a non-idempotent request twice when it is repeated at another entry.
TEST_F(EntryRecordsTest, ARepeatAtAnotherEntryIsAttachedToTheFirstJob) {
  const EntryEffects open = Submit(1, Spec("j1", JobClass::kUrgent, false, "k"));
  const auto sent =
      Sent<SubmitJob>(Handle(MakeFoundRecord(open, RequestRecordState::kOpen, "first", "a/1")));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].second.spec.id, JobId("first"));
  ReceiveFinished(SchedulerAddress(1), "first", Success("one"));
  EXPECT_EQ(OutputOf(1), "one");

  const EntryEffects done = Submit(2, Spec("j2", JobClass::kUrgent, false, "k2"));
  const EntryEffects read =
      Handle(MakeFoundRecord(done, RequestRecordState::kDone, "second", "a/1", "t"));
  EXPECT_TRUE(Sent<SubmitJob>(read).empty());
  StoreOperationCompleted answer = MakeCompletion(read, false);
  answer.found.push_back({"/basilspring/answers/second", EncodeJobResult(Success("two"))});
  Handle(answer);
  EXPECT_EQ(OutputOf(2), "two");
}

// Guards against a key that stays unusable after a refusal with the outcome "not run".
TEST_F(EntryRecordsTest, AFencedRecordIsReplaced) {
  const EntryEffects created = Submit(1, Spec("j2", JobClass::kUrgent, false, "k"));
  const EntryEffects again =
      Handle(MakeFoundRecord(created, RequestRecordState::kFenced, "j1", "a/1"));
  ASSERT_EQ(again.operations.size(), 1U);
  EXPECT_EQ(std::get<ValueIs>(again.operations[0].conditions[1]).value, "fenced j1 a/1");
  EXPECT_EQ(Sent<SubmitJob>(Handle(MakeCompletion(again, true))).size(), 1U);
}

// Guards against answering "not run" before the request record is fenced.
TEST_F(EntryRecordsTest, ARefusalIsSentAfterTheFence) {
  CreateRecords(1, "j1", "k");
  const EntryEffects fence =
      ReceiveFinished(SchedulerAddress(1), "j1", Failure(ErrorKind::kNoCapacity));
  EXPECT_TRUE(replies_[1].empty());
  ASSERT_EQ(fence.operations.size(), 1U);
  EXPECT_EQ(std::get<ValueIs>(fence.operations[0].conditions[0]).value, "open j1 a/1");
  EXPECT_EQ(std::get<PutKey>(fence.operations[0].writes[0]).value, "fenced j1 a/1");
  Handle(MakeCompletion(fence, true));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kNoCapacity);
}

// Guards against answering "not run" for a job that was claimed.
TEST_F(EntryRecordsTest, ARefusalAfterAClaimIsUnknownUnlessItsAnswerIsStored) {
  CreateRecords(1, "j1", "k1");
  EntryEffects fence = ReceiveFinished(SchedulerAddress(1), "j1", Failure(ErrorKind::kNoCapacity));
  EntryEffects read =
      Handle(MakeFoundRecord(fence, RequestRecordState::kClaimed, "j1", "a/1", "t"));
  Handle(MakeCompletion(read, false));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kOutcomeUnknown);

  CreateRecords(2, "j2", "k2");
  fence = ReceiveFinished(SchedulerAddress(1), "j2", Failure(ErrorKind::kNoCapacity));
  read = Handle(MakeFoundRecord(fence, RequestRecordState::kDone, "j2", "a/1", "t"));
  StoreOperationCompleted answer = MakeCompletion(read, false);
  answer.found.push_back({"/basilspring/answers/j2", EncodeJobResult(Success("two"))});
  Handle(answer);
  EXPECT_EQ(OutputOf(2), "two");
}

// Guards against answering "not run" when it is unknown whether the record was fenced.
TEST_F(EntryRecordsTest, AFenceOfUnknownOutcomeGivesUnknown) {
  CreateRecords(1, "j1", "k");
  StoreOperationCompleted lost = MakeCompletion(
      ReceiveFinished(SchedulerAddress(1), "j1", Failure(ErrorKind::kNoCapacity)), false);
  lost.error = ErrorKind::kStoreOutcomeUnknown;
  Handle(lost);
  EXPECT_EQ(ErrorOf(1), ErrorKind::kOutcomeUnknown);
}

// Guards against a job that runs after its refusal: the store's reply to the creation of the record
// was lost, and the creation may still be applied.
TEST_F(EntryRecordsTest, ACreateOfUnknownOutcomeIsFencedOrBlocked) {
  StoreOperationCompleted lost =
      MakeCompletion(Submit(1, Spec("j1", JobClass::kUrgent, false, "k")), false);
  lost.error = ErrorKind::kStoreOutcomeUnknown;
  const EntryEffects fence = Handle(lost);
  const EntryEffects block = Handle(MakeCompletion(fence, false));
  ASSERT_EQ(block.operations.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<KeyAbsent>(block.operations[0].conditions[0]));
  EXPECT_TRUE(replies_[1].empty());
  Handle(MakeCompletion(block, true));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kStoreUnavailable);
}

// Guards against accepting a job that needs a record while the store is unreachable.
TEST_F(EntryRecordsTest, JobsThatNeedARecordAreNotSentWithoutTheStore) {
  StoreOperationCompleted failed = MakeCompletion(Submit(1, Spec("j1", JobClass::kBatch)), false);
  failed.error = ErrorKind::kStoreUnavailable;
  EXPECT_TRUE(Handle(failed).messages.empty());
  EXPECT_EQ(ErrorOf(1), ErrorKind::kStoreUnavailable);
  EXPECT_EQ(Sent<SubmitJob>(Submit(2, Spec("j2"))).size(), 1U);
  // A store that is known to hang is not written to, so that the refusal can state "not run".
  Handle(StoreReachability{false});
  EXPECT_TRUE(Submit(3, Spec("j3", JobClass::kBatch)).operations.empty());
  EXPECT_EQ(ErrorOf(3), ErrorKind::kStoreUnavailable);
}

// Guards against answering "not run" for a durable job whose record remains, so that a later
// scheduler would run it.
TEST_F(EntryRecordsTest, TheJobRecordIsRemovedBeforeARefusal) {
  Handle(MakeCompletion(Submit(1, Spec("j1", JobClass::kBatch)), true));
  const EntryEffects read =
      ReceiveFinished(SchedulerAddress(1), "j1", Failure(ErrorKind::kNoCapacity));
  EXPECT_TRUE(replies_[1].empty());
  StoreOperationCompleted found = MakeCompletion(read, false);
  StoreKeyValue pair;
  pair.key = "/basilspring/jobs/a/1/j1";
  pair.mod_revision = 7;
  found.found.push_back(pair);
  const EntryEffects removal = Handle(found);
  ASSERT_EQ(removal.operations.size(), 1U);
  EXPECT_EQ(std::get<ModRevisionIs>(removal.operations[0].conditions[0]).revision, 7);
  Handle(MakeCompletion(removal, true));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kNoCapacity);
}

// Guards against two cells that can both claim a job that was moved, and against the refusal of the
// first cell remaining in the store as the answer of the job.
TEST_F(EntryRecordsTest, AMoveReopensTheFencedRecordAndDropsTheStoredRefusal) {
  ReceiveSummary(2, 1, 0, "south", 60000);
  CreateRecords(1, "j1", "k");
  const EntryEffects move =
      ReceiveFinished(SchedulerAddress(1), "j1", Failure(ErrorKind::kOverloaded));
  ASSERT_EQ(move.operations.size(), 1U);
  const EntryStoreOperation& operation = move.operations[0];
  EXPECT_EQ(std::get<ValueIs>(operation.conditions[1]).value, "fenced j1 a/1");
  EXPECT_EQ(std::get<PutKey>(operation.writes[1]).value, "open j1 a/2");
  EXPECT_EQ(std::get<DeleteKey>(operation.writes[3]).key, "/basilspring/answers/j1");
  const auto sent = Sent<SubmitJob>(Handle(MakeCompletion(move, true)));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].first, SchedulerAddress(2));
}

// Guards against running a refused job whose id is known to callers, who may have read the refusal
// "not run" through another entry.
TEST_F(EntryRecordsTest, AnAcknowledgedDurableJobStaysRefused) {
  ReceiveSummary(2, 1, 0, "south", 60000);
  Handle(MakeCompletion(Submit(1, Spec("j1", JobClass::kBatch), Duration(0)), true));
  AdvanceAndTick(Duration(100));
  ASSERT_EQ(replies_[1].size(), 1U);
  const EntryEffects read =
      ReceiveFinished(SchedulerAddress(1), "j1", Failure(ErrorKind::kOverloaded));
  ASSERT_EQ(read.operations.size(), 1U);
  EXPECT_TRUE(read.operations[0].writes.empty());
}

// Guards against a second run of a non-idempotent job whose cell is only unreachable.
TEST_F(EntryRecordsTest, NonIdempotentJobsStayInASilentCell) {
  CreateRecords(1, "j1", "k");
  now_ = now_ + Duration(11000);
  ReceiveSummary(2);
  const EntryEffects effects = AdvanceAndTick(Duration(0));
  EXPECT_TRUE(effects.operations.empty());
  EXPECT_TRUE(Sent<SubmitJob>(effects).empty());
}

// Guards against answering "not run" at the deadline of a job that was claimed.
TEST_F(EntryRecordsTest, AnOverdueDeadlineIsDecidedByTheFence) {
  JobSpec spec = Spec("j1", JobClass::kUrgent, false, "k");
  spec.deadline = Duration(1000);
  Handle(MakeCompletion(Submit(1, spec), true));
  const EntryEffects fence = AdvanceAndTick(Duration(2100));
  ASSERT_EQ(fence.operations.size(), 1U);
  const EntryEffects read =
      Handle(MakeFoundRecord(fence, RequestRecordState::kClaimed, "j1", "a/1", "t"));
  Handle(MakeCompletion(read, false));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kOutcomeUnknown);
}

// Guards against dropping the result of a cancelled job because another entry had submitted it, and
// against a stale state at the entry that submitted it.
TEST_F(EntryRecordsTest, ACancellationAtAnotherEntryIsSeenAtBoth) {
  Handle(CancelRequest{CallerId(1), JobId("other"), Duration(5000)});
  JobReport report;
  report.job = JobId("other");
  report.known = true;
  report.state = JobState::kRunning;
  EXPECT_EQ(Sent<CancelJob>(Handle(ProcessMessage{SchedulerAddress(1), report})).size(), 1U);
  ReceiveFinished(SchedulerAddress(1), "other", Failure(ErrorKind::kCancelledRunning));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kCancelledRunning);

  Handle(MakeCompletion(Submit(2, Spec("j1", JobClass::kBatch)), true));
  const EntryEffects asked = Handle(ResultRequest{CallerId(3), JobId("j1"), Duration(0)});
  EXPECT_EQ(Sent<QueryJob>(asked).size(), 1U);
  ReceiveFinished(SchedulerAddress(1), "j1", Failure(ErrorKind::kNotFound));
  EXPECT_TRUE(replies_[2].empty());
}

// Guards against an answer that can be fetched only from the entry where the job was submitted.
TEST_F(EntryRecordsTest, AnswersOfOtherEntriesAreReadFromTheStore) {
  const EntryEffects look = Handle(ResultRequest{CallerId(1), JobId("other"), Duration(0)});
  EXPECT_EQ(Sent<QueryJob>(look).size(), 1U);
  StoreOperationCompleted answer = MakeCompletion(look, false);
  answer.found.push_back({"/basilspring/answers/other", EncodeJobResult(Success("one"))});
  Handle(answer);
  EXPECT_EQ(OutputOf(1), "one");
  const EntryEffects missing = Handle(ResultRequest{CallerId(2), JobId("nobody"), Duration(0)});
  Handle(MakeCompletion(missing, false));
  AdvanceAndTick(Duration(1600));
  EXPECT_EQ(ErrorOf(2), ErrorKind::kNotFound);
}

}  // namespace
}  // namespace basilspring
