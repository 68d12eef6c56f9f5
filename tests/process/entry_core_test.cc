#include "basilspring/process/entry_core.h"

#include "tests/process/entry_core_harness.h"

namespace basilspring {
namespace {

// Guards against the answer of one job reaching the caller of another when answers arrive out of
// order.
TEST_F(EntryCoreTest, EachCallerGetsTheAnswerToItsOwnRequest) {
  Summarize(1);
  Submit(1, Spec("j1"));
  Submit(2, Spec("j2"));
  Finished(Scheduler(1), "j2", Success("two"));
  Finished(Scheduler(1), "j1", Success("one"));
  EXPECT_EQ(OutputOf(1), "one");
  EXPECT_EQ(OutputOf(2), "two");
}

// Guards against a second answer to a caller, or to whoever uses the connection next.
TEST_F(EntryCoreTest, DoubledAndLateResultsAreDropped) {
  Summarize(1);
  Submit(1, Spec("j1"));
  Finished(Scheduler(1), "j1", Success("one"));
  EXPECT_TRUE(Finished(Scheduler(1), "j1", Success("again")).replies.empty());
  EXPECT_TRUE(Finished(Scheduler(1), "j9", Success("unknown job")).replies.empty());
  EXPECT_EQ(OutputOf(1), "one");
}

// Guards against passing on an answer that was damaged or lacks the outputs of some tasks.
TEST_F(EntryCoreTest, TruncatedAnswersAreAskedForAgain) {
  Summarize(1);
  JobSpec spec = Spec("j1");
  spec.shape.tasks = 2;
  Submit(1, spec);
  JobResult damaged;
  damaged.answer = MakeAnswer({"one", "two"});
  damaged.answer.outputs[1] = "tw";
  EXPECT_EQ(Sent<SubmitJob>(Finished(Scheduler(1), "j1", damaged)).size(), 1U);
  EXPECT_EQ(Sent<SubmitJob>(Finished(Scheduler(1), "j1", Success("one"))).size(), 1U);
  EXPECT_TRUE(replies_[1].empty());
  JobResult whole;
  whole.answer = MakeAnswer({"one", "two"});
  Finished(Scheduler(1), "j1", whole);
  EXPECT_EQ(Result(1)->answer.outputs.size(), 2U);
}

// Guards against running a repeated request twice, and against answering a reused key with the
// result of a different request.
TEST_F(EntryCoreTest, ARepeatedKeyIsAttachedToTheFirstRequest) {
  Summarize(1);
  Submit(1, Spec("j1", JobClass::kUrgent, true, "k"));
  EXPECT_TRUE(Submit(2, Spec("j2", JobClass::kUrgent, true, "k")).messages.empty());
  JobSpec different = Spec("j3", JobClass::kUrgent, true, "k");
  different.payload = "other";
  Submit(3, different);
  EXPECT_EQ(ErrorOf(3), ErrorKind::kInvalidArgument);
  Finished(Scheduler(1), "j1", Success("one"));
  EXPECT_EQ(OutputOf(1), "one");
  EXPECT_EQ(OutputOf(2), "one");
  Submit(4, Spec("j4", JobClass::kUrgent, true, "k"));
  EXPECT_EQ(OutputOf(4), "one");
}

// Guards against losing jobs in flight with their scheduler, and against believing the refusal of
// a deposed scheduler after its successor got the job.
TEST_F(EntryCoreTest, ANewSchedulerGetsTheJobsAndTheOldOneIsNotBelieved) {
  Summarize(1);
  JobSpec spec = Spec("j1");
  spec.deadline = Duration(60000);
  Submit(1, spec);
  now_ = now_ + Duration(5000);
  const auto sent = Sent<SubmitJob>(Do(CellChanged{CellId("a/1"), Scheduler(2), Epoch(2)}));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].first, Scheduler(2));
  EXPECT_EQ(sent[0].second.spec.deadline, Duration(55000));
  Finished(Scheduler(1), "j1", Failure(ErrorKind::kShuttingDown));
  EXPECT_TRUE(replies_[1].empty());
  // A summary of the deposed scheduler does not bring it back.
  EXPECT_TRUE(Summarize(1, 1).messages.empty());
  Finished(Scheduler(2), "j1", Success("one"));
  EXPECT_EQ(OutputOf(1), "one");
}

// Guards against giving up after one refusal, against sending a job back to the cell that refused
// it, and against retries without bound.
TEST_F(EntryCoreTest, RetryableRefusalsGoElsewhereWithinTheBudget) {
  Summarize(1);
  Summarize(2, 1, 0, "south", 60000);
  Submit(1, Spec("j1"));
  const auto sent = Sent<SubmitJob>(Finished(Scheduler(1), "j1", Failure(ErrorKind::kOverloaded)));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].first, Scheduler(2));
  Finished(Scheduler(2), "j1", Failure(ErrorKind::kOverloaded));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kOverloaded);
  std::size_t retries = 0;
  for (std::uint64_t caller = 100; caller < 120; ++caller) {
    const std::string job = "r" + std::to_string(caller);
    Summarize(1);
    Submit(caller, Spec(job));
    const EntryEffects effects = Finished(Scheduler(1), job, Failure(ErrorKind::kOverloaded));
    retries += Sent<SubmitJob>(effects).size();
    Finished(Scheduler(2), job, Failure(ErrorKind::kOverloaded));
    EXPECT_EQ(ErrorOf(caller), ErrorKind::kOverloaded);
  }
  EXPECT_EQ(retries, 9U);  // The reserve of ten, less the one above.
}

// Guards against a memory without bound at an overloaded entry.
TEST_F(EntryCoreTest, TooManyRequestsAreRefusedEarly) {
  Summarize(1);
  for (std::uint64_t i = 1; i <= 4; ++i) Submit(i, Spec("j" + std::to_string(i)));
  EXPECT_TRUE(Submit(5, Spec("j5")).messages.empty());
  EXPECT_EQ(ErrorOf(5), ErrorKind::kOverloaded);
  EXPECT_GT(Result(5)->retry_after, Duration(0));
  Finished(Scheduler(1), "j1", Success("one"));
  EXPECT_EQ(Sent<SubmitJob>(Submit(6, Spec("j6"))).size(), 1U);
}

// Guards against work for a caller that is gone, and against dropping durable work with its
// connection.
TEST_F(EntryCoreTest, ADisconnectCancelsUrgentJobsOnly) {
  Summarize(1);
  Submit(1, Spec("j1", JobClass::kUrgent, true, "k"));
  EXPECT_EQ(Sent<CancelJob>(Do(CallerGone{CallerId(1)})).size(), 1U);
  // A repeat of the request is not attached to the cancelled job.
  EXPECT_EQ(Sent<SubmitJob>(Submit(2, Spec("j2", JobClass::kUrgent, true, "k"))).size(), 1U);
  const EntryEffects created = Submit(3, Spec("j3", JobClass::kBatch));
  Do(Completed(created, true));
  EXPECT_TRUE(Do(CallerGone{CallerId(3)}).messages.empty());
}

// Guards against a caller that waits forever, and against "accepted" for a job that is not
// recorded yet.
TEST_F(EntryCoreTest, WaitsEndWithTheStateOnceTheJobIsRecorded) {
  Summarize(1);
  const EntryEffects created = Submit(1, Spec("j1", JobClass::kBatch), Duration(0));
  After(Duration(100));
  EXPECT_TRUE(replies_[1].empty());
  Do(Completed(created, true));
  After(Duration(100));
  ASSERT_EQ(replies_[1].size(), 1U);
  EXPECT_TRUE(std::holds_alternative<StateReply>(replies_[1][0].body));
}

// Guards against refusing requests during a change of the scheduler, and against holding them for
// longer than that takes.
TEST_F(EntryCoreTest, RequestsWaitForASchedulerForABoundedTime) {
  Submit(1, Spec("j1"));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kNoScheduler);
  Do(CellChanged{CellId("a/1"), Address(), Epoch(1)});
  Submit(2, Spec("j2"));
  EXPECT_TRUE(replies_[2].empty());
  Summarize(1, 2);
  EXPECT_EQ(Sent<SubmitJob>(After(Duration(3000))).size(), 1U);
  now_ = now_ + Duration(60000);
  Submit(3, Spec("j3"));
  After(Duration(7000));
  EXPECT_EQ(ErrorOf(3), ErrorKind::kNoScheduler);
}

// Guards against urgent work that is stuck in a data centre that was cut off.
TEST_F(EntryCoreTest, JobsLeaveASilentCell) {
  Summarize(1);
  Submit(1, Spec("j1"));
  now_ = now_ + Duration(11000);
  Summarize(2);
  const auto sent = Sent<SubmitJob>(After(Duration(0)));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].first, Scheduler(2));
}

// Guards against cutting off requests in flight when the entry stops.
TEST_F(EntryCoreTest, AStoppingEntryRefusesNewRequestsAndFinishesOldOnes) {
  Summarize(1);
  Submit(1, Spec("j1"));
  Do(StopEvent{});
  Submit(2, Spec("j2"));
  EXPECT_EQ(ErrorOf(2), ErrorKind::kShuttingDown);
  EXPECT_FALSE(core_.Drained());
  Finished(Scheduler(1), "j1", Success("one"));
  EXPECT_EQ(OutputOf(1), "one");
  EXPECT_TRUE(core_.Drained());
}

// Guards against losing a result with a scheduler that restarted without a new epoch.
TEST_F(EntryCoreTest, AJobThatItsSchedulerDoesNotKnowIsSentAgain) {
  Summarize(1);
  Submit(1, Spec("j1"));
  EXPECT_EQ(Sent<QueryJob>(After(Duration(2100))).size(), 1U);
  JobReport report;
  report.job = JobId("j1");
  EXPECT_EQ(Sent<SubmitJob>(Do(ProcessMessage{Scheduler(1), report})).size(), 1U);
}

// Guards against work that waits for a data centre that is out while another one has room, and
// against "not run" for a job that ran before it was given back.
TEST_F(EntryCoreTest, JobsThatACellGivesBackGoElsewhere) {
  Summarize(1);
  Submit(1, Spec("j1"));
  Submit(2, Spec("j2"));
  Do(RoutingConfiguration{{DataCentreId("a")}, 1000000, 20});
  Do(ProcessMessage{Scheduler(1), JobReturned{JobId("j1"), 1, true}});
  Do(ProcessMessage{Scheduler(1), JobReturned{JobId("j2"), 0, false}});
  EXPECT_TRUE(Sent<SubmitJob>(After(Duration(600))).empty()) << "no cell is in service";
  Configure(1000000);
  EXPECT_EQ(Sent<SubmitJob>(After(Duration(600))).size(), 2U);
  Finished(Scheduler(1), "j1", Failure(ErrorKind::kDeadlineExceeded));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kAttemptsExhausted);
  Finished(Scheduler(1), "j2", Failure(ErrorKind::kDeadlineExceeded));
  EXPECT_EQ(ErrorOf(2), ErrorKind::kDeadlineExceeded);
}

}  // namespace
}  // namespace basilspring
