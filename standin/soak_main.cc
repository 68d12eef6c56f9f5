#include "standin/soak_main.h"

#include <fmt/format.h>
#include <signal.h>
#include <tclap/CmdLine.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <map>
#include <random>
#include <string>
#include <thread>

#include "basilspring/clock.h"
#include "standin/soak_callers.h"
#include "standin/soak_faults.h"
#include "standin/soak_fleet.h"

namespace basilspring::standin {
namespace {

constexpr const char* kConfigKey = "op/config";
// 4 jobs per second use at most about half of the capacity of the backend servers.
constexpr std::int64_t kSubmitIntervalMs = 250;
constexpr Duration kLoadTick(20);
constexpr Duration kConditionTick(2);
// Longer than the longest lease and the longest backoff.
constexpr Duration kSettleLimit = Duration::Seconds(60);
constexpr Duration kReadyLimit = Duration::Seconds(20);
// Time after which the users no longer attribute effects to a fault that has ended.
constexpr std::int64_t kCalmMs = 4000;

std::int64_t NowMs() { return Clock::Now().milliseconds(); }

/// Returns a configuration. Batch jobs have a queue of their own, which urgent ones may preempt.
std::string Configuration(int version, const std::string& second_key, SoakTraffic traffic) {
  const auto route = [](const char* name, const char* prefix, int priority) {
    return fmt::format(R"({{"name":"{}","host":"127.0.0.1","prefix":"{}","service":"planner",)"
                       R"("priority":{},"max_attempts":4,"stretch":1.5,)"
                       R"("target_duration_ms":400}})",
                       name, prefix, priority);
  };
  std::string routes = route("quotes", kUrgentPrefix, 0);
  if (traffic == SoakTraffic::kThreeKinds) routes += "," + route("batch", kBatchPrefix, 1);
  return fmt::format(
      R"({{"version":{},"routes":[{}],"services":[{{"name":"planner","enforces_capacity":true}}],)"
      R"("tenants":[{{"name":"shop","api_keys":["secret","{}"],"guaranteed":{{"gpu":8}}}}]}})",
      version, routes, second_key);
}

class Soak {
 public:
  Soak(const SoakFleetOptions& options, Duration length, SoakFaultSet fault_set,
       SoakTraffic traffic)
      : planned_random_(options.seed),
        length_(length),
        fault_set_(fault_set),
        traffic_(traffic),
        fleet_(options),
        callers_(fleet_.io(), fleet_.http(), fleet_.CallerAddresses(), options.seed, traffic),
        faults_(fleet_, record_, options.seed,
                {[this](std::int64_t milliseconds, const std::function<bool()>& condition) {
                   RunLoadFor(milliseconds, condition);
                 },
                 [this] { RunPlannedWork(); }, [this] { ChangeConfiguration(); },
                 [this] { return callers_.accepted(); }}) {}

  int Run() {
    // Line buffering, so that the log is complete up to the last line if the soak is killed.
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    WriteConfiguration();
    for (SoakNode& node : fleet_.nodes()) fleet_.Start(node);
    if (!WaitForConfiguration()) {
      record_.events.emplace_back("the entries did not become ready in time");
    }
    const std::int64_t end_ms = NowMs() + length_.milliseconds();
    load_enabled_ = true;
    while (NowMs() < end_ms) {
      if (fault_set_ == SoakFaultSet::kPlanned) {
        RunPlannedWork();
      } else {
        faults_.RunRound(fault_set_);
      }
    }
    if (fault_set_ == SoakFaultSet::kStore) faults_.LosePower();
    load_enabled_ = false;
    record_.quiet_from_ms = NowMs();
    WaitUntilSettled();
    return Report();
  }

 private:
  static std::string ApiKey(int version) { return fmt::format("key-{}", version); }

  void WriteConfiguration() {
    fleet_.WithStore([&](PlatformStoreStandin& store) {
      store.Put(kConfigKey, Configuration(version_, ApiKey(version_), traffic_));
    });
  }
  void ChangeConfiguration() {
    ++version_;
    WriteConfiguration();
  }

  /// Waits for a time, or until the condition holds if there is one. Jobs are submitted meanwhile
  /// if the load is enabled.
  void RunLoadFor(std::int64_t milliseconds, const std::function<bool()>& condition = nullptr) {
    const Duration tick = condition ? kConditionTick : kLoadTick;
    for (const std::int64_t end_ms = NowMs() + milliseconds; NowMs() < end_ms;) {
      if (condition && condition()) return;
      if (load_enabled_ && NowMs() >= next_submit_ms_) {
        callers_.SubmitNextJob();
        next_submit_ms_ = NowMs() + kSubmitIntervalMs;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(tick.milliseconds()));
    }
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
    BeginStop(faults_.RandomNode(true));
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
        if (!ended && NowMs() - signalled_ms < SoakFleet::kStopLimit.milliseconds()) return false;
        record_.stops.push_back({node->name, signalled_ms, NowMs()});
        if (!ended) SoakFleet::Signal(*node, SIGKILL);
        SoakFleet::WaitForEnd(*node, SoakFleet::kStopLimit);
        fleet_.Start(*node);
        return true;
      });
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
    faults_.RecordUnexpectedExits();
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

  /// Separate, so that the faults that follow from a seed don't depend on the planned work.
  std::mt19937_64 planned_random_;
  const Duration length_;
  const SoakFaultSet fault_set_;
  const SoakTraffic traffic_;
  SoakRecord record_;
  int version_ = 1;
  bool load_enabled_ = false;
  std::int64_t next_submit_ms_ = 0;
  /// The entries that are stopping for planned work, and when they got the signal.
  std::map<SoakNode*, std::int64_t> stops_;
  SoakFleet fleet_;
  SoakCallers callers_;
  SoakFaults faults_;
};

SoakFaultSet FaultSetOf(const std::string& name) {
  if (name == "planned") return SoakFaultSet::kPlanned;
  if (name == "servers") return SoakFaultSet::kServers;
  if (name == "refusals") return SoakFaultSet::kRefusals;
  return name == "store" ? SoakFaultSet::kStore : SoakFaultSet::kAll;
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
  TCLAP::ValuesConstraint<std::string> fault_names(
      {"all", "planned", "servers", "store", "refusals"});
  TCLAP::ValueArg<std::string> faults("", "faults", "Kinds of faults", false, "all", &fault_names,
                                      command_line);
  TCLAP::ValuesConstraint<std::string> shape_names({"small", "ondh"});
  TCLAP::ValueArg<std::string> shape(
      "", "shape", "Data centres and jobs: 2 data centres, or 3 as on the users' site ondh", false,
      "small", &shape_names, command_line);
  command_line.parse(argc, argv);
  SoakFleetOptions options;
  options.network = network.getValue();
  options.program = program.getValue();
  options.folder = folder.getValue();
  options.entries = entries.getValue();
  options.agents = agents.getValue();
  options.seed = seed.getValue();
  const SoakFaultSet fault_set = FaultSetOf(faults.getValue());
  const bool ondh = shape.getValue() == "ondh";
  options.data_centres = ondh ? 3 : 2;
  // Both variants keep to the users' protocol. Each seed plays one of them, so that a fault that
  // needs the one doesn't hide faults of the other.
  if (fault_set == SoakFaultSet::kStore && seed.getValue() % 2 == 0) {
    options.acknowledges = PlatformWorkerStandin::Acknowledges::kAlsoLaterEnds;
    fmt::print("acknowledgements apply to later ends\n");
  }
  return Soak(options, Duration::Seconds(seconds.getValue()), fault_set,
              ondh ? SoakTraffic::kThreeKinds : SoakTraffic::kMixed)
      .Run();
}

}  // namespace basilspring::standin
