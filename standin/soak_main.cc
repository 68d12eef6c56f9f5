#include "standin/soak_main.h"

#include <fmt/format.h>
#include <signal.h>
#include <tclap/CmdLine.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <map>
#include <random>
#include <set>
#include <thread>

#include "basilspring/clock.h"
#include "standin/soak_callers.h"
#include "standin/soak_fleet.h"

namespace basilspring::standin {
namespace {

constexpr const char* kConfigKey = "op/config";
constexpr const char* kEvacuatePrefix = "op/evacuate/";
// 4 jobs per second use at most about half of the capacity of the backend servers.
constexpr std::int64_t kSubmitIntervalMs = 250;
constexpr Duration kLoadTick(20);
// Longer than the longest lease and the longest backoff.
constexpr Duration kSettleLimit = Duration::Seconds(60);
constexpr Duration kReadyLimit = Duration::Seconds(20);
// Time between SIGTERM and SIGKILL on the users' platform (6 s), plus 1 s in which a busy host may
// delay the detection of the end.
constexpr Duration kStopLimit = Duration::Seconds(7);
// Time after which the users no longer attribute effects to a fault that has ended.
constexpr std::int64_t kCalmMs = 4000;

std::int64_t NowMs() { return Clock::Now().milliseconds(); }

std::string Configuration(int version, const std::string& second_key) {
  return fmt::format(
      R"({{"version":{},"routes":[{{"name":"quotes","host":"127.0.0.1","prefix":"/q/",)"
      R"("service":"planner","priority":0,"max_attempts":4,"stretch":1.5,)"
      R"("target_duration_ms":400}}],"services":[{{"name":"planner","enforces_capacity":true}}],)"
      R"("tenants":[{{"name":"shop","api_keys":["secret","{}"],"guaranteed":{{"gpu":8}}}}]}})",
      version, second_key);
}

/// The faults of a soak.
enum class SoakFaults : std::uint8_t {
  /// Those of kFaultKinds.
  kAll,
  /// Planned work only.
  kPlanned,
  /// Those of kServerFaultKinds: between agents, their backend servers and the scheduler. They are
  /// not among the others, so that the kept seeds of those draw the same faults as before.
  kServers,
};

class Soak {
 public:
  Soak(const SoakFleetOptions& options, Duration length, SoakFaults faults)
      : random_(options.seed),
        planned_random_(options.seed),
        length_(length),
        faults_(faults),
        fleet_(options),
        callers_(fleet_.io(), fleet_.http(), fleet_.CallerAddresses(), options.seed) {}

  int Run() {
    // Line buffering, so that the log is complete up to the last line if the soak is killed.
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    fleet_.WithStore([&](PlatformStoreStandin& store) {
      store.Put(kConfigKey, Configuration(version_, ApiKey(version_)));
    });
    for (SoakNode& node : fleet_.nodes()) fleet_.Start(node);
    if (!WaitForConfiguration()) {
      record_.events.emplace_back("the entries did not become ready in time");
    }
    const std::int64_t end_ms = NowMs() + length_.milliseconds();
    load_enabled_ = true;
    while (NowMs() < end_ms) {
      if (faults_ == SoakFaults::kPlanned) {
        RunPlannedWork();
      } else if (faults_ == SoakFaults::kServers) {
        RunFaultRound(kServerFaultKinds);
      } else {
        RunFaultRound(kFaultKinds);
      }
    }
    load_enabled_ = false;
    record_.quiet_from_ms = NowMs();
    WaitUntilSettled();
    return Report();
  }

 private:
  using Undo = std::function<void()>;
  struct FaultKind {
    const char* name;
    /// nullptr for RunPlannedWork, whose effects on callers are checked and which must therefore
    /// not overlap with other faults.
    Undo (Soak::*begin)();
  };

  // Each of these begins a fault and returns the function that ends it, or an empty function if
  // nothing remains to be ended.
  Undo Kill() { return KillNode(RandomNodeIndex()); }
  Undo KillScheduler() { return KillNode(fleet_.SchedulerIndexOr(RandomNodeIndex())); }
  Undo KillAll() {
    std::vector<Undo> undos;
    for (std::size_t i = 0; i < fleet_.nodes().size(); ++i) {
      if (Undo undo = KillNode(i)) undos.push_back(std::move(undo));
    }
    return [undos] {
      for (const Undo& undo : undos) undo();
    };
  }
  Undo Pause() { return PauseNode(RandomNodeIndex()); }
  Undo PauseScheduler() { return PauseNode(fleet_.SchedulerIndexOr(RandomNodeIndex())); }
  Undo StopGracefully() { return StopNode(RandomNodeIndex()); }
  Undo Reload() {
    SoakNode& node = fleet_.nodes()[RandomNodeIndex()];
    std::ofstream(node.settings_file, std::ios::app) << "\n";
    if (RandomBelow(2) == 0) SoakFleet::Signal(node, SIGHUP);
    return {};
  }
  Undo StoreBusy() { return SetStoreMode("busy"); }
  Undo StoreSilent() { return SetStoreMode("silent"); }
  Undo StoreLost() { return SetStoreMode("lost"); }
  Undo StoreLate() { return SetStoreMode("late"); }
  Undo ForgetHistory() {
    fleet_.WithStore([](PlatformStoreStandin& store) { store.ForgetHistory(); });
    return {};
  }
  Undo CutFromStore() { return DisturbRelay(*fleet_.nodes()[RandomNodeIndex()].store_relay); }
  Undo CutSchedulerFromStore() {
    return DisturbRelay(*fleet_.nodes()[fleet_.SchedulerIndexOr(RandomNodeIndex())].store_relay);
  }
  Undo CutFromPeers() { return DisturbRelay(*fleet_.nodes()[RandomNodeIndex()].peer_relay); }
  Undo CutSchedulerFromPeers() {
    return DisturbRelay(*fleet_.nodes()[fleet_.SchedulerIndexOr(RandomNodeIndex())].peer_relay);
  }
  Undo CutFromWorker() { return DisturbRelay(*RandomNode(false).worker_relay); }
  Undo CutFromCallers() { return DisturbRelay(*RandomNode(true).caller_relay); }
  Undo SilenceAll() {
    for (SoakNode& node : fleet_.nodes()) {
      node.store_relay->SilenceOpenConnections();
      node.peer_relay->SilenceOpenConnections();
      if (node.worker_relay) node.worker_relay->SilenceOpenConnections();
      if (node.caller_relay) node.caller_relay->SilenceOpenConnections();
    }
    return {};
  }
  Undo CrashWorker() {
    fleet_.RestartWorker(RandomBelow(fleet_.workers()));
    return {};
  }
  Undo ChangeConfiguration() {
    ++version_;
    fleet_.WithStore([&](PlatformStoreStandin& store) {
      store.Put(kConfigKey, Configuration(version_, ApiKey(version_)));
    });
    return {};
  }
  Undo Evacuate() {
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

  Undo RefuseWorkerConnections() {
    Relay& relay = *RandomNode(false).worker_relay;
    relay.RefuseConnections(true);
    return [&relay] { relay.RefuseConnections(false); };
  }
  Undo AnnounceForeign() {
    fleet_.AnnounceForeign(RandomBelow(fleet_.workers()), RandomBelow(2) == 0);
    return {};
  }
  /// Kills an agent whose reports are held back, and starts it again at once. The reports arrive
  /// when the fault ends, after those of the new process.
  Undo DelayReportsOfKilledAgent() {
    Relay& relay = *fleet_.nodes()[fleet_.SchedulerIndexOr(RandomNodeIndex())].peer_relay;
    relay.HoldOpenConnections();
    RunLoadFor(static_cast<std::int64_t>(200 + RandomBelow(800)));
    SoakNode& node = RandomNode(false);
    SoakFleet::Signal(node, SIGKILL);
    SoakFleet::WaitForEnd(node, kStopLimit);
    if (node.pid <= 0) fleet_.Start(node);
    return [&relay] { relay.ReleaseHeldConnections(); };
  }
  Undo PauseEntry() {
    // The entries are the first nodes.
    return PauseNode(RandomBelow(fleet_.CallerAddresses().size()));
  }

  static constexpr std::array<FaultKind, 8> kServerFaultKinds = {{
      {"backend server refuses connections", &Soak::RefuseWorkerConnections},
      {"foreign announcement", &Soak::AnnounceForeign},
      {"late reports of a killed agent", &Soak::DelayReportsOfKilledAgent},
      {"pause entry", &Soak::PauseEntry},
      {"cut from backend server", &Soak::CutFromWorker},
      {"backend server crashes", &Soak::CrashWorker},
      {"kill", &Soak::Kill},
      {"kill scheduler", &Soak::KillScheduler},
  }};
  static constexpr std::array<FaultKind, 23> kFaultKinds = {{
      {"kill", &Soak::Kill},
      {"kill scheduler", &Soak::KillScheduler},
      {"kill all", &Soak::KillAll},
      {"pause", &Soak::Pause},
      {"pause scheduler", &Soak::PauseScheduler},
      {"graceful stop", &Soak::StopGracefully},
      {"reload", &Soak::Reload},
      {"store busy", &Soak::StoreBusy},
      {"store silent", &Soak::StoreSilent},
      {"store answers lost", &Soak::StoreLost},
      {"store writes late", &Soak::StoreLate},
      {"store history dropped", &Soak::ForgetHistory},
      {"cut from store", &Soak::CutFromStore},
      {"cut scheduler from store", &Soak::CutSchedulerFromStore},
      {"cut from peers", &Soak::CutFromPeers},
      {"cut scheduler from peers", &Soak::CutSchedulerFromPeers},
      {"cut from backend server", &Soak::CutFromWorker},
      {"cut from callers", &Soak::CutFromCallers},
      {"silence all connections", &Soak::SilenceAll},
      {"backend server crashes", &Soak::CrashWorker},
      {"configuration", &Soak::ChangeConfiguration},
      {"evacuation", &Soak::Evacuate},
      {"planned work", nullptr},
  }};

  std::uint64_t RandomBelow(std::uint64_t below) { return random_() % below; }
  std::size_t RandomNodeIndex() { return RandomBelow(fleet_.nodes().size()); }
  SoakNode& RandomNode(bool entry) {
    std::size_t i = RandomNodeIndex();
    while (fleet_.nodes()[i].entry != entry) i = (i + 1) % fleet_.nodes().size();
    return fleet_.nodes()[i];
  }
  static std::string ApiKey(int version) { return fmt::format("key-{}", version); }

  Undo KillNode(std::size_t index) {
    SoakNode& node = fleet_.nodes()[index];
    if (node.pid <= 0) return {};
    SoakFleet::Signal(node, SIGKILL);
    SoakFleet::WaitForEnd(node, kStopLimit);
    return [this, &node] {
      if (node.pid <= 0) fleet_.Start(node);
    };
  }
  static void Resume(SoakNode& node) {
    if (node.paused) SoakFleet::Signal(node, SIGCONT);
    node.paused = false;
  }
  Undo PauseNode(std::size_t index) {
    SoakNode& node = fleet_.nodes()[index];
    if (node.pid <= 0 || node.paused) return {};
    SoakFleet::Signal(node, SIGSTOP);
    node.paused = true;
    return [&node] { Resume(node); };
  }
  Undo StopNode(std::size_t index) {
    SoakNode& node = fleet_.nodes()[index];
    if (node.pid <= 0) return {};
    Resume(node);
    SoakFleet::Signal(node, SIGTERM);
    return [this, &node, pid = node.pid] {
      Resume(node);
      // Another fault has killed this process, and starts or has started the next one.
      if (node.pid != pid) return;
      if (!SoakFleet::WaitForEnd(node, kStopLimit)) {
        SoakFleet::Signal(node, SIGKILL);
        SoakFleet::WaitForEnd(node, kStopLimit);
      }
      fleet_.Start(node);
    };
  }
  Undo SetStoreMode(const std::string& mode) {
    fleet_.WithStore([&](PlatformStoreStandin& store) { store.SetMode(mode); });
    return [this] { fleet_.WithStore([](PlatformStoreStandin& store) { store.SetMode("none"); }); };
  }
  /// Cuts one or both directions of the relay, closes its open connections or silences them.
  Undo DisturbRelay(Relay& relay) {
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

  /// Waits for a time, during which jobs are submitted if the load is enabled.
  void RunLoadFor(std::int64_t milliseconds) {
    for (const std::int64_t end_ms = NowMs() + milliseconds; NowMs() < end_ms;) {
      if (load_enabled_ && NowMs() >= next_submit_ms_) {
        callers_.SubmitNextJob();
        next_submit_ms_ = NowMs() + kSubmitIntervalMs;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(kLoadTick.milliseconds()));
    }
  }

  /// Begins one to three overlapping faults, ends them, and waits.
  template <std::size_t kKinds>
  void RunFaultRound(const std::array<FaultKind, kKinds>& kinds) {
    std::vector<Undo> undos;
    const std::uint64_t count = 1 + RandomBelow(3);
    for (std::uint64_t i = 0; i < count; ++i) {
      const FaultKind& kind = kinds[RandomBelow(kinds.size())];
      fmt::print("{} {}\n", NowMs(), kind.name);
      if (kind.begin == nullptr) {
        // The effects of faults of this round that are still active would be attributed to the
        // planned work.
        if (undos.empty()) RunPlannedWork();
        continue;
      }
      Undo undo = (this->*kind.begin)();
      if (undo) undos.push_back(std::move(undo));
      RunLoadFor(static_cast<std::int64_t>(RandomBelow(1500)));
    }
    RunLoadFor(static_cast<std::int64_t>(300 + RandomBelow(5000)));
    while (!undos.empty()) {
      undos.back()();
      undos.pop_back();
      RunLoadFor(static_cast<std::int64_t>(RandomBelow(800)));
    }
    RecordUnexpectedExits();
    RunLoadFor(static_cast<std::int64_t>(RandomBelow(2500)));
  }

  /// Stops an entry gracefully, beside up to four further stops, reloads and changes of the
  /// configuration. No fault is active but that the store may fail, because an entry that stops
  /// answers what it has read also then.
  void RunPlannedWork() {
    RunLoadFor(kCalmMs);
    static constexpr std::array<const char*, 4> kStoreModes = {"none", "late", "lost", "silent"};
    const std::string mode = kStoreModes[planned_random_() % kStoreModes.size()];
    fmt::print("{} store {}\n", NowMs(), mode);
    fleet_.WithStore([&](PlatformStoreStandin& store) { store.SetMode(mode); });
    const std::size_t first_reload = record_.reloads.size();
    BeginStop(RandomNode(true));
    for (std::uint64_t left = planned_random_() % 5; left > 0; --left) {
      WaitDuringStops(static_cast<std::int64_t>(planned_random_() % 1200));
      SoakNode& node = fleet_.nodes()[planned_random_() % fleet_.CallerAddresses().size()];
      switch (planned_random_() % 4) {
        case 0:
          // At least one entry stays.
          if (stops_.size() + 1 < fleet_.CallerAddresses().size()) BeginStop(node);
          break;
        case 1:
          ChangeConfiguration();
          break;
        default:
          fmt::print("{} reload {}\n", NowMs(), node.name);
          std::ofstream(node.settings_file, std::ios::app) << "\n";
          SoakFleet::Signal(node, SIGHUP);
          record_.reloads.push_back({node.name, NowMs(), 0});
      }
    }
    while (!stops_.empty()) WaitDuringStops(kLoadTick.milliseconds());
    fleet_.WithStore([](PlatformStoreStandin& store) { store.SetMode("none"); });
    RunLoadFor(1500);
    for (std::size_t i = first_reload; i < record_.reloads.size(); ++i) {
      record_.reloads[i].calm_until_ms = NowMs();
    }
  }

  /// Sends SIGTERM, also if the entry is stopping already.
  void BeginStop(SoakNode& node) {
    fmt::print("{} stop {}\n", NowMs(), node.name);
    SoakFleet::Signal(node, SIGTERM);
    stops_.try_emplace(&node, NowMs());
  }

  /// Waits, and meanwhile starts stopped entries again.
  void WaitDuringStops(std::int64_t milliseconds) {
    for (const std::int64_t end_ms = NowMs() + milliseconds; NowMs() < end_ms;) {
      RunLoadFor(kLoadTick.milliseconds());
      std::erase_if(stops_, [this](const auto& stop) {
        const auto& [node, signalled_ms] = stop;
        const bool ended = SoakFleet::WaitForEnd(*node, Duration(0));
        if (!ended && NowMs() - signalled_ms < kStopLimit.milliseconds()) return false;
        record_.stops.push_back({node->name, signalled_ms, NowMs()});
        if (!ended) SoakFleet::Signal(*node, SIGKILL);
        SoakFleet::WaitForEnd(*node, kStopLimit);
        fleet_.Start(*node);
        return true;
      });
    }
  }

  void RecordUnexpectedExits() {
    for (const std::string& name : fleet_.TakeUnexpectedExits()) {
      record_.events.push_back(fmt::format("{} exited unexpectedly at {}", name, NowMs()));
      for (SoakNode& node : fleet_.nodes()) {
        if (node.name == name) fleet_.Start(node);
      }
    }
  }

  /// Returns whether each entry answers 200 or 503 to the API key of the newest configuration, and
  /// 401 to that of the configuration before it.
  bool NewestConfigurationInForce() {
    for (std::size_t i = 0; i < fleet_.CallerAddresses().size(); ++i) {
      const int newest = callers_.StatusWithKey(i, ApiKey(version_));
      const int former = callers_.StatusWithKey(i, ApiKey(version_ - 1));
      if ((newest != 200 && newest != 503) || former != 401) return false;
    }
    return true;
  }
  bool WaitForConfiguration() {
    for (const std::int64_t end_ms = NowMs() + kReadyLimit.milliseconds(); NowMs() < end_ms;) {
      if (NewestConfigurationInForce()) return true;
      RunLoadFor(100);
    }
    return false;
  }

  void WaitUntilSettled() {
    if (!WaitForConfiguration()) {
      record_.events.push_back(
          fmt::format("configuration version {} is not in force at all entries", version_));
    }
    for (const std::int64_t end_ms = NowMs() + kSettleLimit.milliseconds();
         NowMs() < end_ms && callers_.open() > 0;) {
      RunLoadFor(200);
    }
    // Covers the bound for cancellations and the last queries of the callers.
    RunLoadFor(10000);
    callers_.QueryAllOnce();
    for (const std::int64_t end_ms = NowMs() + kSettleLimit.milliseconds();
         NowMs() < end_ms && callers_.open() > 0;) {
      RunLoadFor(200);
    }
    RecordUnexpectedExits();
    record_.settled_ms = NowMs();
  }

  int Report() {
    callers_.Collect(record_);
    record_.runs = fleet_.Runs();
    record_.capacity = static_cast<int>(fleet_.workers()) * PlatformWorkerStandin::kAccelerators;
    const SoakVerdict verdict = CheckSoakRecord(record_);
    for (const auto& [what, count] : verdict.checked) fmt::print("checked {}: {}\n", what, count);
    for (const std::string& violation : verdict.violations) fmt::print("BROKEN {}\n", violation);
    fmt::print("soak: {} broken\n", verdict.violations.size());
    return verdict.violations.empty() ? 0 : 1;
  }

  std::mt19937_64 random_;
  /// Separate, so that the faults that follow from a seed don't depend on the planned work.
  std::mt19937_64 planned_random_;
  const Duration length_;
  const SoakFaults faults_;
  SoakRecord record_;
  int version_ = 1;
  bool load_enabled_ = false;
  std::int64_t next_submit_ms_ = 0;
  std::set<std::string> evacuated_;
  /// The entries that are stopping for planned work, and when they got the signal.
  std::map<SoakNode*, std::int64_t> stops_;
  SoakFleet fleet_;
  SoakCallers callers_;
};

SoakFaults KindsOf(const std::string& name) {
  if (name == "planned") return SoakFaults::kPlanned;
  return name == "servers" ? SoakFaults::kServers : SoakFaults::kAll;
}

}  // namespace

int RunSoak(int argc, char** argv) {
  TCLAP::CmdLine command_line("Runs a soak test with faults that follow from a seed", ' ', "1");
  TCLAP::ValueArg<std::string> program("", "program", "Program under test", true, "", "FILE",
                                       command_line);
  TCLAP::ValueArg<std::string> folder("", "folder", "Directory for settings and logs", true, "",
                                      "DIR", command_line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed", false, 1, "N", command_line);
  TCLAP::ValueArg<int> seconds("", "seconds", "Seconds during which jobs are submitted", false, 60,
                               "N", command_line);
  TCLAP::ValueArg<int> entries("", "entries", "Entries", false, 3, "N", command_line);
  TCLAP::ValueArg<int> agents("", "agents", "Agents", false, 5, "N", command_line);
  TCLAP::ValueArg<int> network("", "network", "Second byte of the loopback addresses", false, 40,
                               "N", command_line);
  TCLAP::ValuesConstraint<std::string> fault_names({"all", "planned", "servers"});
  TCLAP::ValueArg<std::string> faults("", "faults", "Kinds of faults", false, "all", &fault_names,
                                      command_line);
  command_line.parse(argc, argv);
  SoakFleetOptions options;
  options.network = network.getValue();
  options.program = program.getValue();
  options.folder = folder.getValue();
  options.entries = entries.getValue();
  options.agents = agents.getValue();
  options.seed = seed.getValue();
  return Soak(options, Duration::Seconds(seconds.getValue()), KindsOf(faults.getValue())).Run();
}

}  // namespace basilspring::standin
