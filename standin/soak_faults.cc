#include "standin/soak_faults.h"

#include <fmt/format.h>
#include <signal.h>

#include <array>
#include <utility>
#include <vector>

#include "basilspring/clock.h"

namespace basilspring::standin {
namespace {

// Time for which all hosts are without power.
constexpr std::int64_t kPowerLossMs = 1000;
constexpr std::uint64_t kMaxTriggerDelayMs = 80;
// Limit for the event that a loss of power waits for.
constexpr std::int64_t kTriggerLimitMs = 3000;
// Time for which the traffic goes on after a loss of power; longer than the delay of late calls of
// the store, and than the longest lease of a backend server (10 s).
constexpr std::int64_t kRecoveryTrafficMs = 11000;

std::int64_t NowMs() { return Clock::Now().milliseconds(); }

}  // namespace

SoakFaults::SoakFaults(SoakFleet& fleet, SoakRecord& record, std::uint64_t seed,
                       SoakFaultHooks hooks)
    : fleet_(fleet), record_(record), random_(seed), hooks_(std::move(hooks)) {}

std::span<const SoakFaults::FaultKind> SoakFaults::KindsOf(SoakFaultSet set) {
  static constexpr std::array<FaultKind, 1> kPlannedKinds = {{{"planned work", nullptr}}};
  static constexpr std::array<FaultKind, 8> kServerKinds = {{
      {"backend server refuses connections", &SoakFaults::RefuseWorkerConnections},
      {"foreign announcement", &SoakFaults::AnnounceForeign},
      {"late reports of a killed agent", &SoakFaults::DelayReportsOfKilledAgent},
      {"pause entry", &SoakFaults::PauseEntry},
      {"cut from backend server", &SoakFaults::CutFromWorker},
      {"backend server crashes", &SoakFaults::CrashWorker},
      {"kill", &SoakFaults::Kill},
      {"kill scheduler", &SoakFaults::KillScheduler},
  }};
  static constexpr std::array<FaultKind, 14> kStoreKinds = {{
      {"store answers torn", &SoakFaults::StoreTorn},
      {"store answers torn", &SoakFaults::StoreTorn},
      {"store calls lost and late", &SoakFaults::StoreUncertain},
      {"store calls lost and late", &SoakFaults::StoreUncertain},
      {"kill scheduler", &SoakFaults::KillScheduler},
      {"pause scheduler", &SoakFaults::PauseScheduler},
      {"cut scheduler from store", &SoakFaults::CutSchedulerFromStore},
      {"kill agent", &SoakFaults::KillAgent},
      {"pause agent", &SoakFaults::PauseAgent},
      {"cut from backend server", &SoakFaults::CutFromWorker},
      {"backend server restarts under its id", &SoakFaults::RestartWorkerUnderItsId},
      {"backend server restarts under its id", &SoakFaults::RestartWorkerUnderItsId},
      {"backend server and agent restart", &SoakFaults::RestartWorkerAndAgent},
      {"late calls to a restarted backend server", &SoakFaults::DelayCallsToRestartedWorker},
  }};
  static constexpr std::array<FaultKind, 7> kRefusalKinds = {{
      {"backend servers refuse orders", &SoakFaults::RefuseOrders},
      {"backend servers refuse orders", &SoakFaults::RefuseOrders},
      {"kill scheduler", &SoakFaults::KillScheduler},
      {"pause scheduler", &SoakFaults::PauseScheduler},
      {"kill agent", &SoakFaults::KillAgent},
      {"cut from backend server", &SoakFaults::CutFromWorker},
      {"backend server crashes", &SoakFaults::CrashWorker},
  }};
  static constexpr std::array<FaultKind, 23> kAllKinds = {{
      {"kill", &SoakFaults::Kill},
      {"kill scheduler", &SoakFaults::KillScheduler},
      {"kill all", &SoakFaults::KillAll},
      {"pause", &SoakFaults::Pause},
      {"pause scheduler", &SoakFaults::PauseScheduler},
      {"graceful stop", &SoakFaults::StopGracefully},
      {"reload", &SoakFaults::Reload},
      {"store busy", &SoakFaults::StoreBusy},
      {"store silent", &SoakFaults::StoreSilent},
      {"store answers lost", &SoakFaults::StoreLost},
      {"store writes late", &SoakFaults::StoreLate},
      {"store history dropped", &SoakFaults::ForgetHistory},
      {"cut from store", &SoakFaults::CutFromStore},
      {"cut scheduler from store", &SoakFaults::CutSchedulerFromStore},
      {"cut from peers", &SoakFaults::CutFromPeers},
      {"cut scheduler from peers", &SoakFaults::CutSchedulerFromPeers},
      {"cut from backend server", &SoakFaults::CutFromWorker},
      {"cut from callers", &SoakFaults::CutFromCallers},
      {"silence all connections", &SoakFaults::SilenceAll},
      {"backend server crashes", &SoakFaults::CrashWorker},
      {"configuration", &SoakFaults::ChangeConfiguration},
      {"evacuation", &SoakFaults::Evacuate},
      {"planned work", nullptr},
  }};
  switch (set) {
    case SoakFaultSet::kPlanned:
      return kPlannedKinds;
    case SoakFaultSet::kServers:
      return kServerKinds;
    case SoakFaultSet::kStore:
      return kStoreKinds;
    case SoakFaultSet::kRefusals:
      return kRefusalKinds;
    case SoakFaultSet::kAll:
      break;
  }
  return kAllKinds;
}

void SoakFaults::RunRound(SoakFaultSet set) {
  const std::span<const FaultKind> kinds = KindsOf(set);
  std::vector<Undo> undos;
  const std::uint64_t count = 1 + RandomBelow(3);
  for (std::uint64_t i = 0; i < count; ++i) {
    const FaultKind& kind = kinds[RandomBelow(kinds.size())];
    fmt::print("{} {}\n", NowMs(), kind.name);
    if (kind.begin == nullptr) {
      // The effects of faults of this round that are still active would be attributed to the
      // planned work.
      if (undos.empty()) hooks_.run_planned_work();
      continue;
    }
    Undo undo = (this->*kind.begin)();
    if (undo) undos.push_back(std::move(undo));
    RunLoadFor(RandomMsBelow(1500));
  }
  RunLoadFor(300 + RandomMsBelow(5000));
  while (!undos.empty()) {
    undos.back()();
    undos.pop_back();
    RunLoadFor(RandomMsBelow(800));
  }
  RecordUnexpectedExits();
  RunLoadFor(RandomMsBelow(2500));
}

void SoakFaults::LosePower() {
  static constexpr std::array<const char*, 3> kTriggers = {"an end of a run", "an acknowledgement",
                                                           "an acceptance"};
  const std::size_t trigger = RandomBelow(kTriggers.size());
  const bool restart_workers = RandomBelow(2) == 0;
  Undo restore_store;
  if (RandomBelow(2) == 0) restore_store = RandomBelow(2) == 0 ? StoreTorn() : StoreUncertain();
  RunLoadFor(RandomMsBelow(2000));
  const auto count = [this, trigger] {
    if (trigger == 2) return hooks_.accepted_jobs();
    const auto [ends, acknowledged] = fleet_.CountEnds();
    return trigger == 0 ? ends : acknowledged;
  };
  hooks_.run_load(kTriggerLimitMs, [count, before = count()] { return count() != before; });
  RunLoadFor(RandomMsBelow(kMaxTriggerDelayMs));
  fmt::print("{} power loss after {}{}\n", NowMs(), kTriggers.at(trigger),
             restart_workers ? ", also of the backend servers" : "");
  for (const SoakNode& node : fleet_.nodes()) SoakFleet::Signal(node, SIGKILL);
  for (std::size_t i = 0; restart_workers && i < fleet_.workers(); ++i) {
    RestartWorkerUnderItsId(i, kPowerLossMs);
  }
  for (SoakNode& node : fleet_.nodes()) SoakFleet::WaitForEnd(node, SoakFleet::kStopLimit);
  RunLoadFor(kPowerLossMs);
  for (SoakNode& node : fleet_.nodes()) fleet_.Start(node);
  fmt::print("{} power restored\n", NowMs());
  RunLoadFor(RandomMsBelow(3000));
  if (restore_store) restore_store();
  RunLoadFor(kRecoveryTrafficMs);
  RecordUnexpectedExits();
}

void SoakFaults::RecordUnexpectedExits() {
  for (const std::string& name : fleet_.TakeUnexpectedExits()) {
    record_.events.push_back(fmt::format("{} exited unexpectedly at {}", name, NowMs()));
    for (SoakNode& node : fleet_.nodes()) {
      if (node.name == name) fleet_.Start(node);
    }
  }
}

}  // namespace basilspring::standin
