#include <algorithm>

#include "process/cell_core_internal.h"

namespace basilspring {

void CellCore::Impl::OnHeartbeat(const Address& from, const Heartbeat& heartbeat) {
  if (StopIfSuperseded(heartbeat.epoch, "heartbeat")) return;
  SendDatagram(from, HeartbeatReply{identity_.cell, identity_.epoch, heartbeat.sequence});
  Worker& worker = workers_[heartbeat.worker];
  worker.agent = heartbeat.address;
  worker.rack = heartbeat.rack;
  worker.last_heard = now_;
  // A lower sequence number means that the agent was restarted, another epoch that the agent
  // doesn't know this scheduler yet. In both cases its tasks may differ from the state here.
  const bool restarted = heartbeat.sequence < worker.last_sequence;
  worker.last_sequence = heartbeat.sequence;
  if (!worker.reported || restarted || heartbeat.epoch != identity_.epoch) {
    RequestReport(heartbeat.worker);
    return;
  }
  if (heartbeat.tasks < RunningTasksOn(heartbeat.worker)) RequestReport(heartbeat.worker);
  UpdateAccepting(heartbeat.worker, worker, heartbeat.accepting);
}

void CellCore::Impl::RequestReport(const WorkerId& id) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) return;
  Worker& worker = found->second;
  // Limits the rate of reports from an agent whose tasks keep differing from the state here. The
  // first request is sent at once.
  if (worker.hello_sent && now_ - *worker.hello_sent < timings_.heartbeat_interval / 2) return;
  worker.hello_sent = now_;
  Send(worker.agent, SchedulerHello{identity_.cell, identity_.epoch});
}

std::uint32_t CellCore::Impl::RunningTasksOn(const WorkerId& id) const {
  std::uint32_t running = 0;
  for (const auto& [attempt_id, attempt] : attempts_) {
    for (const Member& member : attempt.members) {
      running += member.worker == id && member.state == MemberState::kRunning ? 1 : 0;
    }
  }
  return running;
}

void CellCore::Impl::OnAgentReport(const Address& from, const AgentReport& report) {
  if (StopIfSuperseded(report.epoch, "agent report") || report.cell != identity_.cell) return;
  Worker& worker = workers_[report.worker];
  const bool joined = !worker.reported;
  worker.agent = report.address.empty() ? from : report.address;
  worker.rack = report.rack;
  worker.last_heard = now_;
  worker.reported = true;
  lost_workers_.erase(report.worker);
  if (joined || worker.capacity != report.capacity || worker.accepting != report.accepting) {
    rebind_due_ = true;
    OnCapacityChange();
  }
  worker.capacity = report.capacity;
  worker.accepting = report.accepting;
  cell_.UpsertWorker(report.worker, report.rack, worker.agent, report.capacity, report.accepting);
  inventory_.UpsertWorker(report.worker, report.rack, worker.agent, report.capacity, true);
  if (joined) {
    Log(EventId::kWorkerJoined, "worker={} rack={} accelerators={} cores={} slots={} tasks={}",
        report.worker.value(), report.rack.value(), report.capacity.accelerators.value(),
        report.capacity.cores.value(), report.capacity.slots.value(), report.tasks.size());
  }
  FailMissingTasks(report);
  for (const TaskReport& task : report.tasks) OnReportedTask(report.worker, worker.agent, task);
}

void CellCore::Impl::FailMissingTasks(const AgentReport& report) {
  workers_[report.worker].awaits_confirmation = false;
  for (const AttemptId& id : AttemptIds()) {
    Attempt* const attempt = FindAttempt(id);
    if (attempt == nullptr) continue;
    bool missing = false;
    for (Member& member : attempt->members) {
      if (member.worker != report.worker || member.ended() ||
          member.state == MemberState::kPlanned) {
        continue;
      }
      const bool reported = std::any_of(
          report.tasks.begin(), report.tasks.end(),
          [&](const TaskReport& task) { return task.attempt == id && task.rank == member.rank; });
      // A task can be missing because the report crossed a command on the way, unless the agent has
      // reported the task as running.
      if (reported) member.missing_since.reset();
      const bool settled = member.state == MemberState::kRunning ||
                           now_ - member.last_command > timings_.heartbeat_interval;
      if (reported || !settled || !IsMissingConfirmed(member)) continue;
      member.state = attempt->start_sent ? MemberState::kLost : MemberState::kStopped;
      ReleaseMember(*attempt, member);
      missing = true;
    }
    if (missing) {
      FailAttempt(*attempt,
                  {ErrorKind::kConnectionLost,
                   fmt::format("worker {} no longer has the task", report.worker.value()),
                   StopReason::kGangMemberLost, attempt->start_sent},
                  Duration(0));
    }
  }
}

bool CellCore::Impl::IsMissingConfirmed(Member& member) {
  if (!member.missing_since) member.missing_since = now_;
  // The reports that a former process of the agent has sent before it ended arrive together.
  if (now_ - *member.missing_since >= timings_.heartbeat_interval / 4) return true;
  workers_[member.worker].awaits_confirmation = true;
  return false;
}

void CellCore::Impl::UpdateAccepting(const WorkerId& id, Worker& worker, bool accepting) {
  if (worker.accepting == accepting) return;
  worker.accepting = accepting;
  cell_.SetAccepting(id, accepting);
  rebind_due_ = true;
  OnCapacityChange();
  // A backend server that is available again may have another capacity.
  if (accepting) RequestReport(id);
}

void CellCore::Impl::TickWorkers() {
  std::vector<WorkerId> silent;
  for (const auto& [id, worker] : workers_) {
    if (now_ - worker.last_heard > timings_.worker_silence_timeout) silent.push_back(id);
    if (worker.awaits_confirmation) RequestReport(id);
  }
  for (const WorkerId& id : silent) RemoveSilentWorker(id);
  std::erase_if(lost_workers_, [this](const auto& lost) {
    if (now_ - lost.second <= internal::kLostWorkerRetention) return false;
    inventory_.RemoveWorker(lost.first);
    return true;
  });
  TickHealth();
}

void CellCore::Impl::RemoveSilentWorker(const WorkerId& id) {
  Log(EventId::kWorkerLost, "worker={} silent_ms={}", id.value(),
      (now_ - workers_.at(id).last_heard).milliseconds());
  ++counters_.lost_workers;
  for (auto& [attempt_id, found] : reported_attempts_) {
    std::erase_if(found.ranks, [&](const auto& rank) { return rank.second.worker == id; });
  }
  for (const AttemptId& attempt_id : AttemptIds()) {
    Attempt* const attempt = FindAttempt(attempt_id);
    if (attempt == nullptr) continue;
    bool lost = false;
    for (Member& member : attempt->members) {
      if (member.worker != id || member.ended()) continue;
      member.state = attempt->start_sent ? MemberState::kLost : MemberState::kStopped;
      ReleaseMember(*attempt, member);
      lost = true;
    }
    if (!lost) continue;
    FailAttempt(*attempt,
                {ErrorKind::kConnectionLost, fmt::format("worker {} was lost", id.value()),
                 StopReason::kGangMemberLost, attempt->start_sent},
                Duration(0));
  }
  cell_.RemoveWorker(id);
  workers_.erase(id);
  lost_workers_[id] = now_;
  rebind_due_ = true;
}

}  // namespace basilspring
