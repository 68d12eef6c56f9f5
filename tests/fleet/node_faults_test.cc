#include <fmt/format.h>
#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <stdexcept>
#include <thread>

#include "basilspring/fleet/node.h"
#include "basilspring/process/io_thread.h"
#include "basilspring/process/log.h"
#include "platform/caller_adapter.h"
#include "tests/connection/raw_socket.h"

// Errors that no code expects, in the handling of one event of a process.
namespace basilspring::fleet {
namespace {

constexpr const char* kConfig = R"({"version":1,"services":[{"name":"s"}],
  "routes":[{"name":"q","host":"h","prefix":"/q/","service":"s","public":true}]})";

/// A store that holds the operators' configuration and nothing else.
class ConfigurationStore : public Store {
 public:
  explicit ConfigurationStore(IoThread& io) : io_(io) {}

  void Call(const StoreCall& call, StoreHandler handler) override {
    StoreReply reply;
    reply.status = call.kind() == StoreOperation::kGet ? StoreStatus::kNotFound : StoreStatus::kOk;
    reply.revision = 1;
    if (call.kind() == StoreOperation::kRange) {
      reply.items = {StoreItem{"op/config", kConfig, 1, false}};
    }
    io_.PostAfter(call.wait, [handler = std::move(handler), reply] { handler(reply); });
  }

 private:
  IoThread& io_;
};

/// Throws an error of a kind that decoders don't throw for one path.
class ThrowingCallerFormat : public platform::PlatformCallerFormat {
 public:
  CallerRequest DecodeRequest(HttpRequest request) const override {
    if (request.path == "/unexpected") throw std::logic_error("unexpected");
    return PlatformCallerFormat::DecodeRequest(std::move(request));
  }
};

// Guards against an unexpected error in the handling of one request that ends the process, and with
// it all other requests.
TEST(NodeFaultsTest, AnUnexpectedErrorEndsOnlyTheRequestThatCausedIt) {
  SetLogLevel(LogLevel::kError);
  NodeSettings settings;
  settings.role = NodeRole::kEntry;
  settings.name = NodeId("entry");
  // The process id selects an address, so that tests in several processes can run at a time.
  const std::string ip = fmt::format("127.7.{}.{}", ::getpid() / 256 % 256, ::getpid() % 256);
  settings.peers = settings.advertised = Address{ip, 7991};
  settings.callers = Address{ip, 7992};
  settings.readiness = Address{ip, 7993};
  settings.store = Address{ip, 7994};
  settings.drain_limit = Duration(500);
  IoThread io;
  std::thread node([&] {
    RunNode(settings, "no-settings-file", [&](HttpClient&, const NodeSettings&) {
      Adapters adapters;
      adapters.store = std::make_unique<ConfigurationStore>(io);
      adapters.callers = std::make_unique<ThrowingCallerFormat>();
      adapters.operators = std::make_unique<platform::PlatformOperatorFormat>();
      return adapters;
    });
  });
  const auto answer_to = [&](const std::string& path) {
    const RawSocket caller(settings.callers);
    if (!caller.connected()) return std::string();
    caller.Write("GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return caller.ReadAll();
  };
  EXPECT_TRUE(Eventually([&] { return answer_to("/none").starts_with("HTTP/1.1 404"); }));
  EXPECT_TRUE(answer_to("/unexpected").starts_with("HTTP/1.1 500"));
  EXPECT_TRUE(answer_to("/none").starts_with("HTTP/1.1 404"));
  ::kill(::getpid(), SIGTERM);
  node.join();
  SetLogLevel(LogLevel::kInfo);
}

// Guards against a handler of the I/O thread that throws and ends the process.
TEST(IoThreadTest, GoesOnAfterAHandlerThatThrows) {
  IoThread io;
  io.Post([] { throw std::logic_error("unexpected"); });
  std::promise<void> later;
  io.Post([&later] { later.set_value(); });
  EXPECT_EQ(later.get_future().wait_for(kTestTimeout), std::future_status::ready);
}

}  // namespace
}  // namespace basilspring::fleet
