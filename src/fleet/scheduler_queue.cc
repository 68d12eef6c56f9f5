#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "fleet/scheduler_pass.h"

// Order of the ready steps and their starts. Designed for urgent gangs that must start within a
// fraction of their own run time, among long jobs that can wait several times theirs.
namespace basilspring::fleet {
namespace {

// Run numbers available to each term, so that the run numbers of the next term are higher without a
// record of each start. A long-running task that fails immediately starts about ten times a second,
// so this lasts for a day of such starts.
constexpr std::uint64_t kRunsPerTerm = 1000000;
// A job is of use to its caller if it ends within this multiple of the time in which it is on time.
constexpr double kUsefulStretchFactor = 3.0;

}  // namespace

bool SchedulerCore::StepIsReady(const Job& job, std::size_t step) const {
  const auto steps = job.spec.steps.size();
  const std::size_t occurrence = step / steps;
  if (job.spec.occurrences > 0) {
    const std::int64_t due = job.spec.first_due_unix_ms + static_cast<std::int64_t>(occurrence) *
                                                              job.spec.interval.milliseconds();
    if (wall_ms_ < due) return false;
  }
  for (const std::int32_t before : SpecOf(job, step).after) {
    const Step& needed = job.steps[occurrence * steps + static_cast<std::size_t>(before)];
    if (needed.done < static_cast<std::int32_t>(needed.tasks.size())) return false;
  }
  return job.steps[step].done < static_cast<std::int32_t>(job.steps[step].tasks.size());
}

std::vector<std::int32_t> SchedulerCore::WaitingTasks(const Job& job, std::size_t step,
                                                      TimePoint now) {
  std::vector<std::int32_t> waiting;
  const auto& tasks = job.steps[step].tasks;
  const bool gang = SpecOf(job, step).gang;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    const Task& task = tasks[i];
    if (task.phase == TaskPhase::kWaiting && task.live_runs == 0 && now >= task.not_before) {
      waiting.push_back(static_cast<std::int32_t>(i));
    }
  }
  // A gang starts whole, and only when no run of its last start is left.
  if (gang && waiting.size() != tasks.size()) waiting.clear();
  return waiting;
}

std::set<JobId> SchedulerCore::GuaranteedJobs() const {
  std::map<WorkspaceId, std::vector<const Job*>> by_workspace;
  for (const JobId& id : active_) {
    const Job& job = jobs_.at(id);
    if (!IsUrgent(job)) continue;
    // A job that can't start must not use up the guarantee of others.
    if (job.record_fault != RecordFault::kNone && job.live_runs == 0) continue;
    by_workspace[job.spec.workspace].push_back(&job);
  }
  std::set<JobId> guaranteed;
  for (auto& [workspace_id, jobs] : by_workspace) {
    const Workspace* workspace = operator_state_->config.FindWorkspace(workspace_id);
    if (workspace == nullptr) continue;
    std::sort(jobs.begin(), jobs.end(), [](const Job* left, const Job* right) {
      return std::tie(left->accepted_at, left->spec.id) <
             std::tie(right->accepted_at, right->spec.id);
    });
    std::int64_t left = workspace->guaranteed_accelerators;
    for (const Job* job : jobs) {
      const StepSpec& first = job->spec.steps.front();
      const std::int64_t needed = first.needs.accelerators * first.task_count;
      if (needed > left) continue;
      left -= needed;
      guaranteed.insert(job->spec.id);
    }
  }
  return guaranteed;
}

Duration SchedulerCore::CriticalPath(const Job& job) const {
  const auto& specs = job.spec.steps;
  std::vector<Duration> end(specs.size());
  Duration longest;
  for (std::size_t i = 0; i < specs.size(); ++i) {
    Duration begin;
    for (const std::int32_t before : specs[i].after) {
      begin = std::max(begin, end[static_cast<std::size_t>(before)]);
    }
    end[i] = begin + run_times_.PredictLongest(job.spec.queue, static_cast<std::int32_t>(i),
                                               specs[i].estimate, specs[i].task_count);
    longest = std::max(longest, end[i]);
  }
  return longest;
}

JobValue SchedulerCore::ValueOf(const Job& job, Duration critical_path, double work) const {
  const double allowed = static_cast<double>(critical_path.milliseconds()) * job.queue.stretch +
                         static_cast<double>(job.queue.target_slack.milliseconds());
  JobValue value;
  value.weight = WeightOfPriority(job.queue.priority);
  value.work = work;
  value.due = job.accepted_at + Duration(static_cast<std::int64_t>(allowed));
  value.useless_after =
      job.accepted_at + Duration(static_cast<std::int64_t>(allowed * kUsefulStretchFactor));
  return value;
}

void SchedulerCore::Rank(TimePoint now, const Pass& pass, ReadyStep& ready) const {
  const Job& job = *ready.job;
  const StepSpec& spec = SpecOf(job, ready.step);
  const Duration critical_path = CriticalPath(job);
  const auto run_time = run_times_.Predict(
      job.spec.queue, static_cast<std::int32_t>(ready.step % job.spec.steps.size()), spec.estimate);
  constexpr double kMillisecondsPerSecond = 1000.0;
  ready.own_work = static_cast<double>(ready.waiting.size()) * spec.needs.Weight() *
                   static_cast<double>(run_time.milliseconds()) / kMillisecondsPerSecond;
  ready.critical_path = critical_path;
  ready.value = ValueOf(job, critical_path, ready.own_work);
  const bool guaranteed = pass.guaranteed.count(job.spec.id) > 0;
  ready.latest_start = ready.value.due - critical_path;
  const bool on_time = now <= ready.latest_start;
  if (!on_time) ready.latest_start = ready.value.useless_after - critical_path;
  ready.tier = kTierOther;
  if (now > ready.latest_start) ready.tier = kTierTooLate;
  if (IsUrgent(job) && on_time) ready.tier = kTierUrgent;
  if (IsUrgent(job) && guaranteed) ready.tier = kTierGuaranteed;
  // The order within a guarantee is that of the latest start under all policies.
  if (options_.shortage == ShortagePolicy::kCost && ready.tier != kTierGuaranteed) {
    ready.index = OrderIndex(ready.value, critical_path, now);
  }
}

std::vector<SchedulerCore::ReadyStep> SchedulerCore::ReadySteps(TimePoint now, const Pass& pass) {
  std::vector<ReadyStep> ready;
  for (const JobId& id : active_) {
    Job& job = jobs_.at(id);
    if (job.live_runs > 0) job.last_active_at = now;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
      Step& step = job.steps[i];
      if (!StepIsReady(job, i)) {
        ReleaseClaims(step);
        continue;
      }
      ReadyStep ready_step;
      if (job.record_fault == RecordFault::kNone && !job.queue.service.empty() &&
          !RecoveryPending(now, step)) {
        if (!step.ready_at) step.ready_at = now;
        ready_step.waiting = WaitingTasks(job, i, now);
      }
      if (ready_step.waiting.empty()) {
        ReleaseClaims(step);
        CheckBlocked(now, job, i);
        continue;
      }
      step.blocked_since.reset();
      ready_step.job = &job;
      ready_step.step = i;
      Rank(now, pass, ready_step);
      ready.push_back(std::move(ready_step));
    }
  }
  std::sort(ready.begin(), ready.end(), [](const ReadyStep& left, const ReadyStep& right) {
    return std::tie(left.tier, right.index, left.latest_start, left.job->spec.id, left.step) <
           std::tie(right.tier, left.index, right.latest_start, right.job->spec.id, right.step);
  });
  return ready;
}

bool SchedulerCore::StartOnFreeCapacity(TimePoint now, Pass& pass, const ReadyStep& ready,
                                        std::int32_t count, const PlacementView& view) {
  const StepSpec& spec = SpecOf(*ready.job, ready.step);
  const auto placement = PlaceNow(spec, count, view.candidates, view.any_rack);
  if (!placement) return false;
  if (!pass.fleet_listed && !IsInPreferredRack(spec, view.candidates, *placement)) return false;
  std::vector<std::int32_t> tasks = ready.waiting;
  tasks.resize(placement->workers.size());
  ReleaseHeldBack(pass, *ready.job, ready.step);
  StartTasks(now, pass, *ready.job, ready.step, tasks, view.IndicesOf(*placement));
  return true;
}

bool SchedulerCore::MayPreempt(TimePoint now, const Pass& pass, const ReadyStep& ready) const {
  if (!pass.fleet_listed) return false;
  if (ready.tier == kTierGuaranteed) return true;
  const Duration waited = now - *ready.job->steps[ready.step].ready_at;
  return ready.tier == kTierUrgent && waited >= options_.borrowed_preemption_delay;
}

void SchedulerCore::TryStart(TimePoint now, Pass& pass, ReadyStep ready) {
  Job& job = *ready.job;
  Step& step = job.steps[ready.step];
  const StepSpec& spec = SpecOf(job, ready.step);
  if (!step.reserved_workers.empty() && TryStartReserved(now, pass, ready)) return;
  const Relaxation relaxation = RelaxationFor(now, pass, ready);
  Relaxation without_probation = relaxation;
  without_probation.with_probation = false;
  PlacementView view = BuildView(pass, ready, without_probation);
  const std::int32_t count = TasksWithinHeadroom(now, pass, ready);
  if (count == 0) {
    LogWaitReason(now, pass, ready, view);
    return;
  }
  if (StartOnFreeCapacity(now, pass, ready, count, view)) return;
  if (relaxation.with_probation &&
      StartOnFreeCapacity(now, pass, ready, count, BuildView(pass, ready, relaxation))) {
    LogDecision(
        fmt::format("job={} step={} waited_ms={} started with workers on probation, as the others "
                    "have no capacity for it",
                    job.spec.id.value(), ready.step, (now - *step.ready_at).milliseconds()));
    return;
  }
  const bool may_preempt = MayPreempt(now, pass, ready);
  std::optional<Placement> placement;
  if (may_preempt) {
    AddVictims(now, pass, ready, view);
    placement = PlaceWithVictims(spec, count, view.candidates, view.any_rack);
  }
  if (may_preempt && !placement && ready.tier == kTierGuaranteed && relaxation.with_probation) {
    view = BuildView(pass, ready, relaxation);
    AddVictims(now, pass, ready, view);
    placement = PlaceWithVictims(spec, count, view.candidates, view.any_rack);
  }
  if (!placement || !IsWorthPreempting(now, ready, *placement)) {
    // A gang that waits for running work to end needs the capacity that it leaves.
    const bool declined = placement && options_.shortage == ShortagePolicy::kCost;
    if (spec.gang && (ready.tier == kTierOther || declined)) {
      HoldBackCapacity(now, pass, ready, view);
    }
    LogWaitReason(now, pass, ready, view);
    return;
  }
  ReleaseHeldBack(pass, job, ready.step);
  for (const std::size_t index : view.IndicesOf(*placement)) {
    step.reserved_workers.push_back(pass.workers[index].worker->node);
    pass.workers[index].reserved += spec.needs;
  }
  step.reserved_at = now;
  step.awaits_late_stops = false;
  step.preemption_loss += placement->lost_work;
  LogDecision(fmt::format(
      "job={} step={} tier={} tasks={} waited_ms={} preempting {} victims, lost_work={:.1f}",
      job.spec.id.value(), ready.step, ready.tier, count, (now - *step.ready_at).milliseconds(),
      placement->victims.size(), placement->lost_work));
  Preempt(now, pass, view, placement->victims);
}

void SchedulerCore::StartTask(TimePoint now, Job& job, const TaskId& id, Worker& worker,
                              const std::string& checkpoint) {
  const StepSpec& spec = SpecOf(job, StepIndex(job, id));
  Task& task = TaskOf(job, id);
  task.phase = TaskPhase::kActive;
  task.run = RunNumber((term_.value() - 1) * kRunsPerTerm + task.runs);
  task.worker = worker.node;
  ++task.live_runs;
  ++job.live_runs;
  Order order;
  order.start = true;
  order.task = id;
  order.run = task.run;
  order.payload = job.spec.payload;
  order.checkpoint = checkpoint;
  order.repeat = RepeatRuleOf(spec);
  Allocation& run = worker.runs[{id, task.run}];
  run.needs = spec.needs;
  run.progressed_at = now;
  run.working_since = now;
  run.checkpoint = checkpoint;
  run.on_probation = now < worker.probation_until;
  run.is_run_time_sample =
      checkpoint.empty() && (spec.data_rack.empty() || spec.data_rack == worker.backend->rack);
  // The record must name the agent before the start is sent, so that the next scheduler knows where
  // the run may be.
  NameAgent(job, StepIndex(job, id), worker.node);
  pending_orders_.push_back({worker.node, std::move(order), job.version});
  ++counts_.starts_planned;
}

void SchedulerCore::StartTasks(TimePoint now, Pass& pass, Job& job, std::size_t step,
                               const std::vector<std::int32_t>& tasks,
                               const std::vector<std::size_t>& worker_indices) {
  const StepSpec& spec = SpecOf(job, step);
  Step& state = job.steps[step];
  state.preemption_loss = 0;
  state.preemption_declined = false;
  std::uint64_t gang_run = 0;
  std::string gang_checkpoint;
  if (spec.gang) {
    // All members start with the same run number and checkpoint. The checkpoint of any member is
    // valid for all.
    std::int32_t best_percent = -1;
    for (const Task& task : state.tasks) {
      gang_run = std::max(gang_run, task.runs + 1);
      if (!task.checkpoint.empty() && task.checkpoint_percent > best_percent) {
        best_percent = task.checkpoint_percent;
        gang_checkpoint = task.checkpoint;
      }
    }
  }
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    Task& task = state.tasks[static_cast<std::size_t>(tasks[i])];
    task.runs = spec.gang ? gang_run : task.runs + 1;
    Pass::WorkerCapacity& pass_worker = pass.workers[worker_indices[i]];
    pass_worker.free -= spec.needs;
    StartTask(now, job, IdOf(job, step, static_cast<std::size_t>(tasks[i])), *pass_worker.worker,
              spec.gang ? gang_checkpoint : task.checkpoint);
  }
  if (!job.begun && state.tasks[static_cast<std::size_t>(tasks.front())].runs == 1) {
    LogDecision(
        fmt::format("job={} queue={} step={} tasks={} first start of the job planned, waited_ms={}",
                    job.spec.id.value(), job.spec.queue.value(), step, tasks.size(),
                    wall_ms_ - job.spec.accepted_unix_ms));
  }
}

void SchedulerCore::Schedule(TimePoint now) {
  if (active_.empty()) {
    counts_.steps_ready = 0;
    counts_.steps_blocked = 0;
    return;
  }
  Pass pass;
  BeginPass(now, pass);
  UpdateHeadroom(now, pass);
  counts_.steps_blocked = 0;
  std::vector<ReadyStep> steps = ReadySteps(now, pass);
  counts_.steps_ready = steps.size();
  for (ReadyStep& ready : steps) TryStart(now, pass, std::move(ready));
}

}  // namespace basilspring::fleet
