#include <fmt/format.h>
#include <signal.h>

#include "review/standin/fleet.h"

// An entry stands still for five seconds with a submission in its socket. The consumer gets no
// answer in its time budget and cancels the job at another entry.
namespace basilspring::review {
namespace {

constexpr std::int64_t kFreezeMs = 5000;
constexpr const char* kPath = "/q/00000000000000c4";

}  // namespace

int RunCase4(const CaseOptions& options) {
  Record record(options.record);
  Platform::Options fleet;
  fleet.folder = options.folder;
  fleet.program = options.program;
  fleet.agents = 7;
  Platform platform(fleet, record);
  if (!platform.Begin()) return kCouldNotRun;
  const std::string holder = platform.Holder();
  int frozen = 0;
  while (platform.EntryName(frozen) == holder) ++frozen;
  const int other = (frozen + 1) % 3;
  const std::string body =
      R"({"spec":"work=5000 cpu=5600 mem=11000 gpu=1","steps":[)"
      R"({"count":2,"cpu":5600,"mem_mb":11000,"gpu":1,"estimate_ms":5000},)"
      R"({"count":2,"cpu":5600,"mem_mb":11000,"gpu":1,"estimate_ms":5000,"after":[0]}]})";
  const std::int64_t begin = record.Now();
  if (options.trouble) platform.Signal(platform.EntryName(frozen), SIGSTOP);
  platform.Consumer(frozen, "POST", kPath, body);
  Sleep(std::max<std::int64_t>(0, begin + 3000 - record.Now()));
  std::int64_t acknowledged = -1;
  while (acknowledged < 0) {
    const Call cancel = platform.Consumer(other, "DELETE", kPath);
    if (cancel.status / 100 == 2 || cancel.status == 410) acknowledged = record.Now();
    if (record.Now() > begin + kFreezeMs) return kCouldNotRun;
  }
  Sleep(std::max<std::int64_t>(0, begin + kFreezeMs - record.Now()));
  if (options.trouble) platform.Signal(platform.EntryName(frozen), SIGCONT);
  const std::int64_t calm = record.Now();
  Sleep(17000);
  platform.State(other, std::string(kPath).substr(3));
  int late = 0;
  int lasting = 0;
  for (const RunSeen& run : platform.Seen()) {
    record.Line(fmt::format("{} run {} on {}: started {}, ended {} {}", run.task, run.run,
                            run.worker, run.started, run.ended, run.how));
    // All machines are in touch: nothing has been disturbed for contact_ms.
    if (run.started > acknowledged + kCancelMs && run.started > calm + kContactMs) ++late;
    const std::int64_t ended = run.ended < 0 ? record.Now() : run.ended;
    if (ended > std::max(acknowledged, calm + kContactMs) + kCancelMs + kStopMs) ++lasting;
  }
  record.Line(fmt::format(
      "the cancel was acknowledged at {}; {} tasks were started later than cancel_ms after that by "
      "machines in touch, {} were at work cancel_ms + stop_timeout_ms after that, with no "
      "disturbance "
      "near",
      acknowledged, late, lasting));
  if (late + lasting > 0) record.Line("UNASKED");
  return late + lasting > 0 ? kBroken : kHeld;
}

}  // namespace basilspring::review
