#ifndef BASILSPRING_SRC_REQUEST_PLACEMENT_PLAN_H_
#define BASILSPRING_SRC_REQUEST_PLACEMENT_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "basilspring/request/placement.h"

namespace basilspring::internal {

/// Amounts of a worker's resources, such as those that are free or those that a workspace may use.
struct ResourceAmounts {
  std::uint32_t cores = 0;
  std::uint32_t memory = 0;
  std::uint32_t slots = 0;
  AcceleratorMask accelerators = 0;

  /// Whether cores, memory and slots suffice for one task; accelerators are not considered.
  bool HasHostResourcesFor(const GangShape& shape) const;
  /// Subtracts one task with the accelerators `mask`; amounts saturate at zero.
  void Allocate(const GangShape& shape, AcceleratorMask mask);
};

/// Free slots of a worker with `used` tasks; a worker on probation has one slot in total.
std::uint32_t FreeSlots(const WorkerState& worker, std::uint64_t used);

/// The share of a worker's cores, memory and slots that is proportional to these of its
/// accelerators, rounded down.
ResourceAmounts ShareOf(const WorkerCapacity& capacity, AcceleratorMask accelerators);

/// The lowest accelerators on which a task fits; std::nullopt if it doesn't fit.
std::optional<AcceleratorMask> FirstFitMask(const GangShape& shape,
                                            const ResourceAmounts& available);

/// Why a worker can't be used for a job.
enum class Exclusion : std::uint8_t { kNone, kNotAccepting, kQuarantined, kReserved, kTooSmall };
std::string_view ExclusionText(Exclusion exclusion);

/// One worker and the resources of it that the job may use.
struct Candidate {
  const WorkerState* worker = nullptr;
  Exclusion exclusion = Exclusion::kNone;
  std::size_t rack = 0;
  ResourceAmounts free;
  /// Accelerators that are bound to the guarantee of the job's workspace, and to other workspaces.
  AcceleratorMask own_bound = 0;
  AcceleratorMask others_bound = 0;
  /// Resources that the workspace may still use on this worker under its guarantee. Its share of
  /// cores, memory and slots is proportional to its bound accelerators.
  ResourceAmounts share;
  bool avoided = false;
};

/// Result of the filter step: one candidate per worker, including the excluded ones, and the
/// indices of the candidates in each rack.
struct Candidates {
  std::vector<Candidate> list;
  std::vector<std::vector<std::size_t>> racks;
};

/// The capacity that a plan may use.
enum class Scope : std::uint8_t {
  /// The bound runs of the workspace, within its share of each worker.
  kGuaranteed,
  /// Any free capacity.
  kAnywhere,
};

struct PlannedTask {
  std::size_t candidate = 0;
  AcceleratorMask mask = 0;
};

/// Result of the scoring step: the worker and accelerators for each task, and the gangs to preempt.
struct Plan {
  std::vector<PlannedTask> tasks;
  std::vector<Victim> victims;
  /// Sum of the costs of the tasks; lower is better.
  double cost = 0;
  /// Accelerator milliseconds that the victims lose when they are preempted.
  double work_lost = 0;
};

/// The accelerators that one more task would use on a worker, and the cost of this choice.
struct Fit {
  AcceleratorMask mask = 0;
  std::uint32_t cost = 0;
};

/// The cheapest way to place one task in `available`; std::nullopt if it doesn't fit.
std::optional<Fit> FitTask(const GangShape& shape, const ResourceAmounts& available,
                           const Candidate& candidate, Scope scope);

/// Number of times that a free block has to be split in half to allocate the aligned block of
/// `size` at `first`; 0 if a part of that block is already in use.
std::uint32_t Splits(AcceleratorMask free, std::uint32_t first, std::uint32_t size);

/// Whether the candidate may be used. Workers that are reserved for a larger job may be used only
/// within the guarantees that are bound to them.
bool Usable(const Candidate& candidate, Scope scope);

/// Places the gang in any free capacity, in few racks and at the lowest cost; std::nullopt if it
/// doesn't fit.
std::optional<Plan> PlanInFreeCapacity(const GangShape& shape, const Candidates& candidates,
                                       bool use_avoided);

/// The tasks of a gang on one worker, as the sum of their resources.
struct GangPart {
  std::size_t gang = 0;
  std::uint64_t cores = 0;
  std::uint64_t memory = 0;
  std::uint64_t slots = 0;
  AcceleratorMask accelerators = 0;
};

/// A running gang (one attempt of a job) and the cost of preempting it.
struct Gang {
  const PlacedTask* any_task = nullptr;
  bool borrowed = false;
  /// Accelerator milliseconds that it has run and would lose.
  double work = 0;
  /// Order among victims: by work within a class; each gang of a higher class costs more than any
  /// of a lower one.
  double cost = 0;
  std::vector<std::size_t> workers;
};

/// The gangs that run in the cell, and their parts by candidate, cheapest first. All stages of one
/// placement decision share this table.
struct GangTable {
  std::vector<Gang> gangs;
  std::vector<std::vector<GangPart>> parts;
};
GangTable CollectGangs(const Candidates& candidates, TimePoint now);

/// Places the gang in free capacity and the capacity of borrowed gangs, preempting those that lose
/// the least work first; std::nullopt if it doesn't fit. Within a guarantee, each task takes the
/// smallest of the workspace's runs that fits, even if a larger one is free, so that the larger
/// runs of the guarantee stay whole. Borrowed tasks of any class can be preempted for a guarantee;
/// otherwise only borrowed batch and background tasks can.
std::optional<Plan> PlanWithVictims(const PlacementInput& input, const Candidates& candidates,
                                    const GangTable& gangs, Scope scope, bool use_avoided);

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_REQUEST_PLACEMENT_PLAN_H_
