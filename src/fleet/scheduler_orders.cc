#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "basilspring/fleet/done_tasks.h"
#include "basilspring/fleet/scheduler_core.h"

// Orders to agents and their answers.
namespace basilspring::fleet {
namespace {

// Time without further starts after one has failed; doubles with each further failure, up to the
// maximum, which is below the time for which a job may be left waiting beside free capacity.
constexpr Duration kFirstStartPause(500);
constexpr Duration kMaxStartPause(2000);

}  // namespace

RepeatRule SchedulerCore::RepeatRuleOf(const StepSpec& spec) {
  if (spec.long_running || spec.speculative) return RepeatRule::kMayRepeat;
  return spec.gang ? RepeatRule::kOncePerGang : RepeatRule::kOncePerTask;
}

bool SchedulerCore::MaySend(TimePoint now, const PendingOrder& pending) {
  const auto worker = workers_.find(pending.worker);
  if (worker == workers_.end()) return false;
  const RunKey key{pending.order.task, pending.order.run};
  const auto run = worker->second.runs.find(key);
  if (run == worker->second.runs.end()) return false;
  if (!pending.order.start || !run->second.stopping) return true;
  LogDecision(fmt::format("task={} run={} worker={} stopped before its start was sent",
                          key.task.ToString(), key.run.value(), pending.worker.value()));
  ReleaseRun(now, worker->second, key, false);
  return false;
}

bool SchedulerCore::IsStartOpen(const NodeId& node, const RunKey& key) const {
  return std::any_of(batches_.begin(), batches_.end(), [&](const auto& row) {
    const auto& orders = row.second.orders;
    return row.second.node == node &&
           std::find(orders.begin(), orders.end(), std::pair(key, true)) != orders.end();
  });
}

bool SchedulerCore::AwaitsRecord(const PendingOrder& pending) const {
  if (!pending.order.start) return false;
  const auto job = jobs_.find(pending.order.task.job);
  return job != jobs_.end() && job->second.saved_version < pending.version;
}

void SchedulerCore::EmitOrders(TimePoint now, SchedulerOutput& out) {
  for (auto& [node, worker] : workers_) {
    for (auto& [key, run] : worker.runs) {
      if (run.stopping && now >= run.stop_due) RequestStop(now, worker, key, run);
    }
  }
  std::map<NodeId, std::vector<Order>> by_worker;
  std::vector<PendingOrder> waiting;
  for (PendingOrder& pending : std::exchange(pending_orders_, {})) {
    if (!MaySend(now, pending)) continue;
    if (AwaitsRecord(pending)) {
      waiting.push_back(std::move(pending));
    } else {
      by_worker[pending.worker].push_back(std::move(pending.order));
    }
  }
  pending_orders_ = std::move(waiting);
  for (auto& [node, orders] : by_worker) {
    const auto found = workers_.find(node);
    if (found == workers_.end() || !found->second.backend) continue;
    Worker& worker = found->second;
    OutgoingOrders outgoing;
    outgoing.batch = next_batch_++;
    outgoing.agent = worker.address;
    outgoing.message.term = term_;
    outgoing.message.incarnation = worker.incarnation;
    outgoing.message.report = worker.report_number;
    outgoing.message.backend = worker.backend->id;
    outgoing.message.started_unix_ms = worker.backend->started_unix_ms;
    outgoing.message.max_evidence_age = MaxDoneEvidenceAge(options_);
    BatchInFlight& batch = batches_[outgoing.batch];
    batch.node = node;
    batch.incarnation = worker.incarnation;
    batch.backend = worker.backend->id;
    batch.started_unix_ms = worker.backend->started_unix_ms;
    for (const Order& order : orders) {
      const RunKey key{order.task, order.run};
      batch.orders.push_back({key, order.start});
      const auto run = worker.runs.find(key);
      if (order.start && run != worker.runs.end()) run->second.ordered_at = now;
      LogDecision(fmt::format("task={} run={} worker={} batch={} report={} order={}",
                              order.task.ToString(), order.run.value(), node.value(),
                              outgoing.batch, worker.report_number,
                              order.start ? "start" : "stop"));
    }
    outgoing.message.orders = std::move(orders);
    out.orders.push_back(std::move(outgoing));
  }
}

void SchedulerCore::ConfirmStop(TimePoint now, Allocation& run,
                                std::uint64_t visible_from_poll) const {
  run.stop_due = now + options_.stop_time + options_.stop_retry_interval;
  // A repeated stop must not postpone the poll that shows its effect.
  if (run.stop_confirmed_at) return;
  run.stop_confirmed_at = now;
  run.visible_from_poll = std::max(run.visible_from_poll, visible_from_poll);
}

void SchedulerCore::CountFailedStart(TimePoint now, Worker& worker) {
  // Further orders of the same batch fail for the same cause.
  if (now < worker.start_pause_until) return;
  const Duration pause = kFirstStartPause * (std::int64_t{1} << std::min(worker.failed_starts, 2));
  worker.start_pause_until = now + std::min(pause, kMaxStartPause);
  ++worker.failed_starts;
}

void SchedulerCore::OnStartContradicted(TimePoint now, Worker& worker, const RunKey& key,
                                        std::uint64_t batch) {
  ++counts_.starts_refused;
  ReleaseRun(now, worker, key, false);
  Job* job = FindJob(key.task);
  if (job == nullptr || IsFinal(job->phase)) return;
  const std::size_t step = StepIndex(*job, key.task);
  if (RepeatRuleOf(SpecOf(*job, step)) == RepeatRule::kMayRepeat) {
    CountFailedStart(now, worker);
    return;
  }
  RecordBegin(now, worker, *job, key, "done");
  // The refusal of another member of its gang may have been processed before.
  if (TaskOf(*job, key.task).phase == TaskPhase::kDone) return;
  ++counts_.starts_contradicted;
  LogDecision(fmt::format(
      "task={} run={} worker={} batch={} recorded as done: the agent has read the end of an "
      "earlier run as done, which the record of the job lacks",
      key.task.ToString(), key.run.value(), worker.node.value(), batch));
  // The members of a gang that have been started wait for the refused one.
  if (SpecOf(*job, step).gang) StopStep(now, *job, step);
  MarkDone(*job, key.task);
}

void SchedulerCore::OnOrdersAnswered(TimePoint now, std::uint64_t number,
                                     const std::optional<OrderBatchReply>& reply) {
  const auto found = batches_.find(number);
  if (found == batches_.end()) return;
  const BatchInFlight batch = std::move(found->second);
  batches_.erase(found);
  const auto found_worker = workers_.find(batch.node);
  if (found_worker == workers_.end()) return;
  Worker& worker = found_worker->second;
  const bool same_incarnation = worker.backend && worker.backend->id == batch.backend &&
                                worker.backend->started_unix_ms == batch.started_unix_ms;
  const bool readable = reply && reply->statuses.size() == batch.orders.size();
  for (std::size_t i = 0; i < batch.orders.size(); ++i) {
    const auto& [key, start] = batch.orders[i];
    const auto status =
        readable ? BackendStatusFromWire(reply->statuses[i]) : BackendStatus::kUnknown;
    if (!same_incarnation) {
      if (start && status == BackendStatus::kOk) CountCrashOfAcceptedRun(now, worker, key, number);
      continue;
    }
    const auto run = worker.runs.find(key);
    if (run == worker.runs.end()) continue;
    // The polls of another incarnation of the agent have other numbers.
    const bool same_agent = worker.incarnation == batch.incarnation;
    if (status == BackendStatus::kOk) {
      if (!start) {
        if (same_agent) ConfirmStop(now, run->second, reply->visible_from_poll);
        continue;
      }
      if (same_agent) {
        run->second.visible_from_poll =
            std::max(run->second.visible_from_poll, reply->visible_from_poll);
      }
      worker.failed_starts = 0;
      // The stop may have overtaken the start, whose repetition the agent then took for a run that
      // has ended.
      if (!run->second.stopping) ConfirmRun(run->second);
      run->second.working_since = now;
      run->second.progressed_at = now;
      Job* job = FindJob(key.task);
      if (job != nullptr && IsCertain(EvidenceOf(run->second))) {
        RecordBegin(now, worker, *job, key, "accepted");
      }
      continue;
    }
    const std::optional<JobPhase> phase = PhaseOf(key.task.job);
    LogDecision(fmt::format("task={} run={} worker={} batch={} order={} status={} job_phase={}",
                            key.task.ToString(), key.run.value(), batch.node.value(), number,
                            start ? "start" : "stop", BackendStatusName(status),
                            phase ? JobPhaseName(*phase) : std::string_view("-")));
    if (!start) continue;
    if (status == BackendStatus::kAlreadyDone) {
      OnStartContradicted(now, worker, key, number);
      continue;
    }
    CountFailedStart(now, worker);
    Job* job = FindJob(key.task);
    if (status == BackendStatus::kStopped && same_agent) {
      if (!run->second.stopping) run->second.stopping_since = now;
      run->second.stopping = true;
      ConfirmStop(now, run->second, reply->visible_from_poll);
    } else if (status == BackendStatus::kUnknown || status == BackendStatus::kStopped) {
      if (!run->second.stopping) RequestStop(now, worker, key, run->second);
    } else {
      ++counts_.starts_refused;
      ReleaseRun(now, worker, key, false);
    }
    if (job != nullptr && SpecOf(*job, StepIndex(*job, key.task)).gang) {
      StopStep(now, *job, StepIndex(*job, key.task));
    }
  }
}

}  // namespace basilspring::fleet
