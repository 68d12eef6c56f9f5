#include "basilspring/process/entry_core.h"

#include "tests/process/entry_core_harness.h"

namespace basilspring {
namespace {

// Guards against sending the answer of one job to the caller of another when answers arrive out of
// order.
TEST_F(EntryCoreTest, EachCallerGetsTheAnswerToItsOwnRequest) {
  ReceiveSummary(1);
  Submit(1, Spec("j1"));
  Submit(2, Spec("j2"));
  ReceiveFinished(SchedulerAddress(1), "j2", Success("two"));
  ReceiveFinished(SchedulerAddress(1), "j1", Success("one"));
  EXPECT_EQ(OutputOf(1), "one");
  EXPECT_EQ(OutputOf(2), "two");
}

// Guards against a second answer to a caller, or to the next user of its connection.
TEST_F(EntryCoreTest, DoubledAndLateResultsAreDropped) {
  ReceiveSummary(1);
  Submit(1, Spec("j1"));
  ReceiveFinished(SchedulerAddress(1), "j1", Success("one"));
  EXPECT_TRUE(ReceiveFinished(SchedulerAddress(1), "j1", Success("again")).replies.empty());
  EXPECT_TRUE(ReceiveFinished(SchedulerAddress(1), "j9", Success("unknown job")).replies.empty());
  EXPECT_EQ(OutputOf(1), "one");
}

// Guards against forwarding an answer that is damaged or lacks the outputs of some tasks.
TEST_F(EntryCoreTest, DamagedAnswersAreRequestedAgain) {
  ReceiveSummary(1);
  JobSpec spec = Spec("j1");
  spec.shape.tasks = 2;
  Submit(1, spec);
  JobResult damaged;
  damaged.answer = MakeAnswer({"one", "two"});
  damaged.answer.outputs[1] = "tw";
  EXPECT_EQ(Sent<SubmitJob>(ReceiveFinished(SchedulerAddress(1), "j1", damaged)).size(), 1U);
  EXPECT_EQ(Sent<SubmitJob>(ReceiveFinished(SchedulerAddress(1), "j1", Success("one"))).size(), 1U);
  EXPECT_TRUE(replies_[1].empty());
  JobResult whole;
  whole.answer = MakeAnswer({"one", "two"});
  ReceiveFinished(SchedulerAddress(1), "j1", whole);
  EXPECT_EQ(EndResult(1)->answer.outputs.size(), 2U);
}

// Guards against running a repeated request twice, and against answering a reused key with the
// result of a different request.
TEST_F(EntryCoreTest, ARepeatedKeyIsAttachedToTheFirstRequest) {
  ReceiveSummary(1);
  Submit(1, Spec("j1", JobClass::kUrgent, true, "k"));
  EXPECT_TRUE(Submit(2, Spec("j2", JobClass::kUrgent, true, "k")).messages.empty());
  JobSpec different = Spec("j3", JobClass::kUrgent, true, "k");
  different.payload = "other";
  Submit(3, different);
  EXPECT_EQ(ErrorOf(3), ErrorKind::kInvalidArgument);
  ReceiveFinished(SchedulerAddress(1), "j1", Success("one"));
  EXPECT_EQ(OutputOf(1), "one");
  EXPECT_EQ(OutputOf(2), "one");
  Submit(4, Spec("j4", JobClass::kUrgent, true, "k"));
  EXPECT_EQ(OutputOf(4), "one");
}

// Guards against the answer "not run" for a job that runs: the refusal of a submission to an
// earlier term of a scheduler arrived while the one to the next term, at the same address, was
// accepted.
TEST_F(EntryCoreTest, ARefusalIsFinalOnlyIfNoLaterSubmissionIsUnanswered) {
  ReceiveSummary(1);
  Submit(1, Spec("j1"));
  const auto again = Handle(CellChanged{CellId("a/1"), SchedulerAddress(1), Epoch(2)});
  ASSERT_EQ(Sent<SubmitJob>(again).size(), 1U);
  ReceiveFinished(SchedulerAddress(1), "j1", Failure(ErrorKind::kOverloaded));
  EXPECT_TRUE(replies_[1].empty());
  ReceiveFinished(SchedulerAddress(1), "j1", Failure(ErrorKind::kOverloaded));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kOverloaded);
}

// Guards against waiting for the answer to a submission that the scheduler never received.
TEST_F(EntryCoreTest, AReportShowsThatEarlierSubmissionsAreNotAnsweredAnyMore) {
  ReceiveSummary(1);
  Submit(1, Spec("j1"));
  Handle(CellChanged{CellId("a/1"), SchedulerAddress(1), Epoch(2)});
  JobReport unknown;
  unknown.job = JobId("j1");
  const auto again = Handle(ProcessMessage{SchedulerAddress(1), unknown});
  ASSERT_EQ(Sent<SubmitJob>(again).size(), 1U);
  ReceiveFinished(SchedulerAddress(1), "j1", Failure(ErrorKind::kOverloaded));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kOverloaded);
}

// Guards against losing jobs in flight when their scheduler fails, and against accepting the
// refusal of a superseded scheduler after its successor got the job.
TEST_F(EntryCoreTest, ANewSchedulerGetsTheJobsAndTheSupersededOneIsIgnored) {
  ReceiveSummary(1);
  JobSpec spec = Spec("j1");
  spec.deadline = Duration(60000);
  Submit(1, spec);
  now_ = now_ + Duration(5000);
  const auto sent =
      Sent<SubmitJob>(Handle(CellChanged{CellId("a/1"), SchedulerAddress(2), Epoch(2)}));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].first, SchedulerAddress(2));
  EXPECT_EQ(sent[0].second.spec.deadline, Duration(55000));
  ReceiveFinished(SchedulerAddress(1), "j1", Failure(ErrorKind::kShuttingDown));
  EXPECT_TRUE(replies_[1].empty());
  // A summary of the superseded scheduler does not make it the holder again.
  EXPECT_TRUE(ReceiveSummary(1, 1).messages.empty());
  ReceiveFinished(SchedulerAddress(2), "j1", Success("one"));
  EXPECT_EQ(OutputOf(1), "one");
}

// Guards against failing a request after one refusal, against sending a job back to the cell that
// refused it, and against unbounded retries.
TEST_F(EntryCoreTest, RetryableRefusalsAreRetriedInAnotherCellWithinTheBudget) {
  ReceiveSummary(1);
  ReceiveSummary(2, 1, 0, "south", 60000);
  Submit(1, Spec("j1"));
  const auto sent =
      Sent<SubmitJob>(ReceiveFinished(SchedulerAddress(1), "j1", Failure(ErrorKind::kOverloaded)));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].first, SchedulerAddress(2));
  ReceiveFinished(SchedulerAddress(2), "j1", Failure(ErrorKind::kOverloaded));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kOverloaded);
  std::size_t retries = 0;
  for (std::uint64_t caller = 100; caller < 120; ++caller) {
    const std::string job = "r" + std::to_string(caller);
    ReceiveSummary(1);
    Submit(caller, Spec(job));
    const EntryEffects effects =
        ReceiveFinished(SchedulerAddress(1), job, Failure(ErrorKind::kOverloaded));
    retries += Sent<SubmitJob>(effects).size();
    ReceiveFinished(SchedulerAddress(2), job, Failure(ErrorKind::kOverloaded));
    EXPECT_EQ(ErrorOf(caller), ErrorKind::kOverloaded);
  }
  EXPECT_EQ(retries, 9U);  // The initial budget of 10 retries, minus the one above.
}

// Guards against unbounded memory use of an overloaded entry.
TEST_F(EntryCoreTest, TooManyRequestsAreRefusedEarly) {
  ReceiveSummary(1);
  for (std::uint64_t i = 1; i <= 4; ++i) Submit(i, Spec("j" + std::to_string(i)));
  EXPECT_TRUE(Submit(5, Spec("j5")).messages.empty());
  EXPECT_EQ(ErrorOf(5), ErrorKind::kOverloaded);
  EXPECT_GT(EndResult(5)->retry_after, Duration(0));
  ReceiveFinished(SchedulerAddress(1), "j1", Success("one"));
  EXPECT_EQ(Sent<SubmitJob>(Submit(6, Spec("j6"))).size(), 1U);
}

// Guards against running an urgent job whose caller has disconnected, and against cancelling a
// durable job because of a disconnect.
TEST_F(EntryCoreTest, ADisconnectCancelsUrgentJobsOnly) {
  ReceiveSummary(1);
  Submit(1, Spec("j1", JobClass::kUrgent, true, "k"));
  EXPECT_EQ(Sent<CancelJob>(Handle(CallerDisconnected{CallerId(1)})).size(), 1U);
  // A repeated request is not attached to the cancelled job.
  EXPECT_EQ(Sent<SubmitJob>(Submit(2, Spec("j2", JobClass::kUrgent, true, "k"))).size(), 1U);
  const EntryEffects created = Submit(3, Spec("j3", JobClass::kBatch));
  Handle(MakeCompletion(created, true));
  EXPECT_TRUE(Handle(CallerDisconnected{CallerId(3)}).messages.empty());
}

// Guards against a caller that never gets a reply, and against "accepted" for a job whose record
// does not exist yet.
TEST_F(EntryCoreTest, WaitsEndWithTheStateOnceTheJobIsRecorded) {
  ReceiveSummary(1);
  const EntryEffects created = Submit(1, Spec("j1", JobClass::kBatch), Duration(0));
  AdvanceAndTick(Duration(100));
  EXPECT_TRUE(replies_[1].empty());
  Handle(MakeCompletion(created, true));
  AdvanceAndTick(Duration(100));
  ASSERT_EQ(replies_[1].size(), 1U);
  EXPECT_TRUE(std::holds_alternative<StateReply>(replies_[1][0].body));
}

// Guards against refusing requests during a scheduler failover, and against holding them longer
// than a failover takes.
TEST_F(EntryCoreTest, RequestsWaitForASchedulerForABoundedTime) {
  Submit(1, Spec("j1"));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kNoScheduler);
  Handle(CellChanged{CellId("a/1"), Address(), Epoch(1)});
  Submit(2, Spec("j2"));
  EXPECT_TRUE(replies_[2].empty());
  ReceiveSummary(1, 2);
  EXPECT_EQ(Sent<SubmitJob>(AdvanceAndTick(Duration(3000))).size(), 1U);
  now_ = now_ + Duration(60000);
  Submit(3, Spec("j3"));
  AdvanceAndTick(Duration(7000));
  EXPECT_EQ(ErrorOf(3), ErrorKind::kNoScheduler);
}

// Guards against urgent jobs that stay in a data centre that can't be reached.
TEST_F(EntryCoreTest, JobsAreReroutedFromASilentCell) {
  ReceiveSummary(1);
  Submit(1, Spec("j1"));
  now_ = now_ + Duration(11000);
  ReceiveSummary(2);
  const auto sent = Sent<SubmitJob>(AdvanceAndTick(Duration(0)));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].first, SchedulerAddress(2));
}

// Guards against dropping requests in flight when the entry stops.
TEST_F(EntryCoreTest, AStoppingEntryRefusesNewRequestsAndFinishesOldOnes) {
  ReceiveSummary(1);
  Submit(1, Spec("j1"));
  Handle(StopEvent{});
  Submit(2, Spec("j2"));
  EXPECT_EQ(ErrorOf(2), ErrorKind::kShuttingDown);
  EXPECT_FALSE(core_.Drained());
  ReceiveFinished(SchedulerAddress(1), "j1", Success("one"));
  EXPECT_EQ(OutputOf(1), "one");
  EXPECT_TRUE(core_.Drained());
}

// Guards against losing a job's result when its scheduler restarts without a new epoch.
TEST_F(EntryCoreTest, AJobThatItsSchedulerDoesNotKnowIsSentAgain) {
  ReceiveSummary(1);
  Submit(1, Spec("j1"));
  EXPECT_EQ(Sent<QueryJob>(AdvanceAndTick(Duration(2100))).size(), 1U);
  JobReport report;
  report.job = JobId("j1");
  EXPECT_EQ(Sent<SubmitJob>(Handle(ProcessMessage{SchedulerAddress(1), report})).size(), 1U);
}

// Guards against dropping the answer of another entry's urgent job: its scheduler sends the answer
// before the report that confirms the job, and the store has none.
TEST_F(EntryCoreTest, TheAnswerOfAnotherEntrysUrgentJobComesFromItsScheduler) {
  ReceiveSummary(1);
  const auto asked =
      Sent<QueryJob>(Handle(ResultRequest{CallerId(1), JobId("other"), Duration(2000)}));
  ASSERT_EQ(asked.size(), 1U);
  EXPECT_EQ(asked[0].second.query, 0U) << "a query with a number gets no answer";
  ReceiveFinished(SchedulerAddress(1), "other", Success("one"));
  EXPECT_EQ(OutputOf(1), "one");
}

// Guards against a job that a new scheduler knows only from its agents, without the payload,
// because the submission arrived before that scheduler was ready to receive it: it could never be
// placed.
TEST_F(EntryCoreTest, AJobThatItsSchedulerHasNotAcceptedIsSentAgain) {
  ReceiveSummary(1);
  Submit(1, Spec("j1"));
  Handle(CellChanged{CellId("a/1"), SchedulerAddress(2), Epoch(2)});
  JobReport report;
  report.job = JobId("j1");
  report.known = true;
  EXPECT_EQ(Sent<QueryJob>(AdvanceAndTick(Duration(2100))).size(), 1U);
  EXPECT_EQ(Sent<SubmitJob>(Handle(ProcessMessage{SchedulerAddress(2), report})).size(), 1U);
  Handle(ProcessMessage{SchedulerAddress(2), JobAccepted{JobId("j1"), JobState::kQueued}});
  EXPECT_EQ(Sent<QueryJob>(AdvanceAndTick(Duration(10100))).size(), 1U);
  EXPECT_TRUE(Sent<SubmitJob>(Handle(ProcessMessage{SchedulerAddress(2), report})).empty());
}

// Guards against jobs that wait in a data centre that is out of service while a cell in service has
// free capacity, and against "not run" for a job that ran before its cell returned it.
TEST_F(EntryCoreTest, ReturnedJobsAreRoutedAgain) {
  ReceiveSummary(1);
  Submit(1, Spec("j1"));
  Submit(2, Spec("j2"));
  Handle(RoutingConfiguration{{DataCentreId("a")}, 1000000, 20});
  Handle(ProcessMessage{SchedulerAddress(1), JobReturned{JobId("j1"), 1, true}});
  Handle(ProcessMessage{SchedulerAddress(1), JobReturned{JobId("j2"), 0, false}});
  EXPECT_TRUE(Sent<SubmitJob>(AdvanceAndTick(Duration(600))).empty()) << "no cell is in service";
  Configure(1000000);
  EXPECT_EQ(Sent<SubmitJob>(AdvanceAndTick(Duration(600))).size(), 2U);
  ReceiveFinished(SchedulerAddress(1), "j1", Failure(ErrorKind::kDeadlineExceeded));
  EXPECT_EQ(ErrorOf(1), ErrorKind::kAttemptsExhausted);
  ReceiveFinished(SchedulerAddress(1), "j2", Failure(ErrorKind::kDeadlineExceeded));
  EXPECT_EQ(ErrorOf(2), ErrorKind::kDeadlineExceeded);
}

// Guards against sending a job back to the cell that has returned it after repeated preemptions
// while another cell could run it, and against losing the job if there is no other cell.
TEST_F(EntryCoreTest, AReturnedJobPrefersCellsThatHaveNotReturnedIt) {
  // The link budget starts empty.
  now_ = now_ + Duration(1000);
  ReceiveSummary(1);
  ReceiveSummary(2, 1, 0, "north");
  Submit(1, Spec("j1"));
  const auto return_from = [this](int cell) {
    return Sent<SubmitJob>(
        Handle(ProcessMessage{SchedulerAddress(cell), JobReturned{JobId("j1"), 3, true}}));
  };
  const auto second = return_from(1);
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].first, SchedulerAddress(2));
  const auto third = return_from(2);
  ASSERT_EQ(third.size(), 1U);
  EXPECT_EQ(third[0].first, SchedulerAddress(1)) << "all cells have returned it";
  ReceiveFinished(SchedulerAddress(1), "j1", Success("one"));
  EXPECT_EQ(OutputOf(1), "one");
}

}  // namespace
}  // namespace basilspring
