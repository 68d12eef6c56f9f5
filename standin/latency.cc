#include "standin/latency.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "basilspring/connection/http_client.h"
#include "basilspring/error.h"
#include "basilspring/process/io_thread.h"

namespace basilspring::standin {
namespace {

using SteadyClock = std::chrono::steady_clock;

struct LatencyOptions {
  Address entry;
  Address backend;
  std::string workspace;
  int count = 0;
  int work_ms = 0;
  int parallel = 0;
};

class LatencyRun {
 public:
  explicit LatencyRun(LatencyOptions options)
      : options_(std::move(options)), run_id_(std::random_device()()) {}

  int Run();

 private:
  std::string Payload(int number) const {
    return fmt::format("{{\"work_ms\":{},\"output\":\"answer-{}\"}}", options_.work_ms, number);
  }
  // Returns the microseconds until the complete answer arrived, and counts the answer if it is
  // wrong.
  std::int64_t Measure(HttpClientRequest request, int number);
  std::int64_t MeasureDirect(int number);
  std::int64_t MeasureThroughEntry(int number);
  double Throughput();

  LatencyOptions options_;
  unsigned run_id_;
  IoThread io_;
  HttpClient http_{io_, 64};
  std::atomic<int> wrong_answers_{0};
};

std::int64_t LatencyRun::Measure(HttpClientRequest request, int number) {
  request.body = Payload(number);
  request.timeout = Duration(10000);
  const auto begin = SteadyClock::now();
  const HttpResult result = http_.Fetch(std::move(request));
  const auto span = SteadyClock::now() - begin;
  if (result.status != 200 || result.body != fmt::format("answer-{}", number)) ++wrong_answers_;
  return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

std::int64_t LatencyRun::MeasureDirect(int number) {
  HttpClientRequest request;
  request.server = options_.backend;
  request.method = "PUT";
  request.target = fmt::format(
      "/v1/tasks/"
      "direct-{}-{}?lease_ms=10000&not_after_ms={}&wait_ms=5000&rank=0&tasks=1&accelerators=",
      run_id_, number, (Clock::Now() + Duration(5000)).milliseconds());
  return Measure(std::move(request), number);
}

std::int64_t LatencyRun::MeasureThroughEntry(int number) {
  HttpClientRequest request;
  request.server = options_.entry;
  request.method = "POST";
  request.target = fmt::format(
      "/v1/jobs?workspace={}&key=latency-{}-{}&class=urgent&run_time_ms={}&wait_ms=9000",
      options_.workspace, run_id_, number, options_.work_ms);
  return Measure(std::move(request), number);
}

double LatencyRun::Throughput() {
  std::atomic<int> next{options_.count};
  const int last = options_.count + options_.count * options_.parallel;
  const auto begin = SteadyClock::now();
  std::vector<std::thread> callers;
  callers.reserve(static_cast<std::size_t>(options_.parallel));
  for (int i = 0; i < options_.parallel; ++i) {
    callers.emplace_back([this, &next, last] {
      for (int number = next++; number < last; number = next++) MeasureThroughEntry(number);
    });
  }
  for (std::thread& caller : callers) caller.join();
  const std::chrono::duration<double> span = SteadyClock::now() - begin;
  return options_.count * options_.parallel / span.count();
}

std::int64_t Quantile(std::vector<std::int64_t> values, double quantile) {
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
  return values[index];
}

int LatencyRun::Run() {
  std::vector<std::int64_t> direct;
  std::vector<std::int64_t> through_entry;
  for (int number = 0; number < options_.count; ++number) {
    // Alternates, so that other load on the machine affects both alike.
    direct.push_back(MeasureDirect(number));
    through_entry.push_back(MeasureThroughEntry(number));
  }
  const double rate = options_.parallel > 0 ? Throughput() : 0;
  const std::int64_t direct_median = Quantile(direct, 0.5);
  const std::int64_t entry_median = Quantile(through_entry, 0.5);
  fmt::print(
      "{{\"count\":{},\"work_ms\":{},\"direct_median_us\":{},\"direct_p99_us\":{},"
      "\"entry_median_us\":{},\"entry_p99_us\":{},\"ratio\":{:.2f},\"requests_per_second\":{:.0f},"
      "\"parallel\":{},\"wrong\":{}}}\n",
      options_.count, options_.work_ms, direct_median, Quantile(direct, 0.99), entry_median,
      Quantile(through_entry, 0.99),
      static_cast<double>(entry_median) /
          static_cast<double>(std::max<std::int64_t>(direct_median, 1)),
      rate, options_.parallel, wrong_answers_.load());
  return wrong_answers_ == 0 ? 0 : 1;
}

Address LoopbackAddress(const std::string& text) {
  Address address = Address::Parse(text);
  if (address.ip.rfind("127.", 0) != 0) {
    throw Error(ErrorKind::kInvalidArgument, fmt::format("{} is not a loopback address", text));
  }
  return address;
}

}  // namespace

int RunLatency(int argc, char** argv) {
  TCLAP::CmdLine command("Measures the latency of requests through an entry and of direct calls",
                         ' ', "0.1.0");
  TCLAP::ValueArg<std::string> entry("", "entry", "Entry", true, "", "IP:PORT", command);
  TCLAP::ValueArg<std::string> backend("", "backend", "Backend server", true, "", "IP:PORT",
                                       command);
  TCLAP::ValueArg<std::string> workspace("", "workspace", "Workspace", true, "", "NAME", command);
  TCLAP::ValueArg<int> count("", "count", "Requests of each kind", false, 300, "N", command);
  TCLAP::ValueArg<int> work("", "work-ms", "Work of a request in milliseconds", false, 1, "MS",
                            command);
  TCLAP::ValueArg<int> parallel("", "parallel",
                                "Concurrent callers of the throughput measurement; 0 skips it",
                                false, 0, "N", command);
  command.parse(argc, argv);
  LatencyRun run({LoopbackAddress(entry.getValue()), LoopbackAddress(backend.getValue()),
                  workspace.getValue(), std::clamp(count.getValue(), 1, 100000), work.getValue(),
                  std::clamp(parallel.getValue(), 0, 64)});
  return run.Run();
}

}  // namespace basilspring::standin
