#include "basilspring/connection/backend_client.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <future>

#include "basilspring/process/io_thread.h"
#include "basilspring/request/job.h"
#include "standin/backend_server.h"

namespace basilspring {
namespace {

/// A BackendClient and a stand-in backend server that are connected over loopback.
struct BackendClientTest : public testing::Test {
  BackendClientTest() : backend(Options()), http(io), client(http) {}

  static standin::BackendOptions Options() {
    standin::BackendOptions options;
    options.listen = {"127.0.0.1", 0};
    return options;
  }
  BackendResult Run(BackendCallKind kind, const std::string& attempt,
                    const std::string& payload = "", Duration wait = Duration(2000)) {
    BackendCall call;
    call.kind = kind;
    call.backend = backend.address();
    call.task = {AttemptId(attempt), 0};
    call.wait = wait;
    call.lease = lease;
    call.timeout = timeout;
    call.not_after = not_after;
    call.payload = payload;
    std::promise<BackendResult> result;
    client.Run(call, [&result](BackendResult answer) { result.set_value(std::move(answer)); });
    return result.get_future().get();
  }
  std::int64_t Stat(const std::string& name) const {
    return boost::json::parse(backend.StatsJson()).at(name).to_number<std::int64_t>();
  }
  std::size_t Started() const {
    return boost::json::parse(backend.StatsJson()).at("started").as_array().size();
  }

  Duration lease = Duration(10000);
  Duration timeout = Duration(3000);
  TimePoint not_after = Clock::Now() + Duration(60000);
  standin::BackendServer backend;
  IoThread io;
  HttpClient http;
  BackendClient client;
};

TEST_F(BackendClientTest, ReturnsTheCompleteOutput) {
  const std::string bytes("\0\xff raw #?&", 9);
  BackendResult result = Run(BackendCallKind::kStart, "j1#5.1", bytes);
  EXPECT_EQ(result.status, BackendStatus::kDone);
  EXPECT_EQ(result.text, bytes);
  result = Run(BackendCallKind::kStart, "j2#5.1", R"({"work_ms":30,"output":"out"})", Duration(0));
  EXPECT_EQ(result.status, BackendStatus::kRunning);
  result = Run(BackendCallKind::kPoll, "j2#5.1");
  EXPECT_EQ(result.status, BackendStatus::kDone);
  EXPECT_EQ(result.text, "out");
  EXPECT_EQ(Stat("completed_work_ms"), 30);
}

// Guards against a start that was delayed past the permit, for example by a paused process.
TEST_F(BackendClientTest, LateStartIsRefused) {
  not_after = Clock::Now() - Duration(1);
  EXPECT_EQ(Run(BackendCallKind::kStart, "j1#5.1").status, BackendStatus::kTooLate);
  EXPECT_EQ(Run(BackendCallKind::kPoll, "j1#5.1").status, BackendStatus::kUnknownTask);
  EXPECT_EQ(Stat("refused_late"), 1);
  EXPECT_EQ(Started(), 0U);
}

// Guards against a start call that is sent again after a lost answer and runs the task twice.
TEST_F(BackendClientTest, RepeatedStartReturnsTheRunningTask) {
  const std::string payload = R"({"work_ms":20})";
  Run(BackendCallKind::kStart, "j1#5.1", payload, Duration(0));
  EXPECT_EQ(Run(BackendCallKind::kStart, "j1#5.1", payload).status, BackendStatus::kDone);
  EXPECT_EQ(Started(), 1U);
}

// Guards against tasks that run on after their agent has died.
TEST_F(BackendClientTest, TaskWithoutRenewalIsStopped) {
  lease = Duration(50);
  const std::string payload = R"({"work_ms":60000})";
  EXPECT_EQ(Run(BackendCallKind::kStart, "j1#5.1", payload).status, BackendStatus::kRefused);
  EXPECT_EQ(Stat("running"), 0);
}

// Guards against a stop that loses checkpointed work.
TEST_F(BackendClientTest, ResumesFromACheckpoint) {
  const std::string payload = R"({"work_ms":3600000,"resume":true})";
  Run(BackendCallKind::kStart, "j1#5.1", payload, Duration(20));
  EXPECT_EQ(Run(BackendCallKind::kCheckpoint, "j1#5.1").status, BackendStatus::kDone);
  const std::int64_t saved = Stat("completed_work_ms");
  EXPECT_GE(saved, 20);
  EXPECT_EQ(Run(BackendCallKind::kStop, "j1#5.1").status, BackendStatus::kDone);
  Run(BackendCallKind::kStart, "j1#5.2", payload, Duration(20));
  Run(BackendCallKind::kCheckpoint, "j1#5.2");
  EXPECT_GE(Stat("completed_work_ms"), saved + 20);
}

// Guards against taking a start whose response is lost for one that never reached the backend
// server, and the reverse.
TEST_F(BackendClientTest, DistinguishesUnreachableFromUnanswered) {
  standin::BackendFault fault;
  fault.hang = true;
  backend.SetFault(fault);
  timeout = Duration(100);
  EXPECT_EQ(Run(BackendCallKind::kStart, "j1#5.1").status, BackendStatus::kNoAnswer);
  BackendCall call;
  call.backend = {"127.0.0.1", 1};
  call.timeout = Duration(1000);
  std::promise<BackendResult> result;
  client.Run(call, [&result](BackendResult answer) { result.set_value(std::move(answer)); });
  EXPECT_EQ(result.get_future().get().status, BackendStatus::kUnreachable);
}

// Guards against a frozen backend server that starts a task after its latest start time once it
// resumes.
TEST_F(BackendClientTest, FrozenBackendRefusesALateStart) {
  standin::BackendFault fault;
  fault.freeze = true;
  backend.SetFault(fault);
  timeout = Duration(100);
  not_after = Clock::Now() + Duration(50);
  EXPECT_EQ(Run(BackendCallKind::kStart, "j1#5.1").status, BackendStatus::kNoAnswer);
  backend.SetFault(standin::BackendFault());
  timeout = Duration(3000);
  EXPECT_EQ(Run(BackendCallKind::kPoll, "j1#5.1").status, BackendStatus::kUnknownTask);
  EXPECT_EQ(Started(), 0U);
}

TEST_F(BackendClientTest, FailuresCarryTheirReason) {
  const BackendResult result =
      Run(BackendCallKind::kStart, "j1#5.1", R"({"work_ms":1,"fail":"bad label"})");
  EXPECT_EQ(result.status, BackendStatus::kFailed);
  EXPECT_EQ(result.text, "bad label");
}

// Guards against an output that is truncated to fit the limit, or that fills the agent's memory.
TEST(ToBackendResult, RefusesOutputsOverTheLimit) {
  HttpResult answer;
  answer.status = 200;
  answer.body = std::string(kMaxAnswerBytes + 1, 'x');
  const BackendResult result = ToBackendResult(BackendCall(), answer);
  EXPECT_EQ(result.status, BackendStatus::kFailed);
  EXPECT_LT(result.text.size(), 100U);
}

// Guards against a task that runs twice: a fault on the way was taken for a refused start.
TEST(ToBackendResult, AFaultOnTheWayDoesNotShowThatNothingWasDone) {
  BackendCall call;
  call.kind = BackendCallKind::kStart;
  HttpResult answer;
  for (const int status : {408, 502, 504, 599}) {
    answer.status = status;
    EXPECT_EQ(ToBackendResult(call, answer).status, BackendStatus::kNoAnswer) << status;
  }
  for (const int status : {400, 404, 409, 413, 429, 503}) {
    answer.status = status;
    EXPECT_EQ(ToBackendResult(call, answer).status, BackendStatus::kRefused) << status;
  }
}

TEST(ParseAnnouncement, NamesTheInvalidField) {
  const std::string valid =
      R"({"address":"127.0.0.1:9","cores":1,"memory_mb":2,"accelerators":3,"slots":4,"connections":5,"leaving":true})";
  const BackendAnnouncement announcement = ParseAnnouncement(valid);
  EXPECT_EQ(announcement.capacity.slots, Slots(4));
  EXPECT_TRUE(announcement.leaving);
  EXPECT_THROW(ParseAnnouncement("[]"), Error);
  std::string negative = valid;
  negative.replace(negative.find("\"slots\":4"), 9, "\"slots\":-4");
  try {
    ParseAnnouncement(negative);
    FAIL() << "a negative amount was accepted";
  } catch (const Error& error) {
    EXPECT_NE(std::string(error.what()).find("slots"), std::string::npos);
  }
}

}  // namespace
}  // namespace basilspring
