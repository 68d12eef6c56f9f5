#ifndef BASILSPRING_STANDIN_SOAK_FAULTS_H_
#define BASILSPRING_STANDIN_SOAK_FAULTS_H_

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <span>
#include <string>

#include "standin/relay.h"
#include "standin/soak_fleet.h"
#include "standin/soak_rules.h"

namespace basilspring::standin {

/// The kinds of faults of a soak.
enum class SoakFaultSet : std::uint8_t {
  /// All kinds but those that were added for the sets below. Each set has a list of its own,
  /// so that a kept seed draws the same faults as before.
  kAll,
  /// Planned work only.
  kPlanned,
  /// Faults between agents, their backend servers and the scheduler.
  kServers,
  /// Incomplete, lost and late answers of the store, together with lost schedulers, agents and
  /// backend servers.
  kStore,
  /// Backend servers that refuse starts, together with lost schedulers, agents and backend servers.
  kRefusals,
};

/// What the faults need of the soak.
struct SoakFaultHooks {
  /// Waits for a time in milliseconds, during which jobs are submitted, or until the condition
  /// holds if there is one.
  std::function<void(std::int64_t, const std::function<bool()>&)> run_load;
  /// Runs planned work, whose effects on callers are checked and which must therefore not overlap
  /// with other faults.
  std::function<void()> run_planned_work;
  std::function<void()> change_configuration;
  /// Returns the number of jobs whose submission was answered with a 2xx status.
  std::function<std::size_t()> accepted_jobs;
};

/// Injects faults into a fleet. The kinds and times follow from the seed.
class SoakFaults {
 public:
  SoakFaults(SoakFleet& fleet, SoakRecord& record, std::uint64_t seed, SoakFaultHooks hooks);

  /// Begins one to three overlapping faults of the set, ends them, and waits.
  void RunRound(SoakFaultSet set);
  /// Kills all processes at the same moment, just after a task has ended, an end was acknowledged
  /// or a job was accepted, and starts them again a second later. The backend servers may restart
  /// and the store may be faulty meanwhile. Returns when the traffic has gone on for a while.
  void LosePower();
  /// Returns a random entry or agent.
  SoakNode& RandomNode(bool entry);
  /// Adds the processes that have exited unexpectedly to the record, and starts them again.
  void RecordUnexpectedExits();

 private:
  using Undo = std::function<void()>;
  struct FaultKind {
    const char* name;
    /// nullptr for planned work.
    Undo (SoakFaults::*begin)();
  };
  static std::span<const FaultKind> KindsOf(SoakFaultSet set);

  // Each of these begins a fault and returns the function that ends it, or an empty function if
  // nothing remains to be ended.
  Undo Kill();
  Undo KillScheduler();
  Undo KillAgent();
  Undo KillAll();
  Undo Pause();
  Undo PauseScheduler();
  Undo PauseEntry();
  Undo PauseAgent();
  Undo StopGracefully();
  Undo Reload();
  Undo StoreBusy();
  Undo StoreSilent();
  Undo StoreLost();
  Undo StoreLate();
  Undo StoreTorn();
  Undo StoreUncertain();
  Undo ForgetHistory();
  Undo CutFromStore();
  Undo CutSchedulerFromStore();
  Undo CutFromPeers();
  Undo CutSchedulerFromPeers();
  Undo CutFromWorker();
  Undo CutFromCallers();
  Undo SilenceAll();
  Undo CrashWorker();
  Undo RestartWorkerUnderItsId();
  Undo RestartWorkerAndAgent();
  Undo DelayCallsToRestartedWorker();
  Undo ChangeConfiguration();
  Undo Evacuate();
  Undo RefuseWorkerConnections();
  Undo RefuseOrders();
  Undo AnnounceForeign();
  Undo DelayReportsOfKilledAgent();

  Undo KillNode(std::size_t index);
  Undo PauseNode(std::size_t index);
  Undo StopNode(std::size_t index);
  Undo SetStoreMode(const std::string& mode, int percent = 100);
  Undo DisturbRelay(Relay& relay);
  void RestartWorkerUnderItsId(std::size_t worker, std::int64_t earliest_announcement_ms);

  std::uint64_t RandomBelow(std::uint64_t below) { return random_() % below; }
  std::int64_t RandomMsBelow(std::uint64_t below) {
    return static_cast<std::int64_t>(RandomBelow(below));
  }
  std::size_t RandomNodeIndex() { return RandomBelow(fleet_.nodes().size()); }
  /// Returns the index of a random agent among the nodes.
  std::size_t RandomAgentIndex();
  std::size_t SchedulerIndex() { return fleet_.SchedulerIndexOr(RandomNodeIndex()); }
  void RunLoadFor(std::int64_t milliseconds) { hooks_.run_load(milliseconds, nullptr); }

  SoakFleet& fleet_;
  SoakRecord& record_;
  std::mt19937_64 random_;
  const SoakFaultHooks hooks_;
  std::set<std::string> evacuated_;
};

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_SOAK_FAULTS_H_
