#include "standin/soak_main.h"

#include <fmt/format.h>
#include <signal.h>
#include <tclap/CmdLine.h>

#include <array>
#include <cstdio>
#include <fstream>
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
// Jobs a second; at most about half of what the backend servers hold.
constexpr std::int64_t kSubmitIntervalMs = 250;
constexpr Duration kStep(20);
// The longest lease and the longest backoff are over by then.
constexpr Duration kSettleLimit = Duration::Seconds(60);
constexpr Duration kReadyLimit = Duration::Seconds(20);
// Time between SIGTERM and SIGKILL, with a second for a busy machine to notice the end.
constexpr Duration kStopLimit = Duration::Seconds(7);

std::int64_t NowMs() { return Clock::Now().milliseconds(); }

std::string Configuration(int version, const std::string& second_key) {
  return fmt::format(
      R"({{"version":{},"routes":[{{"name":"quotes","host":"127.0.0.1","prefix":"/q/",)"
      R"("service":"planner","priority":0,"max_attempts":4,"stretch":1.5,)"
      R"("target_duration_ms":400}}],"services":[{{"name":"planner","enforces_capacity":true}}],)"
      R"("tenants":[{{"name":"shop","api_keys":["secret","{}"],"guaranteed":{{"gpu":8}}}}]}})",
      version, second_key);
}

class Soak {
 public:
  Soak(const SoakFleetOptions& options, Duration length)
      : random_(options.seed),
        length_(length),
        fleet_(options),
        callers_(fleet_.io(), fleet_.http(), fleet_.CallerAddresses(), options.seed) {}

  int Run() {
    // A log that ends in the middle still tells what came before.
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    fleet_.WithStore([&](PlatformStoreStandin& store) {
      store.Put(kConfigKey, Configuration(version_, Key(version_)));
    });
    for (SoakNode& node : fleet_.nodes()) fleet_.Start(node);
    if (!WaitForKey()) record_.events.emplace_back("the entries are not ready in time");
    const std::int64_t end_ms = NowMs() + length_.milliseconds();
    loaded_ = true;
    while (NowMs() < end_ms) Round();
    loaded_ = false;
    Settle();
    return Report();
  }

 private:
  using Undo = std::function<void()>;
  struct Kind {
    const char* name;
    /// nullptr for a graceful stop, which is judged and so must not overlap with other faults.
    Undo (Soak::*begin)();
  };

  // Faults. Each begins and returns what ends it; an empty function when it has ended already.
  Undo Kill() { return KillNode(Pick()); }
  Undo KillScheduler() { return KillNode(fleet_.SchedulerOr(Pick())); }
  Undo KillAll() {
    std::vector<Undo> undos;
    for (std::size_t i = 0; i < fleet_.nodes().size(); ++i) {
      if (Undo undo = KillNode(i)) undos.push_back(std::move(undo));
    }
    return [undos] {
      for (const Undo& undo : undos) undo();
    };
  }
  Undo Pause() { return PauseNode(Pick()); }
  Undo PauseScheduler() { return PauseNode(fleet_.SchedulerOr(Pick())); }
  Undo StopGracefully() { return StopNode(Pick()); }
  Undo Reload() {
    SoakNode& node = fleet_.nodes()[Pick()];
    std::ofstream(node.settings_file, std::ios::app) << "\n";
    if (Draw(2) == 0) SoakFleet::Signal(node, SIGHUP);
    return {};
  }
  Undo StoreBusy() { return StoreMode("busy"); }
  Undo StoreSilent() { return StoreMode("silent"); }
  Undo StoreLost() { return StoreMode("lost"); }
  Undo StoreLate() { return StoreMode("late"); }
  Undo ForgetHistory() {
    fleet_.WithStore([](PlatformStoreStandin& store) { store.ForgetHistory(); });
    return {};
  }
  Undo CutFromStore() { return Disturb(*fleet_.nodes()[Pick()].store_relay); }
  Undo CutSchedulerFromStore() {
    return Disturb(*fleet_.nodes()[fleet_.SchedulerOr(Pick())].store_relay);
  }
  Undo CutFromPeers() { return Disturb(*fleet_.nodes()[Pick()].peer_relay); }
  Undo CutSchedulerFromPeers() {
    return Disturb(*fleet_.nodes()[fleet_.SchedulerOr(Pick())].peer_relay);
  }
  Undo CutFromWorker() { return Disturb(*PickOf(false).worker_relay); }
  Undo CutFromCallers() { return Disturb(*PickOf(true).caller_relay); }
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
    fleet_.RestartWorker(Draw(fleet_.workers()));
    return {};
  }
  Undo ChangeConfiguration() {
    ++version_;
    fleet_.WithStore([&](PlatformStoreStandin& store) {
      store.Put(kConfigKey, Configuration(version_, Key(version_)));
    });
    return {};
  }
  Undo Evacuate() {
    const std::string zone = Draw(2) == 0 ? "east" : "west";
    if (!evacuated_.insert(zone).second) return {};
    fleet_.WithStore([&](PlatformStoreStandin& store) { store.Put(kEvacuatePrefix + zone, "{}"); });
    const std::int64_t begun_ms = NowMs();
    return [this, zone, begun_ms] {
      record_.evacuations.push_back({zone, begun_ms, NowMs()});
      fleet_.WithStore([&](PlatformStoreStandin& store) { store.Erase(kEvacuatePrefix + zone); });
      evacuated_.erase(zone);
    };
  }

  static constexpr std::array<Kind, 23> kKinds = {{
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
      {"graceful stop alone", nullptr},
  }};

  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }
  std::size_t Pick() { return Draw(fleet_.nodes().size()); }
  SoakNode& PickOf(bool entry) {
    std::size_t i = Pick();
    while (fleet_.nodes()[i].entry != entry) i = (i + 1) % fleet_.nodes().size();
    return fleet_.nodes()[i];
  }
  static std::string Key(int version) { return fmt::format("key-{}", version); }

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
      // Another fault has ended it, and starts it or has started it.
      if (node.pid != pid) return;
      if (!SoakFleet::WaitForEnd(node, kStopLimit)) {
        SoakFleet::Signal(node, SIGKILL);
        SoakFleet::WaitForEnd(node, kStopLimit);
      }
      fleet_.Start(node);
    };
  }
  Undo StoreMode(const std::string& mode) {
    fleet_.WithStore([&](PlatformStoreStandin& store) { store.SetMode(mode); });
    return [this] { fleet_.WithStore([](PlatformStoreStandin& store) { store.SetMode("none"); }); };
  }
  /// Cuts, delays, resets or silences what goes through the relay.
  Undo Disturb(Relay& relay) {
    switch (Draw(5)) {
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

  /// Lets time pass under load, and notices processes that end.
  void Pass(std::int64_t milliseconds) {
    for (const std::int64_t end_ms = NowMs() + milliseconds; NowMs() < end_ms;) {
      if (loaded_ && NowMs() >= next_submit_ms_) {
        callers_.SubmitOne();
        next_submit_ms_ = NowMs() + kSubmitIntervalMs;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(kStep.milliseconds()));
    }
  }

  /// One to three faults that overlap, and a pause.
  void Round() {
    std::vector<Undo> undos;
    const std::uint64_t count = 1 + Draw(3);
    for (std::uint64_t i = 0; i < count; ++i) {
      const Kind& kind = kKinds[Draw(kKinds.size())];
      fmt::print("{} {}\n", NowMs(), kind.name);
      if (kind.begin == nullptr) {
        // Faults of this round that have not ended yet would be blamed on the stop.
        if (undos.empty()) StopAlone();
        continue;
      }
      Undo undo = (this->*kind.begin)();
      if (undo) undos.push_back(std::move(undo));
      Pass(static_cast<std::int64_t>(Draw(1500)));
    }
    Pass(static_cast<std::int64_t>(300 + Draw(5000)));
    while (!undos.empty()) {
      undos.back()();
      undos.pop_back();
      Pass(static_cast<std::int64_t>(Draw(800)));
    }
    NoteEnds();
    Pass(static_cast<std::int64_t>(Draw(2500)));
  }

  /// A graceful stop of an entry in a fleet without other faults.
  void StopAlone() {
    Pass(4000);
    SoakNode& node = PickOf(true);
    const std::int64_t signalled_ms = NowMs();
    SoakFleet::Signal(node, SIGTERM);
    while (!SoakFleet::WaitForEnd(node, Duration(0)) &&
           NowMs() - signalled_ms < kStopLimit.milliseconds()) {
      Pass(kStep.milliseconds());
    }
    record_.stops.push_back({node.name, signalled_ms, NowMs()});
    if (node.pid > 0) {
      SoakFleet::Signal(node, SIGKILL);
      SoakFleet::WaitForEnd(node, kStopLimit);
    }
    fleet_.Start(node);
    Pass(1500);
  }

  void NoteEnds() {
    for (const std::string& name : fleet_.EndedByThemselves()) {
      record_.events.push_back(fmt::format("{} ended by itself at {}", name, NowMs()));
      for (SoakNode& node : fleet_.nodes()) {
        if (node.name == name) fleet_.Start(node);
      }
    }
  }

  /// Whether each entry has the newest configuration and none of the older ones.
  bool KeysInForce() {
    for (std::size_t i = 0; i < fleet_.CallerAddresses().size(); ++i) {
      const int newest = callers_.StatusWithKey(i, Key(version_));
      const int former = callers_.StatusWithKey(i, Key(version_ - 1));
      if ((newest != 200 && newest != 503) || former != 401) return false;
    }
    return true;
  }
  bool WaitForKey() {
    for (const std::int64_t end_ms = NowMs() + kReadyLimit.milliseconds(); NowMs() < end_ms;) {
      if (KeysInForce()) return true;
      Pass(100);
    }
    return false;
  }

  void Settle() {
    if (!WaitForKey()) {
      record_.events.push_back(fmt::format("version {} is not in force everywhere", version_));
    }
    for (const std::int64_t end_ms = NowMs() + kSettleLimit.milliseconds();
         NowMs() < end_ms && callers_.open() > 0;) {
      Pass(200);
    }
    // The bound for cancellations, and the last looks of the callers.
    Pass(10000);
    NoteEnds();
    record_.settled_ms = NowMs();
  }

  int Report() {
    callers_.Collect(record_);
    record_.runs = fleet_.Runs();
    const SoakVerdict verdict = JudgeSoak(record_);
    for (const auto& [what, count] : verdict.checked) fmt::print("checked {}: {}\n", what, count);
    for (const std::string& broken : verdict.broken) fmt::print("BROKEN {}\n", broken);
    fmt::print("soak: {} broken\n", verdict.broken.size());
    return verdict.broken.empty() ? 0 : 1;
  }

  std::mt19937_64 random_;
  const Duration length_;
  SoakRecord record_;
  int version_ = 1;
  bool loaded_ = false;
  std::int64_t next_submit_ms_ = 0;
  std::set<std::string> evacuated_;
  SoakFleet fleet_;
  SoakCallers callers_;
};

}  // namespace

int RunSoak(int argc, char** argv) {
  TCLAP::CmdLine command_line("Soak under faults that follow from a seed", ' ', "1");
  TCLAP::ValueArg<std::string> program("", "program", "Program under test", true, "", "FILE",
                                       command_line);
  TCLAP::ValueArg<std::string> folder("", "folder", "For settings and logs", true, "", "DIR",
                                      command_line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed", false, 1, "N", command_line);
  TCLAP::ValueArg<int> seconds("", "seconds", "Length of the load", false, 60, "N", command_line);
  TCLAP::ValueArg<int> entries("", "entries", "Entries", false, 3, "N", command_line);
  TCLAP::ValueArg<int> agents("", "agents", "Agents", false, 5, "N", command_line);
  TCLAP::ValueArg<int> network("", "network", "Second byte of the loopback addresses", false, 40,
                               "N", command_line);
  command_line.parse(argc, argv);
  SoakFleetOptions options;
  options.network = network.getValue();
  options.program = program.getValue();
  options.folder = folder.getValue();
  options.entries = entries.getValue();
  options.agents = agents.getValue();
  options.seed = seed.getValue();
  return Soak(options, Duration::Seconds(seconds.getValue())).Run();
}

}  // namespace basilspring::standin
