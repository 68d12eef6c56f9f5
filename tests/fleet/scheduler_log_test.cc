#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "basilspring/process/log.h"
#include "shared_store_fixture.h"
#include "tests/connection/raw_socket.h"

// The log lines by which operators tell why a task was started again; see docs/OPERATIONS.md.
// Guards against a fault whose causes the logs don't tell apart, because lines of the store's
// writes and of lost workers named no job.
namespace basilspring::fleet {
namespace {

class SchedulerLogTest : public SharedStoreTest {
 protected:
  /// Returns the lines that are written while `work` runs.
  static std::string LogOf(const std::function<void()>& work) {
    ConfigureLog(LogLevel::kInfo, "test");
    testing::internal::CaptureStdout();
    work();
    return testing::internal::GetCapturedStdout();
  }
  static bool Contains(const std::string& log, const std::string& text) {
    return log.find(text) != std::string::npos;
  }
  /// Submits a job of two tasks and lets the scheduler start them.
  void StartTwoTasks(SchedulerDriver& scheduler) {
    ReportWorker(scheduler);
    EXPECT_EQ(
        Send(*a_, "POST", kJob, R"({"spec":"s","steps":[{"count":2,"cpu":1,"mem_mb":1}]})")->status,
        200);
    Deliver(scheduler);
    EXPECT_EQ(scheduler.core().counts().starts_planned, 2U);
  }
  std::string JobField() const { return std::string("term=1 job=") + kJob + " "; }
};

TEST_F(SchedulerLogTest, TellsWhichRecordHoldsAnEndAndWhatTheNextSchedulerReads) {
  std::string log = LogOf([&] {
    const auto scheduler = MakeScheduler();
    StartTwoTasks(*scheduler);
    ReportWorker(*scheduler, {DoneRow(1, 0)});
  });
  EXPECT_TRUE(Contains(log, std::string("task=") + kJob + ".0.0.0 run=1 worker=agent " +
                                "backend=backend born=1 number=1 report="))
      << log;
  EXPECT_TRUE(Contains(log, "end=done")) << log;
  EXPECT_TRUE(Contains(log, "record_version=2")) << log;
  const std::string revision = std::to_string(store_.RevisionOf(record_key_));
  EXPECT_TRUE(Contains(
      log, JobField() + "version=2 revision=" + revision + " phase=running done=1 record stored"))
      << log;
  store_.DropWatches();
  log = LogOf([&] { MakeScheduler(); });
  EXPECT_TRUE(Contains(log, "recorded=true record_revision=" + revision +
                                " phase=running done=1 cancelled=false job added"))
      << log;
}

TEST_F(SchedulerLogTest, NamesTheJobsOfAWriteThatWasNotAnswered) {
  const auto scheduler = MakeScheduler();
  StartTwoTasks(*scheduler);
  const std::string revision = std::to_string(store_.RevisionOf(record_key_));
  const std::string log = LogOf([&] {
    FailNextWrite(Fault::kSilent);
    ReportWorker(*scheduler, {DoneRow(1, 0)});
  });
  EXPECT_TRUE(Contains(log, JobField() + "version=2 known_revision=" + revision +
                                " phase=running done=1 record write not answered"))
      << log;
}

TEST_F(SchedulerLogTest, NamesTheJobsOfARemoval) {
  options_.keep_finished = Duration::Seconds(60);
  const auto scheduler = MakeScheduler();
  StartTwoTasks(*scheduler);
  ReportWorker(*scheduler, {DoneRow(1, 0), DoneRow(2, 1)});
  const TimePoint over = Clock::Now() + options_.keep_finished + Duration::Seconds(1);
  std::string log = LogOf([&] {
    FailNextWrite(Fault::kSilent);
    scheduler->Tick(over);
    Run();
  });
  EXPECT_TRUE(Contains(log, JobField())) << log;
  EXPECT_TRUE(Contains(log, "removal not answered")) << log;
  // The pause after the unanswered write is real time.
  int pass = 0;
  log = LogOf([&] {
    EXPECT_TRUE(Eventually([&] {
      scheduler->Tick(over + Duration::Seconds(++pass));
      Run();
      return !IsStored();
    }));
  });
  EXPECT_TRUE(Contains(log, "keys removed")) << log;
}

TEST_F(SchedulerLogTest, NamesTheRunsOfALostWorker) {
  const auto scheduler = MakeScheduler();
  StartTwoTasks(*scheduler);
  const std::string log = LogOf([&] { scheduler->Tick(Clock::Now() + Duration::Seconds(60)); });
  for (const char* index : {"0", "1"}) {
    EXPECT_TRUE(Contains(log, std::string("task=") + kJob + ".0.0." + index +
                                  " run=1 worker=agent confirmed=false lost with its worker: "
                                  "its lease has expired"))
        << log;
  }
}

TEST_F(SchedulerLogTest, TellsThatAnEndOfAnUnknownJobIsAcknowledged) {
  const auto scheduler = MakeScheduler();
  const std::string log = LogOf([&] { ReportWorker(*scheduler, {DoneRow(1, 0)}); });
  EXPECT_TRUE(Contains(log, "record_version=0 the job is not known")) << log;
}

}  // namespace
}  // namespace basilspring::fleet
