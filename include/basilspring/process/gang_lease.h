#ifndef BASILSPRING_PROCESS_GANG_LEASE_H_
#define BASILSPRING_PROCESS_GANG_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "basilspring/process/agent_events.h"
#include "basilspring/process/timings.h"

namespace basilspring {

/// Detects, on one worker, that a running gang has lost a member. A gang is complete
/// (`gang_complete` in GangHeartbeat) while every rank is running or has finished with an output.
/// It is broken once a rank has ended without an output or was not heard for the duration of the
/// task lease.
///
/// The agent of rank 0 is the coordinator. Every other agent sends it a heartbeat for each of its
/// ranks and learns from the answer when the gang was last known to be complete. The detection
/// needs neither the scheduler nor the store. The class performs no I/O and reads no clock.
class GangLeases {
 public:
  GangLeases(WorkerId self, Address address, const Timings& timings);

  /// Records that a rank of the attempt starts on this worker. Ignores gangs of one task.
  void OnRankStarted(TimePoint now, const TaskKey& task, const std::vector<GangMember>& members);
  /// Records that a rank on this worker has ended. Without an output, the gang is broken. Ignores
  /// attempts of which no rank has started here.
  void OnRankEnded(TimePoint now, const TaskKey& task, bool with_output);
  /// Whether a rank of the attempt has started here and its state has not been erased yet.
  bool IsTracked(const AttemptId& attempt) const { return gangs_.count(attempt) != 0; }
  bool IsBroken(const AttemptId& attempt) const;

  /// Handles a heartbeat of a member, or the coordinator's answer. `reserved` says whether this
  /// worker has a reservation for the attempt, whose start can then still arrive.
  void OnHeartbeat(TimePoint now, const Address& from, const GangHeartbeat& heartbeat,
                   bool reserved, AgentOutput& out);

  /// Sends the heartbeats that are due. Returns the attempts whose gang was found broken since the
  /// last call; the caller must stop their tasks on this worker.
  std::vector<AttemptId> Tick(TimePoint now, AgentOutput& out);

 private:
  /// State of a rank on this worker. kWaiting: its start has not arrived yet; kFinished: it ended
  /// with an output; kLost: it ended without one.
  enum class LocalRank : std::uint8_t { kWaiting, kRunning, kFinished, kLost };
  struct RemoteRank {
    WorkerId worker;
    Address agent;
    TimePoint last_heard;
    bool finished = false;
  };
  struct Gang {
    bool is_coordinator = false;
    Address coordinator;
    std::map<std::uint32_t, LocalRank> local;
    /// Ranks on other workers; filled at the coordinator only.
    std::map<std::uint32_t, RemoteRank> remote;
    /// Last time at which the gang was known to be complete; used by members only.
    TimePoint complete_at;
    TimePoint next_heartbeat;
    bool broken = false;
    /// Whether Tick() has returned the broken gang.
    bool reported = false;
    /// Time since which no rank runs on this worker; std::nullopt while one runs.
    std::optional<TimePoint> idle_since;
  };

  static bool HasRunningLocalRank(const Gang& gang);
  /// Last time at which this agent knew the gang to be complete.
  static TimePoint LastCompleteAt(TimePoint now, const Gang& gang);
  void OnMemberHeartbeat(TimePoint now, const Address& from, const GangHeartbeat& heartbeat,
                         Gang& gang, AgentOutput& out);
  /// Handles the coordinator's answer at a member.
  void OnCoordinatorHeartbeat(TimePoint now, const GangHeartbeat& answer, Gang& gang) const;
  /// Builds the coordinator's heartbeat, which carries the state of the whole gang.
  GangHeartbeat CoordinatorHeartbeat(TimePoint now, const AttemptId& attempt,
                                     const Gang& gang) const;
  void SendHeartbeats(TimePoint now, const AttemptId& attempt, Gang& gang, AgentOutput& out) const;
  /// Whether the gang has ended and no other agent needs its state.
  bool CanErase(TimePoint now, const Gang& gang) const;

  WorkerId self_;
  Address address_;
  Timings timings_;
  std::map<AttemptId, Gang> gangs_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_GANG_LEASE_H_
