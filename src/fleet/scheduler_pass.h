#ifndef BASILSPRING_SRC_FLEET_SCHEDULER_PASS_H_
#define BASILSPRING_SRC_FLEET_SCHEDULER_PASS_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "basilspring/fleet/placement.h"
#include "basilspring/fleet/scheduler_core.h"

/// Types shared by the scheduler's source files during one scheduling pass.
namespace basilspring::fleet {

// Tiers of ready steps; steps of a lower tier are served first.

/// Priority 0, within the workspace's guarantee.
inline constexpr std::int32_t kTierGuaranteed = 0;
/// Priority 0, beyond the guarantee (borrowed), and can still be on time.
inline constexpr std::int32_t kTierUrgent = 1;
inline constexpr std::int32_t kTierOther = 2;
/// Too late to be of use to the caller.
inline constexpr std::int32_t kTierTooLate = 3;

/// A step with tasks that can start now.
struct SchedulerCore::ReadyStep {
  Job* job = nullptr;
  std::size_t step = 0;
  /// One of the kTier constants.
  std::int32_t tier = 0;
  /// The latest start at which the job can still be on time or, if that has passed, can still be
  /// of use to its caller.
  TimePoint latest_start;
  /// The predicted work of its waiting tasks, in weighted core-seconds (Resources::Weight()).
  double own_work = 0;
  /// Indices of the tasks to start.
  std::vector<std::int32_t> waiting;
  /// The predicted time from the start of the step to the end of the job.
  Duration critical_path;
  /// What the waiting tasks are worth to the caller.
  JobValue value;
  /// OrderIndex() of the step; the same for all steps under ShortagePolicy::kTiers.
  double index = 0;
};

/// Preferences of placement that are given up for a step that has waited for long.
struct SchedulerCore::Relaxation {
  /// The step need not be placed in the rack of its data or of its other tasks.
  bool any_rack = false;
  /// The step may use capacity that is held back for waiting gangs.
  bool with_held_back = false;
  /// The step may use workers on probation.
  bool with_probation = false;
};

/// The capacity of the usable workers during one scheduling pass. Updated as the pass starts and
/// stops runs.
struct SchedulerCore::Pass {
  struct WorkerCapacity {
    Worker* worker = nullptr;
    bool on_probation = false;
    Resources free;
    /// Capacity of runs that are being stopped and should end soon.
    Resources stopping;
    /// Capacity reserved for steps that wait for these runs to end.
    Resources reserved;
    /// Capacity held back for waiting gangs from other steps below the urgent tier.
    Resources held_back;
  };
  std::vector<WorkerCapacity> workers;
  /// Whether nearly all known agents have listed their runs, or have had the time to.
  bool fleet_listed = false;
  /// For each usable worker its index in `workers`.
  std::map<NodeId, std::size_t> index;
  /// Jobs of priority 0 within the guarantee of their workspace.
  std::set<JobId> guaranteed;
  /// Services of which less than half of all accelerators, cores and memory are in use, on workers
  /// that are neither draining nor evacuated.
  std::set<ServiceId> idle_services;
  /// For each service the accelerators of the workers that are neither draining nor evacuated.
  std::map<ServiceId, std::int64_t> accelerators;
  /// For each service the accelerators that other work leaves free for jobs of priority 0.
  std::map<ServiceId, std::int64_t> headroom;
  std::int64_t HeadroomOf(const ServiceId& service) const {
    const auto found = headroom.find(service);
    return found == headroom.end() ? 0 : found->second;
  }
  /// The number of waiting gangs for which capacity is held back.
  std::int32_t gangs_holding_capacity = 0;
};

/// The usable workers as placement sees them for one step, with the runs that it may preempt.
struct SchedulerCore::PlacementView {
  std::vector<Candidate> candidates;
  /// Whether all racks may be used if the preferred ones have no free capacity.
  bool any_rack = false;
  /// For each candidate its index in Pass::workers.
  std::vector<std::size_t> worker_indices;
  /// Returns for each task of the placement the index of its worker in Pass::workers.
  std::vector<std::size_t> IndicesOf(const Placement& placement) const {
    std::vector<std::size_t> indices;
    for (const std::size_t i : placement.workers) indices.push_back(worker_indices[i]);
    return indices;
  }
  /// For each candidate the capacity that is free and not reserved or held back for others, once
  /// all pending stops have completed.
  std::vector<Resources> free_after_stops;
  /// For each victim handle one run of the victim and its worker.
  std::vector<std::pair<NodeId, RunKey>> victims;
};

inline Resources Times(const Resources& one, std::int64_t count) {
  return {one.milli_cores * count, one.memory_mb * count, one.accelerators * count};
}

}  // namespace basilspring::fleet

#endif  // BASILSPRING_SRC_FLEET_SCHEDULER_PASS_H_
