#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "fleet/scheduler_pass.h"

// Reservations: capacity that a step waits for while the runs there are being stopped. Designed for
// stops that take nearly as long as an urgent gang can wait, and of which some are late.
namespace basilspring::fleet {
namespace {

// A reservation whose stops are late is kept for at most this multiple of its normal time. Covers
// two stops that are not answered and sent again; a backend server that needs longer is faulty.
constexpr std::int64_t kMaxReservationPeriods = 2;

}  // namespace

bool SchedulerCore::AwaitsLateStops(TimePoint now, const ReadyStep& ready) {
  const bool kept_by_policy = options_.shortage == ShortagePolicy::kCost &&
                              ready.tier != kTierGuaranteed && ready.tier != kTierTooLate;
  if (!kept_by_policy) return false;
  Step& step = ready.job->steps[ready.step];
  const Duration age = now - step.reserved_at;
  if (age > (options_.stop_time + options_.stop_grace) * kMaxReservationPeriods) return false;
  // Late stops are expected to take as long again as they are overdue.
  const Duration overdue = age - options_.stop_time;
  const bool on_time_here = now + overdue <= ready.latest_start;
  const bool on_time_elsewhere = now + options_.stop_time <= ready.latest_start;
  if (ready.tier == kTierUrgent && !on_time_here && on_time_elsewhere) return false;
  if (!std::exchange(step.awaits_late_stops, true)) {
    ++counts_.reservations_extended;
    LogDecision(
        fmt::format("job={} step={} tier={} slack_ms={} overdue_ms={} keeping the reservation, as "
                    "stops are late",
                    ready.job->spec.id.value(), ready.step, ready.tier,
                    (ready.latest_start - now).milliseconds(), overdue.milliseconds()));
  }
  return true;
}

bool SchedulerCore::TryStartReserved(TimePoint now, Pass& pass, ReadyStep& ready) {
  Step& step = ready.job->steps[ready.step];
  if (SpecOf(*ready.job, ready.step).gang) return TryStartReservedGang(now, pass, ready);
  const StepSpec& spec = SpecOf(*ready.job, ready.step);
  const bool expired = now - step.reserved_at > options_.stop_time + options_.stop_grace &&
                       !AwaitsLateStops(now, ready);
  std::vector<NodeId> kept;
  std::size_t started = 0;
  std::size_t given_up = 0;
  for (const NodeId& node : std::exchange(step.reserved_workers, {})) {
    const auto found = pass.index.find(node);
    if (found == pass.index.end()) {
      ++given_up;
      continue;
    }
    Pass::WorkerCapacity& worker = pass.workers[found->second];
    const bool usable = !worker.on_probation || ready.tier == kTierGuaranteed;
    const bool needed = started + kept.size() < ready.waiting.size();
    const bool fits = spec.needs.FitsIn(worker.free);
    if (usable && needed && !fits && !expired) {
      kept.push_back(node);
      continue;
    }
    worker.reserved -= spec.needs;
    if (!usable || !needed || !fits) {
      ++given_up;
      continue;
    }
    StartTasks(now, pass, *ready.job, ready.step, {ready.waiting[started++]}, {found->second});
  }
  step.reserved_workers = std::move(kept);
  if (given_up > 0) {
    LogDecision(fmt::format("job={} step={} cancelled the reservation on {} workers after {} ms",
                            ready.job->spec.id.value(), ready.step, given_up,
                            (now - step.reserved_at).milliseconds()));
  }
  // The tasks at the end wait for the reserved workers, and those before them go on to placement.
  const std::size_t placed = started + step.reserved_workers.size();
  if (placed >= ready.waiting.size()) return true;
  ready.own_work *= static_cast<double>(ready.waiting.size() - placed) /
                    static_cast<double>(ready.waiting.size());
  ready.waiting = {ready.waiting.begin() + static_cast<std::ptrdiff_t>(started),
                   ready.waiting.end() - static_cast<std::ptrdiff_t>(step.reserved_workers.size())};
  return false;
}

bool SchedulerCore::StartReservedGangOnFreeCapacity(TimePoint now, Pass& pass,
                                                    const ReadyStep& ready) {
  Step& step = ready.job->steps[ready.step];
  const Resources& needs = SpecOf(*ready.job, ready.step).needs;
  for (const NodeId& node : step.reserved_workers) {
    pass.workers[pass.index.at(node)].reserved -= needs;
  }
  Relaxation relaxation = RelaxationFor(now, pass, ready);
  relaxation.with_probation = false;
  const auto count = static_cast<std::int32_t>(ready.waiting.size());
  if (TasksWithinHeadroom(now, pass, ready) == count &&
      StartOnFreeCapacity(now, pass, ready, count, BuildView(pass, ready, relaxation))) {
    ++counts_.reservations_moved;
    LogDecision(
        fmt::format("job={} step={} tier={} started on free capacity instead of its {} reserved "
                    "workers after {} ms",
                    ready.job->spec.id.value(), ready.step, ready.tier,
                    step.reserved_workers.size(), (now - step.reserved_at).milliseconds()));
    step.reserved_workers.clear();
    return true;
  }
  for (const NodeId& node : step.reserved_workers) {
    pass.workers[pass.index.at(node)].reserved += needs;
  }
  return false;
}

bool SchedulerCore::TryStartReservedGang(TimePoint now, Pass& pass, const ReadyStep& ready) {
  Job& job = *ready.job;
  Step& step = job.steps[ready.step];
  const StepSpec& spec = SpecOf(job, ready.step);
  std::vector<std::size_t> worker_indices;
  std::map<std::size_t, std::int64_t> counts;
  for (const NodeId& node : step.reserved_workers) {
    const auto found = pass.index.find(node);
    if (found == pass.index.end()) continue;
    const bool on_probation = pass.workers[found->second].on_probation;
    if (on_probation && ready.tier != kTierGuaranteed) continue;
    worker_indices.push_back(found->second);
    ++counts[found->second];
  }
  const bool complete = worker_indices.size() == step.reserved_workers.size() &&
                        step.reserved_workers.size() == ready.waiting.size();
  const bool fits = std::all_of(counts.begin(), counts.end(), [&](const auto& index_and_count) {
    return Times(spec.needs, index_and_count.second)
        .FitsIn(pass.workers[index_and_count.first].free);
  });
  const bool kept_when_late = options_.shortage == ShortagePolicy::kCost;
  const bool in_time = now - step.reserved_at <= options_.stop_time + options_.stop_grace;
  const bool valid = complete && (in_time || (kept_when_late && fits) ||
                                  (kept_when_late && AwaitsLateStops(now, ready)));
  if (valid && !fits) {
    if (kept_when_late) StartReservedGangOnFreeCapacity(now, pass, ready);
    return true;
  }
  for (const std::size_t index : worker_indices) pass.workers[index].reserved -= spec.needs;
  step.reserved_workers.clear();
  if (!valid) {
    LogDecision(fmt::format("job={} step={} cancelled the reservation on {} workers after {} ms",
                            job.spec.id.value(), ready.step, counts.size(),
                            (now - step.reserved_at).milliseconds()));
    return false;
  }
  StartTasks(now, pass, job, ready.step, ready.waiting, worker_indices);
  return true;
}

}  // namespace basilspring::fleet
