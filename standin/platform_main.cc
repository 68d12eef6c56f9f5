#include "standin/platform_main.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/http_client.h"
#include "basilspring/connection/http_server.h"
#include "basilspring/process/io_thread.h"
#include "standin/platform_store.h"
#include "standin/platform_worker.h"

namespace basilspring::standin {
namespace {

constexpr Duration kTick(20);
constexpr std::int64_t kAnnounceTicks = 20;

/// Runs the store and the backend servers on one I/O thread.
class PlatformStandin {
 public:
  PlatformStandin(const Address& store, const std::vector<Address>& announcement_addresses,
                  const std::vector<Address>& backend_addresses)
      : announcement_addresses_(announcement_addresses), backend_addresses_(backend_addresses) {
    servers_.push_back(std::make_unique<HttpServer>(
        io_, store,
        [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
          store_.Handle(request, responder, Clock::Now().milliseconds());
        }));
    for (std::size_t i = 0; i < backend_addresses.size(); ++i) {
      workers_.push_back(std::make_unique<PlatformWorkerStandin>(fmt::format("i-{}", i),
                                                                 Clock::WallMilliseconds()));
      PlatformWorkerStandin* worker = workers_.back().get();
      servers_.push_back(std::make_unique<HttpServer>(
          io_, backend_addresses[i],
          [worker](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
            worker->Handle(request, responder, Clock::Now().milliseconds());
          }));
    }
    io_.OnStopSignal([this] { stop_.set_value(); });
    ScheduleTick();
  }

  void RunUntilStopped() { stop_.get_future().wait(); }

 private:
  void ScheduleTick() {
    io_.PostAfter(kTick, [this] {
      const std::int64_t now_ms = Clock::Now().milliseconds();
      store_.Tick(now_ms);
      for (const auto& worker : workers_) worker->Tick(now_ms);
      if (ticks_++ % kAnnounceTicks == 0) Announce();
      ScheduleTick();
    });
  }

  void Announce() {
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      HttpClientRequest request;
      request.server = announcement_addresses_[i];
      request.method = "PUT";
      request.target = "/instances/" + workers_[i]->id();
      request.headers["content-type"] = "application/json";
      request.body = workers_[i]->Announcement(backend_addresses_[i].ToString());
      request.timeout = Duration(1000);
      http_.Send(std::move(request), [](const HttpResult&) {});
    }
  }

  std::vector<Address> announcement_addresses_;
  std::vector<Address> backend_addresses_;
  PlatformStoreStandin store_;
  std::vector<std::unique_ptr<PlatformWorkerStandin>> workers_;
  std::int64_t ticks_ = 0;
  std::promise<void> stop_;
  IoThread io_;
  HttpClient http_{io_};
  std::vector<std::unique_ptr<HttpServer>> servers_;
};

std::vector<Address> ParseAll(const std::vector<std::string>& texts) {
  std::vector<Address> addresses;
  addresses.reserve(texts.size());
  for (const std::string& text : texts) addresses.push_back(Address::Parse(text));
  return addresses;
}

}  // namespace

int RunPlatformStandin(int argc, char** argv) {
  TCLAP::CmdLine command_line("Stand-ins of the users' platform", ' ', "1");
  TCLAP::ValueArg<std::string> store("", "store", "Address of the store", true, "", "ADDRESS",
                                     command_line);
  TCLAP::MultiArg<std::string> announcement_addresses(
      "", "control", "Address to which a backend server announces itself", true, "ADDRESS",
      command_line);
  TCLAP::MultiArg<std::string> backend_addresses(
      "", "app", "Address on which a backend server listens", true, "ADDRESS", command_line);
  command_line.parse(argc, argv);
  PlatformStandin standin(Address::Parse(store.getValue()),
                          ParseAll(announcement_addresses.getValue()),
                          ParseAll(backend_addresses.getValue()));
  standin.RunUntilStopped();
  return 0;
}

}  // namespace basilspring::standin
