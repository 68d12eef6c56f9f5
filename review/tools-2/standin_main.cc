// Stand-ins that the scripts of the cases 6 to 10 start as separate processes:
//
//   review-standin store --address IP:PORT
//   review-standin worker --address IP:PORT --control IP:PORT --id ID --zone ZONE --rack LABEL
//     [--label LABEL] [--late FILE]
//
// Both are the classes that the project's own tests use. Added here: the store refuses values above
// its limit, and a worker can be told to answer orders as an unhealthy one (POST /health with the
// status in the body, "200" for healthy), and prints what it was told, starts and ends, one line
// each, with the time of day in milliseconds. Its clock starts anew with each process. After POST
// /delay with a job's ID in the body, the next start for that job gets no answer and is written to
// FILE; the next process that is started with that FILE carries it out as its first call.

#include <fmt/format.h>

#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/http_client.h"
#include "basilspring/connection/http_server.h"
#include "basilspring/process/io_thread.h"
#include "standin/platform_store.h"
#include "standin/platform_worker.h"

namespace basilspring::review {
namespace {

namespace json = boost::json;
using Responder = std::shared_ptr<HttpResponder>;

constexpr Duration kTick(20);
// Interval of the liveness reports, as `heartbeat_ms` of the small deployments.
constexpr Duration kAnnounceInterval(1500);
// `value_bytes` of the store, in base64 text.
constexpr std::size_t kMaxValueText = (1024 * 1024 + 2) / 3 * 4;

class Process {
 public:
  explicit Process(std::map<std::string, std::string> options) : options_(std::move(options)) {}

  void RunStore() {
    HttpLimits limits;
    limits.max_body_bytes = 64 * 1024 * 1024;
    server_ = std::make_unique<HttpServer>(
        io_, Address::Parse(options_.at("address")),
        [this](const HttpRequest& request, const Responder& responder) {
          if (request.path == "/kv-txn" && HasLargeValue(request.body)) {
            Print("a transaction with a value above the limit of 1048576 bytes is refused: 400");
            HttpResponse response;
            response.status = 400;
            response.body = "{}";
            responder->Respond(std::move(response));
            return;
          }
          store_.Handle(request, responder, Clock::Now().milliseconds());
        },
        limits);
    Every([this] { store_.Tick(Clock::Now().milliseconds()); });
    Wait();
  }

  void RunWorker() {
    worker_ = std::make_unique<standin::PlatformWorkerStandin>(
        options_.at("id"), Clock::WallMilliseconds(), options_.at("zone"));
    server_ = std::make_unique<HttpServer>(
        io_, Address::Parse(options_.at("address")),
        [this](const HttpRequest& request, const Responder& responder) {
          OnCall(request, responder);
        });
    Print("worker starts");
    CarryOutLateCall();
    Every([this] {
      worker_->Tick(OwnClock());
      PrintHistory();
      const TimePoint now = Clock::Now();
      if (now < announce_at_) return;
      announce_at_ = now + kAnnounceInterval;
      Announce();
    });
    Wait();
  }

 private:
  static bool HasLargeValue(const std::string& body) {
    if (body.size() < kMaxValueText) return false;
    const json::value parsed = json::parse(body);
    for (const json::value& row : parsed.as_object().at("set_keys").as_array()) {
      if (row.as_object().at("value").as_string().size() > kMaxValueText) return true;
    }
    return false;
  }

  void OnCall(const HttpRequest& request, const Responder& responder) {
    if (request.path == "/health") {
      status_ = std::stoi(request.body);
      Print(fmt::format("answers orders with {} from now on", status_));
      HttpResponse response;
      response.body = "{}";
      responder->Respond(std::move(response));
      return;
    }
    if (request.path == "/delay") {
      delayed_job_ = request.body;
      HttpResponse response;
      response.body = "{}";
      responder->Respond(std::move(response));
      return;
    }
    const bool order = request.path == "/run-start" || request.path == "/run-stop";
    if (order) {
      const json::value body = json::parse(request.body);
      Print(fmt::format("{} {} run {}{}", request.path.substr(1),
                        std::string(body.as_object().at("task").as_string()),
                        body.as_object().at("run").to_number<std::int64_t>(),
                        status_ == 200 ? "" : fmt::format(" answered with {}", status_)));
    }
    if (request.path == "/run-start" && !delayed_job_.empty() &&
        request.body.find(delayed_job_ + ".") != std::string::npos) {
      delayed_job_.clear();
      std::ofstream(options_.at("late"), std::ios::binary) << request.body;
      unanswered_.push_back(responder);
      Print("this start is delayed and gets no answer");
      return;
    }
    if (order && status_ != 200) {
      HttpResponse response;
      response.status = status_;
      response.body = "{}";
      responder->Respond(std::move(response));
      return;
    }
    worker_->Handle(request, responder, OwnClock());
    PrintHistory();
  }

  std::int64_t OwnClock() const { return (Clock::Now() - started_at_).milliseconds() + 1; }

  void CarryOutLateCall() {
    const auto file = options_.find("late");
    if (file == options_.end()) return;
    std::ifstream input(file->second, std::ios::binary);
    std::string body((std::istreambuf_iterator<char>(input)), std::istreambuf_iterator<char>());
    if (body.empty()) return;
    std::remove(file->second.c_str());
    Print("the delayed start arrives");
    HttpClientRequest request;
    request.server = Address::Parse(options_.at("address"));
    request.method = "POST";
    request.target = "/run-start";
    request.headers["content-type"] = "application/json";
    request.headers["target-instance"] = worker_->id();
    request.body = std::move(body);
    request.timeout = Duration(1000);
    http_.Send(std::move(request), [](const HttpResult&) {});
  }

  void Announce() {
    json::object body = json::parse(worker_->Announcement(options_.at("address"))).as_object();
    json::array labels{options_.count("label") == 0 ? std::string("a") : options_.at("label")};
    labels.push_back(json::string(options_.at("rack")));
    body["labels"] = std::move(labels);
    HttpClientRequest request;
    request.server = Address::Parse(options_.at("control"));
    request.method = "PUT";
    request.target = "/instances/" + worker_->id();
    request.headers["content-type"] = "application/json";
    request.body = json::serialize(body);
    request.timeout = Duration(1000);
    http_.Send(std::move(request), [](const HttpResult&) {});
  }

  void PrintHistory() {
    const std::vector<std::string>& lines = worker_->history();
    for (; printed_ < lines.size(); ++printed_) {
      Print(lines[printed_].substr(lines[printed_].find(' ') + 1));
    }
    const std::vector<std::string>& ends = worker_->acknowledged();
    for (; printed_ends_ < ends.size(); ++printed_ends_) {
      Print("taken note of: " + ends[printed_ends_].substr(ends[printed_ends_].find(' ') + 1));
    }
  }

  void Print(const std::string& text) {
    const auto id = options_.find("id");
    fmt::print("{} {} {}\n", Clock::WallMilliseconds(), id == options_.end() ? "store" : id->second,
               text);
    std::fflush(stdout);
  }

  void Every(std::function<void()> work) {
    io_.PostAfter(kTick, [this, work = std::move(work)] {
      work();
      Every(work);
    });
  }

  void Wait() {
    std::promise<void> stop;
    io_.OnStopSignal([&stop] { stop.set_value(); });
    stop.get_future().wait();
  }

  std::map<std::string, std::string> options_;
  standin::PlatformStoreStandin store_;
  std::unique_ptr<standin::PlatformWorkerStandin> worker_;
  std::size_t printed_ = 0;
  std::size_t printed_ends_ = 0;
  int status_ = 200;
  std::string delayed_job_;
  std::vector<Responder> unanswered_;
  TimePoint started_at_ = Clock::Now();
  TimePoint announce_at_;
  IoThread io_;
  HttpClient http_{io_};
  std::unique_ptr<HttpServer> server_;
};

}  // namespace
}  // namespace basilspring::review

int main(int argc, char** argv) {
  const std::string verb = argc > 1 ? argv[1] : "";
  std::map<std::string, std::string> options;
  for (int i = 2; i + 1 < argc; i += 2) options[std::string(argv[i]).substr(2)] = argv[i + 1];
  basilspring::review::Process process(options);
  if (verb == "store") {
    process.RunStore();
  } else if (verb == "worker") {
    process.RunWorker();
  } else {
    fmt::print(stderr, "usage: review-standin store|worker --NAME VALUE...\n");
    return 2;
  }
  return 0;
}
