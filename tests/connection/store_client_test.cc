#include "basilspring/connection/store_client.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <thread>

#include "basilspring/connection/http_client.h"
#include "basilspring/error.h"
#include "basilspring/process/io_thread.h"
#include "basilspring/version/config_change.h"
#include "connection/store_json.h"
#include "standin/store_server.h"
#include "tests/connection/scripted_server.h"

namespace basilspring {
namespace {

using standin::StoreFault;

ErrorKind KindOf(const std::function<void()>& call) {
  try {
    call();
  } catch (const Error& error) {
    return error.kind();
  }
  return ErrorKind::kNone;
}

class StoreClientTest : public ::testing::Test {
 protected:
  StoreOptions Options() const {
    StoreOptions options;
    options.servers = {server_.address()};
    options.attempt_timeout = Duration(200);
    options.call_deadline = Duration(700);
    return options;
  }
  void SetFault(StoreFault fault, int percent = 100) {
    server_.SetFault({fault, Duration(50), percent, 7});
  }

  standin::StoreServer server_{{"127.0.0.1", 0}};
  IoThread io_;
  HttpClient http_{io_};
  StoreClient store_{io_, http_, Options()};
};

TEST_F(StoreClientTest, CreatesReadsListsAndDeletes) {
  EXPECT_TRUE(store_.Txn({KeyAbsent{"/a/1"}}, {PutKey{"/a/1", std::string("x\0y", 3)}}).succeeded);
  EXPECT_FALSE(store_.Txn({KeyAbsent{"/a/1"}}, {PutKey{"/a/1", "z"}}).succeeded);
  const RangeResult read = store_.Get("/a/1");
  ASSERT_EQ(read.pairs.size(), 1U);
  EXPECT_EQ(read.pairs[0].value, std::string("x\0y", 3));
  store_.Txn({KeyAbsent{"/a/2"}}, {PutKey{"/a/2", "b"}});
  EXPECT_EQ(store_.List("/a/", 1).pairs.size(), 1U);
  EXPECT_TRUE(store_.List("/a/", 1).more);
  EXPECT_TRUE(store_.Txn({ValueIs{"/a/2", "b"}}, {DeleteKey{"/a/2"}}).succeeded);
  EXPECT_TRUE(store_.Get("/a/2").pairs.empty());
}

// Guards against a write that takes effect twice, or is reported as failed, when its response is
// lost.
TEST_F(StoreClientTest, ALostResponseIsResolvedByReadingTheValue) {
  SetFault(StoreFault::kLoseAnswers, 50);
  int succeeded = 0;
  for (int i = 0; i < 10; ++i) {
    const std::string key = "/k/" + std::to_string(i);
    const ErrorKind kind = KindOf([this, &key, &succeeded] {
      succeeded += store_.Txn({KeyAbsent{key}}, {PutKey{key, "token of " + key}}).succeeded ? 1 : 0;
    });
    EXPECT_TRUE(kind == ErrorKind::kNone || kind == ErrorKind::kStoreOutcomeUnknown);
  }
  SetFault(StoreFault::kNone);
  EXPECT_GT(succeeded, 0);
  EXPECT_GT(store_.counters().read_backs, 0U);
  for (const StoreKeyValue& pair : store_.List("/k/").pairs) {
    EXPECT_EQ(pair.create_revision, pair.mod_revision);
  }
}

// Guards against reporting that a write had no effect when it may have had one, and the reverse.
TEST_F(StoreClientTest, DistinguishesUnreachableFromUnknown) {
  SetFault(StoreFault::kDown);
  const auto write = [this] { store_.Txn({KeyAbsent{"/u"}}, {PutKey{"/u", "1"}}); };
  EXPECT_EQ(KindOf(write), ErrorKind::kStoreUnavailable);
  SetFault(StoreFault::kLoseAnswers);
  EXPECT_EQ(KindOf(write), ErrorKind::kStoreOutcomeUnknown);
  EXPECT_EQ(server_.Peek("/u"), "1");
  EXPECT_EQ(KindOf([this] { store_.Get("/u"); }), ErrorKind::kStoreUnavailable);
  SetFault(StoreFault::kNone);
  EXPECT_EQ(store_.Get("/u").pairs.size(), 1U);
}

TEST_F(StoreClientTest, RevokedLeaseDeletesItsKeys) {
  const std::int64_t lease = store_.GrantLease(Duration(1000));
  EXPECT_TRUE(store_.KeepAlive(lease));
  store_.Txn({KeyAbsent{"/lease"}}, {PutKey{"/lease", "holder", lease}});
  store_.RevokeLease(lease);
  EXPECT_FALSE(store_.KeepAlive(lease));
  EXPECT_TRUE(store_.Get("/lease").pairs.empty());
}

// Guards against events that are lost or repeated when the watch has to be reopened.
TEST_F(StoreClientTest, AWatchContinuesAfterAnOutage) {
  std::mutex mutex;
  std::vector<std::string> seen;
  std::atomic<int> count{0};
  const auto watch = store_.Watch(
      "/w/", store_.Get("/w/").revision + 1,
      [&](const std::vector<StoreEvent>& events, std::int64_t) {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const StoreEvent& event : events) seen.push_back(event.pair.value);
        count = static_cast<int>(seen.size());
      },
      [] { ADD_FAILURE() << "on_reset was called although nothing was compacted"; });
  const auto put = [this](const std::string& value) {
    store_.Txn({KeyAbsent{"/w/" + value}}, {PutKey{"/w/" + value, value}});
  };
  put("1");
  while (count < 1) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  SetFault(StoreFault::kDown);
  SetFault(StoreFault::kNone);
  put("2");
  put("3");
  while (count < 3) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  const std::lock_guard<std::mutex> lock(mutex);
  EXPECT_EQ(seen, (std::vector<std::string>{"1", "2", "3"}));
}

// Guards against events that are lost when a watch breaks in the middle of a long history.
TEST(ParseWatchMessageTest, EventsAreCompleteUpToTheLastOneOnly) {
  const auto message = internal::ParseWatchMessage(
      R"({"result":{"header":{"revision":"90"},"events":[{"kv":{"key":"YQ==","mod_revision":"7"}}]}})");
  ASSERT_EQ(message.events.size(), 1U);
  EXPECT_EQ(message.revision, 7);
}

// Guards against taking an unreadable answer for a write without effect or an absent key.
TEST_F(StoreClientTest, AnAnswerThatCannotBeReadShowsNothing) {
  for (const std::string body : {"", "{", "[]", "{}", R"({"succeeded":true})"}) {
    const std::string answer =
        fmt::format("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{}", body.size(), body);
    const ScriptedServer server({{answer}, {answer}, {answer}});
    StoreOptions options = Options();
    options.servers = {server.address()};
    StoreClient store(io_, http_, options);
    EXPECT_EQ(KindOf([&] {
                store.Txn({KeyAbsent{"/u"}}, {PutKey{"/u", "1"}});
              }),
              ErrorKind::kStoreOutcomeUnknown)
        << body;
    EXPECT_EQ(KindOf([&] { store.Get("/u"); }), ErrorKind::kStoreUnavailable) << body;
  }
}

ConfigChange Change(const std::string& path, const std::string& key, SettingValue value,
                    const std::string& token) {
  return {{{path, key, std::move(value)}}, "operator", token};
}

// Guards against one operator silently undoing the change of another.
TEST_F(StoreClientTest, RacingChangesOfOneSettingConflict) {
  ApplyConfigChange(store_, Change("/", "weight", std::int64_t{1}, "t1"), [](const auto&) {});
  bool raced = false;
  const auto race = [this, &raced](const SettingsTree&) {
    if (raced) return;
    raced = true;
    ApplyConfigChange(store_, Change("/", "weight", std::int64_t{2}, "t2"), [](const auto&) {});
  };
  try {
    ApplyConfigChange(store_, Change("/", "weight", std::int64_t{3}, "t3"), race);
    ADD_FAILURE() << "the conflicting change was not detected";
  } catch (const Error& error) {
    EXPECT_EQ(error.kind(), ErrorKind::kConflict);
    EXPECT_NE(std::string(error.what()).find("changed to 2"), std::string::npos);
  }
  raced = false;
  ApplyConfigChange(store_, Change("/", "attempts.max", std::int64_t{5}, "t4"), race);
  EXPECT_EQ(ReadConfiguration(store_).tree.ResolveNumber("attempts.max", {}), 5);
}

// Guards against a change whose outcome is unknown taking effect after it was resolved as failed.
TEST_F(StoreClientTest, AnUnknownChangeIsResolved) {
  const ConfigChange change = Change("/", "weight", std::int64_t{9}, "t9");
  SetFault(StoreFault::kLoseAnswers);
  EXPECT_NE(KindOf([&] { ApplyConfigChange(store_, change, [](const auto&) {}); }),
            ErrorKind::kNone);
  SetFault(StoreFault::kNone);
  const bool took_effect = ResolveConfigChange(store_, change);
  EXPECT_EQ(took_effect, ReadConfiguration(store_).tree.ResolveNumber("weight", {}) == 9);
  EXPECT_EQ(ReadConfigHistory(store_, 10).empty(), false);
}

}  // namespace
}  // namespace basilspring
