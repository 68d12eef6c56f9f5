#include "fleet_harness.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace basilspring::fleet {
namespace {

constexpr std::int64_t kTickMs = 20;
constexpr std::int64_t kReportMs = 200;

}  // namespace

StepSpec MakeStep(std::int32_t count, std::int64_t accelerators, std::int64_t estimate_ms) {
  StepSpec step;
  step.task_count = count;
  step.needs = {1000, 1000, accelerators};
  step.estimate = Duration(estimate_ms);
  return step;
}

FleetHarness::FleetHarness(std::uint64_t term) {
  operators_.config.version = 1;
  operators_.config.services.push_back({ServiceId("service"), true});
  options.stop_time = Duration(stop_time_ms);
  ChangeScheduler(term);
}

void FleetHarness::PublishOperatorState() {
  core_->SetOperatorState(std::make_shared<OperatorState>(operators_));
}

void FleetHarness::ChangeScheduler(std::uint64_t term) {
  term_ = Term(term);
  core_ = std::make_unique<SchedulerCore>(options, term_, TimePoint(now_ms_));
  PublishOperatorState();
  for (auto& [name, agent] : agents_) core_->ExpectAgent(agent.report.node, agent.report.address);
  for (const auto& [id, spec] : specs_) {
    const auto found = stored_.find(id);
    std::optional<JobProgress> progress;
    if (found != stored_.end()) progress = found->second;
    core_->AddJob(TimePoint(now_ms_), now_ms_ + wall_offset_ms, spec, progress);
  }
}

FleetHarness::Agent& FleetHarness::AddAgent(const std::string& name, const std::string& rack,
                                            std::int64_t accelerators) {
  Agent& agent = agents_[name];
  agent.report.node = NodeId(name);
  agent.report.address = Address{name, 1};
  agent.report.incarnation = 1;
  BackendAnnouncement backend;
  backend.id = BackendId("backend-" + name);
  backend.started_unix_ms = 1;
  backend.sequence = 1;
  backend.service = ServiceId("service");
  backend.data_centre = DataCentreId("here");
  backend.capacity = {64000, 64000, accelerators};
  backend.rack = rack;
  agent.report.backend.push_back(backend);
  return agent;
}

void FleetHarness::AddQueue(const std::string& name, std::int32_t priority, double stretch,
                            std::int64_t slack_ms, std::int32_t max_attempts,
                            const std::string& service) {
  Queue queue;
  queue.id = QueueId(name);
  queue.service = ServiceId(service);
  queue.priority = priority;
  queue.stretch = stretch;
  queue.target_slack = Duration(slack_ms);
  queue.max_attempts = max_attempts;
  operators_.config.queues.push_back(queue);
  PublishOperatorState();
}

void FleetHarness::RemoveQueue(const std::string& name) {
  std::erase_if(operators_.config.queues,
                [&](const Queue& queue) { return queue.id == QueueId(name); });
  PublishOperatorState();
}

void FleetHarness::AddWorkspace(const std::string& name, std::int64_t guaranteed) {
  operators_.config.workspaces.push_back({WorkspaceId(name), {}, guaranteed});
  PublishOperatorState();
}

void FleetHarness::SetEnforcesCapacity(bool enforces) {
  operators_.config.services.front().enforces_capacity = enforces;
  PublishOperatorState();
}

JobId FleetHarness::Submit(const std::string& queue, const std::string& workspace,
                           const StepSpec& step) {
  return Submit(queue, workspace, std::vector<StepSpec>{step});
}

JobId FleetHarness::Submit(const std::string& queue, const std::string& workspace,
                           std::vector<StepSpec> steps) {
  JobSpec spec;
  spec.id = JobId(fmt::format("{:016x}", next_job_++));
  spec.queue = QueueId(queue);
  spec.workspace = WorkspaceId(workspace);
  spec.steps = std::move(steps);
  spec.accepted_unix_ms = now_ms_;
  specs_[spec.id] = spec;
  core_->AddJob(TimePoint(now_ms_), now_ms_ + wall_offset_ms, spec, std::nullopt);
  return spec.id;
}

void FleetHarness::ReadJobsAgain() {
  for (const auto& [id, spec] : specs_) {
    core_->AddJob(TimePoint(now_ms_), now_ms_ + wall_offset_ms, spec, std::nullopt);
  }
}

void FleetHarness::Advance(std::int64_t milliseconds) {
  for (const std::int64_t end = now_ms_ + milliseconds; now_ms_ < end; now_ms_ += kTickMs) {
    StepAgents();
    ApplyOutput(core_->Tick(TimePoint(now_ms_), now_ms_ + wall_offset_ms, true));
    CheckOverlappingRuns();
  }
}

bool FleetHarness::RunUntil(const JobId& job, JobPhase phase, std::int64_t limit_ms) {
  for (std::int64_t waited = 0; waited < limit_ms; waited += kTickMs) {
    if (PhaseOf(job) == phase) return true;
    Advance(kTickMs);
  }
  return PhaseOf(job) == phase;
}

bool FleetHarness::IsDone(const Run& run) const {
  const auto worked = [this](const Run& row) {
    return !row.stalled && now_ms_ - row.started_ms >= row.work_ms;
  };
  if (!worked(run)) return false;
  const StepSpec& step = specs_.at(run.task.job).steps[static_cast<std::size_t>(run.task.step)];
  if (!step.gang) return true;
  for (const auto& [name, agent] : agents_) {
    for (const Run& other : agent.runs) {
      const bool member = other.task.job == run.task.job && other.task.step == run.task.step &&
                          other.run == run.run;
      if (member && !worked(other)) return false;
    }
  }
  return true;
}

void FleetHarness::StepAgents() {
  for (auto& [name, agent] : agents_) {
    std::vector<Run> left;
    bool ended = false;
    for (Run& run : agent.runs) {
      const bool stopped = run.stop_at_ms >= 0 && now_ms_ >= run.stop_at_ms;
      const bool done = IsDone(run);
      if (stopped || done) {
        RecordEnd(name, agent, run,
                  stopped      ? RunEnd::kStopped
                  : outcome_of ? outcome_of(name, run.task)
                               : RunEnd::kDone);
        ended = true;
      } else {
        left.push_back(run);
      }
    }
    agent.runs = std::move(left);
    if (agent.reachable && (ended || now_ms_ % kReportMs == 0)) Report(agent);
  }
}

void FleetHarness::RecordEnd(const std::string& /*name*/, Agent& agent, const Run& run,
                             RunEnd end) {
  agent.report.ended.push_back(
      {agent.next_end++, run.task, run.run, static_cast<std::uint8_t>(end), run.checkpoint});
}

void FleetHarness::Report(Agent& agent) {
  ++agent.report.number;
  agent.report.term = term_;
  // A backend server that has exited answers no polls.
  const bool polls =
      !agent.report.backend_gone && now_ms_ - agent.polled_at_ms >= agent.poll_interval_ms;
  if (polls) {
    ++agent.report.poll;
    agent.polled_at_ms = now_ms_;
  }
  agent.report.running.clear();
  for (const Run& run : agent.runs) {
    // As on the platform, a run that is being stopped is no longer listed as running.
    if (run.stop_at_ms >= 0) continue;
    const std::int64_t worked = run.stalled ? 0 : now_ms_ - run.started_ms;
    const auto percent =
        std::min<std::int64_t>(100, worked * 100 / std::max<std::int64_t>(run.work_ms, 1));
    agent.report.running.push_back(
        {run.task, run.run, run.checkpoint, static_cast<std::int32_t>(percent)});
  }
  AgentReportReply reply = core_->OnReport(TimePoint(now_ms_), agent.report);
  if (!reply.accepted && reply.session != 0) {
    agent.report.session = reply.session;
    ++agent.report.number;
    reply = core_->OnReport(TimePoint(now_ms_), agent.report);
  }
  std::erase_if(agent.report.ended,
                [&](const EndedRow& row) { return row.number <= reply.acknowledged; });
}

void FleetHarness::ApplyOutput(const SchedulerOutput& output) {
  for (const ProgressSave& save : output.saves) {
    if (!store_available) continue;
    if (save.remove) {
      removed_.insert(save.job);
      stored_.erase(save.job);
      specs_.erase(save.job);
      core_->OnRemoved(save.job);
      continue;
    }
    stored_[save.job] = DecodeJobProgress(save.bytes);
    core_->OnSaved(save.job, save.version);
  }
  for (const OutgoingOrders& orders : output.orders) {
    const auto found = agents_.find(orders.agent.ip);
    if (found == agents_.end() || !found->second.reachable || found->second.loses_orders) {
      core_->OnOrdersAnswered(TimePoint(now_ms_), orders.batch, std::nullopt);
      continue;
    }
    auto reply = ExecuteOrders(found->first, found->second, orders.message);
    if (found->second.delays_answers) {
      found->second.delayed_answers[orders.batch] = std::move(reply);
    } else {
      core_->OnOrdersAnswered(TimePoint(now_ms_), orders.batch, reply);
    }
  }
}

void FleetHarness::DeliverAnswers(const std::string& name) {
  for (const auto& [batch, reply] : std::exchange(agents_.at(name).delayed_answers, {})) {
    core_->OnOrdersAnswered(TimePoint(now_ms_), batch, reply);
  }
}

std::optional<OrderBatchReply> FleetHarness::ExecuteOrders(const std::string& name, Agent& agent,
                                                           const OrderBatch& batch) {
  OrderBatchReply reply;
  // The poll that waits at the backend server may have been sent before the orders.
  reply.visible_from_poll = agent.report.poll + (agent.poll_interval_ms > 0 ? 2 : 1);
  bool lost = false;
  for (const Order& order : batch.orders) {
    BackendStatus status = BackendStatus::kOk;
    if (agent.report.backend_gone) {
      status = BackendStatus::kGone;
    } else if (!order.start) {
      lost = lost || std::exchange(agent.loses_next_stop_answer, false);
      for (Run& run : agent.runs) {
        const bool matches = run.task == order.task && run.run == order.run;
        if (matches && run.stop_at_ms < 0) run.stop_at_ms = now_ms_ + stop_time_ms;
      }
    } else {
      Run run;
      run.task = order.task;
      run.run = order.run;
      run.started_ms = now_ms_;
      run.checkpoint = order.checkpoint;
      run.work_ms = run_time_of ? run_time_of(order.task)
                                : specs_.at(order.task.job)
                                      .steps[static_cast<std::size_t>(order.task.step)]
                                      .estimate.milliseconds();
      ordered_starts_.emplace_back(name, run);
      const bool begins = !agent.next_start_status || agent.starts_despite_status;
      status = agent.next_start_status.value_or(BackendStatus::kOk);
      // kStopped means that the agent got no answer to the start and has stopped the run.
      if (status == BackendStatus::kStopped) run.stop_at_ms = now_ms_ + stop_time_ms;
      if (!agent.keeps_start_status) agent.next_start_status.reset();
      if (begins) {
        agent.runs.push_back(run);
        starts_.emplace_back(name, run);
      }
    }
    reply.statuses.push_back(static_cast<std::uint8_t>(status));
  }
  if (lost) return std::nullopt;
  return reply;
}

void FleetHarness::CheckOverlappingRuns() {
  std::set<std::string> seen;
  for (const auto& [name, agent] : agents_) {
    for (const Run& run : agent.runs) {
      if (!seen.insert(run.task.ToString()).second) overlapping_tasks_.insert(run.task.ToString());
    }
  }
}

std::size_t FleetHarness::StartsOf(const JobId& job) const {
  return static_cast<std::size_t>(std::count_if(
      starts_.begin(), starts_.end(), [&](const auto& row) { return row.second.task.job == job; }));
}

std::size_t FleetHarness::RunningTasks(const JobId& job) const {
  std::size_t running = 0;
  for (const auto& [name, agent] : agents_) {
    running += static_cast<std::size_t>(
        std::count_if(agent.runs.begin(), agent.runs.end(),
                      [&](const Run& run) { return run.task.job == job && run.stop_at_ms < 0; }));
  }
  return running;
}

}  // namespace basilspring::fleet
