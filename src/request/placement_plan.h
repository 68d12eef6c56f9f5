#ifndef BASILSPRING_SRC_REQUEST_PLACEMENT_PLAN_H_
#define BASILSPRING_SRC_REQUEST_PLACEMENT_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "basilspring/request/placement.h"

namespace basilspring::internal {

/// Amounts of a worker that tasks can take, or may take.
struct Room {
  std::uint32_t cores = 0;
  std::uint32_t memory = 0;
  std::uint32_t slots = 0;
  AcceleratorMask accelerators = 0;

  bool HoldsTask(const GangShape& shape) const;
  void Take(const GangShape& shape, AcceleratorMask mask);
};

/// Slots that are free on a worker with `used` tasks; a worker on probation has only one.
std::uint32_t FreeSlots(const WorkerState& worker, std::uint64_t used);

/// The part of a worker's cores, memory and slots that belongs to these of its accelerators,
/// rounded down.
Room ShareOf(const WorkerCapacity& capacity, AcceleratorMask accelerators);

/// The lowest accelerators on which a task fits; nothing when it doesn't fit.
std::optional<AcceleratorMask> FirstFitMask(const GangShape& shape, const Room& room);

enum class Exclusion : std::uint8_t { kNone, kNotAccepting, kQuarantined, kReserved, kTooSmall };
std::string_view ExclusionText(Exclusion exclusion);

/// One worker with what this job may use of it.
struct Candidate {
  const WorkerState* worker = nullptr;
  Exclusion exclusion = Exclusion::kNone;
  std::size_t rack = 0;
  Room free;
  /// Accelerators that are bound to the job's workspace, and to other workspaces.
  AcceleratorMask own = 0;
  AcceleratorMask others = 0;
  /// What the workspace may still hold on this worker under its guarantee: the part of the worker's
  /// cores, memory and slots that its bound accelerators are of all accelerators.
  Room share;
  bool avoided = false;
};

/// Result of the filter step: one candidate for each worker, excluded ones included, and the
/// candidates of each rack.
struct Candidates {
  std::vector<Candidate> list;
  std::vector<std::vector<std::size_t>> racks;
};

/// What a plan may use.
enum class Scope : std::uint8_t {
  /// The bound runs of the workspace, within its share.
  kGuaranteed,
  /// Any free room.
  kAnywhere,
};

struct PlannedTask {
  std::size_t candidate = 0;
  AcceleratorMask mask = 0;
};

/// Result of the score step: a place for each task, and the gangs that have to make room.
struct Plan {
  std::vector<PlannedTask> tasks;
  std::vector<Victim> victims;
  /// Sum of the costs of the places; lower is better.
  double cost = 0;
  /// Accelerator milliseconds that the victims lose.
  double work_lost = 0;
};

/// Where one more task would go on a worker, and its cost.
struct Fit {
  AcceleratorMask mask = 0;
  std::uint32_t cost = 0;
};

/// The cheapest place for one task in `room`; nothing when it doesn't fit.
std::optional<Fit> FitTask(const GangShape& shape, const Room& room, const Candidate& candidate,
                           Scope scope);

/// Splits of free blocks that taking the aligned block of `size` at `first` needs; none when a part
/// of the block is in use already.
std::uint32_t Splits(AcceleratorMask free, std::uint32_t first, std::uint32_t size);

/// Whether the candidate may be used: workers kept for a larger job serve the guarantees that are
/// bound to them, nothing else.
bool Usable(const Candidate& candidate, Scope scope);

/// Places the gang in any free room, in few racks and at the least cost; nothing when it doesn't
/// fit.
std::optional<Plan> PlanInFreeRoom(const GangShape& shape, const Candidates& candidates,
                                   bool use_avoided);

/// The part of a gang that is on one worker.
struct GangPart {
  std::size_t gang = 0;
  std::uint64_t cores = 0;
  std::uint64_t memory = 0;
  std::uint64_t slots = 0;
  AcceleratorMask accelerators = 0;
};

/// An attempt with what its end would cost.
struct Gang {
  const PlacedTask* any_task = nullptr;
  bool borrowed = false;
  /// Accelerator milliseconds that it has run.
  double work = 0;
  /// Its rank among victims: work within a class, higher classes above all work of lower ones.
  double cost = 0;
  std::vector<std::size_t> workers;
};

/// The gangs that run in the cell, and their parts by candidate. It is the same for all attempts of
/// one decision.
struct GangTable {
  std::vector<Gang> gangs;
  std::vector<std::vector<GangPart>> parts;
};
GangTable CollectGangs(const Candidates& candidates, TimePoint now);

/// Places the gang in free room and the room of borrowed gangs, those with the least work lost
/// first; nothing when it doesn't fit. Inside a guarantee, each task first takes the smallest of
/// the workspace's runs that fits, even where a larger one is free, so that the rest of the
/// guarantee keeps its shape. Borrowers of any class yield to a guarantee; outside it, only batch
/// and background work yields.
std::optional<Plan> PlanWithVictims(const PlacementInput& input, const Candidates& candidates,
                                    const GangTable& gangs, Scope scope, bool use_avoided);

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_REQUEST_PLACEMENT_PLAN_H_
