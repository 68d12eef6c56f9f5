#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "basilspring/connection/http_client.h"
#include "basilspring/connection/http_server.h"
#include "basilspring/connection/transport.h"
#include "basilspring/process/agent.h"
#include "basilspring/process/io_thread.h"
#include "basilspring/process/process_settings.h"
#include "standin/backend_server.h"

namespace basilspring {
namespace {

constexpr auto kMessageTimeout = std::chrono::seconds(30);
const Epoch kEpoch(5);

/// Runs a complete agent process and its backend server. The test takes the role of the cell
/// scheduler.
class AgentProcessTest : public testing::Test {
 protected:
  AgentProcessTest() : http_(io_) {
    scheduler_ = std::make_unique<Transport>(io_, ProcessId("scheduler"), Address{"127.0.0.1", 0},
                                             [this](const Address& /*from*/, Message message) {
                                               const std::lock_guard<std::mutex> lock(mutex_);
                                               received_.push_back(std::move(message));
                                               message_arrived_.notify_all();
                                             });
    settings_.name = ProcessId("w1");
    settings_.cell = CellId("plovdiv-a/0");
    settings_.listen = FreeAddress();
    settings_.http = FreeAddress();
    settings_.store.servers = {FreeAddress()};
    settings_.timings = Timings().Scaled(10);
    agent_ = std::thread([this] { exit_code_ = RunAgent(settings_); });
    standin::BackendOptions options;
    options.listen = {"127.0.0.1", 0};
    options.agent = settings_.http;
    options.announce_interval = Duration(50);
    backend_ = std::make_unique<standin::BackendServer>(options);
  }
  ~AgentProcessTest() override {
    if (agent_.joinable()) StopAgent();
  }

  /// Returns an unused address. Its port is below the ephemeral range and differs from the ports of
  /// other test processes.
  static Address FreeAddress() {
    static int next = 0;
    return {"127.0.0.1", static_cast<std::uint16_t>(12000 + ::getpid() % 2500 * 8 + next++)};
  }
  int HttpStatus(const std::string& path) {
    HttpClientRequest request;
    request.server = settings_.http;
    request.target = path;
    return http_.Fetch(std::move(request)).status;
  }
  void Send(const Message& message) { scheduler_->Send(settings_.listen, message); }
  /// Waits for a message of type T that satisfies the condition, and removes it from the received
  /// ones.
  template <typename T>
  T Await(const std::function<bool(const T&)>& condition = [](const T&) { return true; }) {
    std::unique_lock<std::mutex> lock(mutex_);
    T found;
    const bool in_time = message_arrived_.wait_for(lock, kMessageTimeout, [&] {
      for (auto message = received_.begin(); message != received_.end(); ++message) {
        const T* concrete = std::get_if<T>(&*message);
        if (concrete == nullptr || !condition(*concrete)) continue;
        found = *concrete;
        received_.erase(message);
        return true;
      }
      return false;
    });
    EXPECT_TRUE(in_time) << "no " << MessageName(Message(T())) << " arrived";
    return found;
  }
  /// Waits until the agent is ready, then announces the test as its scheduler.
  void BecomeScheduler() {
    while (HttpStatus("/readyz") != 200) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    Send(SchedulerHello{settings_.cell, kEpoch});
    // The first report can precede the first announcement, which triggers another report.
    Await<AgentReport>([](const AgentReport& report) { return report.accepting; });
  }
  void StartTask(const std::string& attempt, const std::string& payload) {
    Prepare prepare;
    prepare.epoch = kEpoch;
    prepare.attempt = AttemptId(attempt);
    prepare.tasks = 1;
    Send(prepare);
    const auto prepared = Await<Prepared>();
    EXPECT_EQ(prepared.error, ErrorKind::kNone);
    Start start;
    start.epoch = kEpoch;
    start.attempt = AttemptId(attempt);
    start.not_after = prepared.agent_now + Duration(20000);
    start.reservation = prepared.reservation;
    start.payload = payload;
    Send(start);
  }
  void StopAgent() {
    ::kill(::getpid(), SIGTERM);
    agent_.join();
  }

  IoThread io_;
  HttpClient http_;
  std::mutex mutex_;
  std::condition_variable message_arrived_;
  std::vector<Message> received_;
  std::unique_ptr<Transport> scheduler_;
  ProcessSettings settings_;
  std::unique_ptr<standin::BackendServer> backend_;
  std::atomic<int> exit_code_{-1};
  std::thread agent_;
};

// Guards against faults between command and answer that no test of AgentCore covers: in the
// transport, the worker thread and HTTP.
TEST_F(AgentProcessTest, RunsATaskAndDeliversItsOutput) {
  BecomeScheduler();
  StartTask("j1#5.1", R"({"work_ms":300,"output":"plan"})");
  EXPECT_EQ(Await<TaskDone>().output, "plan");
  Send(TaskDoneAck{AttemptId("j1#5.1"), 0});
  HttpClientRequest request;
  request.server = settings_.http;
  request.target = "/metrics";
  EXPECT_NE(http_.Fetch(std::move(request)).body.find("basilspring_agent_tasks"),
            std::string::npos);
  EXPECT_EQ(HttpStatus("/healthz"), 200);
}

// Guards against a graceful stop that aborts running tasks or takes new ones.
TEST_F(AgentProcessTest, GracefulStopFinishesRunningTasks) {
  BecomeScheduler();
  StartTask("j1#5.1", R"({"work_ms":1000,"output":"plan"})");
  Await<TaskStarted>();
  {
    // Heartbeats sent before the first announcement also have `accepting` false.
    const std::lock_guard<std::mutex> lock(mutex_);
    received_.clear();
  }
  std::thread stopping([this] { StopAgent(); });
  Await<Heartbeat>([](const Heartbeat& heartbeat) { return !heartbeat.accepting; });
  EXPECT_EQ(HttpStatus("/readyz"), 503);
  const auto done = Await<TaskDone>();
  EXPECT_EQ(done.error, ErrorKind::kNone);
  EXPECT_EQ(done.output, "plan");
  Send(TaskDoneAck{done.attempt, 0});
  stopping.join();
  EXPECT_EQ(exit_code_, 0);
}

}  // namespace
}  // namespace basilspring
