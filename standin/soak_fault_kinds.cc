#include <fmt/format.h>
#include <signal.h>

#include <fstream>
#include <utility>
#include <vector>

#include "basilspring/clock.h"
#include "standin/soak_faults.h"

namespace basilspring::standin {
namespace {

constexpr const char* kEvacuatePrefix = "op/evacuate/";
// The users' backend servers announce themselves up to this time after their start.
constexpr std::uint64_t kMaxFirstAnnouncementMs = 1500;
// Longer than an agent takes to send a start three times.
constexpr std::int64_t kLostCallsMs = 1500;

std::int64_t NowMs() { return Clock::Now().milliseconds(); }

void Resume(SoakNode& node) {
  if (node.paused) SoakFleet::Signal(node, SIGCONT);
  node.paused = false;
}

}  // namespace

SoakNode& SoakFaults::RandomNode(bool entry) {
  std::size_t i = RandomNodeIndex();
  while (fleet_.nodes()[i].entry != entry) i = (i + 1) % fleet_.nodes().size();
  return fleet_.nodes()[i];
}

std::size_t SoakFaults::RandomAgentIndex() {
  // The agents are the last nodes.
  return fleet_.nodes().size() - 1 - RandomBelow(fleet_.workers());
}

SoakFaults::Undo SoakFaults::Kill() { return KillNode(RandomNodeIndex()); }
SoakFaults::Undo SoakFaults::KillScheduler() { return KillNode(SchedulerIndex()); }
SoakFaults::Undo SoakFaults::KillAgent() { return KillNode(RandomAgentIndex()); }

SoakFaults::Undo SoakFaults::KillAll() {
  std::vector<Undo> undos;
  for (std::size_t i = 0; i < fleet_.nodes().size(); ++i) {
    if (Undo undo = KillNode(i)) undos.push_back(std::move(undo));
  }
  return [undos] {
    for (const Undo& undo : undos) undo();
  };
}

SoakFaults::Undo SoakFaults::Pause() { return PauseNode(RandomNodeIndex()); }
SoakFaults::Undo SoakFaults::PauseScheduler() { return PauseNode(SchedulerIndex()); }
SoakFaults::Undo SoakFaults::PauseAgent() { return PauseNode(RandomAgentIndex()); }

SoakFaults::Undo SoakFaults::PauseEntry() {
  // The entries are the first nodes.
  return PauseNode(RandomBelow(fleet_.CallerAddresses().size()));
}

SoakFaults::Undo SoakFaults::StopGracefully() { return StopNode(RandomNodeIndex()); }

SoakFaults::Undo SoakFaults::Reload() {
  SoakNode& node = fleet_.nodes()[RandomNodeIndex()];
  std::ofstream(node.settings_file, std::ios::app) << "\n";
  if (RandomBelow(2) == 0) SoakFleet::Signal(node, SIGHUP);
  return {};
}

SoakFaults::Undo SoakFaults::StoreBusy() { return SetStoreMode("busy"); }
SoakFaults::Undo SoakFaults::StoreSilent() { return SetStoreMode("silent"); }
SoakFaults::Undo SoakFaults::StoreLost() { return SetStoreMode("lost"); }
SoakFaults::Undo SoakFaults::StoreLate() { return SetStoreMode("late"); }

SoakFaults::Undo SoakFaults::StoreTorn() {
  return SetStoreMode("torn", 10 + static_cast<int>(RandomBelow(91)));
}

SoakFaults::Undo SoakFaults::StoreUncertain() {
  return SetStoreMode("uncertain", 10 + static_cast<int>(RandomBelow(81)));
}

SoakFaults::Undo SoakFaults::ForgetHistory() {
  fleet_.WithStore([](PlatformStoreStandin& store) { store.ForgetHistory(); });
  return {};
}

SoakFaults::Undo SoakFaults::CutFromStore() {
  return DisturbRelay(*fleet_.nodes()[RandomNodeIndex()].store_relay);
}

SoakFaults::Undo SoakFaults::CutSchedulerFromStore() {
  return DisturbRelay(*fleet_.nodes()[SchedulerIndex()].store_relay);
}

SoakFaults::Undo SoakFaults::CutFromPeers() {
  return DisturbRelay(*fleet_.nodes()[RandomNodeIndex()].peer_relay);
}

SoakFaults::Undo SoakFaults::CutSchedulerFromPeers() {
  return DisturbRelay(*fleet_.nodes()[SchedulerIndex()].peer_relay);
}

SoakFaults::Undo SoakFaults::CutFromWorker() {
  return DisturbRelay(*RandomNode(false).worker_relay);
}

SoakFaults::Undo SoakFaults::CutFromCallers() {
  return DisturbRelay(*RandomNode(true).caller_relay);
}

SoakFaults::Undo SoakFaults::SilenceAll() {
  for (SoakNode& node : fleet_.nodes()) {
    node.store_relay->SilenceOpenConnections();
    node.peer_relay->SilenceOpenConnections();
    if (node.worker_relay) node.worker_relay->SilenceOpenConnections();
    if (node.caller_relay) node.caller_relay->SilenceOpenConnections();
  }
  return {};
}

SoakFaults::Undo SoakFaults::CrashWorker() {
  fleet_.RestartWorker(RandomBelow(fleet_.workers()));
  return {};
}

void SoakFaults::RestartWorkerUnderItsId(std::size_t worker,
                                         std::int64_t earliest_announcement_ms) {
  const SoakNode& agent = fleet_.nodes()[fleet_.nodes().size() - fleet_.workers() + worker];
  const Duration first_announcement(earliest_announcement_ms +
                                    RandomMsBelow(kMaxFirstAnnouncementMs));
  fmt::print("{} backend server of {} restarts, first announcement after {} ms\n", NowMs(),
             agent.name, first_announcement.milliseconds());
  fleet_.RestartWorkerUnderItsId(worker, first_announcement);
}

SoakFaults::Undo SoakFaults::RestartWorkerUnderItsId() {
  RestartWorkerUnderItsId(RandomBelow(fleet_.workers()), 0);
  return {};
}

SoakFaults::Undo SoakFaults::RestartWorkerAndAgent() {
  const std::size_t index = RandomAgentIndex();
  const std::size_t worker = index - (fleet_.nodes().size() - fleet_.workers());
  const bool worker_first = RandomBelow(2) == 0;
  if (worker_first) RestartWorkerUnderItsId(worker, 0);
  RunLoadFor(RandomMsBelow(500));
  Undo undo = KillNode(index);
  RunLoadFor(RandomMsBelow(500));
  if (!worker_first) RestartWorkerUnderItsId(worker, 0);
  return undo;
}

/// Restarts a backend server that has lost the last calls, so that the new incarnation
/// carries them out late, and holds back calls that its agent sends to this one before the first
/// announcement. They arrive when the fault ends, after newer calls.
SoakFaults::Undo SoakFaults::DelayCallsToRestartedWorker() {
  const std::size_t index = RandomAgentIndex();
  Relay& relay = *fleet_.nodes()[index].worker_relay;
  const std::size_t worker = index - (fleet_.nodes().size() - fleet_.workers());
  fleet_.LoseCalls(worker, Duration(kLostCallsMs));
  RunLoadFor(kLostCallsMs);
  RestartWorkerUnderItsId(worker, 0);
  RunLoadFor(RandomMsBelow(500));
  relay.HoldOpenConnections();
  return [&relay] { relay.ReleaseHeldConnections(); };
}

SoakFaults::Undo SoakFaults::ChangeConfiguration() {
  hooks_.change_configuration();
  return {};
}

SoakFaults::Undo SoakFaults::Evacuate() {
  const std::string zone = RandomBelow(2) == 0 ? "east" : "west";
  if (!evacuated_.insert(zone).second) return {};
  fleet_.WithStore([&](PlatformStoreStandin& store) { store.Put(kEvacuatePrefix + zone, "{}"); });
  const std::int64_t started_ms = NowMs();
  return [this, zone, started_ms] {
    record_.evacuations.push_back({zone, started_ms, NowMs()});
    fleet_.WithStore([&](PlatformStoreStandin& store) { store.Erase(kEvacuatePrefix + zone); });
    evacuated_.erase(zone);
  };
}

SoakFaults::Undo SoakFaults::RefuseWorkerConnections() {
  Relay& relay = *RandomNode(false).worker_relay;
  relay.RefuseConnections(true);
  return [&relay] { relay.RefuseConnections(false); };
}

/// Lets most backend servers refuse starts and stops as unhealthy ones do.
SoakFaults::Undo SoakFaults::RefuseOrders() {
  const int status = RandomBelow(2) == 0 ? 503 : 429;
  for (std::size_t i = 0; i < fleet_.workers(); ++i) {
    if (RandomBelow(4) != 0) fleet_.SetOrderStatus(i, status);
  }
  return [this] {
    for (std::size_t i = 0; i < fleet_.workers(); ++i) fleet_.SetOrderStatus(i, 200);
  };
}

SoakFaults::Undo SoakFaults::AnnounceForeign() {
  fleet_.AnnounceForeign(RandomBelow(fleet_.workers()), RandomBelow(2) == 0);
  return {};
}

/// Kills an agent whose reports are held back, and starts it again at once. The reports arrive when
/// the fault ends, after those of the new process.
SoakFaults::Undo SoakFaults::DelayReportsOfKilledAgent() {
  Relay& relay = *fleet_.nodes()[SchedulerIndex()].peer_relay;
  relay.HoldOpenConnections();
  RunLoadFor(200 + RandomMsBelow(800));
  SoakNode& node = RandomNode(false);
  SoakFleet::Signal(node, SIGKILL);
  SoakFleet::WaitForEnd(node, SoakFleet::kStopLimit);
  if (node.pid <= 0) fleet_.Start(node);
  return [&relay] { relay.ReleaseHeldConnections(); };
}

SoakFaults::Undo SoakFaults::KillNode(std::size_t index) {
  SoakNode& node = fleet_.nodes()[index];
  if (node.pid <= 0) return {};
  fmt::print("{} kill {}\n", NowMs(), node.name);
  SoakFleet::Signal(node, SIGKILL);
  SoakFleet::WaitForEnd(node, SoakFleet::kStopLimit);
  return [this, &node] {
    if (node.pid <= 0) fleet_.Start(node);
  };
}

SoakFaults::Undo SoakFaults::PauseNode(std::size_t index) {
  SoakNode& node = fleet_.nodes()[index];
  if (node.pid <= 0 || node.paused) return {};
  fmt::print("{} pause {}\n", NowMs(), node.name);
  SoakFleet::Signal(node, SIGSTOP);
  node.paused = true;
  return [&node] { Resume(node); };
}

SoakFaults::Undo SoakFaults::StopNode(std::size_t index) {
  SoakNode& node = fleet_.nodes()[index];
  if (node.pid <= 0) return {};
  Resume(node);
  SoakFleet::Signal(node, SIGTERM);
  return [this, &node, pid = node.pid] {
    Resume(node);
    // Another fault has killed this process, and starts or has started the next one.
    if (node.pid != pid) return;
    if (!SoakFleet::WaitForEnd(node, SoakFleet::kStopLimit)) {
      SoakFleet::Signal(node, SIGKILL);
      SoakFleet::WaitForEnd(node, SoakFleet::kStopLimit);
    }
    fleet_.Start(node);
  };
}

SoakFaults::Undo SoakFaults::SetStoreMode(const std::string& mode, int percent) {
  fmt::print("{} store mode {} {}%\n", NowMs(), mode, percent);
  fleet_.WithStore([&](PlatformStoreStandin& store) { store.SetMode(mode, percent); });
  return [this] { fleet_.WithStore([](PlatformStoreStandin& store) { store.SetMode("none"); }); };
}

/// Cuts one or both directions of the relay, closes its open connections or silences them.
SoakFaults::Undo SoakFaults::DisturbRelay(Relay& relay) {
  switch (RandomBelow(5)) {
    case 0:
      relay.CutBoth(true);
      return [&relay] { relay.CutBoth(false); };
    case 1:
      relay.CutTowardsTarget(true);
      return [&relay] { relay.CutTowardsTarget(false); };
    case 2:
      relay.CutTowardsClients(true);
      return [&relay] { relay.CutTowardsClients(false); };
    case 3:
      relay.CloseOpenConnections();
      return {};
    default:
      relay.SilenceOpenConnections();
      return {};
  }
}

}  // namespace basilspring::standin
