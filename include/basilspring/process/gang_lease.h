#ifndef BASILSPRING_PROCESS_GANG_LEASE_H_
#define BASILSPRING_PROCESS_GANG_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "basilspring/process/agent_events.h"
#include "basilspring/process/timings.h"

namespace basilspring {

/// Detects, on one worker, that a running gang is no longer whole. The agent of rank 0 coordinates:
/// every other agent sends it a heartbeat for each of its ranks and learns from the answer when the
/// gang was last heard whole. Needs neither scheduler nor store. Pure.
class GangLeases {
 public:
  GangLeases(WorkerId self, Address address, const Timings& timings);

  /// A rank of the attempt starts on this worker.
  void Begin(TimePoint now, const TaskKey& task, const std::vector<GangMember>& members);
  /// A rank on this worker has ended: with an output, or in a way that leaves the gang partial.
  /// Ignored for attempts that have not begun here.
  void End(TimePoint now, const TaskKey& task, bool with_output);
  bool Knows(const AttemptId& attempt) const { return gangs_.count(attempt) != 0; }
  bool Broken(const AttemptId& attempt) const;

  /// `reserved` says whether this worker holds a reservation of the attempt, whose start is then
  /// still on its way.
  void OnHeartbeat(TimePoint now, const Address& from, const GangHeartbeat& heartbeat,
                   bool reserved, AgentOutput& out);

  /// Sends heartbeats that are due. Returns the attempts that have broken since the last call;
  /// their tasks on this worker are to be stopped.
  std::vector<AttemptId> Tick(TimePoint now, AgentOutput& out);

 private:
  enum class LocalRank : std::uint8_t { kWaiting, kRunning, kFinished, kLost };
  struct RemoteRank {
    WorkerId worker;
    Address agent;
    TimePoint heard;
    bool finished = false;
  };
  struct Gang {
    bool coordinates = false;
    Address coordinator;
    std::map<std::uint32_t, LocalRank> local;
    /// Filled at the coordinator only.
    std::map<std::uint32_t, RemoteRank> remote;
    /// Members only: the gang was whole at this time.
    TimePoint whole_at;
    TimePoint next_heartbeat;
    bool broken = false;
    bool reported = false;
    /// Since when no rank runs here.
    std::optional<TimePoint> idle_since;
  };

  static bool RunsHere(const Gang& gang);
  /// When the gang was last known to be whole, seen from here.
  static TimePoint WholeAt(TimePoint now, const Gang& gang);
  void OnMemberHeartbeat(TimePoint now, const Address& from, const GangHeartbeat& heartbeat,
                         Gang& gang, AgentOutput& out);
  void OnAnswer(TimePoint now, const GangHeartbeat& answer, Gang& gang) const;
  GangHeartbeat Answer(TimePoint now, const AttemptId& attempt, const Gang& gang) const;
  void SendHeartbeats(TimePoint now, const AttemptId& attempt, Gang& gang, AgentOutput& out) const;
  bool Forgettable(TimePoint now, const Gang& gang) const;

  WorkerId self_;
  Address address_;
  Timings timings_;
  std::map<AttemptId, Gang> gangs_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_GANG_LEASE_H_
