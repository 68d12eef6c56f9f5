#ifndef BASILSPRING_FLEET_PLACEMENT_H_
#define BASILSPRING_FLEET_PLACEMENT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilspring/fleet/job_model.h"

/// Placement of the tasks of one step, as pure functions. Designed for jobs of 1 to 8 accelerators
/// per task on workers with 8 accelerators, where small tasks scattered over all workers prevent
/// wide ones from starting.
namespace basilspring::fleet {

/// A set of runs that can only be preempted together: one run, or all members of a gang.
struct Victim {
  /// Capacity that stopping it frees on the worker of this candidate.
  Resources freed;
  /// The work lost by stopping it, in weighted core-seconds; for a gang, that of all members.
  double lost_work = 0;
  /// Identifies the victim to the caller. The members of a gang share one handle.
  std::size_t handle = 0;
};

/// A worker as placement sees it.
struct Candidate {
  /// Capacity that can be used now.
  Resources free;
  Resources capacity;
  std::string_view rack;
  /// Labels of the worker; nullptr if it has none. Must outlive the candidate.
  const std::vector<std::string>* labels = nullptr;
  /// The number of tasks of the same step that already run there.
  std::int32_t same_step_tasks = 0;
  /// Suspected to be faulty; used only if no other worker has enough free capacity.
  bool suspect = false;
  /// Runs that may be preempted to free capacity, cheapest first.
  std::vector<Victim> victims;
};

/// An assignment of tasks to candidates.
struct Placement {
  /// For each task to place, the index of its candidate.
  std::vector<std::size_t> workers;
  /// Handles of the victims that must be stopped first; empty if all tasks fit now.
  std::vector<std::size_t> victims;
  /// The sum of the victims' lost work.
  double lost_work = 0;
};

/// Returns whether the worker has the capacity, when empty, and the label for a task of the step.
bool IsEligible(const StepSpec& step, const Candidate& candidate);

/// Places up to `count` tasks without preemption; std::nullopt if none can be placed. A gang is
/// placed whole or not at all; of other steps, as many tasks as fit. With `any_rack`, tasks that
/// cannot be placed in their preferred rack are placed in others.
std::optional<Placement> PlaceNow(const StepSpec& step, std::int32_t count,
                                  const std::vector<Candidate>& candidates, bool any_rack = false);

/// Places all `count` tasks and chooses the victims to preempt for them, greedily with the least
/// lost work; std::nullopt if the tasks do not fit even so. With `any_rack`, tasks that cannot be
/// placed in their preferred rack are placed in others.
std::optional<Placement> PlaceWithVictims(const StepSpec& step, std::int32_t count,
                                          const std::vector<Candidate>& candidates,
                                          bool any_rack = false);

/// Returns whether the placement keeps to the rack of the step's data and, if the step prefers a
/// single rack, to one rack.
bool IsInPreferredRack(const StepSpec& step, const std::vector<Candidate>& candidates,
                       const Placement& placement);

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_PLACEMENT_H_
