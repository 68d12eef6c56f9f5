#include <fmt/format.h>

#include "review/standin/fleet.h"

// One of ten backend servers goes down and up four times, 5.5 s apart.
namespace basilspring::review {
namespace {

constexpr int kAgents = 10;
constexpr std::int64_t kDownMs = 700;
constexpr std::int64_t kUpMs = 5500;
constexpr int kTurns = 4;
constexpr const char* kFiller = "00000000000000f4";
constexpr const char* kJob = "00000000000000c4";

}  // namespace

int RunCase4(const CaseOptions& options) {
  Record record(options.record);
  Platform::Options fleet;
  fleet.folder = options.folder;
  fleet.program = options.program;
  fleet.agents = kAgents;
  Platform platform(fleet, record);
  if (!platform.Begin()) return kCouldNotRun;
  // The job's task and those of another job need a whole backend server each.
  const auto submit = [&](const char* job, int tasks, std::int64_t work) {
    const std::string body = fmt::format(
        R"({{"spec":"work={} cpu=26000 mem=100000 gpu=8","steps":[{{"count":{},"cpu":26000,)"
        R"("mem_mb":100000,"gpu":8,"estimate_ms":{}}}]}})",
        work, tasks, work);
    return platform.Consumer(0, "POST", std::string("/q/") + job, body).status == 200;
  };
  const auto wait_for_runs = [&](std::size_t count) {
    while (platform.Seen().size() < count && record.Now() < 60000) Sleep(20);
    return platform.Seen().size() >= count;
  };
  if (!submit(kFiller, kAgents - 1, 60000) || !wait_for_runs(kAgents - 1)) return kCouldNotRun;
  if (!submit(kJob, 1, 12000) || !wait_for_runs(kAgents)) return kCouldNotRun;
  const std::string flapping = platform.Seen().back().worker;
  int index = 0;
  while (platform.WorkerId(index) != flapping) ++index;
  Sleep(2000);
  for (int turn = 0; options.trouble && turn < kTurns; ++turn) {
    if (turn > 0) Sleep(kUpMs);
    platform.RunOnIo([&] { platform.worker(index).Crash(); });
    Sleep(kDownMs);
    platform.RunOnIo([&] { platform.worker(index).Begin(); });
  }
  std::string state;
  for (int i = 0; i < 120; ++i) {
    state = platform.State(i % 3, kJob);
    if (state == "completed" || state == "failed" || state == "cancelled") break;
    Sleep(500);
  }
  int failed_ends = 0;
  for (const RunSeen& run : platform.Seen()) {
    if (run.how == "failed") ++failed_ends;
    if (run.task.rfind(kJob, 0) != 0) continue;
    record.Line(fmt::format("{} run {} on {}: started {}, ended {} {}", run.task, run.run,
                            run.worker, run.started, run.ended, run.how));
  }
  record.Line(
      fmt::format("the job is shown as {}; {} ends `failed` were listed", state, failed_ends));
  if (state == "failed" || state == "cancelled") {
    record.Line("LOST: shown so without cause");
    return kBroken;
  }
  return state == "completed" ? kHeld : kCouldNotRun;
}

}  // namespace basilspring::review
