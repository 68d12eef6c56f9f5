#ifndef BASILSPRING_FLEET_PLACEMENT_H_
#define BASILSPRING_FLEET_PLACEMENT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilspring/fleet/job_model.h"

/// Pure placement of the tasks of one step. The load that it answers: jobs of 1 to 8 accelerators a
/// task on workers with 8, where scattered small tasks keep the wide ones from starting.
namespace basilspring::fleet {

/// A set of runs that can only be stopped together: one run, or all members of a gang.
struct Victim {
  /// Room that stopping it frees on the worker that lists it.
  Resources room;
  /// Core-seconds of work that are lost; the whole gang's where it is one.
  double lost_work = 0;
  /// Identifies the victim to the caller.
  std::size_t handle = 0;
};

/// A worker as placement sees it.
struct Candidate {
  /// What can be used now.
  Resources room;
  Resources capacity;
  std::string_view rack;
  /// Labels of the worker; outlives the candidate.
  const std::vector<std::string>* labels = nullptr;
  /// Tasks of the same step that are there already.
  std::int32_t same_step = 0;
  /// Suspected of failing; used only when nothing else has room.
  bool suspect = false;
  /// What may be stopped to make room, cheapest first.
  std::vector<Victim> victims;
};

struct Placement {
  /// For each task to place, the index of its candidate.
  std::vector<std::size_t> workers;
  /// Handles of what must be stopped first; empty when all fits now.
  std::vector<std::size_t> victims;
  double lost_work = 0;
};

/// Whether the step's tasks may run on the worker at all.
bool IsEligible(const StepSpec& step, const Candidate& candidate);

/// Places up to `count` tasks without stopping anything. A gang is placed whole or not at all;
/// other steps as far as there is room.
/// With `any_rack`, tasks are placed away from their rack rather than not at all.
std::optional<Placement> PlaceNow(const StepSpec& step, std::int32_t count,
                                  const std::vector<Candidate>& candidates, bool any_rack = false);

/// Places all `count` tasks, stopping victims where it must, with the least work lost.
std::optional<Placement> PlaceWithVictims(const StepSpec& step, std::int32_t count,
                                          const std::vector<Candidate>& candidates);

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_PLACEMENT_H_
