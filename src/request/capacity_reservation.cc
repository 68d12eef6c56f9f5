#include "basilspring/request/capacity_reservation.h"

#include <algorithm>
#include <map>
#include <utility>

#include "request/accelerator_runs.h"
#include "request/placement_plan.h"

namespace basilspring {
namespace {

std::uint32_t TasksThatFit(const GangShape& shape, internal::ResourceAmounts available) {
  std::uint32_t count = 0;
  while (count < shape.tasks) {
    const auto mask = internal::FirstFitMask(shape, available);
    if (!mask) break;
    available.Allocate(shape, *mask);
    ++count;
  }
  return count;
}

// From `time` on, `count` tasks of the gang fit on the worker.
struct CapacityFrom {
  TimePoint time;
  const WorkerState* worker = nullptr;
  std::uint32_t count = 0;
};

internal::ResourceAmounts CapacityWhileRunning(const WorkerState& worker, std::size_t first_running,
                                               const std::vector<const PlacedTask*>& by_end) {
  internal::ResourceAmounts available{
      worker.capacity.cores.value(), worker.capacity.memory.value(), worker.capacity.slots.value(),
      internal::AllAccelerators(worker.capacity.accelerators.value())};
  for (std::size_t i = first_running; i < by_end.size(); ++i) {
    available.Allocate(by_end[i]->shape, by_end[i]->accelerators);
  }
  return available;
}

void AppendTimeline(const WorkerState& worker, const GangShape& shape, TimePoint now,
                    const ExpectedEnd& expected_end, std::vector<CapacityFrom>& timeline) {
  std::vector<std::pair<TimePoint, const PlacedTask*>> ends;
  for (const PlacedTask& task : worker.tasks) {
    // A task that has exceeded its expected run time may end at any time, so its end counts as now.
    ends.emplace_back(std::max(expected_end(task), now), &task);
  }
  std::sort(ends.begin(), ends.end());
  std::vector<const PlacedTask*> by_end;
  by_end.reserve(ends.size());
  for (const auto& [end, task] : ends) by_end.push_back(task);
  std::uint32_t before = 0;
  for (std::size_t ended = 0; ended <= ends.size(); ++ended) {
    const std::uint32_t count = TasksThatFit(shape, CapacityWhileRunning(worker, ended, by_end));
    const TimePoint since = ended == 0 ? now : ends[ended - 1].first;
    if (count > before) timeline.push_back({since, &worker, count});
    before = std::max(before, count);
  }
}

}  // namespace

std::optional<CapacityReservation> ReserveCapacity(const CellState& cell, const JobId& job,
                                                   const GangShape& shape, TimePoint now,
                                                   const ExpectedEnd& expected_end) {
  std::vector<CapacityFrom> timeline;
  for (const auto& [id, worker] : cell.workers()) {
    if (InFullService(worker)) {
      AppendTimeline(worker, shape, now, expected_end, timeline);
    }
  }
  std::stable_sort(timeline.begin(), timeline.end(),
                   [](const CapacityFrom& a, const CapacityFrom& b) { return a.time < b.time; });
  std::map<const WorkerState*, std::uint32_t> counts;
  std::uint32_t total = 0;
  CapacityReservation reservation{job, {}, now};
  for (const CapacityFrom& point : timeline) {
    if (total >= shape.tasks) break;
    std::uint32_t& count = counts[point.worker];
    total += point.count - count;
    count = point.count;
    reservation.start = point.time;
  }
  if (total < shape.tasks) return std::nullopt;
  // Only the workers that hold the most tasks are reserved; the others stay available to other
  // jobs.
  std::vector<std::pair<std::uint32_t, const WorkerState*>> largest;
  largest.reserve(counts.size());
  for (const auto& [worker, count] : counts) largest.emplace_back(count, worker);
  std::sort(largest.begin(), largest.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second->id < b.second->id;
  });
  std::uint32_t held = 0;
  for (const auto& [count, worker] : largest) {
    if (held >= shape.tasks) break;
    reservation.workers.push_back(worker->id);
    held += count;
  }
  return reservation;
}

bool MayBackfill(const CapacityReservation& reservation, TimePoint now, Duration run_time) {
  return now + run_time <= reservation.start;
}

}  // namespace basilspring
