#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "basilspring/fleet/agent_core.h"

// Orders of the scheduler and their calls to the backend server.
namespace basilspring::fleet {
namespace {

// Attempts to send a start or stop that is not answered. Repeating is safe, because the backend
// server identifies the run by its number. Those of a start and of the stop that follows it take
// 2.35 s together, so that the scheduler, which waits 2.5 s, gets the answer. With four of five
// calls unanswered, three of four starts are carried out.
constexpr int kStartAttempts = 6;
constexpr int kStopAttempts = 7;
// Shortest remaining lease with which a run is started.
constexpr Duration kMinStartLease(700);

}  // namespace

BackendStatus FleetAgentCore::CheckOrder(TimePoint now, const OrderBatch& batch, bool start) const {
  if (batch.term < term_) return BackendStatus::kStaleTerm;
  if (batch.incarnation != options_.incarnation) return BackendStatus::kRefused;
  if (!backend_ || backend_->id != batch.backend ||
      backend_->started_unix_ms != batch.started_unix_ms) {
    return BackendStatus::kOtherIncarnation;
  }
  if (!start) return BackendStatus::kOk;
  if (superseded_after_poll_) return BackendStatus::kOtherIncarnation;
  const auto sent = std::find_if(reports_sent_.begin(), reports_sent_.end(),
                                 [&](const auto& row) { return row.first == batch.report; });
  if (sent == reports_sent_.end() || now - sent->second > options_.max_order_report_age) {
    return BackendStatus::kTooLate;
  }
  // After a failed poll, another incarnation with the same id may have taken the place of this one.
  if (backend_->draining || !identified_ || !IsClockRecent(now) ||
      lease_until_ - now < kMinStartLease) {
    return BackendStatus::kRefused;
  }
  return BackendStatus::kOk;
}

BackendStatus FleetAgentCore::CheckNotDone(TimePoint now, const OrderBatch& batch,
                                           const Order& order) {
  const auto done = done_tasks_.Find(now, order.task, order.repeat, batch.max_evidence_age);
  if (!done) return BackendStatus::kOk;
  LogDecision(
      fmt::format("task={} run={} done_run={} ended_within_ms={} limit_ms={} the task, or a "
                  "member of its gang, has ended as done",
                  order.task.ToString(), order.run.value(), done->run.value(),
                  (now - done->ended_after).milliseconds(), batch.max_evidence_age.milliseconds()));
  return BackendStatus::kAlreadyDone;
}

void FleetAgentCore::OnOrders(TimePoint now, std::uint64_t token, const OrderBatch& batch) {
  OnScheduler(now, batch.term, batch.scheduler);
  Batch& row = batches_[token];
  row.statuses.resize(batch.orders.size(), static_cast<std::uint8_t>(BackendStatus::kOk));
  for (std::size_t i = 0; i < batch.orders.size(); ++i) {
    const Order& order = batch.orders[i];
    BackendStatus refusal = CheckOrder(now, batch, order.start);
    if (refusal == BackendStatus::kOk && order.start) refusal = CheckNotDone(now, batch, order);
    if (refusal != BackendStatus::kOk) {
      row.statuses[i] = static_cast<std::uint8_t>(refusal);
      LogDecision(fmt::format("task={} run={} order={} term={} own_term={} report={} refused: {}",
                              order.task.ToString(), order.run.value(),
                              order.start ? "start" : "stop", batch.term.value(), term_.value(),
                              batch.report, BackendStatusName(refusal)));
      continue;
    }
    Call call;
    call.term = term_;
    call.backend = batch.backend;
    call.started_unix_ms = batch.started_unix_ms;
    call.clock_ms = clock_known_ ? LeastBackendClock(now) : 0;
    call.batch = token;
    call.index = i;
    call.order.start = order.start;
    call.order.start_run = {order.task,       order.run,       order.payload,
                            order.checkpoint, {term_, epoch_}, ToBackendClock(lease_until_)};
    call.order.stop_run = {order.task, order.run, {term_, epoch_}};
    ++row.open;
    IssueCall(std::move(call));
  }
  if (row.open > 0) return;
  effects_.answers.emplace_back(token, OrderBatchReply{term_, row.statuses, polls_sent_ + 1});
  batches_.erase(token);
}

void FleetAgentCore::IssueCall(Call call) {
  const std::uint64_t token = next_call_++;
  call.order.token = token;
  call.order.repeated = call.attempts > 0;
  ++call.attempts;
  call.order.start_run.fence.epoch = epoch_;
  call.order.stop_run.fence.epoch = epoch_;
  call.order.start_run.brief = call.attempts < kStartAttempts;
  call.order.stop_run.brief = call.attempts < kStopAttempts;
  if (call.order.start) lease_granted_until_ = std::max(lease_granted_until_, lease_until_);
  effects_.orders.push_back(call.order);
  calls_[token] = std::move(call);
}

void FleetAgentCore::OnOrderDone(TimePoint now, std::uint64_t token, const BackendReply& reply) {
  const auto found = calls_.find(token);
  if (found == calls_.end()) return;
  Call call = std::move(found->second);
  calls_.erase(found);
  const bool registered = IsForRegisteredIncarnation(call);
  if (!registered || call.term < term_) RequireNewListing();
  const bool other_answered = reply.clock_ms != 0 && reply.clock_ms < call.clock_ms;
  if (registered && other_answered) OnOtherIncarnation("its clock is behind an earlier reading");
  const bool unknown = reply.status == BackendStatus::kUnknown;
  if (call.order.start) {
    LogDecision(fmt::format("task={} run={} attempt={} order=start status={} {}",
                            call.order.start_run.task.ToString(), call.order.start_run.run.value(),
                            call.attempts, BackendStatusName(reply.status), reply.message));
    call.in_doubt = call.in_doubt || unknown;
    if (other_answered) {
      // Says nothing of the incarnation that the order names.
      RecordStatus(call, BackendStatus::kUnknown);
      return;
    }
    // The scheduler starts the tasks of an exited incarnation elsewhere, so the next one only gets
    // a stop, which makes it refuse a start that arrives late.
    if (unknown && registered && identified_ && call.attempts < kStartAttempts) {
      if (IsClockRecent(now)) call.order.start_run.lease_until_ms = ToBackendClock(lease_until_);
      IssueCall(std::move(call));
    } else if (!call.in_doubt || reply.status == BackendStatus::kOk) {
      RecordStatus(call, reply.status);
    } else if (reply.status == BackendStatus::kStaleRun) {
      // The unanswered attempt was carried out and the run has already ended; a poll will list the
      // end.
      RecordStatus(call, BackendStatus::kOk);
    } else {
      call.order.start = false;
      call.fencing = true;
      call.attempts = 0;
      IssueCall(std::move(call));
    }
    return;
  }
  const bool overtaken =
      reply.status == BackendStatus::kStaleTerm && call.order.stop_run.fence.epoch < epoch_;
  if ((unknown || overtaken) && call.attempts < kStopAttempts) {
    IssueCall(std::move(call));
    return;
  }
  LogDecision(fmt::format("task={} run={} attempts={} order=stop status={} {}",
                          call.order.stop_run.task.ToString(), call.order.stop_run.run.value(),
                          call.attempts, BackendStatusName(reply.status), reply.message));
  const bool stopped = reply.status == BackendStatus::kOk;
  poll_not_before_ = now;
  if (call.fencing) {
    RecordStatus(call, stopped ? BackendStatus::kStopped : BackendStatus::kUnknown);
  } else {
    RecordStatus(call, reply.status);
  }
}

void FleetAgentCore::RecordStatus(const Call& call, BackendStatus status) {
  const auto found = batches_.find(call.batch);
  if (found == batches_.end()) return;
  Batch& batch = found->second;
  batch.statuses[call.index] = static_cast<std::uint8_t>(status);
  if (--batch.open > 0) return;
  effects_.answers.emplace_back(call.batch,
                                OrderBatchReply{term_, batch.statuses, polls_sent_ + 1});
  batches_.erase(found);
}

}  // namespace basilspring::fleet
