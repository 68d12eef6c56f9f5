#include "basilspring/process/gang_lease.h"

#include <algorithm>
#include <utility>

namespace basilspring {

GangLeases::GangLeases(WorkerId self, Address address, const Timings& timings)
    : self_(std::move(self)), address_(std::move(address)), timings_(timings) {}

void GangLeases::Begin(TimePoint now, const TaskKey& task, const std::vector<GangMember>& members) {
  if (members.size() <= 1) return;
  const auto [entry, is_new] = gangs_.try_emplace(task.attempt);
  Gang& gang = entry->second;
  if (is_new) {
    gang.whole_at = now;
    gang.next_heartbeat = now;
    for (const GangMember& member : members) {
      const bool local = member.worker == self_;
      if (member.rank == 0) {
        gang.coordinates = local;
        gang.coordinator = member.agent;
      }
      if (local) {
        gang.local[member.rank] = LocalRank::kWaiting;
      } else {
        gang.remote[member.rank] = RemoteRank{member.worker, member.agent, now, false};
      }
    }
    if (!gang.coordinates) gang.remote.clear();
  }
  gang.local[task.rank] = LocalRank::kRunning;
  gang.idle_since.reset();
}

void GangLeases::End(TimePoint now, const TaskKey& task, bool with_output) {
  const auto entry = gangs_.find(task.attempt);
  if (entry == gangs_.end()) return;
  Gang& gang = entry->second;
  gang.local[task.rank] = with_output ? LocalRank::kFinished : LocalRank::kLost;
  if (!with_output) gang.broken = true;
  // The others learn of the end at the next tick instead of up to a heartbeat interval later.
  gang.next_heartbeat = now;
  if (!RunsHere(gang)) gang.idle_since = now;
}

bool GangLeases::Broken(const AttemptId& attempt) const {
  const auto entry = gangs_.find(attempt);
  return entry != gangs_.end() && entry->second.broken;
}

bool GangLeases::RunsHere(const Gang& gang) {
  return std::any_of(gang.local.begin(), gang.local.end(),
                     [](const auto& rank) { return rank.second == LocalRank::kRunning; });
}

TimePoint GangLeases::WholeAt(TimePoint now, const Gang& gang) {
  if (!gang.coordinates) return gang.whole_at;
  TimePoint oldest = now;
  for (const auto& [rank, member] : gang.remote) {
    if (!member.finished) oldest = std::min(oldest, member.heard);
  }
  return oldest;
}

void GangLeases::OnHeartbeat(TimePoint now, const Address& from, const GangHeartbeat& heartbeat,
                             bool reserved, AgentOutput& out) {
  const auto entry = gangs_.find(heartbeat.attempt);
  if (entry != gangs_.end()) {
    Gang& gang = entry->second;
    if (gang.coordinates && heartbeat.rank != 0) {
      OnMemberHeartbeat(now, from, heartbeat, gang, out);
    } else if (!gang.coordinates && heartbeat.rank == 0) {
      OnAnswer(now, heartbeat, gang);
    }
    return;
  }
  // An unknown attempt has ended here or was lost with an earlier run of this process, so the gang
  // can't be whole. With a reservation the start is only late.
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
  // A datagram that was overtaken by the news of the end must not bring the member back.
  if (!member->second.finished) {
    if (heartbeat.finished) {
      member->second.finished = true;
    } else if (!heartbeat.running) {
      gang.broken = true;
    }
    member->second.heard = now;
  }
  out.messages.push_back({from, Answer(now, heartbeat.attempt, gang), true});
}

void GangLeases::OnAnswer(TimePoint now, const GangHeartbeat& answer, Gang& gang) const {
  if (!answer.running && !answer.finished) {
    gang.broken = true;
  } else if (answer.whole) {
    const Duration age = std::clamp(answer.whole_age, Duration(0), timings_.task_lease);
    gang.whole_at = std::max(gang.whole_at, now - age);
  }
}

GangHeartbeat GangLeases::Answer(TimePoint now, const AttemptId& attempt, const Gang& gang) const {
  GangHeartbeat answer;
  answer.attempt = attempt;
  answer.worker = self_;
  answer.agent = address_;
  const auto own = gang.local.find(0);
  if (own != gang.local.end() && !gang.broken) {
    // A rank 0 whose start is still on its way counts as running.
    answer.running = own->second == LocalRank::kRunning || own->second == LocalRank::kWaiting;
    answer.finished = own->second == LocalRank::kFinished;
  }
  answer.whole_age = now - WholeAt(now, gang);
  answer.whole = !gang.broken && answer.whole_age < timings_.task_lease;
  return answer;
}

std::vector<AttemptId> GangLeases::Tick(TimePoint now, AgentOutput& out) {
  std::vector<AttemptId> broken;
  for (auto entry = gangs_.begin(); entry != gangs_.end();) {
    auto& [attempt, gang] = *entry;
    if (RunsHere(gang) && now - WholeAt(now, gang) >= timings_.task_lease) gang.broken = true;
    if (gang.broken && !gang.reported) {
      gang.reported = true;
      gang.next_heartbeat = now;
      broken.push_back(attempt);
    }
    if (now >= gang.next_heartbeat) SendHeartbeats(now, attempt, gang, out);
    entry = Forgettable(now, gang) ? gangs_.erase(entry) : std::next(entry);
  }
  return broken;
}

void GangLeases::SendHeartbeats(TimePoint now, const AttemptId& attempt, Gang& gang,
                                AgentOutput& out) const {
  gang.next_heartbeat = now + timings_.heartbeat;
  if (gang.coordinates) {
    // The coordinator speaks first only to end the gang; otherwise it answers.
    if (!gang.broken) return;
    for (const auto& [rank, member] : gang.remote) {
      out.messages.push_back({member.agent, Answer(now, attempt, gang), true});
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
    // A rank whose start is still on its way has nothing to say.
    if (state != LocalRank::kWaiting) out.messages.push_back({gang.coordinator, heartbeat, true});
  }
}

bool GangLeases::Forgettable(TimePoint now, const Gang& gang) const {
  if (!gang.idle_since) return false;
  const Duration idle = now - *gang.idle_since;
  // Ends are repeated for one lease, so that a lost datagram doesn't hide them.
  if (idle < timings_.task_lease) return false;
  if (!gang.coordinates || gang.broken) return true;
  TimePoint last_heard;
  bool all_finished = true;
  for (const auto& [rank, member] : gang.remote) {
    all_finished = all_finished && member.finished;
    last_heard = std::max(last_heard, member.heard);
  }
  // Members that were not heard for two leases have stopped by themselves.
  return all_finished || now - last_heard >= timings_.task_lease * 2;
}

}  // namespace basilspring
