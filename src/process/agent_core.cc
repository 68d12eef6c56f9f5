#include "basilspring/process/agent_core.h"

#include <fmt/format.h>

#include <optional>
#include <utility>
#include <variant>

#include "basilspring/process/scheduler_link.h"
#include "process/agent_tasks.h"

namespace basilspring {

std::string TaskKey::ToString() const { return fmt::format("{}.{}", attempt.value(), rank); }

struct AgentCore::Impl {
  explicit Impl(const AgentOptions& agent_options)
      : options(agent_options),
        link(options.cell, options.worker, options.entries, options.timings),
        tasks(options) {}

  internal::EventContext ContextAt(TimePoint now, AgentOutput& out) const {
    return {now, link.scheduler(), out};
  }
  bool BackendUsable() const { return backend_present && !backend_leaving; }
  bool Accepting() const { return BackendUsable() && !drain_until; }
  /// Returns kNone if the worker takes new tasks, otherwise the error to refuse them with.
  ErrorKind Admission() const;

  void On(TimePoint now, const ReceivedMessage& received, AgentOutput& out);
  void On(TimePoint now, const BackendAnnouncement& announcement, AgentOutput& out);
  void On(TimePoint now, const BackendResult& result, AgentOutput& out);
  void On(TimePoint now, const AgentTick& tick, AgentOutput& out);
  void On(TimePoint now, const DrainRequest& request, AgentOutput& out);

  struct MessageVisitor;
  void SendReport(TimePoint now, AgentOutput& out) const;
  void SendHeartbeat(AgentOutput& out);
  /// Sends what is due after any event: outcomes to a new scheduler, and a heartbeat.
  void AfterEvent(TimePoint now, AgentOutput& out);

  AgentOptions options;
  SchedulerLink link;
  internal::AgentTasks tasks;
  Address backend;
  bool backend_present = false;
  bool backend_leaving = false;
  TimePoint last_announcement;
  /// Time at which a drain stops the tasks that still run; std::nullopt if not draining.
  std::optional<TimePoint> drain_until;
  bool drain_stopped_tasks = false;
  /// The scheduler and epoch to which all undelivered outcomes were last sent.
  Address delivery_scheduler;
  Epoch delivery_epoch;
  std::uint64_t heartbeat_sequence = 0;
};

/// Handles the messages that are meant for a worker. Ignores all others, which other parts of the
/// process handle.
struct AgentCore::Impl::MessageVisitor {
  Impl& core;
  TimePoint now;
  const Address& from;
  AgentOutput& out;

  void operator()(const CellHolder& answer) const { core.link.OnCellHolder(now, answer, out); }
  void operator()(const SchedulerGoodbye& goodbye) const { core.link.OnGoodbye(now, goodbye); }
  void operator()(const SchedulerHello& hello) const {
    if (hello.cell != core.options.cell) return;
    if (core.link.AcceptEpoch(now, from, hello.epoch, out)) core.SendReport(now, out);
  }
  void operator()(const HeartbeatReply& reply) const {
    if (reply.cell == core.options.cell) core.link.AcceptEpoch(now, from, reply.epoch, out);
  }
  void operator()(const Prepare& prepare) const {
    const bool epoch_accepted = core.link.AcceptEpoch(now, from, prepare.epoch, out);
    const internal::EventContext context = core.ContextAt(now, out);
    if (epoch_accepted) {
      core.tasks.OnPrepare(context, from, prepare, core.Admission());
    } else {
      core.tasks.RefuseStaleCommand(context, from, {prepare.attempt, prepare.rank}, false);
    }
  }
  void operator()(const Start& start) const {
    const bool epoch_accepted = core.link.AcceptEpoch(now, from, start.epoch, out);
    const internal::EventContext context = core.ContextAt(now, out);
    if (epoch_accepted) {
      core.tasks.OnStart(context, from, start, core.Admission(), core.backend);
    } else {
      core.tasks.RefuseStaleCommand(context, from, {start.attempt, start.rank}, true);
    }
  }
  void operator()(const StopTask& stop) const {
    const bool epoch_accepted = core.link.AcceptEpoch(now, from, stop.epoch, out);
    const internal::EventContext context = core.ContextAt(now, out);
    if (epoch_accepted) {
      core.tasks.OnStop(context, from, stop);
    } else {
      core.tasks.RefuseStaleCommand(context, from, {stop.attempt, stop.rank}, false);
    }
  }
  void operator()(const TaskDoneAck& ack) const {
    // A superseded scheduler may not have forwarded the outcome, so only an acknowledgement of the
    // current one counts.
    if (from == core.link.scheduler()) core.tasks.OnAck(core.ContextAt(now, out), ack);
  }
  void operator()(const GangHeartbeat& heartbeat) const {
    core.tasks.OnGangHeartbeat(core.ContextAt(now, out), from, heartbeat);
  }
  template <typename Other>
  void operator()(const Other& /*message*/) const {}
};

ErrorKind AgentCore::Impl::Admission() const {
  if (drain_until) return ErrorKind::kShuttingDown;
  return BackendUsable() ? ErrorKind::kNone : ErrorKind::kBackendUnavailable;
}

void AgentCore::Impl::On(TimePoint now, const ReceivedMessage& received, AgentOutput& out) {
  std::visit(MessageVisitor{*this, now, received.from, out}, received.message);
}

void AgentCore::Impl::On(TimePoint now, const BackendAnnouncement& announcement, AgentOutput& out) {
  const bool accepted = Accepting();
  if (!backend_present || backend != announcement.address) {
    out.log.push_back(
        {EventId::kBackendAnnounced, fmt::format("backend={}", announcement.address.ToString())});
  }
  if (announcement.leaving && !backend_leaving) {
    out.log.push_back(
        {EventId::kBackendLeaving, fmt::format("backend={}", announcement.address.ToString())});
  }
  backend = announcement.address;
  backend_present = true;
  backend_leaving = announcement.leaving;
  last_announcement = now;
  if (tasks.resources().capacity() != announcement.capacity) {
    tasks.resources().SetCapacity(announcement.capacity);
    if (!link.scheduler().empty()) SendReport(now, out);
  }
  if (accepted != Accepting()) link.RequestHeartbeat();
}

void AgentCore::Impl::On(TimePoint now, const BackendResult& result, AgentOutput& out) {
  // A backend server that refuses connections has probably died. New tasks are refused until its
  // next announcement; otherwise they would fail until three announcements are missing.
  if (result.status == BackendStatus::kUnreachable && backend_present) {
    backend_present = false;
    link.RequestHeartbeat();
    out.log.push_back({EventId::kBackendGone,
                       fmt::format("backend={} reason=\"{}\"", backend.ToString(), result.text)});
  }
  tasks.OnResult(ContextAt(now, out), result);
}

void AgentCore::Impl::On(TimePoint now, const AgentTick& /*tick*/, AgentOutput& out) {
  if (backend_present && now - last_announcement >= options.timings.backend_silence_timeout) {
    backend_present = false;
    link.RequestHeartbeat();
    out.log.push_back(
        {EventId::kBackendGone, fmt::format("backend={} silent_ms={}", backend.ToString(),
                                            (now - last_announcement).milliseconds())});
  }
  if (drain_until && now >= *drain_until && !drain_stopped_tasks) {
    drain_stopped_tasks = true;
    tasks.StopAll(ContextAt(now, out), StopReason::kPreempted, options.timings.backend_poll_wait);
  }
  link.Tick(now, out);
  tasks.Tick(ContextAt(now, out));
}

void AgentCore::Impl::On(TimePoint now, const DrainRequest& /*request*/, AgentOutput& out) {
  if (drain_until) return;
  drain_until = now + options.drain_limit;
  link.StopContending();
  link.RequestHeartbeat();
  tasks.DropReservations(ContextAt(now, out));
}

void AgentCore::Impl::SendReport(TimePoint now, AgentOutput& out) const {
  AgentReport report;
  report.worker = options.worker;
  report.rack = options.rack;
  report.cell = options.cell;
  report.epoch = link.epoch();
  report.address = options.address;
  report.capacity = tasks.resources().capacity();
  report.accepting = Accepting();
  report.tasks = tasks.Reports(now);
  out.messages.push_back({link.scheduler(), std::move(report), false});
}

void AgentCore::Impl::SendHeartbeat(AgentOutput& out) {
  const AgentCounts counts = tasks.counts();
  Heartbeat heartbeat;
  heartbeat.worker = options.worker;
  heartbeat.rack = options.rack;
  heartbeat.address = options.address;
  heartbeat.epoch = link.epoch();
  heartbeat.sequence = ++heartbeat_sequence;
  heartbeat.tasks = static_cast<std::uint32_t>(counts.running + counts.stopping);
  heartbeat.accepting = Accepting();
  heartbeat.used_cores = tasks.used_cores();
  heartbeat.used_memory = tasks.used_memory();
  out.messages.push_back({link.scheduler(), std::move(heartbeat), true});
}

void AgentCore::Impl::AfterEvent(TimePoint now, AgentOutput& out) {
  if (link.scheduler() != delivery_scheduler || link.epoch() != delivery_epoch) {
    delivery_scheduler = link.scheduler();
    delivery_epoch = link.epoch();
    tasks.Redeliver(ContextAt(now, out));
  }
  if (link.TakeDueHeartbeat(now)) SendHeartbeat(out);
}

AgentCore::AgentCore(const AgentOptions& options) : impl_(std::make_unique<Impl>(options)) {}

AgentCore::~AgentCore() = default;

void AgentCore::Handle(TimePoint now, const AgentEvent& event, AgentOutput& out) {
  std::visit([&](const auto& concrete) { impl_->On(now, concrete, out); }, event);
  impl_->AfterEvent(now, out);
}

bool AgentCore::accepting() const { return impl_->Accepting(); }

bool AgentCore::Drained() const {
  const AgentCounts counts = impl_->tasks.counts();
  return impl_->drain_until && counts.prepared + counts.running + counts.stopping == 0 &&
         counts.undelivered == 0;
}

AgentCounts AgentCore::counts() const { return impl_->tasks.counts(); }

Epoch AgentCore::epoch() const { return impl_->link.epoch(); }

}  // namespace basilspring
