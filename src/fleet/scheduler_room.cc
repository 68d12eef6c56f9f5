#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "fleet/scheduler_pass.h"

// What room there is for a step, and what is kept for others. The load that this answers: bursts of
// urgent jobs, and gangs that wait for whole workers while small tasks refill every gap.
namespace basilspring::fleet {
namespace {

// Progress after which a run's own pace says more than what other runs have taken.
constexpr std::int32_t kPacePercent = 10;

}  // namespace

Resources SchedulerCore::FreeRoom(const Worker& worker) const {
  Resources room = worker.backend->capacity;
  for (const auto& [key, run] : worker.runs) room -= run.needs;
  return room;
}

bool SchedulerCore::FreesSoon(TimePoint now, const Allocation& run) const {
  return run.stopping && now - run.stopping_since <= options_.stop_time + options_.stop_slack;
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
      if (FreesSoon(now, run)) row.stopping += run.needs;
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

SchedulerCore::View SchedulerCore::BuildView(const Pass& pass, const ReadyStep& ready) const {
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
    view.room_after_stops.push_back(later);
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
  if (progress >= kPacePercent) {
    const Duration at_own_pace =
        (run.progressed_at - run.first_percent_at) * (kWhole - run.percent) / progress;
    return std::max(Duration(0), at_own_pace - (now - run.progressed_at));
  }
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

}  // namespace basilspring::fleet
