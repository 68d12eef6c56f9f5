#include <fmt/format.h>
#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <thread>

#include "basilspring/fleet/node.h"
#include "basilspring/fleet/peer_messages.h"
#include "basilspring/process/io_thread.h"
#include "basilspring/process/log.h"
#include "fleet/peer_call.h"
#include "platform/caller_adapter.h"
#include "tests/connection/raw_socket.h"

// Reads that an entry makes for a peer without a way to the store.
namespace basilspring::fleet {
namespace {

constexpr const char* kConfig = R"({"version":1,"services":[{"name":"s"}],
  "routes":[{"name":"q","host":"h","prefix":"/q/","service":"s","public":true}]})";

/// A store that answers the first read of the operators' items and no later one, as if its answer
/// took very long to transfer. Watches see no change.
class FirstReadStore : public Store {
 public:
  explicit FirstReadStore(IoThread& io) : io_(io) {}

  void Call(const StoreCall& call, StoreHandler handler) override {
    if (call.kind() == StoreOperation::kRange && read_.exchange(true)) return;
    StoreReply reply;
    reply.status = StoreStatus::kOk;
    reply.revision = 1;
    if (call.kind() == StoreOperation::kRange) {
      reply.items = {StoreItem{"op/config", kConfig, 1, false}};
    }
    io_.PostAfter(call.wait, [handler = std::move(handler), reply] { handler(reply); });
  }

 private:
  IoThread& io_;
  std::atomic<bool> read_{false};
};

// Guards against an entry that transfers the whole configuration once more for each read of a peer,
// although it has it: on a slow connection the peer never got an answer.
TEST(NodeRelayTest, AnEntryAnswersAPeersReadOfTheOperatorsItemsFromMemory) {
  SetLogLevel(LogLevel::kError);
  NodeSettings settings;
  settings.role = NodeRole::kEntry;
  settings.name = NodeId("entry");
  // The process id selects an address, so that tests in several processes can run at a time.
  const std::string ip = fmt::format("127.5.{}.{}", ::getpid() / 256 % 256, ::getpid() % 256);
  settings.peers = settings.advertised = Address{ip, 7971};
  settings.callers = Address{ip, 7972};
  settings.readiness = Address{ip, 7973};
  settings.store = Address{ip, 7974};
  IoThread io;
  std::thread node([&] {
    RunNode(settings, "no-settings-file", [&](HttpClient&, const NodeSettings&) {
      Adapters adapters;
      adapters.store = std::make_unique<FirstReadStore>(io);
      adapters.callers = std::make_unique<platform::PlatformCallerFormat>();
      adapters.operators = std::make_unique<platform::PlatformOperatorFormat>();
      return adapters;
    });
  });
  EXPECT_TRUE(Eventually([&] {
    const RawSocket probe(settings.readiness);
    if (!probe.connected()) return false;
    probe.Write("GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return probe.ReadAll().starts_with("HTTP/1.1 200");
  }));
  HttpClient http(io);
  PeerClient peers(http, [](const std::function<void()>& work) { work(); });
  const auto relay = [&](const StoreCall& call) {
    std::promise<std::optional<RelayedStoreReply>> promise;
    internal::CallPeer<RelayedStoreReply>(
        peers, settings.peers, RelayedStoreCall{call}, Duration(20000),
        [&](std::optional<RelayedStoreReply> reply) { promise.set_value(std::move(reply)); });
    return promise.get_future().get();
  };
  const auto range = relay(StoreCall::Range("op/"));
  EXPECT_TRUE(range && range->items.size() == 1 && range->items.front().value == kConfig);
  const auto newer = relay(StoreCall::Watch("op/", 0, Duration(20000)));
  EXPECT_TRUE(newer);
  // Nothing has changed after the revision that the range shows.
  const auto none = relay(StoreCall::Watch("op/", 1, Duration(200)));
  EXPECT_TRUE(none && none->status == static_cast<std::uint8_t>(StoreStatus::kOk) &&
              none->items.empty());
  ::kill(::getpid(), SIGTERM);
  node.join();
  SetLogLevel(LogLevel::kInfo);
}

}  // namespace
}  // namespace basilspring::fleet
