#include "basilspring/fleet/entry_server.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <map>
#include <mutex>
#include <optional>

#include "basilspring/process/io_thread.h"
#include "fleet/peer_call.h"
#include "platform/caller_adapter.h"
#include "scripted_store.h"
#include "tests/connection/raw_socket.h"

// Tests of EntryServer with a store whose answers each test sets and delays that each test ends.
namespace basilspring::fleet {
namespace {

class IgnoringResponder : public HttpResponder {
 public:
  void Respond(HttpResponse response) override {
    status = response.status;
    body = response.body;
  }
  /// Status of the last response; 0 if there was none.
  int status = 0;
  std::string body;
  void StartStream(HttpResponse) override {}
  void WriteChunk(std::string) override {}
  void FinishStream() override {}
  void OnDisconnect(std::function<void()>) override {}
};

constexpr const char* kJobBody = R"({"spec":"s","steps":[{"count":1,"cpu":1,"mem_mb":1}]})";

/// Keeps the last answer with a count.
class CountKeepingFormat : public platform::PlatformCallerFormat {
 public:
  HttpResponse Encode(const CallerAnswer& answer) const override {
    if (const auto* count = std::get_if<PendingAnswer>(&answer)) last = *count;
    return PlatformCallerFormat::Encode(answer);
  }
  mutable std::optional<PendingAnswer> last;
};

class EntryServerTest : public ::testing::Test {
 protected:
  EntryServerTest() { entry_.SetOperatorState(MakeState()); }

  static std::shared_ptr<const OperatorState> MakeState() {
    auto state = std::make_shared<OperatorState>();
    Queue queue;
    queue.id = QueueId("q");
    queue.host = "h";
    queue.path_prefix = "/q/";
    queue.open_to_all = true;
    state->config.queues.push_back(queue);
    return state;
  }

  EntryServer::Context MakeContext() {
    return EntryServer::Context{
        access_,
        peers_,
        inline_executor_,
        [this](Duration, std::function<void()> work) { delayed_.push_back(std::move(work)); },
        format_,
        metrics_,
        NodeId("entry"),
        Address{"127.0.0.1", 1},
        [] { return nullptr; },
        EntryLimits(),
        false};
  }

  std::shared_ptr<IgnoringResponder> Send(const std::string& method, const std::string& path,
                                          const std::string& body = "",
                                          const std::string& timeout_ms = "") {
    return Send(entry_, method, path, body, timeout_ms);
  }
  static std::shared_ptr<IgnoringResponder> Send(EntryServer& entry, const std::string& method,
                                                 const std::string& path,
                                                 const std::string& body = "",
                                                 const std::string& timeout_ms = "") {
    HttpRequest request;
    if (!timeout_ms.empty()) request.headers["timeout-ms"] = timeout_ms;
    request.method = method;
    request.path = path;
    request.headers["host"] = "h";
    request.body = body;
    auto responder = std::make_shared<IgnoringResponder>();
    entry.OnCaller(std::move(request), responder);
    return responder;
  }
  std::shared_ptr<IgnoringResponder> Submit(const std::string& job) {
    return Send("POST", "/q/" + job, kJobBody);
  }
  std::shared_ptr<IgnoringResponder> Cancel(const std::string& job) {
    return Send("DELETE", "/q/" + job);
  }
  std::shared_ptr<IgnoringResponder> Query(const std::string& path) { return Send("GET", path); }

  /// Makes the store keep what is written.
  void KeepItems() {
    store_.answer = [this](const StoreCall& call) {
      StoreReply reply = MakeReply(StoreStatus::kOk);
      if (call.kind() == StoreOperation::kGet && items_.count(call.key) == 0) {
        return MakeReply(StoreStatus::kNotFound);
      }
      for (const StoreCondition& condition : call.conditions) {
        if (items_.count(condition.key) == 0) continue;
        reply.status = StoreStatus::kConflict;
        reply.items.push_back({condition.key, items_[condition.key], 5, false});
      }
      if (reply.status != StoreStatus::kOk) return reply;
      for (const StoreWrite& write : call.writes) items_[write.key] = write.value;
      return reply;
    };
  }

  IoThread io_;
  HttpClient http_{io_};
  Executor inline_executor_ = [](const std::function<void()>& work) { work(); };
  PeerClient peers_{http_, inline_executor_};
  ScriptedStore store_;
  StoreAccess access_{store_, peers_, inline_executor_};
  platform::PlatformCallerFormat format_;
  MetricRegistry metrics_;
  std::deque<std::function<void()>> delayed_;
  std::map<std::string, std::string> items_;
  std::mutex mutex_;
  EntryServer entry_{MakeContext()};
};

// Guards against requests that stay open for as long as a hostile caller states, also one whose
// time would overflow.
TEST_F(EntryServerTest, CapsTheTimeoutThatACallerStates) {
  entry_.SetLimits(EntryLimits{Duration(500), 10});
  store_.answer = [](const StoreCall&) { return MakeReply(StoreStatus::kUnavailable); };
  for (const char* timeout : {"3600000", "9223372036854775807"}) {
    // With 500 ms, too little time is left for another attempt.
    EXPECT_EQ(Send("DELETE", "/q/00000000000000aa", "", timeout)->status, 504) << timeout;
  }
  EXPECT_TRUE(delayed_.empty());
}

// Guards against requests without a bound, each of which holds its body, and against a refusal of a
// job that may have been stored.
TEST_F(EntryServerTest, RefusesRequestsBeyondTheBoundBeforeAnythingIsWritten) {
  entry_.SetLimits(EntryLimits{Duration(60000), 1});
  bool answers = false;
  store_.answer = [&answers](const StoreCall&) {
    return MakeReply(answers ? StoreStatus::kOk : StoreStatus::kUnavailable);
  };
  const auto open = Cancel("00000000000000aa");
  ASSERT_EQ(open->status, 0);
  const std::size_t calls = store_.calls.size();
  EXPECT_EQ(Submit("00000000000000ab")->status, 504);
  EXPECT_EQ(Cancel("00000000000000ac")->status, 504);
  EXPECT_EQ(store_.calls.size(), calls);
  answers = true;
  ASSERT_EQ(delayed_.size(), 1U);
  delayed_.front()();
  EXPECT_EQ(open->status, 200);
  EXPECT_NE(Submit("00000000000000ab")->status, 504);
}

// Guards against overloading store and peers: during an outage of the store, each waiting
// cancellation called them again as soon as the former call had failed.
TEST_F(EntryServerTest, WaitsBeforeItRepeatsACancellation) {
  store_.answer = [this](const StoreCall& call) {
    const bool exists = call.kind() == StoreOperation::kGet && store_.calls.size() > 1;
    // Ends the request after many calls, so that the test fails without an endless recursion.
    const bool available = exists || store_.calls.size() > 100;
    return MakeReply(available ? StoreStatus::kOk : StoreStatus::kUnavailable);
  };
  Cancel("00000000000000aa");
  EXPECT_EQ(store_.calls.size(), 1U);
  ASSERT_EQ(delayed_.size(), 1U);
  // The job is found now, but the cancellation can't be written.
  const std::function<void()> again = delayed_.front();
  delayed_.pop_front();
  again();
  EXPECT_EQ(store_.calls.size(), 3U);
  EXPECT_EQ(delayed_.size(), 1U);
}

// Guards against a job that runs after its cancellation was answered: an entry that was suspended
// reads the submission only then.
TEST_F(EntryServerTest, DoesNotStoreAJobThatWasCancelledBefore) {
  KeepItems();
  EXPECT_EQ(Cancel("00000000000000aa")->status, 410);
  EXPECT_EQ(Submit("00000000000000aa")->status, 409);
  EXPECT_EQ(items_.count(StoreKeys::Job(JobId("00000000000000aa"))), 0U);
  EXPECT_EQ(Cancel("00000000000000aa")->status, 410);
  EXPECT_EQ(Submit("00000000000000ab")->status, 200);
}

// Guards against a cancellation that is answered as unknown although the job was stored while the
// entry looked for it.
TEST_F(EntryServerTest, CancelsAJobThatIsStoredWhileItsCancellationIsHandled) {
  KeepItems();
  const auto keep = store_.answer;
  const std::string job = StoreKeys::Job(JobId("00000000000000aa"));
  store_.answer = [&, keep](const StoreCall& call) {
    StoreReply reply = keep(call);
    if (call.kind() == StoreOperation::kGet) items_[job] = "spec";
    return reply;
  };
  EXPECT_EQ(Cancel("00000000000000aa")->status, 200);
  EXPECT_EQ(items_.count(StoreKeys::Cancel(JobId("00000000000000aa"))), 1U);
  // A repeat of the submission is answered as before the cancellation.
  EXPECT_EQ(Submit("00000000000000aa")->status, 200);
}

// Guards against a submission that is stored although its entry has answered that it was cancelled:
// the write of an earlier attempt, which was not answered, is carried out late.
TEST_F(EntryServerTest, ALateWriteDoesNotStoreACancelledJob) {
  KeepItems();
  const auto keep = store_.answer;
  std::optional<StoreCall> late;
  store_.answer = [&](const StoreCall& call) {
    if (call.kind() != StoreOperation::kTransaction || late) return keep(call);
    late = call;
    return MakeReply(StoreStatus::kUnknown);
  };
  const auto submission = Submit("00000000000000aa");
  ASSERT_TRUE(late);
  EXPECT_EQ(Cancel("00000000000000aa")->status, 410);
  while (!delayed_.empty()) {
    const std::function<void()> work = delayed_.front();
    delayed_.pop_front();
    work();
  }
  EXPECT_EQ(submission->status, 409);
  EXPECT_EQ(keep(*late).status, StoreStatus::kConflict);
}

// Guards against a job that is shown as running, without a scheduler, because its record names the
// agent to which a start is about to be sent.
TEST_F(EntryServerTest, ARecordThatOnlyNamesAgentsShowsAQueuedJob) {
  KeepItems();
  JobProgress progress;
  progress.steps.push_back({{}, {}, {NodeId("agent")}});
  items_[StoreKeys::Job(JobId("00000000000000aa"))] = "job";
  const auto keep = store_.answer;
  store_.answer = [&](const StoreCall& call) {
    StoreReply reply = keep(call);
    if (call.key == StoreKeys::Progress(JobId("00000000000000aa"))) {
      reply = MakeReply(StoreStatus::kOk);
      reply.items.push_back({call.key, EncodeJobProgress(progress), 5, false});
    }
    return reply;
  };
  EXPECT_EQ(Query("/q/00000000000000aa")->body, R"({"state":"queued"})");
  progress.phase = static_cast<std::uint8_t>(JobPhase::kRunning);
  EXPECT_EQ(Query("/q/00000000000000aa")->body, R"({"state":"running"})");
}

// Guards against a process that resumes after a pause and decides by a configuration of before it,
// for example accepts a key that was withdrawn meanwhile.
TEST_F(EntryServerTest, WaitsForACurrentConfigurationAfterAPause) {
  entry_.OnPaused(Clock::Now());
  const auto held = Query("/q/00000000000000aa");
  EXPECT_EQ(held->status, 0);
  // The queue was removed during the pause.
  entry_.SetOperatorState(std::make_shared<OperatorState>());
  entry_.ConfirmConfiguration();
  EXPECT_EQ(held->status, 404);
  EXPECT_EQ(Query("/q/00000000000000aa")->status, 404);
}

// Guards against requests that are held back for as long as the store is away.
TEST_F(EntryServerTest, ServesByTheLastKnownConfigurationIfTheStoreStaysAwayAfterAPause) {
  const TimePoint resumed = Clock::Now();
  entry_.OnPaused(resumed);
  const auto held = Query("/none");
  EXPECT_EQ(held->status, 0);
  entry_.Tick(resumed + Duration::Seconds(1));
  EXPECT_EQ(held->status, 404);
}

// Guards against a count of pending jobs that is older than callers are promised, because the time
// that the scheduler's answer took is left out of its age.
TEST_F(EntryServerTest, TheAgeOfACountIncludesTheTimeOfItsTransfer) {
  constexpr Duration kTransfer(150);
  const Address scheduler{fmt::format("127.6.{}.{}", ::getpid() / 256 % 256, ::getpid() % 256),
                          7992};
  HttpServer server(io_, scheduler,
                    [&](const HttpRequest&, const std::shared_ptr<HttpResponder>& out) {
                      io_.PostAfter(kTransfer, [out] {
                        SummaryReply reply;
                        reply.accepted = true;
                        reply.queues.push_back({QueueId("q"), 7});
                        HttpResponse response;
                        response.body = internal::EncodePeerBody(reply);
                        out->Respond(std::move(response));
                      });
                    });
  std::deque<std::function<void()>> posted;
  const Executor executor = [&](const std::function<void()>& work) {
    const std::lock_guard<std::mutex> lock(mutex_);
    posted.push_back(work);
  };
  const auto run_posted = [&] {
    std::deque<std::function<void()>> due;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      due.swap(posted);
    }
    for (const auto& work : due) work();
  };
  PeerClient peers(http_, executor);
  const CountKeepingFormat format;
  EntryServer entry({access_, peers, executor, [](Duration, const std::function<void()>&) {},
                     format, metrics_, NodeId("entry"), Address{"127.0.0.1", 1},
                     [] { return nullptr; }, EntryLimits(), false});
  entry.SetOperatorState(MakeState());
  entry.OnScheduler(Term(1), scheduler);
  const auto answer = Send(entry, "GET", "/q/");
  EXPECT_TRUE(Eventually([&] {
    run_posted();
    return answer->status == 200;
  }));
  ASSERT_TRUE(format.last);
  EXPECT_EQ(format.last->pending, 7);
  EXPECT_GE(format.last->age, kTransfer);
}

// Guards against jobs and cancellations that the scheduler learns of only when its watch is
// renewed: with the setting, it gets a notice with the revision of each stored item, and no other.
TEST_F(EntryServerTest, SendsNoticesOfStoredItemsOnlyWithTheSetting) {
  std::vector<std::int64_t> noticed;
  const Address scheduler{fmt::format("127.7.{}.{}", ::getpid() / 256 % 256, ::getpid() % 256),
                          7991};
  HttpServer server(io_, scheduler,
                    [&](const HttpRequest& request, const std::shared_ptr<HttpResponder>& out) {
                      HttpResponse response;
                      if (request.path == InboxNotice::kPath) {
                        const auto notice = internal::DecodePeerBody<InboxNotice>(request.body);
                        const std::lock_guard<std::mutex> lock(mutex_);
                        noticed.push_back(notice.revision);
                        response.body = internal::EncodePeerBody(InboxNoticeReply{true});
                      }
                      out->Respond(std::move(response));
                    });
  const auto count = [&] {
    const std::lock_guard<std::mutex> lock(mutex_);
    return noticed.size();
  };
  KeepItems();
  entry_.OnScheduler(Term(1), scheduler);
  EXPECT_EQ(Submit("00000000000000aa")->status, 200);
  EntryServer::Context context = MakeContext();
  context.sends_inbox_notices = true;
  EntryServer notifying(context);
  notifying.SetOperatorState(MakeState());
  notifying.OnScheduler(Term(1), scheduler);
  Send(notifying, "POST", "/q/00000000000000bb", kJobBody);
  EXPECT_TRUE(Eventually([&] { return count() == 1; }));
  Send(notifying, "DELETE", "/q/00000000000000bb");
  EXPECT_TRUE(Eventually([&] { return count() == 2; }));
  // A repeated submission stores nothing.
  Send(notifying, "POST", "/q/00000000000000bb", kJobBody);
  EXPECT_EQ(count(), 2U);
  EXPECT_EQ(noticed, (std::vector<std::int64_t>{5, 5}));
}

}  // namespace
}  // namespace basilspring::fleet
