#include <algorithm>
#include <bit>
#include <limits>
#include <utility>

#include "request/accelerator_runs.h"
#include "request/placement_plan.h"

namespace basilspring::internal {
namespace {

// One way to place a task on a worker, with the gangs that have to be evicted for it.
struct EvictionOption {
  // Splits of the workspace's bound runs, in a guaranteed placement.
  std::uint32_t own_run_splits = 0;
  double victims_cost = std::numeric_limits<double>::infinity();
  std::uint32_t fit_cost = 0;
  AcceleratorMask mask = 0;
  std::vector<std::size_t> gangs;

  bool possible() const { return victims_cost < std::numeric_limits<double>::infinity(); }
  // Splits of the workspace's runs are compared first: a small task in a large run would use up a
  // shape of the guarantee, even if that run is free and a small run is borrowed by others.
  bool BetterThan(const EvictionOption& other) const {
    if (!possible() || !other.possible()) return possible() && !other.possible();
    if (own_run_splits != other.own_run_splits) return own_run_splits < other.own_run_splits;
    if (victims_cost != other.victims_cost) return victims_cost < other.victims_cost;
    return fit_cost < other.fit_cost;
  }
};

struct WorkerPlan {
  // Resources in use. They are summed over the tasks, since the free amounts of an overcommitted
  // worker saturate at zero.
  std::uint64_t cores = 0;
  std::uint64_t memory = 0;
  std::uint64_t slots = 0;
  AcceleratorMask held = 0;
  // Remaining share of the workspace under its guarantee.
  ResourceAmounts share;
  // Gangs that may be evicted, cheapest first.
  std::vector<GangPart> parts;
  EvictionOption best;

  void Allocate(const GangPart& part) {
    cores += part.cores;
    memory += part.memory;
    slots += part.slots;
    held |= part.accelerators;
  }
  void Release(const GangPart& part) {
    cores -= part.cores;
    memory -= part.memory;
    slots -= part.slots;
    held &= ~part.accelerators;
  }
};

class VictimPlanner {
 public:
  VictimPlanner(const PlacementInput& input, const Candidates& candidates, const GangTable& table,
                Scope scope, bool use_avoided)
      : input_(input),
        shape_(input.job->shape),
        candidates_(candidates),
        gangs_(table.gangs),
        evicted_(table.gangs.size()),
        racks_used_(candidates.racks.size()),
        scope_(scope),
        use_avoided_(use_avoided) {}

  std::optional<Plan> Run(const GangTable& table) {
    for (const std::vector<GangPart>& parts : table.parts) AddWorker(parts);
    if (!FitsWithAllBorrowersEvicted()) return std::nullopt;
    for (std::size_t i = 0; i < workers_.size(); ++i) UpdateBestOption(i);
    Plan plan;
    while (plan.tasks.size() < shape_.tasks) {
      const std::size_t best = SelectWorker();
      if (!workers_[best].best.possible()) return std::nullopt;
      Commit(best, plan);
    }
    return plan;
  }

 private:
  void AddWorker(const std::vector<GangPart>& parts);
  bool MayEvict(const Gang& gang) const;
  bool FitsWithAllBorrowersEvicted() const;
  std::optional<ResourceAmounts> CapacityAfterEvictions(std::size_t index) const;
  void UpdateBestOption(std::size_t index);
  void UpdateAdjacent(std::size_t index, const ResourceAmounts& reachable);
  void UpdateScattered(std::size_t index, const ResourceAmounts& reachable);
  EvictionOption FindEvictions(const WorkerPlan& worker, const Candidate& candidate,
                               AcceleratorMask mask) const;
  ResourceAmounts FreeCapacityOf(const WorkerPlan& worker, const Candidate& candidate) const;
  std::size_t SelectWorker() const;
  void Commit(std::size_t index, Plan& plan);

  const PlacementInput& input_;
  const GangShape& shape_;
  const Candidates& candidates_;
  const std::vector<Gang>& gangs_;
  std::vector<bool> evicted_;
  std::vector<bool> racks_used_;
  Scope scope_;
  bool use_avoided_;
  std::vector<WorkerPlan> workers_;
};

bool VictimPlanner::MayEvict(const Gang& gang) const {
  if (!gang.borrowed) return false;
  const PlacedTask& task = *gang.any_task;
  if (scope_ == Scope::kAnywhere) return task.job_class != JobClass::kUrgent;
  // The workspace's own borrowed tasks may fill a large run while a small one is borrowed by
  // others; they can be evicted unless they are of a higher class.
  return task.workspace != input_.job->workspace || task.job_class >= input_.job->job_class;
}

void VictimPlanner::AddWorker(const std::vector<GangPart>& parts) {
  WorkerPlan worker;
  worker.share = candidates_.list[workers_.size()].share;
  worker.parts.reserve(parts.size());
  for (const GangPart& part : parts) {
    worker.Allocate(part);
    if (MayEvict(gangs_[part.gang])) worker.parts.push_back(part);
  }
  workers_.push_back(std::move(worker));
}

ResourceAmounts VictimPlanner::FreeCapacityOf(const WorkerPlan& worker,
                                              const Candidate& candidate) const {
  const WorkerCapacity& capacity = candidate.worker->capacity;
  const auto left = [](std::uint32_t total, std::uint64_t used) {
    return used >= total ? 0U : total - static_cast<std::uint32_t>(used);
  };
  return {left(capacity.cores.value(), worker.cores), left(capacity.memory.value(), worker.memory),
          FreeSlots(*candidate.worker, worker.slots),
          AllAccelerators(capacity.accelerators.value()) & ~worker.held};
}

// Chooses the gangs to evict so that the task fits at `mask`: all gangs on the mask, then the
// cheapest others until cores, memory and slots suffice.
EvictionOption VictimPlanner::FindEvictions(const WorkerPlan& worker, const Candidate& candidate,
                                            AcceleratorMask mask) const {
  EvictionOption option;
  option.mask = mask;
  WorkerPlan left;
  left.cores = worker.cores;
  left.memory = worker.memory;
  left.slots = worker.slots;
  left.held = worker.held;
  double cost = 0;
  const auto evict = [&](const GangPart& part) {
    left.Release(part);
    cost += gangs_[part.gang].cost;
    option.gangs.push_back(part.gang);
  };
  for (const GangPart& part : worker.parts) {
    if (!evicted_[part.gang] && (part.accelerators & mask) != 0) evict(part);
  }
  if ((left.held & mask) != 0) return {};
  for (const GangPart& part : worker.parts) {
    if (FreeCapacityOf(left, candidate).HasHostResourcesFor(shape_)) break;
    if (!evicted_[part.gang] && (part.accelerators & mask) == 0) evict(part);
  }
  if (!FreeCapacityOf(left, candidate).HasHostResourcesFor(shape_)) return {};
  option.victims_cost = cost;
  return option;
}

void VictimPlanner::UpdateAdjacent(std::size_t index, const ResourceAmounts& reachable) {
  WorkerPlan& worker = workers_[index];
  const Candidate& candidate = candidates_.list[index];
  const std::uint32_t count = shape_.accelerators.value();
  const std::uint32_t size = std::bit_ceil(count);
  for (std::uint32_t first = 0; first < kMaxAcceleratorsPerWorker; first += size) {
    const AcceleratorMask mask = RunMask(first, count);
    if ((reachable.accelerators & mask) != mask) continue;
    EvictionOption option = FindEvictions(worker, candidate, mask);
    if (!option.possible()) continue;
    ResourceAmounts at_mask = reachable;
    at_mask.accelerators = mask | (reachable.accelerators & ~worker.held);
    const auto fit = FitTask(shape_, at_mask, candidate, scope_);
    option.fit_cost = fit ? fit->cost : 0;
    if (scope_ == Scope::kGuaranteed) {
      option.own_run_splits = Splits(worker.share.accelerators, first, size);
    }
    if (option.BetterThan(worker.best)) worker.best = std::move(option);
  }
}

void VictimPlanner::UpdateScattered(std::size_t index, const ResourceAmounts& reachable) {
  WorkerPlan& worker = workers_[index];
  const std::uint32_t count = shape_.accelerators.value();
  if (CountBits(reachable.accelerators) < count) return;
  if (scope_ == Scope::kGuaranteed) {
    const AcceleratorMask own = reachable.accelerators;
    const AcceleratorMask mask = ScatteredAccelerators(own, count);
    worker.best = FindEvictions(worker, candidates_.list[index], mask);
    worker.best.own_run_splits = static_cast<std::uint32_t>(
        std::bit_width(LargestFreeBlock(own)) - std::bit_width(LargestFreeBlock(own & ~mask)));
    return;
  }
  // Free accelerators are used first, then those of the cheapest gangs.
  AcceleratorMask pool = reachable.accelerators & ~worker.held;
  for (const GangPart& part : worker.parts) {
    if (CountBits(pool) >= count) break;
    if (!evicted_[part.gang]) pool |= part.accelerators & reachable.accelerators;
  }
  const AcceleratorMask free = pool & ~worker.held;
  AcceleratorMask mask = ScatteredAccelerators(free, std::min(count, CountBits(free)));
  mask |= ScatteredAccelerators(pool & ~free, count - CountBits(mask));
  worker.best = FindEvictions(worker, candidates_.list[index], mask);
}

// The capacity that the job could use on a worker if all evictable gangs were evicted; std::nullopt
// if no task fits there.
std::optional<ResourceAmounts> VictimPlanner::CapacityAfterEvictions(std::size_t index) const {
  const WorkerPlan& worker = workers_[index];
  const Candidate& candidate = candidates_.list[index];
  if (!Usable(candidate, scope_) || (candidate.avoided && !use_avoided_)) return std::nullopt;
  if (scope_ == Scope::kGuaranteed && !worker.share.HasHostResourcesFor(shape_)) {
    return std::nullopt;
  }
  WorkerPlan emptied;
  emptied.cores = worker.cores;
  emptied.memory = worker.memory;
  emptied.slots = worker.slots;
  emptied.held = worker.held;
  for (const GangPart& part : worker.parts) {
    if (!evicted_[part.gang]) emptied.Release(part);
  }
  ResourceAmounts reachable = FreeCapacityOf(emptied, candidate);
  if (!reachable.HasHostResourcesFor(shape_)) return std::nullopt;
  if (scope_ == Scope::kGuaranteed) reachable.accelerators &= candidate.own_bound;
  return reachable;
}

// Avoids the search for victims if evicting all of them would not free enough capacity.
bool VictimPlanner::FitsWithAllBorrowersEvicted() const {
  std::uint32_t fitting = 0;
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    std::optional<ResourceAmounts> available = CapacityAfterEvictions(i);
    if (!available) continue;
    if (scope_ == Scope::kGuaranteed) {
      const ResourceAmounts& share = workers_[i].share;
      available->cores = std::min(available->cores, share.cores);
      available->memory = std::min(available->memory, share.memory);
      available->slots = std::min(available->slots, share.slots);
    }
    while (fitting < shape_.tasks) {
      const auto mask = FirstFitMask(shape_, *available);
      if (!mask) break;
      available->Allocate(shape_, *mask);
      ++fitting;
    }
    if (fitting == shape_.tasks) return true;
  }
  return false;
}

void VictimPlanner::UpdateBestOption(std::size_t index) {
  WorkerPlan& worker = workers_[index];
  worker.best = {};
  const std::optional<ResourceAmounts> reachable = CapacityAfterEvictions(index);
  if (!reachable) return;
  if (shape_.accelerators.value() == 0) {
    worker.best = FindEvictions(worker, candidates_.list[index], 0);
  } else if (shape_.adjacent) {
    UpdateAdjacent(index, *reachable);
  } else {
    UpdateScattered(index, *reachable);
  }
}

std::size_t VictimPlanner::SelectWorker() const {
  std::size_t best = 0;
  for (std::size_t i = 1; i < workers_.size(); ++i) {
    const EvictionOption& option = workers_[i].best;
    const bool worse = workers_[best].best.BetterThan(option);
    if (worse || !option.possible()) continue;
    // Among equal options, racks that the gang already uses are preferred.
    const bool nearer =
        racks_used_[candidates_.list[i].rack] && !racks_used_[candidates_.list[best].rack];
    if (nearer || option.BetterThan(workers_[best].best)) best = i;
  }
  return best;
}

void VictimPlanner::Commit(std::size_t index, Plan& plan) {
  const EvictionOption option = std::move(workers_[index].best);
  std::vector<std::size_t> changed = {index};
  for (const std::size_t gang_index : option.gangs) {
    const Gang& gang = gangs_[gang_index];
    evicted_[gang_index] = true;
    plan.work_lost += gang.work;
    for (const std::size_t i : gang.workers) {
      for (const GangPart& part : workers_[i].parts) {
        if (part.gang == gang_index) workers_[i].Release(part);
      }
      plan.victims.push_back(
          {candidates_.list[i].worker->id, gang.any_task->attempt, gang.any_task->job});
      changed.push_back(i);
    }
  }
  workers_[index].Allocate({0, shape_.cores.value(), shape_.memory.value(), 1, option.mask});
  workers_[index].share.Allocate(shape_, option.mask);
  racks_used_[candidates_.list[index].rack] = true;
  plan.tasks.push_back({index, option.mask});
  plan.cost += option.fit_cost;
  for (const std::size_t i : changed) UpdateBestOption(i);
}

}  // namespace

std::optional<Plan> PlanWithVictims(const PlacementInput& input, const Candidates& candidates,
                                    const GangTable& gangs, Scope scope, bool use_avoided) {
  if (candidates.list.empty()) return std::nullopt;
  return VictimPlanner(input, candidates, gangs, scope, use_avoided).Run(gangs);
}

}  // namespace basilspring::internal
