#include <fmt/format.h>
#include <gtest/gtest.h>

#include <csignal>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "basilspring/fleet/node.h"
#include "basilspring/fleet/scheduler_driver.h"
#include "basilspring/process/io_thread.h"
#include "basilspring/process/log.h"
#include "platform/adapters.h"
#include "standin/platform_store.h"
#include "tests/connection/raw_socket.h"

// What callers of an entry are told while the store is silent, rejects calls, is slow, loses its
// answers or receives calls without being able to answer. The entry and the stand-in of the store
// talk over real sockets.
namespace basilspring::fleet {
namespace {

constexpr const char* kConfig = R"({"version":1,"services":[{"name":"s"}],
  "routes":[{"name":"q","host":"h","prefix":"/q/","service":"s","public":true}]})";
// Far longer than the entry needs to know that the store does not answer.
constexpr Duration kCallerTimeout(30000);
// A caller must have its answer long before its own timeout when more waiting can't change it.
constexpr Duration kLongWait(10000);

class EntryStoreFaultsTest : public testing::Test {
 protected:
  EntryStoreFaultsTest() {
    SetLogLevel(LogLevel::kError);
    settings_.role = NodeRole::kEntry;
    settings_.name = NodeId("entry");
    // The process id selects an address, so that tests in several processes can run at a time.
    const std::string ip = fmt::format("127.6.{}.{}", ::getpid() / 256 % 256, ::getpid() % 256);
    settings_.peers = settings_.advertised = Address{ip, 7981};
    settings_.callers = Address{ip, 7982};
    settings_.readiness = Address{ip, 7983};
    settings_.store = Address{ip, 7984};
    settings_.drain_limit = Duration(500);
    store_.Put("op/config", kConfig);
    store_server_ = std::make_unique<HttpServer>(
        store_thread_, settings_.store,
        [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
          const std::scoped_lock lock(store_mutex_);
          store_.Handle(request, responder, Clock::Now().milliseconds());
        });
    Tick();
    node_ =
        std::thread([this] { RunNode(settings_, "no-settings-file", &platform::MakeAdapters); });
    EXPECT_TRUE(Eventually([this] {
      const RawSocket probe(settings_.readiness);
      if (!probe.connected()) return false;
      probe.Write("GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
      return probe.ReadAll().starts_with("HTTP/1.1 200");
    }));
  }

  ~EntryStoreFaultsTest() override {
    SetMode("none");
    ::kill(::getpid(), SIGTERM);
    node_.join();
    store_server_.reset();
    SetLogLevel(LogLevel::kInfo);
  }

  void Tick() {
    store_thread_.PostAfter(Duration(20), [this] {
      {
        const std::scoped_lock lock(store_mutex_);
        store_.Tick(Clock::Now().milliseconds());
      }
      Tick();
    });
  }

  void SetMode(const std::string& mode) {
    const std::scoped_lock lock(store_mutex_);
    store_.SetMode(mode);
  }

  bool IsStored(const std::string& job) {
    const std::scoped_lock lock(store_mutex_);
    return !store_.Value(StoreKeys::Job(JobId(job))).empty();
  }

  /// The status of the answer to a submission and the time that the answer took.
  struct Outcome {
    std::string status;
    Duration took;
    bool has_retry_after = false;
  };

  Outcome Submit(const std::string& job) const {
    const std::string body = R"({"spec":"1","steps":[{"count":1,"cpu":1}]})";
    const RawSocket caller(settings_.callers);
    const TimePoint sent = Clock::Now();
    caller.Write(
        fmt::format("POST /q/{} HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTimeout-Ms: {}\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    job, kCallerTimeout.milliseconds(), body.size(), body));
    const std::string answer = caller.ReadAll();
    const std::size_t status_at = std::string("HTTP/1.1 ").size();
    return {answer.size() < status_at + 3 ? "none" : answer.substr(status_at, 3),
            Clock::Now() - sent, answer.find("Retry-After") != std::string::npos};
  }

  /// Submits jobs until one is refused as not stored. Checks that each one before that gets the
  /// honest answer "unknown" long before its caller's timeout.
  Outcome SubmitUntilRefused() {
    constexpr int kMaxSubmissions = 20;
    for (int i = 0; i < kMaxSubmissions; ++i) {
      const std::string job = fmt::format("00000000000000{:02x}", 0xa0 + i);
      Outcome outcome = Submit(job);
      EXPECT_LT(outcome.took, kLongWait);
      if (outcome.status == "503") {
        EXPECT_FALSE(IsStored(job));
        return outcome;
      }
      EXPECT_EQ(outcome.status, "504");
    }
    return {};
  }

  void ExpectAcceptedOnceTheStoreAnswers() {
    SetMode("none");
    const std::string job = "00000000000000ff";
    EXPECT_TRUE(Eventually([&] { return Submit(job).status == "200"; }));
    EXPECT_TRUE(IsStored(job));
  }

  NodeSettings settings_;
  std::mutex store_mutex_;
  standin::PlatformStoreStandin store_;
  IoThread store_thread_;
  std::unique_ptr<HttpServer> store_server_;
  std::thread node_;
};

// Guards against keeping a caller for its whole timeout because of a write that the silent store
// has not answered, and against sending further writes meanwhile. Jobs that come later are refused
// without a write, so the refusal that they have not run is true.
TEST_F(EntryStoreFaultsTest, ASilentStoreIsReportedLongBeforeTheCallersTimeout) {
  SetMode("silent");
  const Outcome refused = SubmitUntilRefused();
  EXPECT_EQ(refused.status, "503");
  EXPECT_TRUE(refused.has_retry_after);
  ExpectAcceptedOnceTheStoreAnswers();
}

// Guards against an uncertain answer where the store's refusal shows that nothing was stored.
TEST_F(EntryStoreFaultsTest, AStoreThatRejectsCallsLeavesNoJobInDoubt) {
  SetMode("busy");
  const Outcome outcome = Submit("00000000000000aa");
  EXPECT_EQ(outcome.status, "503");
  EXPECT_TRUE(outcome.has_retry_after);
  EXPECT_LT(outcome.took, kLongWait);
  EXPECT_FALSE(IsStored("00000000000000aa"));
  ExpectAcceptedOnceTheStoreAnswers();
}

// Guards against refusing jobs because the store needs a while for each answer.
TEST_F(EntryStoreFaultsTest, ASlowStoreAcceptsJobs) {
  SetMode("slow");
  EXPECT_EQ(Submit("00000000000000aa").status, "200");
  EXPECT_TRUE(IsStored("00000000000000aa"));
}

// Guards against telling a caller that its job has not run although it was stored, and against
// waiting for the timeout of a caller although the store shows that the job is there.
TEST_F(EntryStoreFaultsTest, AJobWhoseWriteWasNotAnsweredIsFoundInTheStore) {
  SetMode("lost");
  const Outcome outcome = Submit("00000000000000aa");
  EXPECT_EQ(outcome.status, "200");
  EXPECT_LT(outcome.took, kLongWait);
  EXPECT_TRUE(IsStored("00000000000000aa"));
}

// Guards against the refusal "not run" for a job whose write reaches the store although no answer
// comes back.
TEST_F(EntryStoreFaultsTest, AJobIsInDoubtWhileOnlyTheAnswersOfTheStoreAreMissing) {
  SetMode("one_way");
  const Outcome outcome = Submit("00000000000000aa");
  EXPECT_EQ(outcome.status, "504");
  EXPECT_LT(outcome.took, kLongWait);
  EXPECT_TRUE(IsStored("00000000000000aa"));
  // The same request, sent again once answers arrive, finds the job.
  SetMode("none");
  EXPECT_TRUE(Eventually([&] { return Submit("00000000000000aa").status == "200"; }));
}

// Guards against the refusal "not run" for a job whose write is carried out later.
TEST_F(EntryStoreFaultsTest, AJobIsInDoubtIfItsWriteMayBeCarriedOutLater) {
  SetMode("late");
  const Outcome outcome = Submit("00000000000000aa");
  EXPECT_TRUE(outcome.status == "504" || outcome.status == "200") << outcome.status;
  EXPECT_LT(outcome.took, kLongWait);
  EXPECT_TRUE(Eventually([&] { return IsStored("00000000000000aa"); }));
}

}  // namespace
}  // namespace basilspring::fleet
