#include "basilspring/process/gang_lease.h"

#include <algorithm>
#include <utility>

namespace basilspring {

GangLeases::GangLeases(WorkerId self, Address address, const Timings& timings)
    : self_(std::move(self)), address_(std::move(address)), timings_(timings) {}

void GangLeases::OnRankStarted(TimePoint now, const TaskKey& task,
                               const std::vector<GangMember>& members) {
  if (members.size() <= 1) return;
  const auto [entry, is_new] = gangs_.try_emplace(task.attempt);
  Gang& gang = entry->second;
  if (is_new) {
    gang.complete_at = now;
    gang.next_heartbeat = now;
    for (const GangMember& member : members) {
      const bool local = member.worker == self_;
      if (member.rank == 0) {
        gang.is_coordinator = local;
        gang.coordinator = member.agent;
      }
      if (local) {
        gang.local[member.rank] = LocalRank::kWaiting;
      } else {
        gang.remote[member.rank] = RemoteRank{member.worker, member.agent, now, false};
      }
    }
    if (!gang.is_coordinator) gang.remote.clear();
  }
  gang.local[task.rank] = LocalRank::kRunning;
  gang.idle_since.reset();
}

void GangLeases::OnRankEnded(TimePoint now, const TaskKey& task, bool with_output) {
  const auto entry = gangs_.find(task.attempt);
  if (entry == gangs_.end()) return;
  Gang& gang = entry->second;
  gang.local[task.rank] = with_output ? LocalRank::kFinished : LocalRank::kLost;
  if (!with_output) gang.broken = true;
  // Makes a heartbeat due at the next tick, so that the other agents learn of the end at once and
  // not up to a heartbeat interval later.
  gang.next_heartbeat = now;
  if (!HasRunningLocalRank(gang)) gang.idle_since = now;
}

bool GangLeases::IsBroken(const AttemptId& attempt) const {
  const auto entry = gangs_.find(attempt);
  return entry != gangs_.end() && entry->second.broken;
}

bool GangLeases::HasRunningLocalRank(const Gang& gang) {
  return std::any_of(gang.local.begin(), gang.local.end(),
                     [](const auto& rank) { return rank.second == LocalRank::kRunning; });
}

TimePoint GangLeases::LastCompleteAt(TimePoint now, const Gang& gang) {
  if (!gang.is_coordinator) return gang.complete_at;
  TimePoint oldest = now;
  for (const auto& [rank, member] : gang.remote) {
    if (!member.finished) oldest = std::min(oldest, member.last_heard);
  }
  return oldest;
}

void GangLeases::OnHeartbeat(TimePoint now, const Address& from, const GangHeartbeat& heartbeat,
                             bool reserved, AgentOutput& out) {
  const auto entry = gangs_.find(heartbeat.attempt);
  if (entry != gangs_.end()) {
    Gang& gang = entry->second;
    if (gang.is_coordinator && heartbeat.rank != 0) {
      OnMemberHeartbeat(now, from, heartbeat, gang, out);
    } else if (!gang.is_coordinator && heartbeat.rank == 0) {
      OnCoordinatorHeartbeat(now, heartbeat, gang);
    }
    return;
  }
  // An unknown attempt has ended here or was lost with an earlier incarnation of this agent, so the
  // gang can't be complete. If there is a reservation, the start has only not arrived yet.
  if (heartbeat.rank == 0 || reserved || !heartbeat.running) return;
  GangHeartbeat answer;
  answer.attempt = heartbeat.attempt;
  answer.worker = self_;
  answer.agent = address_;
  out.messages.push_back({from, answer, true});
}

void GangLeases::OnMemberHeartbeat(TimePoint now, const Address& from,
                                   const GangHeartbeat& heartbeat, Gang& gang, AgentOutput& out) {
  const auto member = gang.remote.find(heartbeat.rank);
  if (member == gang.remote.end() || member->second.worker != heartbeat.worker) return;
  // A delayed datagram that arrives after the one that reports the end must not make the member
  // count as running again.
  if (!member->second.finished) {
    if (heartbeat.finished) {
      member->second.finished = true;
    } else if (!heartbeat.running) {
      gang.broken = true;
    }
    member->second.last_heard = now;
  }
  out.messages.push_back({from, CoordinatorHeartbeat(now, heartbeat.attempt, gang), true});
}

void GangLeases::OnCoordinatorHeartbeat(TimePoint now, const GangHeartbeat& answer,
                                        Gang& gang) const {
  if (!answer.running && !answer.finished) {
    gang.broken = true;
  } else if (answer.gang_complete) {
    const Duration age = std::clamp(answer.time_since_complete, Duration(0), timings_.task_lease);
    gang.complete_at = std::max(gang.complete_at, now - age);
  }
}

GangHeartbeat GangLeases::CoordinatorHeartbeat(TimePoint now, const AttemptId& attempt,
                                               const Gang& gang) const {
  GangHeartbeat answer;
  answer.attempt = attempt;
  answer.worker = self_;
  answer.agent = address_;
  const auto own = gang.local.find(0);
  if (own != gang.local.end() && !gang.broken) {
    // A rank 0 whose start has not arrived yet counts as running.
    answer.running = own->second == LocalRank::kRunning || own->second == LocalRank::kWaiting;
    answer.finished = own->second == LocalRank::kFinished;
  }
  answer.time_since_complete = now - LastCompleteAt(now, gang);
  answer.gang_complete = !gang.broken && answer.time_since_complete < timings_.task_lease;
  return answer;
}

std::vector<AttemptId> GangLeases::Tick(TimePoint now, AgentOutput& out) {
  std::vector<AttemptId> broken;
  for (auto entry = gangs_.begin(); entry != gangs_.end();) {
    auto& [attempt, gang] = *entry;
    if (HasRunningLocalRank(gang) && now - LastCompleteAt(now, gang) >= timings_.task_lease) {
      gang.broken = true;
    }
    if (gang.broken && !gang.reported) {
      gang.reported = true;
      gang.next_heartbeat = now;
      broken.push_back(attempt);
    }
    if (now >= gang.next_heartbeat) SendHeartbeats(now, attempt, gang, out);
    entry = CanErase(now, gang) ? gangs_.erase(entry) : std::next(entry);
  }
  return broken;
}

void GangLeases::SendHeartbeats(TimePoint now, const AttemptId& attempt, Gang& gang,
                                AgentOutput& out) const {
  gang.next_heartbeat = now + timings_.heartbeat_interval;
  if (gang.is_coordinator) {
    // The coordinator sends heartbeats unasked only if the gang is broken. Otherwise it only
    // answers those of the members.
    if (!gang.broken) return;
    for (const auto& [rank, member] : gang.remote) {
      out.messages.push_back({member.agent, CoordinatorHeartbeat(now, attempt, gang), true});
    }
    return;
  }
  for (const auto& [rank, state] : gang.local) {
    GangHeartbeat heartbeat;
    heartbeat.attempt = attempt;
    heartbeat.rank = rank;
    heartbeat.worker = self_;
    heartbeat.agent = address_;
    heartbeat.running = state == LocalRank::kRunning && !gang.broken;
    heartbeat.finished = state == LocalRank::kFinished;
    // No heartbeat is sent for a rank whose start has not arrived yet.
    if (state != LocalRank::kWaiting) out.messages.push_back({gang.coordinator, heartbeat, true});
  }
}

bool GangLeases::CanErase(TimePoint now, const Gang& gang) const {
  if (!gang.idle_since) return false;
  const Duration idle = now - *gang.idle_since;
  // The end of a rank is reported repeatedly for one task lease, so that a lost datagram doesn't
  // hide it.
  if (idle < timings_.task_lease) return false;
  if (!gang.is_coordinator || gang.broken) return true;
  TimePoint last_heard;
  bool all_finished = true;
  for (const auto& [rank, member] : gang.remote) {
    all_finished = all_finished && member.finished;
    last_heard = std::max(last_heard, member.last_heard);
  }
  // Members that were not heard for two task leases have stopped on their own.
  return all_finished || now - last_heard >= timings_.task_lease * 2;
}

}  // namespace basilspring
