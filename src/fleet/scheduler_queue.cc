#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "basilspring/fleet/placement.h"
#include "basilspring/fleet/scheduler_core.h"

// Which step is served next and where. The load that this answers: urgent gangs that must start
// within a fraction of their own run time, among long jobs that can wait several times theirs.
namespace basilspring::fleet {
namespace {

// Run numbers of one term, so that those of the next are higher without a record of each start.
constexpr std::uint64_t kRunsPerTerm = 1000;
// Rejections of a start by one worker's books are rare; a reservation that takes longer than the
// stops it waits for is planned anew.
constexpr Duration kReservationSlack(1500);
// Work of the first priority beyond a guarantee is stopped only when nothing else helps.
constexpr double kBorrowerPenalty = 1000.0;
// A step that was stopped for others this often is as dear as if it had lost this much more.
constexpr double kRepeatedPreemptionPenalty = 50.0;

constexpr std::int32_t kTierGuaranteed = 0;
constexpr std::int32_t kTierUrgent = 1;
constexpr std::int32_t kTierOther = 2;

Resources Times(const Resources& one, std::int64_t count) {
  return {one.milli_cores * count, one.memory_mb * count, one.accelerators * count};
}

}  // namespace

/// The workers that could take a step, and what placement may stop there.
struct SchedulerCore::View {
  std::vector<Candidate> candidates;
  std::vector<NodeId> nodes;
  /// For each victim handle one of its runs.
  std::vector<std::pair<NodeId, RunKey>> victims;
};

bool SchedulerCore::StepIsReady(const Job& job, std::size_t step) const {
  const auto steps = job.spec.steps.size();
  const std::size_t occurrence = step / steps;
  if (job.spec.occurrences > 0) {
    const std::int64_t due =
        job.spec.first_due_unix_ms +
        static_cast<std::int64_t>(occurrence) * job.spec.interval.milliseconds();
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
  // A gang starts whole, and only when nothing of its last start is left.
  if (gang && waiting.size() != tasks.size()) waiting.clear();
  return waiting;
}

std::set<JobId> SchedulerCore::GuaranteedJobs() const {
  std::map<WorkspaceId, std::vector<const Job*>> by_workspace;
  for (const auto& [id, job] : jobs_) {
    if (IsFinal(job.phase) || job.queue.priority != 0) continue;
    by_workspace[job.spec.workspace].push_back(&job);
  }
  std::set<JobId> guaranteed;
  for (auto& [workspace_id, jobs] : by_workspace) {
    const Workspace* workspace = operators_->config.FindWorkspace(workspace_id);
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

Duration SchedulerCore::Chain(const Job& job) const {
  const auto& specs = job.spec.steps;
  std::vector<Duration> end(specs.size());
  Duration longest;
  for (std::size_t i = 0; i < specs.size(); ++i) {
    Duration begin;
    for (const std::int32_t before : specs[i].after) {
      begin = std::max(begin, end[static_cast<std::size_t>(before)]);
    }
    end[i] = begin + run_times_.Predict(job.spec.queue, static_cast<std::int32_t>(i),
                                        specs[i].estimate);
    longest = std::max(longest, end[i]);
  }
  return longest;
}

std::vector<SchedulerCore::ReadyStep> SchedulerCore::ReadySteps(
    TimePoint now, const std::set<JobId>& guaranteed) {
  std::vector<ReadyStep> ready;
  const bool recovering = RecoveryPending(now);
  for (auto& [id, job] : jobs_) {
    if (IsFinal(job.phase) || job.queue.service.empty()) continue;
    if (recovering && job.inherited) continue;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
      if (!StepIsReady(job, i)) continue;
      Step& step = job.steps[i];
      if (!step.ready_at) step.ready_at = now;
      ReadyStep row;
      row.job = &job;
      row.step = i;
      row.tier = kTierOther;
      if (job.queue.priority == 0) {
        row.tier = guaranteed.count(id) > 0 ? kTierGuaranteed : kTierUrgent;
      }
      // Served in the order of the time by which they must start to be on time.
      const Duration chain = Chain(job);
      const auto allowed = static_cast<std::int64_t>(
          static_cast<double>(chain.milliseconds()) * (job.queue.stretch - 1.0));
      row.latest_start = job.accepted_at + Duration(allowed) + job.queue.target_slack;
      ready.push_back(row);
    }
  }
  std::sort(ready.begin(), ready.end(), [](const ReadyStep& left, const ReadyStep& right) {
    return std::tie(left.tier, left.latest_start, left.job->spec.id, left.step) <
           std::tie(right.tier, right.latest_start, right.job->spec.id, right.step);
  });
  return ready;
}

Resources SchedulerCore::FreeRoom(const Worker& worker) const {
  Resources room = worker.backend->capacity;
  for (const auto& [key, run] : worker.runs) room -= run.needs;
  return room;
}

Resources SchedulerCore::ReservedByOthers(const NodeId& node, const Step* own) const {
  Resources reserved;
  for (const auto& [id, job] : jobs_) {
    if (IsFinal(job.phase)) continue;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
      const Step& step = job.steps[i];
      if (&step == own || step.reserved.empty()) continue;
      const auto count = std::count(step.reserved.begin(), step.reserved.end(), node);
      reserved += Times(SpecOf(job, i).needs, count);
    }
  }
  return reserved;
}

bool SchedulerCore::IsUsable(TimePoint now, const Worker& worker, const ServiceId& service) const {
  return worker.reported && worker.backend && worker.backend->service == service &&
         !worker.backend->draining && now - worker.last_report <= options_.silence_limit &&
         now >= worker.refused_until && worker.poll_age <= options_.silence_limit &&
         operators_->evacuated.count(worker.backend->data_centre) == 0;
}

SchedulerCore::View SchedulerCore::BuildView(TimePoint now, const ReadyStep& ready) const {
  View view;
  const Job& job = *ready.job;
  const StepSpec& spec = SpecOf(job, ready.step);
  const Step& step = job.steps[ready.step];
  std::string pinned_rack;
  if (spec.same_rack && !spec.gang) {
    for (const Task& task : step.tasks) {
      const auto worker = workers_.find(task.worker);
      if (task.phase == TaskPhase::kWaiting || worker == workers_.end()) continue;
      if (worker->second.backend) pinned_rack = worker->second.backend->rack;
    }
  }
  for (const auto& [node, worker] : workers_) {
    if (!IsUsable(now, worker, job.queue.service)) continue;
    Candidate candidate;
    candidate.rack = worker.backend->rack;
    if (!pinned_rack.empty() && candidate.rack != pinned_rack) continue;
    candidate.capacity = worker.backend->capacity;
    candidate.labels = worker.backend->labels;
    Resources stopping;
    for (const auto& [key, run] : worker.runs) {
      if (run.stopping) stopping += run.needs;
      const bool same = key.task.job == job.spec.id && StepIndex(job, key.task) == ready.step;
      if (same) ++candidate.same_step;
    }
    const Resources free = FreeRoom(worker);
    Resources later = free;
    later += stopping;
    later -= ReservedByOthers(node, &step);
    candidate.room = {std::min(free.milli_cores, later.milli_cores),
                      std::min(free.memory_mb, later.memory_mb),
                      std::min(free.accelerators, later.accelerators)};
    candidate.suspect =
        now < worker.probation_until || !worker.failed_jobs.empty() ||
        std::any_of(step.tasks.begin(), step.tasks.end(),
                    [&](const Task& task) { return task.failed_on.count(node) > 0; });
    // On probation a worker gets nothing; one failure only makes it the last choice.
    if (now < worker.probation_until) continue;
    view.candidates.push_back(std::move(candidate));
    view.nodes.push_back(node);
  }
  return view;
}

double SchedulerCore::LostWork(const Job& job, const RunKey& key, const Allocation& run,
                               TimePoint now) const {
  const std::size_t index = StepIndex(job, key.task);
  const StepSpec& spec = SpecOf(job, index);
  const Duration predicted =
      run_times_.Predict(job.spec.queue, key.task.step, spec.estimate);
  double seconds = static_cast<double>((now - run.working_since).milliseconds()) / 1000.0;
  const double by_percent =
      static_cast<double>(predicted.milliseconds()) * run.percent / 100.0 / 1000.0;
  seconds = std::min(seconds, by_percent);
  // At most the work since the last checkpoint is lost; checkpoints are under a second apart.
  if (spec.checkpoints) seconds = std::min(seconds, 1.0);
  return std::max(0.0, seconds) * spec.needs.Weight();
}

void SchedulerCore::AddVictims(TimePoint now, const ReadyStep& ready,
                               const std::set<JobId>& guaranteed, View& view) const {
  std::map<std::pair<JobId, std::size_t>, std::size_t> gangs;
  for (std::size_t i = 0; i < view.nodes.size(); ++i) {
    const Worker& worker = workers_.at(view.nodes[i]);
    for (const auto& [key, run] : worker.runs) {
      if (run.stopping || key.task.job == ready.job->spec.id) continue;
      const auto found = jobs_.find(key.task.job);
      if (found == jobs_.end()) continue;
      const Job& job = found->second;
      const bool borrower = job.queue.priority == 0;
      if (borrower && (ready.tier != kTierGuaranteed || guaranteed.count(key.task.job) > 0)) {
        continue;
      }
      const std::size_t step = StepIndex(job, key.task);
      Victim victim;
      victim.room = run.needs;
      victim.lost_work = LostWork(job, key, run, now) + SpecOf(job, step).needs.Weight() * 0.1 +
                         (borrower ? kBorrowerPenalty : 0) +
                         kRepeatedPreemptionPenalty * job.steps[step].preemptions;
      if (SpecOf(job, step).gang) {
        victim.lost_work *= SpecOf(job, step).task_count;
        const auto [it, added] = gangs.try_emplace({key.task.job, step}, view.victims.size());
        victim.handle = it->second;
        if (added) view.victims.emplace_back(view.nodes[i], key);
      } else {
        victim.handle = view.victims.size();
        view.victims.emplace_back(view.nodes[i], key);
      }
      view.candidates[i].victims.push_back(victim);
    }
    auto& victims = view.candidates[i].victims;
    std::sort(victims.begin(), victims.end(), [](const Victim& left, const Victim& right) {
      return left.lost_work < right.lost_work;
    });
  }
}

void SchedulerCore::Preempt(TimePoint now, const View& view,
                            const std::vector<std::size_t>& victims) {
  for (const std::size_t handle : victims) {
    const auto& [node, key] = view.victims[handle];
    Worker& worker = workers_.at(node);
    Job& job = jobs_.at(key.task.job);
    const std::size_t step = StepIndex(job, key.task);
    ++job.steps[step].preemptions;
    ++counts_.runs_preempted;
    Say(fmt::format("task={} run={} worker={} is preempted preemptions={}", key.task.ToString(),
                    key.run.value(), node.value(), job.steps[step].preemptions));
    if (SpecOf(job, step).gang) {
      StopStep(now, job, step, true);
    } else {
      Allocation& run = worker.runs.at(key);
      run.preempted = true;
      RequestStop(now, worker, key, run);
    }
  }
}

bool SchedulerCore::TryReserved(TimePoint now, const ReadyStep& ready,
                                const std::vector<std::int32_t>& waiting) {
  Job& job = *ready.job;
  Step& step = job.steps[ready.step];
  const StepSpec& spec = SpecOf(job, ready.step);
  std::map<NodeId, std::int64_t> counts;
  for (const NodeId& node : step.reserved) ++counts[node];
  bool valid = step.reserved.size() == waiting.size() &&
               now - step.reserved_at <= options_.stop_time + kReservationSlack;
  bool fits = valid;
  for (const auto& [node, count] : counts) {
    const auto worker = workers_.find(node);
    if (worker == workers_.end() || !IsUsable(now, worker->second, job.queue.service)) {
      valid = false;
      break;
    }
    fits = fits && Times(spec.needs, count).FitsIn(FreeRoom(worker->second));
  }
  if (!valid) {
    Say(fmt::format("job={} step={} reservation of {} workers given up after {} ms",
                    job.spec.id.value(), ready.step, counts.size(),
                    (now - step.reserved_at).milliseconds()));
    step.reserved.clear();
    return false;
  }
  if (fits) {
    const std::vector<NodeId> workers = std::exchange(step.reserved, {});
    Start(now, job, ready.step, waiting, workers);
  }
  return true;
}

void SchedulerCore::TryStart(TimePoint now, const ReadyStep& ready,
                             const std::set<JobId>& guaranteed) {
  Job& job = *ready.job;
  Step& step = job.steps[ready.step];
  const StepSpec& spec = SpecOf(job, ready.step);
  const std::vector<std::int32_t> waiting = WaitingTasks(job, ready.step, now);
  if (waiting.empty()) return;
  if (!step.reserved.empty() && TryReserved(now, ready, waiting)) return;
  View view = BuildView(now, ready);
  const auto count = static_cast<std::int32_t>(waiting.size());
  const auto nodes_of = [&](const Placement& placement) {
    std::vector<NodeId> nodes;
    for (const std::size_t i : placement.workers) nodes.push_back(view.nodes[i]);
    return nodes;
  };
  if (const auto placement = PlaceNow(spec, count, view.candidates)) {
    std::vector<std::int32_t> tasks(
        waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(placement->workers.size()));
    Start(now, job, ready.step, tasks, nodes_of(*placement));
    return;
  }
  const bool may_preempt =
      ready.tier == kTierGuaranteed ||
      (ready.tier == kTierUrgent && now - *step.ready_at >= options_.borrow_wait);
  if (!may_preempt) return;
  AddVictims(now, ready, guaranteed, view);
  const auto placement = PlaceWithVictims(spec, count, view.candidates);
  if (!placement) return;
  step.reserved = nodes_of(*placement);
  step.reserved_at = now;
  Say(fmt::format("job={} step={} tier={} tasks={} waited_ms={} stops {} others, lost_work={:.1f}",
                  job.spec.id.value(), ready.step, ready.tier, count,
                  (now - *step.ready_at).milliseconds(), placement->victims.size(),
                  placement->lost_work));
  Preempt(now, view, placement->victims);
}

void SchedulerCore::Start(TimePoint now, Job& job, std::size_t step,
                          const std::vector<std::int32_t>& tasks,
                          const std::vector<NodeId>& workers) {
  const StepSpec& spec = SpecOf(job, step);
  Step& state = job.steps[step];
  std::uint64_t gang_run = 0;
  std::string gang_checkpoint;
  if (spec.gang) {
    std::int32_t saved = -1;
    for (const Task& task : state.tasks) {
      gang_run = std::max(gang_run, task.runs + 1);
      if (!task.checkpoint.empty() && task.saved_percent > saved) {
        saved = task.saved_percent;
        gang_checkpoint = task.checkpoint;
      }
    }
  }
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    Task& task = state.tasks[static_cast<std::size_t>(tasks[i])];
    task.runs = spec.gang ? gang_run : task.runs + 1;
    task.run = RunNumber((term_.value() - 1) * kRunsPerTerm + task.runs);
    task.phase = TaskPhase::kActive;
    task.worker = workers[i];
    task.ever_started = true;
    ++task.live_runs;
    Order order;
    order.start = true;
    order.task = IdOf(job, step, static_cast<std::size_t>(tasks[i]));
    order.run = task.run;
    order.payload = job.spec.payload;
    order.checkpoint = spec.gang ? gang_checkpoint : task.checkpoint;
    Worker& worker = workers_.at(workers[i]);
    Allocation& run = worker.runs[{order.task, order.run}];
    run.needs = spec.needs;
    run.ordered_at = now;
    run.progressed_at = now;
    run.working_since = now;
    run.checkpoint = order.checkpoint;
    run.measured = order.checkpoint.empty() &&
                   (spec.data_rack.empty() || spec.data_rack == worker.backend->rack);
    pending_orders_.push_back({workers[i], std::move(order)});
    ++counts_.runs_started;
  }
  if (!job.started) {
    job.started = true;
    Say(fmt::format("job={} queue={} step={} tasks={} begins waited_ms={}", job.spec.id.value(),
                    job.spec.queue.value(), step, tasks.size(),
                    wall_ms_ - job.spec.accepted_unix_ms));
  }
}

void SchedulerCore::Schedule(TimePoint now) {
  const std::set<JobId> guaranteed = GuaranteedJobs();
  for (const ReadyStep& ready : ReadySteps(now, guaranteed)) TryStart(now, ready, guaranteed);
}

}  // namespace basilspring::fleet
