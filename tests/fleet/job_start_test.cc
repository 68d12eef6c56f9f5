#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet_harness.h"

// What callers are told of jobs whose starts are refused, lost or carried out.
namespace basilspring::fleet {
namespace {

constexpr std::int64_t kSecond = 1000;
// Time within which each agent reports once.
constexpr std::int64_t kReportMs = 200;
// Time within which the record shows that a job has begun.
constexpr std::int64_t kRecordMs = kSecond;

class JobStartTest : public ::testing::Test {
 protected:
  JobStartTest() {
    fleet_.AddQueue("batch", 2, 3.0, 3000);
    fleet_.AddWorkspace("shop", 0);
    fleet_.AddAgent("a", "rack");
    fleet_.Advance(kSecond);
  }

  std::int64_t Pending() const {
    for (const QueueSummary& queue : fleet_.core().Summaries()) {
      if (queue.queue == QueueId("batch")) return queue.pending;
    }
    return 0;
  }
  JobId Submit(std::int32_t tasks = 1, std::int64_t estimate_ms = 60 * kSecond) {
    return fleet_.Submit("batch", "shop", MakeStep(tasks, 1, estimate_ms));
  }
  /// Lets the agent answer all starts with the status, without carrying them out.
  void AnswerStartsWith(BackendStatus status, const std::string& agent = "a") {
    fleet_.agent(agent).next_start_status = status;
    fleet_.agent(agent).keeps_start_status = true;
  }
  void CarryOutStarts(const std::string& agent = "a") {
    fleet_.agent(agent).next_start_status.reset();
    fleet_.agent(agent).keeps_start_status = false;
  }
  void ExpectPending(const JobId& job, const std::string& context = "") const {
    EXPECT_EQ(fleet_.PhaseOf(job), JobPhase::kQueued) << context;
    EXPECT_EQ(Pending(), 1) << context;
  }
  void ExpectBegun(const JobId& job, const std::string& context = "") const {
    EXPECT_EQ(fleet_.PhaseOf(job), JobPhase::kRunning) << context;
    EXPECT_EQ(Pending(), 0) << context;
  }

  FleetHarness fleet_;
};

// Guards against a planned start that is shown as begun although the worker has refused it.
TEST_F(JobStartTest, AJobWhoseStartsAreRefusedIsPending) {
  for (const BackendStatus status :
       {BackendStatus::kRefused, BackendStatus::kNoCapacity, BackendStatus::kTooLate,
        BackendStatus::kStaleTerm, BackendStatus::kOtherIncarnation}) {
    const std::string name(BackendStatusName(status));
    AnswerStartsWith(status);
    const JobId job = Submit();
    for (int i = 0; i < 10; ++i) {
      fleet_.Advance(kSecond / 2);
      ExpectPending(job, name);
    }
    CarryOutStarts();
    fleet_.Advance(3 * kSecond);
    ExpectBegun(job, name);
    fleet_.Cancel(job);
    fleet_.Advance(2 * kSecond);
  }
}

// Guards against a start without an answer that is shown as begun although it was not carried out.
TEST_F(JobStartTest, AJobWhoseStartsAreNotAnsweredIsPending) {
  fleet_.agent("a").loses_orders = true;
  const JobId job = Submit();
  fleet_.Advance(5 * kSecond);
  ExpectPending(job);
  fleet_.agent("a").loses_orders = false;
  fleet_.Advance(5 * kSecond);
  ExpectBegun(job);
}

// Guards against a job that stays pending because the answer to its start was lost.
TEST_F(JobStartTest, AListedRunShowsThatItsJobHasBegun) {
  fleet_.agent("a").delays_answers = true;
  const JobId job = Submit();
  fleet_.Advance(2 * kReportMs);
  ASSERT_EQ(fleet_.StartsOf(job), 1U);
  ExpectBegun(job);
}

// Guards against a job that stays pending because only the end of its run was read.
TEST_F(JobStartTest, AnEndShowsThatItsJobHasBegun) {
  const JobId job = Submit(1, kReportMs / 2);
  fleet_.outcome_of = [](const std::string&, const TaskId&) { return RunEnd::kStopped; };
  fleet_.agent("a").delays_answers = true;
  // The end is reported at once, before a report lists the next run.
  fleet_.Advance(kReportMs - 40);
  ASSERT_GT(fleet_.StartsOf(job), 0U);
  ExpectBegun(job);
}

// Guards against a job that is pending again because the end that showed its begin was acknowledged
// before the record did.
TEST_F(JobStartTest, AnEndIsNotAcknowledgedBeforeTheRecordShowsTheBegin) {
  const JobId job = Submit(1, kReportMs / 2);
  fleet_.outcome_of = [](const std::string&, const TaskId&) { return RunEnd::kStopped; };
  fleet_.Advance(40);
  ASSERT_EQ(fleet_.StartsOf(job), 1U);
  fleet_.store_available = false;
  fleet_.Advance(2 * kReportMs);
  ExpectBegun(job);
  EXPECT_EQ(fleet_.core().AcknowledgedEnd(NodeId("a")), 0);
  fleet_.ChangeScheduler(2);
  fleet_.Advance(2 * kReportMs);
  ExpectBegun(job, "next scheduler");
}

// Guards against a job that is shown as begun while its start waits for the record.
TEST_F(JobStartTest, AJobWhoseRecordIsNotStoredIsPending) {
  fleet_.store_available = false;
  const JobId job = Submit();
  fleet_.Advance(kSecond);
  ExpectPending(job, "not answered");
  fleet_.core().OnSaveRejected(TimePoint(fleet_.now_ms()), job);
  fleet_.Advance(kSecond);
  ExpectPending(job, "rejected");
  EXPECT_TRUE(fleet_.ordered_starts().empty());
}

// Guards against a gang that is pending again because one of its members was refused.
TEST_F(JobStartTest, AGangOfWhichOneMemberIsRefusedHasBegun) {
  fleet_.AddAgent("b", "rack");
  fleet_.Advance(kSecond);
  StepSpec step = MakeStep(2, 8, 60 * kSecond);
  step.gang = true;
  AnswerStartsWith(BackendStatus::kRefused, "b");
  const JobId job = fleet_.Submit("batch", "shop", step);
  fleet_.Advance(2 * kReportMs);
  ASSERT_EQ(fleet_.StartsOf(job), 1U);
  for (int i = 0; i < 10; ++i) {
    ExpectBegun(job);
    fleet_.Advance(kSecond / 2);
  }
}

// Guards against a scheduler that takes a record that names an agent for a sign of a run.
TEST_F(JobStartTest, ANewSchedulerDoesNotTakeARefusedStartForARun) {
  AnswerStartsWith(BackendStatus::kRefused);
  const JobId job = Submit();
  fleet_.Advance(kRecordMs);
  ASSERT_EQ(fleet_.stored().count(job), 1U);
  fleet_.ChangeScheduler(2);
  ExpectPending(job, "before the first report");
  fleet_.Advance(kSecond);
  ExpectPending(job, "after the first report");
}

// Guards against a job that is pending again because the next scheduler finds no run of it.
TEST_F(JobStartTest, ANewSchedulerKnowsThatAJobHasBegunWhoseRunIsLost) {
  const JobId job = Submit();
  fleet_.Advance(kRecordMs);
  ExpectBegun(job);
  fleet_.agent("a").runs.clear();
  fleet_.agent("a").report.backend_gone = true;
  fleet_.ChangeScheduler(2);
  ExpectBegun(job, "before the first report");
  fleet_.Advance(5 * kSecond);
  ExpectBegun(job, "without a worker");
}

// Guards against a job that is pending again after its runs were lost and later starts refused.
TEST_F(JobStartTest, AJobThatHasBegunIsNotPendingAgain) {
  fleet_.AddAgent("b", "rack");
  fleet_.Advance(kSecond);
  const JobId job = Submit();
  fleet_.Advance(kSecond);
  ExpectBegun(job);
  const std::string lost = fleet_.starts().back().first;
  fleet_.agent(lost).runs.clear();
  fleet_.agent(lost).report.backend_gone = true;
  AnswerStartsWith(BackendStatus::kRefused, lost == "a" ? "b" : "a");
  for (int i = 0; i < 10; ++i) {
    fleet_.Advance(kSecond / 2);
    ExpectBegun(job);
  }
  fleet_.ChangeScheduler(2);
  ExpectBegun(job, "next scheduler");
}

// Guards against jobs that are counted although they have ended before a task started.
TEST_F(JobStartTest, AJobThatWasCancelledBeforeItBeganIsNotPending) {
  AnswerStartsWith(BackendStatus::kRefused);
  const JobId job = Submit();
  fleet_.Advance(kSecond);
  ExpectPending(job);
  fleet_.Cancel(job);
  EXPECT_EQ(Pending(), 0);
  fleet_.Advance(3 * kSecond);
  EXPECT_EQ(Pending(), 0);
  fleet_.ChangeScheduler(2);
  EXPECT_EQ(Pending(), 0);
}

// Guards against scheduled jobs in the count, which wait for their time.
TEST_F(JobStartTest, AScheduledJobIsNotPending) {
  JobSpec spec;
  spec.id = JobId("00000000000000f0");
  spec.queue = QueueId("batch");
  spec.workspace = WorkspaceId("shop");
  spec.steps.push_back(MakeStep(1, 1, kSecond));
  spec.occurrences = 3;
  spec.first_due_unix_ms = fleet_.now_ms() + 60 * kSecond;
  fleet_.core().AddJob(TimePoint(fleet_.now_ms()), fleet_.now_ms(), spec, std::nullopt);
  EXPECT_EQ(fleet_.PhaseOf(spec.id), JobPhase::kQueued);
  EXPECT_EQ(Pending(), 0);
}

// Guards against records of earlier versions, which hold begun jobs as queued.
TEST_F(JobStartTest, ARecordWithAnEndedTaskShowsThatItsJobHasBegun) {
  JobSpec spec;
  spec.queue = QueueId("batch");
  spec.workspace = WorkspaceId("shop");
  spec.steps.push_back(MakeStep(2, 1, kSecond));
  JobProgress done;
  done.steps.push_back({{1, 0}, {}, {}});
  JobProgress failed;
  failed.steps.push_back({{}, {{0, RunNumber(1)}}, {}});
  JobProgress crashed;
  crashed.steps.emplace_back();
  crashed.crashed_runs.push_back({0, 0, RunNumber(1), false});
  int number = 0;
  for (const JobProgress& progress : {done, failed, crashed}) {
    spec.id = JobId("00000000000000f" + std::to_string(number++));
    fleet_.core().AddJob(TimePoint(fleet_.now_ms()), fleet_.now_ms(), spec, progress);
    ExpectBegun(spec.id, spec.id.value());
  }
}

class RandomStartsTest : public JobStartTest, public ::testing::WithParamInterface<std::uint32_t> {
 protected:
  static constexpr int kAgents = 4;

  RandomStartsTest() : random_(GetParam()) {
    for (int i = 0; i < kAgents; ++i) fleet_.AddAgent(NameOf(i), "rack");
    fleet_.run_time_of = [this](const TaskId&) { return 200 + Draw(3000); };
    fleet_.outcome_of = [this](const std::string&, const TaskId&) {
      return Draw(6) == 0 ? RunEnd::kFailed : RunEnd::kDone;
    };
  }
  static std::string NameOf(std::int64_t index) { return "agent-" + std::to_string(index); }
  std::int64_t Draw(std::int64_t below) { return static_cast<std::int64_t>(random_() % below); }

  void DisturbAgent() {
    FleetHarness::Agent& agent = fleet_.agent(NameOf(Draw(kAgents)));
    switch (Draw(6)) {
      case 0:
        agent.next_start_status = BackendStatus::kRefused;
        break;
      case 1:
        agent.next_start_status = BackendStatus::kNoCapacity;
        break;
      case 2:
        agent.next_start_status = BackendStatus::kUnknown;
        agent.starts_despite_status = Draw(2) == 0;
        break;
      case 3:
        agent.loses_orders = true;
        break;
      case 4:
        agent.reachable = false;
        break;
      default:
        agent.runs.clear();
        agent.report.ended.clear();
        agent.report.backend.front().started_unix_ms = fleet_.now_ms();
        agent.next_end = 1;
    }
    agent.keeps_start_status = true;
  }
  void EndDisturbances() {
    for (int i = 0; i < kAgents; ++i) {
      FleetHarness::Agent& agent = fleet_.agent(NameOf(i));
      agent.next_start_status.reset();
      agent.keeps_start_status = false;
      agent.starts_despite_status = false;
      agent.loses_orders = false;
      agent.reachable = true;
    }
    fleet_.store_available = true;
  }
  void Act() {
    switch (Draw(8)) {
      case 0:
        DisturbAgent();
        break;
      case 1:
        if (Draw(3) == 0) EndDisturbances();
        break;
      case 2:
        if (Draw(4) == 0) fleet_.store_available = false;
        break;
      case 3:
        if (Draw(4) == 0) {
          fleet_.ChangeScheduler(++term_);
          shown_since_ms_.clear();
          all_stored_ = true;
        }
        break;
      case 4:
        if (!jobs_.empty()) {
          const JobId job = jobs_[static_cast<std::size_t>(Draw(std::ssize(jobs_)))];
          if (Draw(4) == 0) fleet_.Cancel(job);
        }
        break;
      default:
        StepSpec step = MakeStep(static_cast<std::int32_t>(1 + Draw(4)), 1 + Draw(8), kSecond);
        step.gang = Draw(3) == 0;
        jobs_.push_back(fleet_.Submit("batch", "shop", step));
    }
  }
  void Check() {
    all_stored_ = all_stored_ && fleet_.store_available;
    std::int64_t queued = 0;
    for (const JobId& job : jobs_) {
      // The store answers while the end of a job is being stored.
      const JobQueryReply reply = fleet_.core().AnswerQuery(job, true);
      if (!reply.accepted || !reply.known) continue;
      const auto phase = static_cast<JobPhase>(reply.phase);
      if (phase == JobPhase::kRunning) {
        EXPECT_GT(fleet_.StartsOf(job), 0U) << job.value() << " has not begun";
        const auto shown = shown_since_ms_.try_emplace(job, fleet_.now_ms()).first;
        if (all_stored_ && fleet_.now_ms() - shown->second >= kRecordMs) recorded_.insert(job);
      } else if (phase == JobPhase::kQueued) {
        EXPECT_EQ(shown_since_ms_.count(job), 0U) << job.value() << " had begun";
        EXPECT_EQ(recorded_.count(job), 0U) << job.value() << " had begun in an earlier term";
        ++queued;
      }
    }
    EXPECT_EQ(Pending(), queued);
  }

  std::mt19937 random_;
  std::uint64_t term_ = 1;
  std::vector<JobId> jobs_;
  /// Since when the scheduler of this term has shown jobs as begun, and whether the store has been
  /// available all the while: the harness does not repeat writes.
  std::map<JobId, std::int64_t> shown_since_ms_;
  bool all_stored_ = true;
  /// Jobs of which the record must show that they have begun.
  std::set<JobId> recorded_;
};

// Guards against a count, or a phase, that no longer follows the starts after faults that overlap.
TEST_P(RandomStartsTest, CallersSeeWhichJobsHaveBegun) {
  for (int i = 0; i < 300 && !HasFailure(); ++i) {
    Act();
    fleet_.Advance(20 * (1 + Draw(10)));
    Check();
  }
  EndDisturbances();
  fleet_.Advance(20 * kSecond);
  for (const JobId& job : jobs_) {
    if (fleet_.RunningTasks(job) == 0) continue;
    EXPECT_NE(fleet_.PhaseOf(job), JobPhase::kQueued) << job.value();
  }
  Check();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomStartsTest, ::testing::Range(4901U, 4911U));

}  // namespace
}  // namespace basilspring::fleet
