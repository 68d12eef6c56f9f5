#include "basilspring/fleet/entry_server.h"

#include <gtest/gtest.h>

#include "basilspring/process/io_thread.h"
#include "platform/caller_adapter.h"
#include "scripted_store.h"

// Tests of EntryServer with a store whose answers each test sets and delays that each test ends.
namespace basilspring::fleet {
namespace {

class IgnoringResponder : public HttpResponder {
 public:
  void Respond(HttpResponse response) override { status = response.status; }
  /// Status of the last response; 0 if there was none.
  int status = 0;
  void StartStream(HttpResponse) override {}
  void WriteChunk(std::string) override {}
  void FinishStream() override {}
  void OnDisconnect(std::function<void()>) override {}
};

class EntryServerTest : public ::testing::Test {
 protected:
  EntryServerTest() {
    auto state = std::make_shared<OperatorState>();
    Queue queue;
    queue.id = QueueId("q");
    queue.host = "h";
    queue.path_prefix = "/q/";
    queue.open_to_all = true;
    state->config.queues.push_back(queue);
    entry_.SetOperatorState(state);
  }

  void Cancel(const std::string& job) {
    HttpRequest request;
    request.method = "DELETE";
    request.path = "/q/" + job;
    request.headers["host"] = "h";
    entry_.OnCaller(std::move(request), std::make_shared<IgnoringResponder>());
  }

  std::shared_ptr<IgnoringResponder> Query(const std::string& path) {
    HttpRequest request;
    request.method = "GET";
    request.path = path;
    request.headers["host"] = "h";
    auto responder = std::make_shared<IgnoringResponder>();
    entry_.OnCaller(std::move(request), responder);
    return responder;
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
  EntryServer entry_{EntryServer::Context{
      access_, peers_, inline_executor_,
      [this](Duration, std::function<void()> work) { delayed_.push_back(std::move(work)); },
      format_, metrics_, NodeId("entry"), Address{"127.0.0.1", 1}, [] { return nullptr; }}};
};

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

}  // namespace
}  // namespace basilspring::fleet
