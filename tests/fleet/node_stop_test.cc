#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cerrno>
#include <csignal>
#include <mutex>
#include <thread>

#include "basilspring/fleet/node.h"
#include "basilspring/process/io_thread.h"
#include "basilspring/process/log.h"
#include "platform/caller_adapter.h"
#include "tests/connection/raw_socket.h"

// Planned stops of an entry that listens on real sockets, with a store that answers late.
namespace basilspring::fleet {
namespace {

constexpr const char* kConfig = R"({"version":1,"services":[{"name":"s"}],
  "routes":[{"name":"q","host":"h","prefix":"/q/","service":"s","public":true}]})";

/// A store that holds the operators' configuration and no jobs, and names no scheduler. Reads of
/// jobs are answered after `delay`; after the same time, writes end with `write_status`.
class LateStore : public Store {
 public:
  LateStore(IoThread& io, Duration delay, StoreStatus write_status)
      : io_(io), delay_(delay), write_status_(write_status) {}

  void Call(const StoreCall& call, StoreHandler handler) override {
    StoreReply reply;
    reply.status = StoreStatus::kOk;
    reply.revision = 1;
    Duration delay;
    if (call.kind() == StoreOperation::kRange) {
      reply.items = {StoreItem{"op/config", kConfig, 1, false}};
    } else if (call.kind() == StoreOperation::kWatch) {
      delay = call.wait;
    } else if (call.kind() == StoreOperation::kGet && call.key != "basilspring/leader") {
      reply.status = StoreStatus::kNotFound;
      delay = delay_;
    } else if (call.kind() == StoreOperation::kTransaction) {
      reply.status = write_status_;
      delay = delay_;
    }
    io_.PostAfter(delay, [handler = std::move(handler), reply] { handler(reply); });
  }

 private:
  IoThread& io_;
  Duration delay_;
  StoreStatus write_status_;
};

/// What happened to the requests of all callers.
struct Outcome {
  std::size_t answered = 0;
  /// Answers with a status from 500 on.
  std::size_t failed = 0;
  /// Ages of the requests whose connection ended without a complete answer.
  std::vector<Duration> cut;
  /// Those of them whose connection was reset, because the request had not been read.
  std::size_t reset = 0;
};

class NodeStopTest : public testing::Test {
 protected:
  NodeStopTest() {
    SetLogLevel(LogLevel::kError);
    settings_.role = NodeRole::kEntry;
    settings_.name = NodeId("entry");
    // The process id selects an address, so that tests in several processes can run at a time.
    const std::string ip = fmt::format("127.4.{}.{}", ::getpid() / 256 % 256, ::getpid() % 256);
    settings_.peers = settings_.advertised = Address{ip, 7961};
    settings_.callers = Address{ip, 7962};
    settings_.readiness = Address{ip, 7963};
    settings_.store = Address{ip, 7964};
    settings_.drain_limit = Duration(4500);
  }
  ~NodeStopTest() override { SetLogLevel(LogLevel::kInfo); }

  void StartNode(Duration store_delay) {
    node_ = std::thread([this, store_delay] {
      RunNode(settings_, "no-settings-file", [&](HttpClient&, const NodeSettings&) {
        Adapters adapters;
        adapters.store = std::make_unique<LateStore>(store_thread_, store_delay, write_status_);
        adapters.callers = std::make_unique<platform::PlatformCallerFormat>();
        adapters.operators = std::make_unique<platform::PlatformOperatorFormat>();
        if (during_start_) during_start_();
        return adapters;
      });
    });
    ASSERT_TRUE(Eventually([this] {
      const RawSocket probe(settings_.readiness);
      if (!probe.connected()) return false;
      probe.Write("GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
      return probe.ReadAll().starts_with("HTTP/1.1 200");
    }));
  }

  void StopNode() {
    ::kill(::getpid(), SIGTERM);
    node_.join();
  }

  /// Sends requests on one connection, each as soon as the former one is answered, until an answer
  /// announces the end of the connection or the connection ends.
  void SendWithoutPause(const std::string& request) {
    const RawSocket socket(settings_.callers);
    while (!socket.PeerClosed()) {
      const TimePoint sent = Clock::Now();
      socket.Write(request);
      errno = 0;
      const std::string answer = socket.ReadUntilText("}");
      const std::scoped_lock lock(mutex_);
      if (!answer.ends_with("}")) {
        outcome_.reset += errno == ECONNRESET ? 1 : 0;
        outcome_.cut.push_back(Clock::Now() - sent);
        return;
      }
      ++(answer.starts_with("HTTP/1.1 5") ? outcome_.failed : outcome_.answered);
      if (answer.find("Connection: close") != answer.npos) return;
    }
  }

  /// Stops the node while `callers` connections send requests.
  Outcome StopUnderLoad(int callers, const std::string& request) {
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
      threads.emplace_back([this, &request] { SendWithoutPause(request); });
      // Spreads the requests, so that slow ones overlap all the time.
      std::this_thread::sleep_for(std::chrono::milliseconds(40));
    }
    StopNode();
    for (std::thread& thread : threads) thread.join();
    return outcome_;
  }

  NodeSettings settings_;
  /// How the store answers writes.
  StoreStatus write_status_ = StoreStatus::kUnknown;
  /// Called while the node is being constructed.
  std::function<void()> during_start_;
  IoThread store_thread_;
  std::thread node_;
  std::mutex mutex_;
  Outcome outcome_;
};

std::string QueryOf(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

std::string SubmissionOf(const std::string& job, int timeout_ms) {
  const std::string body = R"({"spec":"1","steps":[{"count":1,"cpu":1}]})";
  return fmt::format(
      "POST /q/{} HTTP/1.1\r\nHost: h\r\nTimeout-Ms: {}\r\nContent-Length: {}\r\n\r\n{}", job,
      timeout_ms, body.size(), body);
}

std::string Describe(const Outcome& outcome) {
  std::string text = "answered " + std::to_string(outcome.answered) + ", failed " +
                     std::to_string(outcome.failed) + ", cut " +
                     std::to_string(outcome.cut.size()) + ", " + std::to_string(outcome.reset) +
                     " of them reset, ages in ms:";
  for (const Duration age : outcome.cut) text += " " + std::to_string(age.milliseconds());
  return text;
}

// Guards against requests that are cut off because there is always one open until the drain limit.
TEST_F(NodeStopTest, AnswersSlowRequestsOfCallersThatSendWithoutPause) {
  StartNode(Duration(150));
  const Outcome outcome = StopUnderLoad(8, QueryOf("/q/00000000000000aa"));
  EXPECT_TRUE(outcome.cut.empty() && outcome.failed == 0) << Describe(outcome);
}

// Guards against a request that is read after the last check for open requests.
TEST_F(NodeStopTest, AnswersFastRequestsOfCallersThatSendWithoutPause) {
  StartNode(Duration());
  const Outcome outcome = StopUnderLoad(16, QueryOf("/none"));
  EXPECT_TRUE(outcome.cut.empty() && outcome.failed == 0) << Describe(outcome);
}

// Guards against refusing jobs for seconds during a planned stop: the load balancer still sends
// callers here until it has noticed the stop, and storing a job needs only the store.
TEST_F(NodeStopTest, AcceptsJobsUntilItsConnectionsAreClosed) {
  write_status_ = StoreStatus::kOk;
  StartNode(Duration(5));
  const Outcome outcome = StopUnderLoad(8, SubmissionOf("00000000000000aa", 3000));
  EXPECT_TRUE(outcome.cut.empty() && outcome.failed == 0) << Describe(outcome);
}

// Guards against refusing cancellations during a planned stop.
TEST_F(NodeStopTest, AnswersCancellationsUntilItsConnectionsAreClosed) {
  write_status_ = StoreStatus::kOk;
  StartNode(Duration(5));
  const Outcome outcome =
      StopUnderLoad(8, "DELETE /q/00000000000000aa HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(outcome.cut.empty() && outcome.failed == 0) << Describe(outcome);
}

// Guards against cutting off a request because its caller waits longer than the drain limit.
TEST_F(NodeStopTest, AnswersARequestThatCouldWaitLongerThanTheDrainLimit) {
  settings_.drain_limit = Duration(3500);
  StartNode(Duration(300));
  const RawSocket caller(settings_.callers);
  caller.Write(SubmissionOf("00000000000000aa", 10000));
  // Answered after the submission was read, because both requests are queued to one thread.
  const RawSocket later(settings_.callers);
  later.Write("GET /none HTTP/1.1\r\nHost: h\r\n\r\n");
  later.ReadUntilText("}");
  StopNode();
  const std::string answer = caller.ReadAll();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 504") && answer.ends_with("}")) << answer;
}

// Guards against cutting off a request for which the store has no answer until the drain limit.
TEST_F(NodeStopTest, AnswersARequestThatTheStoreLeavesUnanswered) {
  settings_.drain_limit = Duration(3000);
  StartNode(Duration(8000));
  const RawSocket caller(settings_.callers);
  caller.Write("GET /q/00000000000000aa HTTP/1.1\r\nHost: h\r\nTimeout-Ms: 10000\r\n\r\n");
  const RawSocket later(settings_.callers);
  later.Write("GET /none HTTP/1.1\r\nHost: h\r\n\r\n");
  later.ReadUntilText("}");
  StopNode();
  const std::string answer = caller.ReadAll();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 504") && answer.ends_with("}")) << answer;
}

// Guards against a crash by a signal that arrives before the process has started completely.
TEST_F(NodeStopTest, StartsWhenItsSettingsChangeMeanwhile) {
  during_start_ = [] {
    ::kill(::getpid(), SIGHUP);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  };
  StartNode(Duration());
  StopNode();
}

}  // namespace
}  // namespace basilspring::fleet
