#include "basilspring/fleet/scheduler_driver.h"

#include <gtest/gtest.h>

#include <deque>

#include "basilspring/process/io_thread.h"
#include "scripted_store.h"

// Tests of SchedulerDriver with a store that has no jobs.
namespace basilspring::fleet {
namespace {

class SchedulerDriverTest : public ::testing::Test {
 protected:
  SchedulerDriverTest() {
    store_.answer = [](const StoreCall& call) {
      return MakeReply(call.kind() == StoreOperation::kGet ? StoreStatus::kNotFound
                                                           : StoreStatus::kOk);
    };
  }

  std::unique_ptr<SchedulerDriver> MakeDriver(const SchedulerOptions& options = {}) {
    const SchedulerDriver::Context context{access_,
                                           peers_,
                                           metrics_,
                                           executor_,
                                           [](Duration, const std::function<void()>&) {},
                                           Address{"127.0.0.1", 1},
                                           options,
                                           [] { return Clock::Now() + Duration::Seconds(10); },
                                           [](const std::string&) {}};
    return std::make_unique<SchedulerDriver>(context, Term(1), 5);
  }

  void RunPosted() {
    while (!posted_.empty()) {
      const std::function<void()> work = std::move(posted_.front());
      posted_.pop_front();
      work();
    }
  }

  IoThread io_;
  HttpClient http_{io_};
  std::deque<std::function<void()>> posted_;
  Executor executor_ = [this](std::function<void()> work) { posted_.push_back(std::move(work)); };
  PeerClient peers_{http_, executor_};
  ScriptedStore store_;
  StoreAccess access_{store_, peers_, executor_};
  MetricRegistry metrics_;
};

// Guards against decisions of a scheduler that has read the jobs, but not yet the configuration: it
// failed jobs after their first failed run.
TEST_F(SchedulerDriverTest, IsNotActiveBeforeTheConfigurationIsRead) {
  const auto driver = MakeDriver();
  RunPosted();
  EXPECT_FALSE(driver->IsActive());
  AgentReport report;
  report.node = NodeId("agent");
  report.number = 1;
  bool accepted = true;
  driver->OnReport(report, [&](const AgentReportReply& reply) { accepted = reply.accepted; });
  EXPECT_FALSE(accepted);
  driver->SetOperatorState(std::make_shared<OperatorState>());
  EXPECT_TRUE(driver->IsActive());
}

// Guards against running a finished job again that was read before its keys were deleted and whose
// read is answered afterwards.
TEST_F(SchedulerDriverTest, IgnoresAJobThatWasReadBeforeItsRemoval) {
  JobSpec spec;
  spec.id = JobId("00000000000000aa");
  spec.steps.emplace_back();
  JobProgress progress;
  progress.phase = static_cast<std::uint8_t>(JobPhase::kCompleted);
  const StoreItem job{StoreKeys::Job(spec.id), EncodeJobSpec(spec), 3, false};
  const StoreItem record{StoreKeys::Progress(spec.id), EncodeJobProgress(progress), 4, false};
  store_.answer = [&](const StoreCall& call) {
    StoreReply reply = MakeReply(StoreStatus::kOk, 5);
    if (call.kind() == StoreOperation::kGet) reply.status = StoreStatus::kNotFound;
    if (call.kind() == StoreOperation::kTransaction) reply.revision = 9;
    if (call.kind() == StoreOperation::kRange) {
      reply.items = {call.key == StoreKeys::kProgress ? record : job};
    }
    return reply;
  };
  SchedulerOptions options;
  options.keep_finished = Duration(0);
  const auto driver = MakeDriver(options);
  RunPosted();
  driver->SetOperatorState(std::make_shared<OperatorState>());
  RunPosted();
  ASSERT_FALSE(driver->core().PhaseOf(spec.id).has_value());
  ASSERT_EQ(store_.held.size(), 1U);
  StoreReply late = MakeReply(StoreStatus::kOk, 6);
  late.items = {job};
  store_.held.front()(late);
  RunPosted();
  EXPECT_FALSE(driver->core().PhaseOf(spec.id).has_value());
}

}  // namespace
}  // namespace basilspring::fleet
