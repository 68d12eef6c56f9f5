#include "request/placement_plan.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <utility>

#include "request/accelerator_runs.h"

namespace basilspring::internal {
namespace {

// Costs of placing one task, in units of half a split of a free block. The first task on an empty
// worker or rack costs more than any split, because it uses up the largest shapes; borrowing
// another workspace's run costs a split and a half, because the task is likely to be preempted.
constexpr std::uint32_t kSplitCost = 2;
constexpr std::uint32_t kOthersRunCost = 3;
constexpr std::uint32_t kOwnRunCost = 1;
constexpr std::uint32_t kEmptyWorkerCost = 12;
constexpr std::uint32_t kEmptyRackCost = 12;
constexpr std::uint32_t kNoFit = std::numeric_limits<std::uint32_t>::max();

std::uint32_t BindingCost(AcceleratorMask mask, const Candidate& candidate, Scope scope) {
  if (scope == Scope::kGuaranteed) return 0;
  if ((mask & candidate.others_bound) != 0) return kOthersRunCost;
  return (mask & candidate.own_bound) != 0 ? kOwnRunCost : 0;
}

std::optional<Fit> FitRun(std::uint32_t count, AcceleratorMask allowed, const Candidate& candidate,
                          Scope scope) {
  const std::uint32_t size = std::bit_ceil(count);
  std::optional<Fit> best;
  for (std::uint32_t first = 0; first < kMaxAcceleratorsPerWorker; first += size) {
    if ((allowed >> first) == 0) break;
    const AcceleratorMask mask = RunMask(first, count);
    if ((allowed & mask) != mask) continue;
    const std::uint32_t cost =
        kSplitCost * Splits(allowed, first, size) + BindingCost(mask, candidate, scope);
    if (!best || cost < best->cost) best = Fit{mask, cost};
  }
  return best;
}

std::optional<Fit> FitScattered(std::uint32_t count, AcceleratorMask allowed,
                                const Candidate& candidate, Scope scope) {
  // Unbound accelerators are used first, then those bound to the workspace, then those bound to
  // other workspaces.
  const AcceleratorMask unbound = allowed & ~(candidate.own_bound | candidate.others_bound);
  AcceleratorMask mask = 0;
  for (const AcceleratorMask part :
       {unbound, allowed & candidate.own_bound, allowed & candidate.others_bound}) {
    const std::uint32_t missing = count - CountBits(mask);
    mask |= ScatteredAccelerators(part, std::min(missing, CountBits(part)));
  }
  if (CountBits(mask) < count) return std::nullopt;
  const auto lost = static_cast<std::uint32_t>(std::bit_width(LargestFreeBlock(allowed)) -
                                               std::bit_width(LargestFreeBlock(allowed & ~mask)));
  return Fit{mask, kSplitCost * lost + BindingCost(mask, candidate, scope)};
}

// The tasks of the gang that fit in one rack, cheapest first.
struct RackPlan {
  std::vector<PlannedTask> tasks;
  // Total cost of the tasks 0 to i.
  std::vector<std::uint32_t> cost_up_to;

  std::uint32_t CostOf(std::size_t count) const { return count == 0 ? 0 : cost_up_to[count - 1]; }
};

class RackPlanner {
 public:
  RackPlanner(const GangShape& shape, const Candidates& candidates, bool use_avoided)
      : shape_(shape), candidates_(candidates), use_avoided_(use_avoided) {}

  RackPlan PlanRack(const std::vector<std::size_t>& members) {
    workers_.clear();
    bool rack_empty = true;
    for (const std::size_t index : members) {
      const Candidate& candidate = candidates_.list[index];
      rack_empty = rack_empty && candidate.worker->tasks.empty();
      if (!Usable(candidate, Scope::kAnywhere) || (candidate.avoided && !use_avoided_)) continue;
      Worker worker{index, candidate.free, {}, kNoFit};
      Update(worker, candidate.worker->tasks.empty());
      workers_.push_back(worker);
    }
    RackPlan plan;
    std::uint32_t total = rack_empty ? kEmptyRackCost : 0;
    while (plan.tasks.size() < shape_.tasks) {
      Worker* best = Cheapest();
      if (best == nullptr) break;
      total += best->cost;
      plan.tasks.push_back({best->candidate, best->mask});
      plan.cost_up_to.push_back(total);
      best->available.Allocate(shape_, best->mask);
      Update(*best, false);
    }
    return plan;
  }

 private:
  struct Worker {
    std::size_t candidate;
    ResourceAmounts available;
    AcceleratorMask mask;
    std::uint32_t cost;
  };

  void Update(Worker& worker, bool empty) {
    worker.cost = kNoFit;
    const auto fit =
        FitTask(shape_, worker.available, candidates_.list[worker.candidate], Scope::kAnywhere);
    if (!fit) return;
    worker.mask = fit->mask;
    worker.cost = fit->cost + (empty ? kEmptyWorkerCost : 0);
  }

  Worker* Cheapest() {
    Worker* best = nullptr;
    for (Worker& worker : workers_) {
      if (worker.cost != kNoFit && (best == nullptr || worker.cost < best->cost)) best = &worker;
    }
    return best;
  }

  const GangShape& shape_;
  const Candidates& candidates_;
  bool use_avoided_;
  std::vector<Worker> workers_;
};

// The cheapest rack, from index `first` on, that holds `tasks` tasks; nullptr if there is none.
const RackPlan* CheapestRack(const std::vector<RackPlan>& racks, std::size_t first,
                             std::size_t tasks) {
  const RackPlan* best = nullptr;
  for (std::size_t i = first; i < racks.size(); ++i) {
    if (racks[i].tasks.size() < tasks) continue;
    if (best == nullptr || racks[i].CostOf(tasks) < best->CostOf(tasks)) best = &racks[i];
  }
  return best;
}

void Append(const RackPlan& rack, std::size_t count, Plan& plan) {
  plan.tasks.insert(plan.tasks.end(), rack.tasks.begin(),
                    rack.tasks.begin() + static_cast<std::ptrdiff_t>(count));
  plan.cost += rack.CostOf(count);
}

}  // namespace

bool ResourceAmounts::HasHostResourcesFor(const GangShape& shape) const {
  return cores >= shape.cores.value() && memory >= shape.memory.value() && slots >= 1;
}

void ResourceAmounts::Allocate(const GangShape& shape, AcceleratorMask mask) {
  cores -= std::min(cores, shape.cores.value());
  memory -= std::min(memory, shape.memory.value());
  slots -= std::min(slots, 1U);
  accelerators &= ~mask;
}

std::uint32_t FreeSlots(const WorkerState& worker, std::uint64_t used) {
  std::uint32_t slots = worker.capacity.slots.value();
  if (worker.probation) slots = std::min(slots, 1U);
  return used >= slots ? 0 : slots - static_cast<std::uint32_t>(used);
}

ResourceAmounts ShareOf(const WorkerCapacity& capacity, AcceleratorMask accelerators) {
  const std::uint64_t all = capacity.accelerators.value();
  if (all == 0) return {};
  const std::uint64_t bound = CountBits(accelerators);
  const auto part = [&](std::uint32_t total) {
    return static_cast<std::uint32_t>(total * bound / all);
  };
  return {part(capacity.cores.value()), part(capacity.memory.value()), part(capacity.slots.value()),
          accelerators};
}

std::optional<AcceleratorMask> FirstFitMask(const GangShape& shape,
                                            const ResourceAmounts& available) {
  if (!available.HasHostResourcesFor(shape)) return std::nullopt;
  const std::uint32_t count = shape.accelerators.value();
  if (count == 0) return AcceleratorMask{0};
  if (count > CountBits(available.accelerators)) return std::nullopt;
  if (!shape.adjacent) {
    AcceleratorMask rest = available.accelerators;
    for (std::uint32_t i = 0; i < count; ++i) rest &= rest - 1;
    return available.accelerators & ~rest;
  }
  const std::uint32_t size = std::bit_ceil(count);
  for (std::uint32_t first = 0; first < kMaxAcceleratorsPerWorker; first += size) {
    const AcceleratorMask mask = RunMask(first, count);
    if ((available.accelerators & mask) == mask) return mask;
  }
  return std::nullopt;
}

std::string_view ExclusionText(Exclusion exclusion) {
  switch (exclusion) {
    case Exclusion::kNone:
      return "may be used";
    case Exclusion::kNotAccepting:
      return "takes no new work";
    case Exclusion::kQuarantined:
      return "in quarantine";
    case Exclusion::kReserved:
      return "kept for a larger job that waits";
    case Exclusion::kTooSmall:
      return "too small for a task of this job";
  }
  return "";
}

std::uint32_t Splits(AcceleratorMask free, std::uint32_t first, std::uint32_t size) {
  const std::uint32_t enclosing = EnclosingFreeBlock(free, first, size);
  return enclosing == 0 ? 0 : static_cast<std::uint32_t>(std::countr_zero(enclosing / size));
}

bool Usable(const Candidate& candidate, Scope scope) {
  if (candidate.exclusion == Exclusion::kReserved) {
    return scope == Scope::kGuaranteed && candidate.own_bound != 0;
  }
  if (scope == Scope::kGuaranteed && candidate.own_bound == 0) return false;
  return candidate.exclusion == Exclusion::kNone;
}

std::optional<Fit> FitTask(const GangShape& shape, const ResourceAmounts& available,
                           const Candidate& candidate, Scope scope) {
  if (!available.HasHostResourcesFor(shape)) return std::nullopt;
  const std::uint32_t count = shape.accelerators.value();
  // A task without accelerators goes where it blocks the fewest free accelerators.
  if (count == 0) return Fit{0, kSplitCost * CountBits(available.accelerators)};
  const AcceleratorMask allowed = scope == Scope::kGuaranteed
                                      ? available.accelerators & candidate.own_bound
                                      : available.accelerators;
  if (CountBits(allowed) < count) return std::nullopt;
  return shape.adjacent ? FitRun(count, allowed, candidate, scope)
                        : FitScattered(count, allowed, candidate, scope);
}

std::optional<Plan> PlanInFreeCapacity(const GangShape& shape, const Candidates& candidates,
                                       bool use_avoided) {
  RackPlanner planner(shape, candidates, use_avoided);
  std::vector<RackPlan> racks;
  std::size_t capacity = 0;
  for (const std::vector<std::size_t>& members : candidates.racks) {
    racks.push_back(planner.PlanRack(members));
    capacity += racks.back().tasks.size();
  }
  if (capacity < shape.tasks) return std::nullopt;
  // Racks that hold the most tasks come first, so that a gang that is too large for one rack uses
  // few racks.
  std::stable_sort(racks.begin(), racks.end(), [](const RackPlan& a, const RackPlan& b) {
    return a.tasks.size() > b.tasks.size();
  });
  Plan plan;
  std::size_t remaining = shape.tasks;
  std::size_t next = 0;
  while (remaining > 0) {
    if (const RackPlan* rack = CheapestRack(racks, next, remaining); rack != nullptr) {
      Append(*rack, remaining, plan);
      break;
    }
    Append(racks[next], racks[next].tasks.size(), plan);
    remaining -= racks[next].tasks.size();
    ++next;
  }
  return plan;
}

}  // namespace basilspring::internal
