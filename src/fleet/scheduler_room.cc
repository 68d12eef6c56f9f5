#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "fleet/scheduler_pass.h"

// Free, reserved and held-back capacity. Designed for bursts of urgent jobs, and for gangs that
// wait for whole workers while small tasks would use all capacity that becomes free.
namespace basilspring::fleet {
namespace {

// Progress from which the run's own pace predicts its end better than the run times of others.
constexpr std::int32_t kMinPacePercent = 10;
// Up to one in this many agents may be missing for the fleet to count as known: hosts may be gone,
// and the capacity of the others decides.
constexpr std::size_t kUnlistedShare = 10;
// A backend server lists at most 500 ends, from the first one that is not acknowledged. With this
// many, the ends of the runs that are active there would still be listed.
constexpr std::int64_t kMaxUnacknowledgedEnds = 250;

}  // namespace

Resources SchedulerCore::FreeCapacity(const Worker& worker) const {
  Resources free = worker.backend->capacity;
  for (const auto& [key, run] : worker.runs) free -= run.needs;
  return free;
}

std::int64_t SchedulerCore::UnacknowledgedEnds(const Worker& worker) {
  const auto& ends = worker.unsaved_ends;
  return ends.empty() ? 0 : worker.last_end - ends.begin()->first + 1;
}

bool SchedulerCore::FreesCapacitySoon(TimePoint now, const Allocation& run) const {
  return run.stopping && now - run.stopping_since <= options_.stop_time + options_.stop_grace;
}

bool SchedulerCore::IsOccupationUnknown(TimePoint now, const Worker& worker) const {
  return MayHaveStoppingRuns(now, worker) ||
         std::any_of(worker.runs.begin(), worker.runs.end(),
                     [](const auto& row) { return !row.second.needs_known; });
}

bool SchedulerCore::IsUsable(TimePoint now, const Worker& worker, const ServiceId& service) const {
  if (IsOccupationUnknown(now, worker)) {
    // A backend server that enforces its capacity refuses what does not fit.
    const Service* settings = operator_state_->config.FindService(service);
    if (settings != nullptr && !settings->enforces_capacity) return false;
  }
  return worker.runs_listed_at && worker.backend && worker.backend->service == service &&
         !worker.backend->draining && now - worker.last_report <= options_.silence_limit &&
         now >= worker.start_pause_until && worker.poll_age <= options_.silence_limit &&
         UnacknowledgedEnds(worker) < kMaxUnacknowledgedEnds &&
         operator_state_->evacuated.count(worker.backend->data_centre) == 0;
}

void SchedulerCore::BeginPass(TimePoint now, Pass& pass) {
  pass.guaranteed = GuaranteedJobs();
  if (!first_pass_at_) first_pass_at_ = now;
  const auto listed =
      static_cast<std::size_t>(std::count_if(workers_.begin(), workers_.end(), [](const auto& row) {
        return row.second.runs_listed_at.has_value();
      }));
  pass.fleet_listed = now - *first_pass_at_ >= options_.fleet_listing_time ||
                      workers_.size() - listed <= workers_.size() / kUnlistedShare;
  counts_.workers_on_probation = 0;
  for (auto& [node, worker] : workers_) {
    if (!worker.backend || !IsUsable(now, worker, worker.backend->service)) continue;
    Pass::WorkerCapacity pass_worker;
    pass_worker.worker = &worker;
    pass_worker.on_probation = now < worker.probation_until;
    if (pass_worker.on_probation) ++counts_.workers_on_probation;
    pass_worker.free = FreeCapacity(worker);
    for (const auto& [key, run] : worker.runs) {
      if (FreesCapacitySoon(now, run)) pass_worker.stopping += run.needs;
    }
    pass.index[node] = pass.workers.size();
    pass.workers.push_back(pass_worker);
  }
  FindIdleServices(pass);
  for (const JobId& id : active_) {
    const Job& job = jobs_.at(id);
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
      for (const NodeId& node : job.steps[i].reserved_workers) {
        const auto found = pass.index.find(node);
        if (found != pass.index.end()) pass.workers[found->second].reserved += SpecOf(job, i).needs;
      }
      if (!job.steps[i].held_back_workers.empty()) ++pass.gangs_holding_capacity;
      for (const NodeId& node : job.steps[i].held_back_workers) {
        const auto found = pass.index.find(node);
        if (found != pass.index.end()) {
          pass.workers[found->second].held_back += SpecOf(job, i).needs;
        }
      }
    }
  }
}

TimePoint SchedulerCore::WaitingSince(const ReadyStep& ready, TimePoint now) {
  const Step& step = ready.job->steps[ready.step];
  TimePoint since = now;
  for (const std::int32_t index : ready.waiting) {
    const Task& task = step.tasks[static_cast<std::size_t>(index)];
    since = std::min(since, std::max(task.waiting_since, *step.ready_at));
  }
  return since;
}

void SchedulerCore::FindIdleServices(Pass& pass) const {
  struct Use {
    Resources capacity;
    Resources free;
  };
  std::map<ServiceId, Use> services;
  for (const auto& [node, worker] : workers_) {
    // Workers that are not usable for a moment, such as those whose agents restart, count too.
    // Otherwise the remaining ones would look busy while most of the service is idle.
    if (!worker.backend || worker.backend->draining) continue;
    if (operator_state_->evacuated.count(worker.backend->data_centre) > 0) continue;
    Use& use = services[worker.backend->service];
    use.capacity += worker.backend->capacity;
    use.free += FreeCapacity(worker);
  }
  for (const auto& [service, use] : services) {
    pass.accelerators[service] = use.capacity.accelerators;
    if (use.free.accelerators * 2 > use.capacity.accelerators &&
        use.free.milli_cores * 2 > use.capacity.milli_cores &&
        use.free.memory_mb * 2 > use.capacity.memory_mb) {
      pass.idle_services.insert(service);
    }
  }
}

SchedulerCore::Relaxation SchedulerCore::RelaxationFor(TimePoint now, const Pass& pass,
                                                       const ReadyStep& ready) const {
  const Step& step = ready.job->steps[ready.step];
  const bool reclaims = ready.tier == kTierGuaranteed &&
                        now - WaitingSince(ready, now) >= options_.max_guaranteed_wait;
  TimePoint since = std::max(ready.job->last_active_at, *step.ready_at);
  if (SpecOf(*ready.job, ready.step).long_running) {
    // Each long-running task is useful by itself, whether or not others of its job run, and waiting
    // for a full fleet to become idle could take as long as other such tasks last.
    since = WaitingSince(ready, now);
  } else if (pass.idle_services.count(ready.job->queue.service) == 0) {
    return {reclaims, false, reclaims};
  }
  const Duration inactive = now - since;
  return {reclaims || inactive >= options_.max_rack_wait, inactive >= options_.max_held_back_wait,
          reclaims || inactive >= options_.max_probation_wait};
}

std::string_view SchedulerCore::RequiredRack(const Pass& pass, const Job& job,
                                             std::size_t step) const {
  const StepSpec& spec = SpecOf(job, step);
  if (!spec.same_rack || spec.gang) return {};
  std::string_view rack;
  for (const Task& task : job.steps[step].tasks) {
    const auto worker = workers_.find(task.worker);
    if (task.phase == TaskPhase::kWaiting || worker == workers_.end()) continue;
    if (worker->second.backend) rack = worker->second.backend->rack;
  }
  const bool usable = std::any_of(
      pass.workers.begin(), pass.workers.end(), [&](const Pass::WorkerCapacity& pass_worker) {
        const BackendAnnouncement& backend = *pass_worker.worker->backend;
        return !pass_worker.on_probation && backend.service == job.queue.service &&
               backend.rack == rack;
      });
  return usable ? rack : std::string_view();
}

SchedulerCore::PlacementView SchedulerCore::BuildView(const Pass& pass, const ReadyStep& ready,
                                                      Relaxation relaxation) const {
  PlacementView view;
  view.any_rack = relaxation.any_rack;
  const Job& job = *ready.job;
  const StepSpec& spec = SpecOf(job, ready.step);
  const Step& step = job.steps[ready.step];
  const std::string_view required_rack =
      relaxation.any_rack ? std::string_view() : RequiredRack(pass, job, ready.step);
  std::set<NodeId> failed_on;
  bool crashed = false;
  for (const Task& task : step.tasks) {
    crashed = crashed || !task.crashed_runs.empty();
    failed_on.insert(task.failed_on.begin(), task.failed_on.end());
  }
  for (std::size_t i = 0; i < pass.workers.size(); ++i) {
    const Pass::WorkerCapacity& pass_worker = pass.workers[i];
    const Worker& worker = *pass_worker.worker;
    if (worker.backend->service != job.queue.service) continue;
    if (pass_worker.on_probation && !relaxation.with_probation) continue;
    Candidate candidate;
    candidate.rack = worker.backend->rack;
    if (!required_rack.empty() && candidate.rack != required_rack) continue;
    candidate.capacity = worker.backend->capacity;
    candidate.labels = &worker.backend->labels;
    if (spec.max_per_worker > 0) {
      for (const auto& [key, run] : worker.runs) {
        const bool same = key.task.job == job.spec.id && StepIndex(job, key.task) == ready.step;
        if (same) ++candidate.same_step_tasks;
      }
    }
    Resources later = pass_worker.free;
    later += pass_worker.stopping;
    later -= pass_worker.reserved;
    if (ready.tier >= kTierOther && !relaxation.with_held_back) {
      later -= pass_worker.held_back;
      const auto own =
          std::count(step.held_back_workers.begin(), step.held_back_workers.end(), worker.node);
      later += Times(spec.needs, own);
    }
    candidate.free = {std::min(pass_worker.free.milli_cores, later.milli_cores),
                      std::min(pass_worker.free.memory_mb, later.memory_mb),
                      std::min(pass_worker.free.accelerators, later.accelerators)};
    // A worker with a recent failure is used only as a last resort, and so is one with other runs
    // for a step that may crash it.
    candidate.suspect = !worker.failed_jobs.empty() || worker.failed_starts > 0 ||
                        failed_on.count(worker.node) > 0 || (crashed && !worker.runs.empty());
    view.candidates.push_back(std::move(candidate));
    view.worker_indices.push_back(i);
    view.free_after_stops.push_back(later);
  }
  return view;
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
  const std::int32_t progress = run.percent - run.first_percent.value_or(run.percent);
  if (progress >= kMinPacePercent) {
    const Duration at_own_pace =
        (run.progressed_at - run.first_percent_at) * (kWhole - run.percent) / progress;
    return std::max(Duration(0), at_own_pace - (now - run.progressed_at));
  }
  const Duration by_percent = whole * (kWhole - run.percent) / kWhole;
  const Duration by_time = run.working_since + whole - now;
  return std::max(Duration(0), std::min(by_percent, by_time));
}

Duration SchedulerCore::TimeUntilFits(TimePoint now, const Worker& worker, Resources free,
                                      const Resources& needs) const {
  std::vector<std::pair<Duration, Resources>> ends;
  for (const auto& [key, run] : worker.runs) {
    ends.emplace_back(RemainingTime(now, key, run), run.needs);
  }
  std::sort(ends.begin(), ends.end(),
            [](const auto& left, const auto& right) { return left.first < right.first; });
  Duration wait;
  for (std::size_t i = 0; i < ends.size() && !needs.FitsIn(free); ++i) {
    free += ends[i].second;
    wait = ends[i].first;
  }
  return wait;
}

void SchedulerCore::ReleaseHeldBack(Pass& pass, const Job& job, std::size_t step) {
  auto& held_back = jobs_.at(job.spec.id).steps[step].held_back_workers;
  for (const NodeId& node : held_back) {
    const auto found = pass.index.find(node);
    if (found != pass.index.end()) {
      pass.workers[found->second].held_back -= SpecOf(job, step).needs;
    }
  }
  held_back.clear();
}

void SchedulerCore::HoldBackCapacity(TimePoint now, Pass& pass, const ReadyStep& ready,
                                     const PlacementView& view) {
  Step& step = ready.job->steps[ready.step];
  const StepSpec& spec = SpecOf(*ready.job, ready.step);
  const bool all_available = std::all_of(
      step.held_back_workers.begin(), step.held_back_workers.end(), [&](const NodeId& node) {
        const auto found = pass.index.find(node);
        return found != pass.index.end() && !pass.workers[found->second].on_probation;
      });
  if (!step.held_back_workers.empty() && all_available) return;
  if (step.held_back_workers.empty()) {
    if (pass.gangs_holding_capacity >= options_.max_gangs_holding_capacity) return;
    ++pass.gangs_holding_capacity;
  }
  ReleaseHeldBack(pass, *ready.job, ready.step);
  // Places the gang as if all runs had ended, on the workers on which its tasks are predicted to
  // fit first.
  std::vector<Candidate> empty = view.candidates;
  std::vector<std::pair<Duration, std::size_t>> order;
  for (std::size_t i = 0; i < empty.size(); ++i) {
    const Pass::WorkerCapacity& pass_worker = pass.workers[view.worker_indices[i]];
    order.emplace_back(TimeUntilFits(now, *pass_worker.worker, pass_worker.free, spec.needs), i);
  }
  std::sort(order.begin(), order.end());
  std::optional<Placement> chosen;
  // Tries prefixes of increasing length and takes the first one that can hold the gang.
  for (std::size_t take = ready.waiting.size(); take <= order.size() && !chosen; ++take) {
    for (std::size_t i = 0; i < order.size(); ++i) {
      const std::size_t candidate = order[i].second;
      Resources unclaimed = empty[candidate].capacity;
      unclaimed -= pass.workers[view.worker_indices[candidate]].held_back;
      empty[candidate].free = i < take ? unclaimed : Resources();
    }
    chosen = PlaceNow(spec, static_cast<std::int32_t>(ready.waiting.size()), empty);
  }
  if (!chosen) return;
  for (const std::size_t i : chosen->workers) {
    step.held_back_workers.push_back(pass.workers[view.worker_indices[i]].worker->node);
    pass.workers[view.worker_indices[i]].held_back += spec.needs;
  }
  LogDecision(
      fmt::format("job={} step={} tier={} tasks={} waited_ms={} holding back capacity for the gang",
                  ready.job->spec.id.value(), ready.step, ready.tier, ready.waiting.size(),
                  (now - *step.ready_at).milliseconds()));
}

void SchedulerCore::UpdateHeadroom(TimePoint now, Pass& pass) {
  std::map<ServiceId, UrgentDemand> urgent;
  for (const JobId& id : active_) {
    const Job& job = jobs_.at(id);
    if (!IsUrgent(job) || job.record_fault != RecordFault::kNone) continue;
    UrgentDemand& demand = urgent[job.queue.service];
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
      if (!StepIsReady(job, i)) continue;
      const auto open = static_cast<std::int64_t>(job.steps[i].tasks.size()) - job.steps[i].done;
      demand.accelerators += SpecOf(job, i).needs.accelerators * open;
    }
    if (options_.headroom == HeadroomPolicy::kPeak) continue;
    const auto critical_path_ms = static_cast<double>(CriticalPath(job).milliseconds());
    UrgentDemand::QueueSlack& slack = demand.slack[job.spec.queue];
    slack.total = slack.total + job.queue.target_slack +
                  Duration(static_cast<std::int64_t>(critical_path_ms * (job.queue.stretch - 1.0)));
    ++slack.jobs;
  }
  for (const auto& [service, accelerators] : pass.accelerators) {
    urgent[service].capacity = accelerators;
  }
  urgent_headroom_.Update(now, urgent);
  for (const auto& [service, state] : urgent_headroom_.services()) {
    pass.headroom[service] = state.kept_free;
  }
  for (std::string& text : urgent_headroom_.TakeChanges(now)) LogDecision(std::move(text));
}

std::int32_t SchedulerCore::TasksWithinHeadroom(TimePoint now, const Pass& pass,
                                                const ReadyStep& ready) const {
  const auto count = static_cast<std::int32_t>(ready.waiting.size());
  const StepSpec& spec = SpecOf(*ready.job, ready.step);
  const bool pressing = ready.latest_start - now < options_.headroom_slack;
  const ServiceId& service = ready.job->queue.service;
  const bool idle = pass.idle_services.count(service) > 0;
  if (ready.tier < kTierOther || idle || pressing || spec.needs.accelerators == 0) {
    return count;
  }
  std::int64_t free = 0;
  for (const Pass::WorkerCapacity& pass_worker : pass.workers) {
    if (pass_worker.on_probation || pass_worker.worker->backend->service != service) continue;
    free += std::max<std::int64_t>(
        0, pass_worker.free.accelerators - pass_worker.reserved.accelerators);
  }
  const std::int64_t fitting =
      std::max<std::int64_t>(0, free - pass.HeadroomOf(service)) / spec.needs.accelerators;
  if (spec.gang) return fitting >= count ? count : 0;
  return static_cast<std::int32_t>(std::min<std::int64_t>(count, fitting));
}

}  // namespace basilspring::fleet
