#include <fmt/format.h>

#include <algorithm>
#include <cmath>
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
// What stopping a member of a gang costs beside its own lost work, in seconds of its run time.
constexpr double kGangReplaceSeconds = 2.0;
// Work of the first priority beyond a guarantee is stopped only when nothing else helps.
constexpr double kBorrowerPenalty = 1000.0;
// A step that was stopped for others this often is as dear as if it had lost this much more.
constexpr double kRepeatedPreemptionPenalty = 50.0;

// Jobs beyond their workspace's guarantee stop others only for less lost work than this multiple of
// their own: past it, all callers together wait longer for the sake of one.
constexpr double kWorthStopping = 2.0;
// A job is of use to its caller up to this multiple of the time in which it is on time.
constexpr double kUsefulFactor = 3.0;
// A run that saves checkpoints saves one when it is stopped; what is lost is the time to restore
// it.
constexpr double kRestoreSeconds = 0.4;
// How often the log says why a step waits.
constexpr Duration kExplainInterval(3000);

constexpr std::int32_t kTierGuaranteed = 0;
constexpr std::int32_t kTierUrgent = 1;
constexpr std::int32_t kTierOther = 2;
constexpr std::int32_t kTierTooLate = 3;

Resources Times(const Resources& one, std::int64_t count) {
  return {one.milli_cores * count, one.memory_mb * count, one.accelerators * count};
}

}  // namespace

/// What one pass over the queue knows of the workers that can take work; kept current while steps
/// are started and others stopped.
struct SchedulerCore::Pass {
  struct Row {
    Worker* worker = nullptr;
    Resources free;
    /// Of what runs here, the part that is being stopped.
    Resources stopping;
    /// Held for steps that wait for that.
    Resources reserved;
    /// Left to waiting gangs by other work that is not urgent.
    Resources awaited;
  };
  std::vector<Row> rows;
  std::map<NodeId, std::size_t> index;
  std::set<JobId> guaranteed;
  /// Less than half of all accelerators and cores are in use.
  bool mostly_idle = false;
  /// Accelerators that other work leaves free for the first priority.
  std::int64_t headroom = 0;
  /// Gangs for which workers are awaited.
  std::int32_t awaited_gangs = 0;
};

/// The workers that could take a step, and what placement may stop there.
struct SchedulerCore::View {
  std::vector<Candidate> candidates;
  /// For each candidate its row of the pass.
  std::vector<std::size_t> rows;
  /// For each victim handle one of its runs.
  std::vector<std::pair<NodeId, RunKey>> victims;
};

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
  // A gang starts whole, and only when nothing of its last start is left.
  if (gang && waiting.size() != tasks.size()) waiting.clear();
  return waiting;
}

std::set<JobId> SchedulerCore::GuaranteedJobs() const {
  std::map<WorkspaceId, std::vector<const Job*>> by_workspace;
  for (const JobId& id : active_) {
    const Job& job = jobs_.at(id);
    if (job.queue.priority != 0) continue;
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
    end[i] =
        begin + run_times_.Predict(job.spec.queue, static_cast<std::int32_t>(i), specs[i].estimate);
    longest = std::max(longest, end[i]);
  }
  return longest;
}

void SchedulerCore::Rank(TimePoint now, const Pass& pass, ReadyStep& ready) const {
  const Job& job = *ready.job;
  const StepSpec& spec = SpecOf(job, ready.step);
  const Duration chain = Chain(job);
  const auto run_time = run_times_.Predict(
      job.spec.queue, static_cast<std::int32_t>(ready.step % job.spec.steps.size()), spec.estimate);
  constexpr double kMillisecondsPerSecond = 1000.0;
  ready.own_work = static_cast<double>(ready.waiting.size()) * spec.needs.Weight() *
                   static_cast<double>(run_time.milliseconds()) / kMillisecondsPerSecond;
  const double allowed = static_cast<double>(chain.milliseconds()) * job.queue.stretch +
                         static_cast<double>(job.queue.target_slack.milliseconds());
  const auto start_by = [&](double factor) {
    return job.accepted_at + Duration(static_cast<std::int64_t>(allowed * factor)) - chain;
  };
  const bool guaranteed = pass.guaranteed.count(job.spec.id) > 0;
  ready.latest_start = start_by(1.0);
  const bool on_time = now <= ready.latest_start;
  if (!on_time) ready.latest_start = start_by(kUsefulFactor);
  ready.tier = kTierOther;
  if (now > ready.latest_start) ready.tier = kTierTooLate;
  if (job.queue.priority == 0 && on_time) ready.tier = kTierUrgent;
  if (job.queue.priority == 0 && guaranteed) ready.tier = kTierGuaranteed;
}

std::vector<SchedulerCore::ReadyStep> SchedulerCore::ReadySteps(TimePoint now, const Pass& pass) {
  std::vector<ReadyStep> ready;
  for (const JobId& id : active_) {
    Job& job = jobs_.at(id);
    if (job.queue.service.empty()) continue;
    const bool live = std::any_of(job.steps.begin(), job.steps.end(), [](const Step& step) {
      return std::any_of(step.tasks.begin(), step.tasks.end(),
                         [](const Task& task) { return task.live_runs > 0; });
    });
    if (live) job.last_live = now;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
      if (!StepIsReady(job, i)) continue;
      Step& step = job.steps[i];
      if (RecoveryPending(now, step)) continue;
      if (!step.ready_at) step.ready_at = now;
      ReadyStep row;
      row.waiting = WaitingTasks(job, i, now);
      if (row.waiting.empty()) continue;
      row.job = &job;
      row.step = i;
      Rank(now, pass, row);
      ready.push_back(std::move(row));
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

bool SchedulerCore::IsUsable(TimePoint now, const Worker& worker, const ServiceId& service) const {
  return worker.rows_seen && worker.backend && worker.backend->service == service &&
         !worker.backend->draining && now - worker.last_report <= options_.silence_limit &&
         now >= worker.refused_until && worker.poll_age <= options_.silence_limit &&
         operators_->evacuated.count(worker.backend->data_centre) == 0;
}

void SchedulerCore::BeginPass(TimePoint now, Pass& pass) {
  pass.guaranteed = GuaranteedJobs();
  for (auto& [node, worker] : workers_) {
    // On probation a worker gets nothing.
    if (!worker.backend || now < worker.probation_until) continue;
    if (!IsUsable(now, worker, worker.backend->service)) continue;
    Pass::Row row;
    row.worker = &worker;
    row.free = FreeRoom(worker);
    for (const auto& [key, run] : worker.runs) {
      if (run.stopping) row.stopping += run.needs;
    }
    pass.index[node] = pass.rows.size();
    pass.rows.push_back(row);
  }
  Resources capacity;
  Resources free;
  for (const Pass::Row& row : pass.rows) {
    capacity += row.worker->backend->capacity;
    free += row.free;
  }
  pass.mostly_idle = free.accelerators * 2 > capacity.accelerators &&
                     free.milli_cores * 2 > capacity.milli_cores &&
                     free.memory_mb * 2 > capacity.memory_mb;
  for (const JobId& id : active_) {
    const Job& job = jobs_.at(id);
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
      for (const NodeId& node : job.steps[i].reserved) {
        const auto found = pass.index.find(node);
        if (found != pass.index.end()) pass.rows[found->second].reserved += SpecOf(job, i).needs;
      }
      if (!job.steps[i].awaited.empty()) ++pass.awaited_gangs;
      for (const NodeId& node : job.steps[i].awaited) {
        const auto found = pass.index.find(node);
        if (found != pass.index.end()) pass.rows[found->second].awaited += SpecOf(job, i).needs;
      }
    }
  }
}

SchedulerCore::View SchedulerCore::BuildView(TimePoint /*now*/, const Pass& pass,
                                             const ReadyStep& ready) const {
  View view;
  const Job& job = *ready.job;
  const StepSpec& spec = SpecOf(job, ready.step);
  const Step& step = job.steps[ready.step];
  std::string_view pinned_rack;
  std::set<NodeId> failed_on;
  for (const Task& task : step.tasks) {
    failed_on.insert(task.failed_on.begin(), task.failed_on.end());
    if (!spec.same_rack || spec.gang || task.phase == TaskPhase::kWaiting) continue;
    const auto worker = workers_.find(task.worker);
    if (worker != workers_.end() && worker->second.backend) {
      pinned_rack = worker->second.backend->rack;
    }
  }
  for (std::size_t i = 0; i < pass.rows.size(); ++i) {
    const Pass::Row& row = pass.rows[i];
    const Worker& worker = *row.worker;
    if (worker.backend->service != job.queue.service) continue;
    Candidate candidate;
    candidate.rack = worker.backend->rack;
    if (!pinned_rack.empty() && candidate.rack != pinned_rack) continue;
    candidate.capacity = worker.backend->capacity;
    candidate.labels = &worker.backend->labels;
    if (spec.max_per_worker > 0) {
      for (const auto& [key, run] : worker.runs) {
        const bool same = key.task.job == job.spec.id && StepIndex(job, key.task) == ready.step;
        if (same) ++candidate.same_step;
      }
    }
    Resources later = row.free;
    later += row.stopping;
    later -= row.reserved;
    if (ready.tier >= kTierOther) {
      later -= row.awaited;
      const auto own = std::count(step.awaited.begin(), step.awaited.end(), worker.node);
      later += Times(spec.needs, own);
    }
    candidate.room = {std::min(row.free.milli_cores, later.milli_cores),
                      std::min(row.free.memory_mb, later.memory_mb),
                      std::min(row.free.accelerators, later.accelerators)};
    // After one failure a worker is the last choice.
    candidate.suspect = !worker.failed_jobs.empty() || failed_on.count(worker.node) > 0;
    view.candidates.push_back(std::move(candidate));
    view.rows.push_back(i);
  }
  return view;
}

double SchedulerCore::LostWork(const Job& job, const RunKey& key, const Allocation& run,
                               TimePoint now) const {
  const std::size_t index = StepIndex(job, key.task);
  const StepSpec& spec = SpecOf(job, index);
  const Duration predicted = run_times_.Predict(job.spec.queue, key.task.step, spec.estimate);
  double seconds = static_cast<double>((now - run.working_since).milliseconds()) / 1000.0;
  const double by_percent =
      static_cast<double>(predicted.milliseconds()) * run.percent / 100.0 / 1000.0;
  seconds = std::min(seconds, by_percent);
  if (spec.checkpoints) seconds = std::min(seconds, kRestoreSeconds);
  return std::max(0.0, seconds) * spec.needs.Weight();
}

void SchedulerCore::AddVictims(TimePoint now, const Pass& pass, const ReadyStep& ready,
                               View& view) const {
  std::map<std::pair<JobId, std::size_t>, std::size_t> gangs;
  for (std::size_t i = 0; i < view.rows.size(); ++i) {
    const Worker& worker = *pass.rows[view.rows[i]].worker;
    for (const auto& [key, run] : worker.runs) {
      if (run.stopping || key.task.job == ready.job->spec.id) continue;
      const auto found = jobs_.find(key.task.job);
      if (found == jobs_.end()) continue;
      const Job& job = found->second;
      const bool borrower = job.queue.priority == 0;
      const bool protected_run = pass.guaranteed.count(key.task.job) > 0;
      if (borrower && (ready.tier != kTierGuaranteed || protected_run)) continue;
      const std::size_t step = StepIndex(job, key.task);
      Victim victim;
      victim.room = run.needs;
      victim.lost_work =
          LostWork(job, key, run, now) + SpecOf(job, step).needs.Weight() * 0.1 +
          (borrower ? kBorrowerPenalty : 0) +
          kRepeatedPreemptionPenalty *
              job.steps[step].tasks[static_cast<std::size_t>(key.task.index)].preemptions;
      if (SpecOf(job, step).gang) {
        // All members are stopped, and whole gangs find room again much later than single tasks.
        victim.lost_work += SpecOf(job, step).needs.Weight() * kGangReplaceSeconds;
        victim.lost_work *= SpecOf(job, step).task_count;
        const auto [it, added] = gangs.try_emplace({key.task.job, step}, view.victims.size());
        victim.handle = it->second;
        if (added) view.victims.emplace_back(worker.node, key);
      } else {
        victim.handle = view.victims.size();
        view.victims.emplace_back(worker.node, key);
      }
      view.candidates[i].victims.push_back(victim);
    }
    auto& victims = view.candidates[i].victims;
    std::sort(victims.begin(), victims.end(), [](const Victim& left, const Victim& right) {
      return left.lost_work < right.lost_work;
    });
  }
}

Duration SchedulerCore::RemainingTime(TimePoint now, const RunKey& key,
                                      const Allocation& run) const {
  if (run.stopping) return options_.stop_time;
  const auto found = jobs_.find(key.task.job);
  if (found == jobs_.end()) return Duration(0);
  const Job& job = found->second;
  const StepSpec& spec = SpecOf(job, StepIndex(job, key.task));
  const Duration whole = run_times_.Predict(job.spec.queue, key.task.step, spec.estimate);
  constexpr std::int32_t kWhole = 100;
  const Duration by_percent = whole * (kWhole - run.percent) / kWhole;
  const Duration by_time = run.working_since + whole - now;
  return std::max(Duration(0), std::min(by_percent, by_time));
}

Duration SchedulerCore::TimeUntilFits(TimePoint now, const Worker& worker, Resources room,
                                      const Resources& needs) const {
  std::vector<std::pair<Duration, Resources>> ends;
  for (const auto& [key, run] : worker.runs) {
    ends.emplace_back(RemainingTime(now, key, run), run.needs);
  }
  std::sort(ends.begin(), ends.end(),
            [](const auto& left, const auto& right) { return left.first < right.first; });
  Duration wait;
  for (std::size_t i = 0; i < ends.size() && !needs.FitsIn(room); ++i) {
    room += ends[i].second;
    wait = ends[i].first;
  }
  return wait;
}

void SchedulerCore::AwaitRoom(TimePoint now, Pass& pass, const ReadyStep& ready, const View& view) {
  Step& step = ready.job->steps[ready.step];
  const StepSpec& spec = SpecOf(*ready.job, ready.step);
  const bool known = std::all_of(step.awaited.begin(), step.awaited.end(),
                                 [&](const auto& node) { return pass.index.count(node) > 0; });
  if (!step.awaited.empty() && known) return;
  if (step.awaited.empty()) {
    if (pass.awaited_gangs >= options_.awaited_gangs) return;
    ++pass.awaited_gangs;
  }
  for (const NodeId& node : step.awaited) {
    const auto found = pass.index.find(node);
    if (found != pass.index.end()) pass.rows[found->second].awaited -= spec.needs;
  }
  step.awaited.clear();
  // Placed as if everything had ended, with the workers whose runs end first preferred.
  std::vector<Candidate> empty = view.candidates;
  std::vector<std::pair<Duration, std::size_t>> order;
  for (std::size_t i = 0; i < empty.size(); ++i) {
    const Pass::Row& row = pass.rows[view.rows[i]];
    order.emplace_back(TimeUntilFits(now, *row.worker, row.free, spec.needs), i);
  }
  std::sort(order.begin(), order.end());
  std::optional<Placement> chosen;
  // The fewest of the earliest workers that hold the gang.
  for (std::size_t take = ready.waiting.size(); take <= order.size() && !chosen; ++take) {
    for (std::size_t i = 0; i < order.size(); ++i) {
      const std::size_t candidate = order[i].second;
      Resources room = empty[candidate].capacity;
      room -= pass.rows[view.rows[candidate]].awaited;
      empty[candidate].room = i < take ? room : Resources();
    }
    chosen = PlaceNow(spec, static_cast<std::int32_t>(ready.waiting.size()), empty);
  }
  if (!chosen) return;
  for (const std::size_t i : chosen->workers) {
    step.awaited.push_back(pass.rows[view.rows[i]].worker->node);
    pass.rows[view.rows[i]].awaited += spec.needs;
  }
  Say(fmt::format("job={} step={} tier={} tasks={} waited_ms={} awaits room",
                  ready.job->spec.id.value(), ready.step, ready.tier, ready.waiting.size(),
                  (now - *step.ready_at).milliseconds()));
}

void SchedulerCore::UpdateHeadroom(TimePoint now, Pass& pass) {
  double urgent = 0;
  for (const JobId& id : active_) {
    const Job& job = jobs_.at(id);
    if (job.queue.priority != 0) continue;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
      if (!StepIsReady(job, i)) continue;
      const auto open = static_cast<std::int64_t>(job.steps[i].tasks.size()) - job.steps[i].done;
      urgent += static_cast<double>(SpecOf(job, i).needs.accelerators * open);
    }
  }
  const auto elapsed = static_cast<double>((now - urgent_peak_at_).milliseconds());
  const auto memory = static_cast<double>(options_.headroom_memory.milliseconds());
  urgent_peak_ = std::max(urgent, urgent_peak_ * std::exp(-elapsed / memory));
  urgent_peak_at_ = now;
  pass.headroom = static_cast<std::int64_t>(urgent_peak_ - urgent);
}

std::int32_t SchedulerCore::WithinHeadroom(TimePoint now, const Pass& pass,
                                           const ReadyStep& ready) const {
  const auto count = static_cast<std::int32_t>(ready.waiting.size());
  const StepSpec& spec = SpecOf(*ready.job, ready.step);
  const bool pressing = ready.latest_start - now < options_.headroom_slack;
  if (ready.tier < kTierOther || pass.mostly_idle || pressing || spec.needs.accelerators == 0) {
    return count;
  }
  std::int64_t free = 0;
  for (const Pass::Row& row : pass.rows) {
    free += std::max<std::int64_t>(0, row.free.accelerators - row.reserved.accelerators);
  }
  const std::int64_t fitting =
      std::max<std::int64_t>(0, free - pass.headroom) / spec.needs.accelerators;
  if (spec.gang) return fitting >= count ? count : 0;
  return static_cast<std::int32_t>(std::min<std::int64_t>(count, fitting));
}

void SchedulerCore::ExplainWait(TimePoint now, const Pass& pass, const ReadyStep& ready,
                                const View& view) {
  Step& step = ready.job->steps[ready.step];
  const TimePoint since = std::max(step.explained_at, *step.ready_at);
  if (now - since < kExplainInterval) return;
  step.explained_at = now;
  const StepSpec& spec = SpecOf(*ready.job, ready.step);
  std::int64_t largest = 0;
  std::int64_t eligible = 0;
  std::int64_t slots = 0;
  for (const Candidate& candidate : view.candidates) {
    if (!IsEligible(spec, candidate)) continue;
    ++eligible;
    largest = std::max(largest, candidate.room.accelerators);
    slots += spec.needs.CountIn(candidate.room);
  }
  Say(fmt::format(
      "job={} step={} tier={} waits_ms={} tasks={} needs={}/{}/{} data_rack={} same_rack={} "
      "max_per_worker={} usable={} eligible={} slots={} largest_free_run={} mostly_idle={} "
      "headroom={}",
      ready.job->spec.id.value(), ready.step, ready.tier, (now - *step.ready_at).milliseconds(),
      ready.waiting.size(), spec.needs.milli_cores, spec.needs.memory_mb, spec.needs.accelerators,
      spec.data_rack, spec.same_rack, spec.max_per_worker, pass.rows.size(), eligible, slots,
      largest, pass.mostly_idle, pass.headroom));
}

void SchedulerCore::Preempt(TimePoint now, Pass& pass, const View& view,
                            const std::vector<std::size_t>& victims) {
  for (const std::size_t handle : victims) {
    const auto& [node, key] = view.victims[handle];
    Worker& worker = workers_.at(node);
    Job& job = jobs_.at(key.task.job);
    const std::size_t step = StepIndex(job, key.task);
    const std::uint32_t preemptions = ++TaskOf(job, key.task).preemptions;
    ++counts_.runs_preempted;
    Say(fmt::format("task={} run={} worker={} is preempted preemptions={}", key.task.ToString(),
                    key.run.value(), node.value(), preemptions));
    if (SpecOf(job, step).gang) {
      for (Task& member : job.steps[step].tasks) member.preemptions = preemptions;
      StopStep(now, job, step, true);
    } else {
      Allocation& run = worker.runs.at(key);
      run.preempted = true;
      RequestStop(now, worker, key, run);
    }
  }
  for (Pass::Row& row : pass.rows) {
    row.stopping = Resources();
    for (const auto& [key, run] : row.worker->runs) {
      if (run.stopping) row.stopping += run.needs;
    }
  }
}

bool SchedulerCore::TryReserved(TimePoint now, Pass& pass, const ReadyStep& ready) {
  Job& job = *ready.job;
  Step& step = job.steps[ready.step];
  const StepSpec& spec = SpecOf(job, ready.step);
  std::vector<std::size_t> rows;
  std::map<std::size_t, std::int64_t> counts;
  for (const NodeId& node : step.reserved) {
    const auto found = pass.index.find(node);
    if (found == pass.index.end()) continue;
    rows.push_back(found->second);
    ++counts[found->second];
  }
  const bool valid = rows.size() == step.reserved.size() &&
                     step.reserved.size() == ready.waiting.size() &&
                     now - step.reserved_at <= options_.stop_time + kReservationSlack;
  const bool fits = std::all_of(counts.begin(), counts.end(), [&](const auto& row) {
    return Times(spec.needs, row.second).FitsIn(pass.rows[row.first].free);
  });
  if (valid && !fits) return true;
  for (const std::size_t row : rows) pass.rows[row].reserved -= spec.needs;
  step.reserved.clear();
  if (!valid) {
    Say(fmt::format("job={} step={} reservation on {} workers given up after {} ms",
                    job.spec.id.value(), ready.step, counts.size(),
                    (now - step.reserved_at).milliseconds()));
    return false;
  }
  Start(now, pass, job, ready.step, ready.waiting, rows);
  return true;
}

void SchedulerCore::TryStart(TimePoint now, Pass& pass, const ReadyStep& ready) {
  Job& job = *ready.job;
  Step& step = job.steps[ready.step];
  const StepSpec& spec = SpecOf(job, ready.step);
  if (!step.reserved.empty() && TryReserved(now, pass, ready)) return;
  View view = BuildView(now, pass, ready);
  const std::int32_t count = WithinHeadroom(now, pass, ready);
  if (count == 0) {
    ExplainWait(now, pass, ready, view);
    return;
  }
  const auto rows_of = [&](const Placement& placement) {
    std::vector<std::size_t> rows;
    for (const std::size_t i : placement.workers) rows.push_back(view.rows[i]);
    return rows;
  };
  const bool any_rack =
      pass.mostly_idle && now - std::max(job.last_live, *step.ready_at) >= options_.rack_wait;
  if (const auto placement = PlaceNow(spec, count, view.candidates, any_rack)) {
    std::vector<std::int32_t> tasks = ready.waiting;
    tasks.resize(placement->workers.size());
    for (const NodeId& node : step.awaited) {
      const auto found = pass.index.find(node);
      if (found != pass.index.end()) pass.rows[found->second].awaited -= spec.needs;
    }
    step.awaited.clear();
    Start(now, pass, job, ready.step, tasks, rows_of(*placement));
    return;
  }
  const bool may_preempt =
      ready.tier == kTierGuaranteed ||
      (ready.tier == kTierUrgent && now - *step.ready_at >= options_.borrow_wait);
  if (may_preempt) AddVictims(now, pass, ready, view);
  const auto placement =
      may_preempt ? PlaceWithVictims(spec, count, view.candidates) : std::nullopt;
  const bool worth_it = placement && (ready.tier == kTierGuaranteed ||
                                      placement->lost_work <= kWorthStopping * ready.own_work);
  if (!worth_it) {
    if (spec.gang && ready.tier == kTierOther) AwaitRoom(now, pass, ready, view);
    ExplainWait(now, pass, ready, view);
    return;
  }
  for (const std::size_t row : rows_of(*placement)) {
    step.reserved.push_back(pass.rows[row].worker->node);
    pass.rows[row].reserved += spec.needs;
  }
  step.reserved_at = now;
  Say(fmt::format("job={} step={} tier={} tasks={} waited_ms={} stops {} others, lost_work={:.1f}",
                  job.spec.id.value(), ready.step, ready.tier, count,
                  (now - *step.ready_at).milliseconds(), placement->victims.size(),
                  placement->lost_work));
  Preempt(now, pass, view, placement->victims);
}

void SchedulerCore::StartTask(TimePoint now, Job& job, const TaskId& id, Worker& worker,
                              const std::string& checkpoint) {
  const StepSpec& spec = SpecOf(job, StepIndex(job, id));
  Task& task = TaskOf(job, id);
  task.phase = TaskPhase::kActive;
  task.run = RunNumber((term_.value() - 1) * kRunsPerTerm + task.runs);
  task.worker = worker.node;
  task.ever_started = true;
  ++task.live_runs;
  Order order;
  order.start = true;
  order.task = id;
  order.run = task.run;
  order.payload = job.spec.payload;
  order.checkpoint = checkpoint;
  Allocation& run = worker.runs[{id, task.run}];
  run.needs = spec.needs;
  run.ordered_at = now;
  run.progressed_at = now;
  run.working_since = now;
  run.checkpoint = checkpoint;
  run.measured =
      checkpoint.empty() && (spec.data_rack.empty() || spec.data_rack == worker.backend->rack);
  // A successor must know where the run may be before it is ordered.
  Step& step = job.steps[StepIndex(job, id)];
  if (step.agents.insert(worker.node).second) ++job.version;
  pending_orders_.push_back({worker.node, std::move(order), job.version});
  ++counts_.runs_started;
}

void SchedulerCore::Start(TimePoint now, Pass& pass, Job& job, std::size_t step,
                          const std::vector<std::int32_t>& tasks,
                          const std::vector<std::size_t>& rows) {
  const StepSpec& spec = SpecOf(job, step);
  Step& state = job.steps[step];
  std::uint64_t gang_run = 0;
  std::string gang_checkpoint;
  if (spec.gang) {
    // All members carry the same run number and the same checkpoint; any member's is valid.
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
    Pass::Row& row = pass.rows[rows[i]];
    row.free -= spec.needs;
    StartTask(now, job, IdOf(job, step, static_cast<std::size_t>(tasks[i])), *row.worker,
              spec.gang ? gang_checkpoint : task.checkpoint);
  }
  if (!job.started) {
    job.started = true;
    Say(fmt::format("job={} queue={} step={} tasks={} begins waited_ms={}", job.spec.id.value(),
                    job.spec.queue.value(), step, tasks.size(),
                    wall_ms_ - job.spec.accepted_unix_ms));
  }
}

void SchedulerCore::Schedule(TimePoint now) {
  if (active_.empty()) return;
  Pass pass;
  BeginPass(now, pass);
  UpdateHeadroom(now, pass);
  for (const ReadyStep& ready : ReadySteps(now, pass)) TryStart(now, pass, ready);
}

}  // namespace basilspring::fleet
