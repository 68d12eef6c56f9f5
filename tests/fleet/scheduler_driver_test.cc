#include "basilspring/fleet/scheduler_driver.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>

#include "basilspring/process/io_thread.h"
#include "connection/frame_archive.h"
#include "fleet_harness.h"
#include "platform/store_adapter.h"
#include "scripted_store.h"

// Tests of SchedulerDriver with scripted answers of the store.
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
    const SchedulerDriver::Context context{
        access_,
        peers_,
        metrics_,
        executor_,
        [this](Duration, std::function<void()> work) { executor_(std::move(work)); },
        Address{"127.0.0.1", 1},
        options,
        [] { return Clock::Now() + Duration::Seconds(10); },
        [](const std::string&) {}};
    return std::make_unique<SchedulerDriver>(context, Term(1), 5);
  }

  void RunPosted() {
    for (;;) {
      std::function<void()> work;
      {
        const std::lock_guard<std::mutex> lock(posted_mutex_);
        if (posted_.empty()) return;
        work = std::move(posted_.front());
        posted_.pop_front();
      }
      work();
    }
  }

  /// Makes the store return `stored_` and accept transactions; `on_write` may change its answers.
  void AnswerFromItems(const std::function<StoreReply(const StoreCall&)>& on_write = nullptr) {
    store_.answer = [this, on_write](const StoreCall& call) {
      StoreReply reply = MakeReply(StoreStatus::kOk, 50);
      if (call.kind() == StoreOperation::kTransaction && on_write) return on_write(call);
      if (call.kind() == StoreOperation::kRange) {
        for (const auto& [key, value] : stored_) {
          if (key.rfind(call.key, 0) == 0) reply.items.push_back({key, value, 3, false});
        }
      }
      if (call.kind() == StoreOperation::kGet) {
        const auto found = stored_.find(call.key);
        if (found == stored_.end()) return MakeReply(StoreStatus::kNotFound);
        reply.items.push_back({call.key, found->second, 3, false});
      }
      return reply;
    };
  }

  JobSpec AddStoredJob(const std::string& id) {
    JobSpec spec;
    spec.id = JobId(id);
    spec.queue = QueueId("queue");
    spec.steps.push_back(MakeStep(1, 1, 1000));
    spec.accepted_unix_ms = Clock::WallMilliseconds();
    stored_[StoreKeys::Job(spec.id)] = EncodeJobSpec(spec);
    return spec;
  }

  void AddStoredAgents(const std::vector<std::string>& names) {
    std::vector<ListedAgent> rows;
    for (const std::string& name : names) rows.push_back({NodeId(name), kAgentAddress});
    std::string bytes;
    internal::EncodeBody(rows, bytes);
    stored_[StoreKeys::kAgents] = bytes;
  }

  /// Returns a report of an agent whose backend server can hold any of the tests' jobs.
  static AgentReport MakeReport(const std::string& name, std::uint64_t number) {
    AgentReport report;
    report.node = NodeId(name);
    report.address = kAgentAddress;
    report.incarnation = 1;
    report.number = number;
    report.term = Term(1);
    report.poll = number;
    BackendAnnouncement backend;
    backend.id = BackendId("backend-" + name);
    backend.started_unix_ms = 1;
    backend.sequence = 1;
    backend.service = ServiceId("service");
    backend.data_centre = DataCentreId("here");
    backend.capacity = {64000, 64000, 8};
    report.backend.push_back(backend);
    return report;
  }

  static std::shared_ptr<const OperatorState> MakeOperatorState() {
    OperatorState state;
    state.config.version = 1;
    state.config.services.push_back({ServiceId("service"), true});
    Queue queue;
    queue.id = QueueId("queue");
    queue.service = ServiceId("service");
    queue.max_attempts = 4;
    state.config.queues.push_back(queue);
    return std::make_shared<OperatorState>(state);
  }

  std::unique_ptr<SchedulerDriver> MakeReadyDriver() {
    auto driver = MakeDriver();
    RunPosted();
    driver->SetOperatorState(MakeOperatorState());
    RunPosted();
    return driver;
  }

  /// Passes a report to the driver and returns its answer.
  AgentReportReply Report(SchedulerDriver& driver, const AgentReport& report) {
    AgentReportReply answer;
    driver.OnReport(report, [&](const AgentReportReply& reply) { answer = reply; });
    RunPosted();
    // A report whose ends can't be recorded is answered after a while.
    driver.Tick(Clock::Now() + Duration::Seconds(1));
    RunPosted();
    return answer;
  }

  static bool Writes(const StoreCall& call, const std::string& key) {
    return std::any_of(call.writes.begin(), call.writes.end(),
                       [&](const StoreWrite& write) { return write.key == key; });
  }
  /// Returns the number of transactions so far that write the key.
  std::size_t WritesOf(const std::string& key) const {
    return static_cast<std::size_t>(
        std::count_if(store_.calls.begin(), store_.calls.end(),
                      [&](const StoreCall& call) { return Writes(call, key); }));
  }
  /// Returns what the platform's store answers to a transaction that it will never accept.
  static StoreReply MakeRejection() {
    HttpResult result;
    result.status = 413;
    return platform::DecodeStoreReply(StoreOperation::kTransaction, result);
  }

  inline static const Address kAgentAddress{"127.0.0.1", 1};
  std::map<std::string, std::string> stored_;
  /// Declared before the thread that posts to it.
  std::deque<std::function<void()>> posted_;
  std::mutex posted_mutex_;
  IoThread io_;
  HttpClient http_{io_};
  Executor executor_ = [this](std::function<void()> work) {
    const std::lock_guard<std::mutex> lock(posted_mutex_);
    posted_.push_back(std::move(work));
  };
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

// Guards against running finished tasks again: a record that can't be decoded counted as missing,
// so that the job started as if it were new and its record was overwritten.
TEST_F(SchedulerDriverTest, DoesNotStartAJobWhoseRecordCannotBeRead) {
  const JobSpec held = AddStoredJob("00000000000000aa");
  const JobSpec other = AddStoredJob("00000000000000bb");
  stored_[StoreKeys::Progress(held.id)] = "from a newer version";
  AddStoredAgents({"a0"});
  AnswerFromItems();
  const auto driver = MakeReadyDriver();
  Report(*driver, MakeReport("a0", 1));
  EXPECT_EQ(WritesOf(StoreKeys::Progress(held.id)), 0U);
  EXPECT_EQ(WritesOf(StoreKeys::Progress(other.id)), 1U);
  EXPECT_FALSE(driver->core().PhaseOf(held.id).has_value());
  EXPECT_EQ(driver->core().counts().starts_planned, 1U);
  EXPECT_EQ(metrics_.GetCounter("basilspring_unreadable_items_total", "kind=\"record\"").value(),
            1U);
}

// Guards against forgetting the ends of such a job: once an end is acknowledged, the backend server
// no longer lists it to a scheduler that can read the record.
TEST_F(SchedulerDriverTest, DoesNotAcknowledgeEndsThatCannotBeRecorded) {
  const JobSpec without_record = AddStoredJob("00000000000000aa");
  const JobSpec without_spec = AddStoredJob("00000000000000bb");
  stored_[StoreKeys::Progress(without_record.id)] = "from a newer version";
  stored_[StoreKeys::Job(without_spec.id)] = "from a newer version";
  AddStoredAgents({"a0", "a1"});
  AnswerFromItems();
  const auto driver = MakeReadyDriver();
  AgentReport report = MakeReport("a0", 1);
  report.ended.push_back({4, {without_record.id, 0, 0, 0}, RunNumber(1), 1, ""});
  EXPECT_EQ(Report(*driver, report).acknowledged, 3);
  report = MakeReport("a1", 1);
  report.ended.push_back({7, {without_spec.id, 0, 0, 0}, RunNumber(1), 0, ""});
  EXPECT_EQ(Report(*driver, report).acknowledged, 6);
  EXPECT_EQ(metrics_.GetCounter("basilspring_unreadable_items_total", "kind=\"job\"").value(), 1U);
}

// Guards against a job that its caller can't get rid of, and whose ends block the acknowledgements
// of a worker for good.
TEST_F(SchedulerDriverTest, CancelsJobsThatCannotBeRead) {
  const JobSpec without_record = AddStoredJob("00000000000000aa");
  const JobSpec without_spec = AddStoredJob("00000000000000bb");
  stored_[StoreKeys::Progress(without_record.id)] = "from a newer version";
  stored_[StoreKeys::Job(without_spec.id)] = "from a newer version";
  AddStoredAgents({"a0"});
  AnswerFromItems();
  const auto driver = MakeReadyDriver();
  AgentReport report = MakeReport("a0", 1);
  report.ended.push_back({1, {without_record.id, 0, 0, 0}, RunNumber(1), 1, ""});
  report.ended.push_back({2, {without_spec.id, 0, 0, 0}, RunNumber(1), 0, ""});
  EXPECT_EQ(Report(*driver, report).acknowledged, 0);
  ASSERT_EQ(store_.held.size(), 1U);
  StoreReply change = MakeReply(StoreStatus::kOk, 60);
  change.items.push_back({StoreKeys::Cancel(without_record.id), "", 59, false});
  change.items.push_back({StoreKeys::Cancel(without_spec.id), "", 60, false});
  const StoreHandler watch = store_.held.front();
  store_.held.pop_front();
  watch(change);
  RunPosted();
  EXPECT_EQ(driver->core().PhaseOf(without_record.id), JobPhase::kCancelled);
  EXPECT_EQ(driver->core().PhaseOf(without_spec.id), JobPhase::kCancelled);
  report.number = 2;
  EXPECT_EQ(Report(*driver, report).acknowledged, 2);
}

// Guards against a scheduler that never becomes active, because the exception for one job that
// can't be represented ended the reading of all jobs.
TEST_F(SchedulerDriverTest, ReadsOtherJobsIfOneIsInconsistent) {
  JobSpec inconsistent = AddStoredJob("00000000000000aa");
  inconsistent.steps.front().task_count = -1;
  stored_[StoreKeys::Job(inconsistent.id)] = EncodeJobSpec(inconsistent);
  const JobSpec other = AddStoredJob("00000000000000bb");
  AnswerFromItems();
  std::unique_ptr<SchedulerDriver> driver;
  ASSERT_NO_THROW(driver = MakeReadyDriver());
  EXPECT_TRUE(driver->IsActive());
  EXPECT_TRUE(driver->core().PhaseOf(other.id).has_value());
}

// Guards against starting a task a second time while it may run on an agent that is not known,
// because an earlier scheduler could not read the list of agents and wrote it anew.
TEST_F(SchedulerDriverTest, WaitsForRecordedAgentsThatTheListLacks) {
  const JobSpec job = AddStoredJob("00000000000000aa");
  JobProgress progress;
  progress.phase = static_cast<std::uint8_t>(JobPhase::kRunning);
  progress.steps.emplace_back().agents.emplace_back("away");
  stored_[StoreKeys::Progress(job.id)] = EncodeJobProgress(progress);
  AddStoredAgents({"a0"});
  AnswerFromItems();
  const auto driver = MakeReadyDriver();
  Report(*driver, MakeReport("a0", 1));
  EXPECT_EQ(WritesOf(StoreKeys::Progress(job.id)), 0U);
}

// The same if the list of agents can't be decoded now.
TEST_F(SchedulerDriverTest, WaitsForRecordedAgentsIfTheListOfAgentsCannotBeRead) {
  const JobSpec job = AddStoredJob("00000000000000aa");
  JobProgress progress;
  progress.phase = static_cast<std::uint8_t>(JobPhase::kRunning);
  progress.steps.emplace_back().agents.emplace_back("away");
  stored_[StoreKeys::Progress(job.id)] = EncodeJobProgress(progress);
  const JobSpec other = AddStoredJob("00000000000000bb");
  stored_[StoreKeys::kAgents] = "from a newer version";
  AnswerFromItems();
  const auto driver = MakeReadyDriver();
  Report(*driver, MakeReport("a0", 1));
  Report(*driver, MakeReport("a0", 2));
  EXPECT_EQ(WritesOf(StoreKeys::Progress(other.id)), 1U);
  EXPECT_EQ(WritesOf(StoreKeys::Progress(job.id)), 0U);
  EXPECT_TRUE(driver->core().Shapes(Clock::Now() + Duration::Seconds(60)).empty());
  EXPECT_EQ(metrics_.GetCounter("basilspring_unreadable_items_total", "kind=\"agents\"").value(),
            1U);
}

// Guards against one record that the store always rejects stopping the records of all jobs: no
// task started and no end was acknowledged any more.
TEST_F(SchedulerDriverTest, StoresOtherRecordsIfTheStoreRejectsOne) {
  const JobSpec rejected = AddStoredJob("00000000000000aa");
  const JobSpec first = AddStoredJob("00000000000000bb");
  const JobSpec second = AddStoredJob("00000000000000cc");
  AddStoredAgents({"a0"});
  AnswerFromItems([&](const StoreCall& call) {
    return Writes(call, StoreKeys::Progress(rejected.id)) ? MakeRejection()
                                                          : MakeReply(StoreStatus::kOk, 60);
  });
  const auto driver = MakeReadyDriver();
  AgentReport report = MakeReport("a0", 1);
  EXPECT_TRUE(Report(*driver, report).accepted);
  EXPECT_EQ(WritesOf(StoreKeys::Progress(rejected.id)), 2U);
  EXPECT_GE(WritesOf(StoreKeys::Progress(first.id)), 2U);
  report.number = 2;
  report.ended.push_back({1, {first.id, 0, 0, 0}, RunNumber(0), 0, ""});
  report.ended.push_back({2, {second.id, 0, 0, 0}, RunNumber(0), 0, ""});
  EXPECT_EQ(Report(*driver, report).acknowledged, 2);
  EXPECT_EQ(driver->core().PhaseOf(first.id), JobPhase::kCompleted);
  EXPECT_EQ(driver->core().PhaseOf(second.id), JobPhase::kCompleted);
  EXPECT_EQ(metrics_.GetCounter("basilspring_rejected_writes_total", "kind=\"record\"").value(),
            2U);
}

// Guards against using up the rate of store calls, which other writes need, with a list of agents
// that the store does not accept. Agents of the stored list keep working.
TEST_F(SchedulerDriverTest, DoesNotRepeatARejectedListOfAgentsAtOnce) {
  const JobSpec job = AddStoredJob("00000000000000aa");
  AddStoredAgents({"a0"});
  AnswerFromItems([&](const StoreCall& call) {
    return Writes(call, StoreKeys::kAgents) ? MakeRejection() : MakeReply(StoreStatus::kOk, 60);
  });
  const auto driver = MakeReadyDriver();
  for (std::uint64_t number = 1; number <= 5; ++number) {
    EXPECT_FALSE(Report(*driver, MakeReport("new", number)).accepted);
  }
  EXPECT_EQ(WritesOf(StoreKeys::kAgents), 1U);
  EXPECT_TRUE(Report(*driver, MakeReport("a0", 1)).accepted);
  EXPECT_EQ(driver->core().PhaseOf(job.id), JobPhase::kQueued);
  EXPECT_EQ(driver->core().counts().starts_planned, 1U);
  EXPECT_EQ(metrics_.GetCounter("basilspring_rejected_writes_total", "kind=\"agents\"").value(),
            1U);
}

// Guards against a scheduler that never has all records of a large fleet while calls fail now and
// then, and against several reads of the same records at a time.
TEST_F(SchedulerDriverTest, ContinuesTheReadOfRecordsAfterAFailedPage) {
  std::vector<std::string> pages;
  bool fail = true;
  store_.answer = [&](const StoreCall& call) {
    if (call.kind() == StoreOperation::kGet) return MakeReply(StoreStatus::kNotFound);
    if (call.kind() != StoreOperation::kRange || call.key != StoreKeys::kProgress) {
      return MakeReply(StoreStatus::kOk);
    }
    pages.push_back(call.after_key);
    if (!call.after_key.empty() && std::exchange(fail, false)) {
      return MakeReply(StoreStatus::kUnavailable);
    }
    StoreReply reply = MakeReply(StoreStatus::kOk);
    const std::string key =
        std::string(StoreKeys::kProgress) + (call.after_key.empty() ? "1" : "2");
    reply.items.push_back({key, EncodeJobProgress(JobProgress()), 3, false});
    reply.more = call.after_key.empty();
    return reply;
  };
  const auto driver = MakeDriver();
  RunPosted();
  driver->Tick(Clock::Now() + Duration::Seconds(10));
  RunPosted();
  const std::string first = std::string(StoreKeys::kProgress) + "1";
  EXPECT_EQ(pages, (std::vector<std::string>{"", first, first}));
}

// Guards against urgent jobs that wait until the watch of the inbox is renewed, for up to 1.7 s,
// because its connection has stopped delivering answers.
TEST_F(SchedulerDriverTest, ANoticeOfAnUnknownItemMakesTheDriverAskForChanges) {
  AnswerFromItems();
  const auto driver = MakeReadyDriver();
  const auto watches_without_wait = [&] {
    return std::count_if(store_.calls.begin(), store_.calls.end(), [](const StoreCall& call) {
      return call.kind() == StoreOperation::kWatch && call.wait == Duration(0);
    });
  };
  ASSERT_EQ(watches_without_wait(), 0);
  driver->OnInboxNotice(InboxNotice{50});
  RunPosted();
  EXPECT_EQ(watches_without_wait(), 0) << "revision 50 is known";
  driver->OnInboxNotice(InboxNotice{60});
  driver->OnInboxNotice(InboxNotice{61});
  RunPosted();
  EXPECT_EQ(watches_without_wait(), 1) << "notices within the grace period share one call";
}

// Guards against a call to the store for each job while the watch works: an item that the watch
// delivers before the end of the grace period needs none.
TEST_F(SchedulerDriverTest, ANoticeOfAnItemThatTheWatchDeliversCausesNoCall) {
  AnswerFromItems();
  const auto driver = MakeReadyDriver();
  ASSERT_FALSE(store_.held.empty());
  const auto calls = store_.calls.size();
  // The answer of the watch is handled after the notice and before the end of the grace period.
  const StoreReply reply = MakeReply(StoreStatus::kOk, 60);
  for (const StoreHandler& handler : std::exchange(store_.held, {})) handler(reply);
  driver->OnInboxNotice(InboxNotice{60});
  RunPosted();
  const bool asked =
      std::any_of(store_.calls.begin() + static_cast<std::ptrdiff_t>(calls), store_.calls.end(),
                  [](const StoreCall& call) {
                    return call.kind() == StoreOperation::kWatch && call.wait == Duration(0);
                  });
  EXPECT_FALSE(asked);
}

// Guards against jobs whose tasks are started again because the page with their records was not
// read.
TEST_F(SchedulerDriverTest, AnEmptyPageOfRecordsIsNotTheLastOneIfMoreFollow) {
  std::size_t pages = 0;
  bool inbox_read = false;
  store_.answer = [&](const StoreCall& call) {
    if (call.kind() == StoreOperation::kGet) return MakeReply(StoreStatus::kNotFound);
    StoreReply reply = MakeReply(StoreStatus::kOk);
    if (call.kind() != StoreOperation::kRange) return reply;
    if (call.key != StoreKeys::kProgress) {
      inbox_read = inbox_read || call.key == StoreKeys::kInbox;
      return reply;
    }
    reply.more = ++pages == 1;
    return reply;
  };
  const auto driver = MakeDriver();
  RunPosted();
  EXPECT_EQ(pages, 1U);
  EXPECT_FALSE(inbox_read);
  driver->Tick(Clock::Now() + Duration::Seconds(10));
  RunPosted();
  EXPECT_EQ(pages, 2U);
  EXPECT_TRUE(inbox_read);
}

}  // namespace
}  // namespace basilspring::fleet
