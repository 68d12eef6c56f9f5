#include <fmt/format.h>

#include "review/standin/checks.h"

// A liveness report of another writer, with a service that no config names, arrives at the agent of
// a backend server that is at work.
namespace basilspring::review {
namespace {

constexpr int kAgents = 7;
constexpr int kTasks = 4;
constexpr std::int64_t kWorkMs = 15000;
constexpr const char* kJob = "00000000000000c2";

}  // namespace

int RunCase2(const CaseOptions& options) {
  Record record(options.record);
  Platform::Options fleet;
  fleet.folder = options.folder;
  fleet.program = options.program;
  fleet.agents = kAgents;
  Platform platform(fleet, record);
  if (!platform.Begin()) return kCouldNotRun;
  const std::string body = fmt::format(
      R"({{"spec":"work={} cpu=26000 mem=100000 gpu=8","steps":[{{"count":{},"cpu":26000,)"
      R"("mem_mb":100000,"gpu":8,"estimate_ms":{}}}]}})",
      kWorkMs, kTasks, kWorkMs);
  if (platform.Consumer(0, "POST", std::string("/q/") + kJob, body).status != 200) {
    return kCouldNotRun;
  }
  while (platform.Seen().size() < kTasks) {
    if (record.Now() > 60000) return kCouldNotRun;
    Sleep(20);
  }
  Sleep(3000);
  const std::string worker = platform.Seen().front().worker;
  int index = 0;
  while (platform.WorkerId(index) != worker) ++index;
  if (options.trouble) {
    const std::string report = fmt::format(
        R"({{"service":"billing","address":"{}:8080","zone":"north","version":"v1","slots":8,)"
        R"("state":"ready","cold_remaining_ms":0,"capacity":{{"cpu":4000,"mem_mb":8192,"gpu":0}},)"
        R"("labels":["a","r1-0"],"clock_ms":2000,"seq":1,"born":{}}})",
        platform.WorkerIp(index), Clock::WallMilliseconds() - 1000);
    const Address control = platform.ControlOf(platform.WorkerIp(index));
    const Call call =
        Exchange(control,
                 fmt::format("PUT /instances/i-beef HTTP/1.1\r\nHost: {}\r\nContent-Type: "
                             "application/json\r\nContent-Length: {}\r\n\r\n{}",
                             control.ToString(), report.size(), report),
                 Duration(1000));
    record.Line(fmt::format(
        "another writer: PUT /instances/i-beef with service billing at the agent of {}: {}", worker,
        call.status));
  }
  for (int i = 0; i < 100 && platform.State(i % 3, kJob) != "completed"; ++i) Sleep(500);
  Sleep(1000);
  const int broken = CountTwice(record, platform.Seen(), TakenNote::kByLastSeen);
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace basilspring::review
