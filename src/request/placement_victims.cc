#include <algorithm>
#include <bit>
#include <limits>
#include <utility>

#include "request/accelerator_runs.h"
#include "request/placement_plan.h"

namespace basilspring::internal {
namespace {

// One way to make room for a task on a worker.
struct Option {
  // Splits of the workspace's own runs, in a guaranteed placement.
  std::uint32_t own_splits = 0;
  double victims_cost = std::numeric_limits<double>::infinity();
  std::uint32_t fit_cost = 0;
  AcceleratorMask mask = 0;
  std::vector<std::size_t> gangs;

  bool possible() const { return victims_cost < std::numeric_limits<double>::infinity(); }
  // The own runs come first: a small task in a large run would take a shape of the guarantee away,
  // even if that run is free and a small run is lent.
  bool BetterThan(const Option& other) const {
    if (!possible() || !other.possible()) return possible() && !other.possible();
    if (own_splits != other.own_splits) return own_splits < other.own_splits;
    if (victims_cost != other.victims_cost) return victims_cost < other.victims_cost;
    return fit_cost < other.fit_cost;
  }
};

struct WorkerPlan {
  // Counted from the tasks, since free amounts of an overcommitted worker saturate at zero.
  std::uint64_t cores = 0;
  std::uint64_t memory = 0;
  std::uint64_t slots = 0;
  AcceleratorMask held = 0;
  Room share;
  std::vector<GangPart> parts;
  Option best;

  void Take(const GangPart& part) {
    cores += part.cores;
    memory += part.memory;
    slots += part.slots;
    held |= part.accelerators;
  }
  void GiveBack(const GangPart& part) {
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
        chosen_(table.gangs.size()),
        racks_used_(candidates.racks.size()),
        scope_(scope),
        use_avoided_(use_avoided) {}

  std::optional<Plan> Run(const GangTable& table) {
    for (const std::vector<GangPart>& parts : table.parts) AddWorker(parts);
    if (!FitsWithoutBorrowers()) return std::nullopt;
    for (std::size_t i = 0; i < workers_.size(); ++i) Update(i);
    Plan plan;
    while (plan.tasks.size() < shape_.tasks) {
      const std::size_t best = Cheapest();
      if (!workers_[best].best.possible()) return std::nullopt;
      Commit(best, plan);
    }
    return plan;
  }

 private:
  void AddWorker(const std::vector<GangPart>& parts);
  bool MayEvict(const Gang& gang) const;
  bool FitsWithoutBorrowers() const;
  std::optional<Room> ReachableRoom(std::size_t index) const;
  void Update(std::size_t index);
  void UpdateRun(std::size_t index, const Room& reachable);
  void UpdateScattered(std::size_t index, const Room& reachable);
  Option Clear(const WorkerPlan& worker, const Candidate& candidate, AcceleratorMask mask) const;
  Room RoomOf(const WorkerPlan& worker, const Candidate& candidate) const;
  std::size_t Cheapest() const;
  void Commit(std::size_t index, Plan& plan);

  const PlacementInput& input_;
  const GangShape& shape_;
  const Candidates& candidates_;
  const std::vector<Gang>& gangs_;
  std::vector<bool> chosen_;
  std::vector<bool> racks_used_;
  Scope scope_;
  bool use_avoided_;
  std::vector<WorkerPlan> workers_;
};

bool VictimPlanner::MayEvict(const Gang& gang) const {
  if (!gang.borrowed) return false;
  const PlacedTask& task = *gang.any_task;
  if (scope_ == Scope::kAnywhere) return task.job_class != JobClass::kUrgent;
  // Its own borrowed work may fill a large run while a small one is lent; it yields unless it is of
  // a higher class.
  return task.workspace != input_.job->workspace || task.job_class >= input_.job->job_class;
}

void VictimPlanner::AddWorker(const std::vector<GangPart>& parts) {
  WorkerPlan worker;
  worker.share = candidates_.list[workers_.size()].share;
  worker.parts.reserve(parts.size());
  for (const GangPart& part : parts) {
    worker.Take(part);
    if (MayEvict(gangs_[part.gang])) worker.parts.push_back(part);
  }
  workers_.push_back(std::move(worker));
}

Room VictimPlanner::RoomOf(const WorkerPlan& worker, const Candidate& candidate) const {
  const WorkerCapacity& capacity = candidate.worker->capacity;
  const auto left = [](std::uint32_t total, std::uint64_t used) {
    return used >= total ? 0U : total - static_cast<std::uint32_t>(used);
  };
  return {left(capacity.cores.value(), worker.cores), left(capacity.memory.value(), worker.memory),
          FreeSlots(*candidate.worker, worker.slots),
          AllAccelerators(capacity.accelerators.value()) & ~worker.held};
}

// Chooses the gangs that have to leave so that the task fits at `mask`: those on the mask, then the
// cheapest others until there are cores, memory and slots.
Option VictimPlanner::Clear(const WorkerPlan& worker, const Candidate& candidate,
                            AcceleratorMask mask) const {
  Option option;
  option.mask = mask;
  WorkerPlan left;
  left.cores = worker.cores;
  left.memory = worker.memory;
  left.slots = worker.slots;
  left.held = worker.held;
  double cost = 0;
  const auto evict = [&](const GangPart& part) {
    left.GiveBack(part);
    cost += gangs_[part.gang].cost;
    option.gangs.push_back(part.gang);
  };
  for (const GangPart& part : worker.parts) {
    if (!chosen_[part.gang] && (part.accelerators & mask) != 0) evict(part);
  }
  if ((left.held & mask) != 0) return {};
  for (const GangPart& part : worker.parts) {
    if (RoomOf(left, candidate).HoldsTask(shape_)) break;
    if (!chosen_[part.gang] && (part.accelerators & mask) == 0) evict(part);
  }
  if (!RoomOf(left, candidate).HoldsTask(shape_)) return {};
  option.victims_cost = cost;
  return option;
}

void VictimPlanner::UpdateRun(std::size_t index, const Room& reachable) {
  WorkerPlan& worker = workers_[index];
  const Candidate& candidate = candidates_.list[index];
  const std::uint32_t count = shape_.accelerators.value();
  const std::uint32_t size = std::bit_ceil(count);
  for (std::uint32_t first = 0; first < kMaxAcceleratorsPerWorker; first += size) {
    const AcceleratorMask mask = RunMask(first, count);
    if ((reachable.accelerators & mask) != mask) continue;
    Option option = Clear(worker, candidate, mask);
    if (!option.possible()) continue;
    Room at_mask = reachable;
    at_mask.accelerators = mask | (reachable.accelerators & ~worker.held);
    const auto fit = FitTask(shape_, at_mask, candidate, scope_);
    option.fit_cost = fit ? fit->cost : 0;
    if (scope_ == Scope::kGuaranteed) {
      option.own_splits = Splits(worker.share.accelerators, first, size);
    }
    if (option.BetterThan(worker.best)) worker.best = std::move(option);
  }
}

void VictimPlanner::UpdateScattered(std::size_t index, const Room& reachable) {
  WorkerPlan& worker = workers_[index];
  const std::uint32_t count = shape_.accelerators.value();
  if (CountBits(reachable.accelerators) < count) return;
  if (scope_ == Scope::kGuaranteed) {
    const AcceleratorMask own = reachable.accelerators;
    const AcceleratorMask mask = ScatteredAccelerators(own, count);
    worker.best = Clear(worker, candidates_.list[index], mask);
    worker.best.own_splits = static_cast<std::uint32_t>(
        std::bit_width(LargestFreeBlock(own)) - std::bit_width(LargestFreeBlock(own & ~mask)));
    return;
  }
  // Free accelerators first, then those of the cheapest gangs.
  AcceleratorMask pool = reachable.accelerators & ~worker.held;
  for (const GangPart& part : worker.parts) {
    if (CountBits(pool) >= count) break;
    if (!chosen_[part.gang]) pool |= part.accelerators & reachable.accelerators;
  }
  const AcceleratorMask free = pool & ~worker.held;
  AcceleratorMask mask = ScatteredAccelerators(free, std::min(count, CountBits(free)));
  mask |= ScatteredAccelerators(pool & ~free, count - CountBits(mask));
  worker.best = Clear(worker, candidates_.list[index], mask);
}

// What the job could have on a worker if all borrowers left; nothing when no task fits there.
std::optional<Room> VictimPlanner::ReachableRoom(std::size_t index) const {
  const WorkerPlan& worker = workers_[index];
  const Candidate& candidate = candidates_.list[index];
  if (!Usable(candidate, scope_) || (candidate.avoided && !use_avoided_)) return std::nullopt;
  if (scope_ == Scope::kGuaranteed && !worker.share.HoldsTask(shape_)) return std::nullopt;
  WorkerPlan emptied;
  emptied.cores = worker.cores;
  emptied.memory = worker.memory;
  emptied.slots = worker.slots;
  emptied.held = worker.held;
  for (const GangPart& part : worker.parts) {
    if (!chosen_[part.gang]) emptied.GiveBack(part);
  }
  Room reachable = RoomOf(emptied, candidate);
  if (!reachable.HoldsTask(shape_)) return std::nullopt;
  if (scope_ == Scope::kGuaranteed) reachable.accelerators &= candidate.own;
  return reachable;
}

// Spares the search for victims when even all of them would not make enough room.
bool VictimPlanner::FitsWithoutBorrowers() const {
  std::uint32_t fitting = 0;
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    std::optional<Room> room = ReachableRoom(i);
    if (!room) continue;
    if (scope_ == Scope::kGuaranteed) {
      const Room& share = workers_[i].share;
      room->cores = std::min(room->cores, share.cores);
      room->memory = std::min(room->memory, share.memory);
      room->slots = std::min(room->slots, share.slots);
    }
    while (fitting < shape_.tasks) {
      const auto mask = FirstFitMask(shape_, *room);
      if (!mask) break;
      room->Take(shape_, *mask);
      ++fitting;
    }
    if (fitting == shape_.tasks) return true;
  }
  return false;
}

void VictimPlanner::Update(std::size_t index) {
  WorkerPlan& worker = workers_[index];
  worker.best = {};
  const std::optional<Room> reachable = ReachableRoom(index);
  if (!reachable) return;
  if (shape_.accelerators.value() == 0) {
    worker.best = Clear(worker, candidates_.list[index], 0);
  } else if (shape_.adjacent) {
    UpdateRun(index, *reachable);
  } else {
    UpdateScattered(index, *reachable);
  }
}

std::size_t VictimPlanner::Cheapest() const {
  std::size_t best = 0;
  for (std::size_t i = 1; i < workers_.size(); ++i) {
    const Option& option = workers_[i].best;
    const bool worse = workers_[best].best.BetterThan(option);
    if (worse || !option.possible()) continue;
    // Among equals, racks that the gang is on already come first.
    const bool nearer =
        racks_used_[candidates_.list[i].rack] && !racks_used_[candidates_.list[best].rack];
    if (nearer || option.BetterThan(workers_[best].best)) best = i;
  }
  return best;
}

void VictimPlanner::Commit(std::size_t index, Plan& plan) {
  const Option option = std::move(workers_[index].best);
  std::vector<std::size_t> changed = {index};
  for (const std::size_t number : option.gangs) {
    const Gang& gang = gangs_[number];
    chosen_[number] = true;
    plan.work_lost += gang.work;
    for (const std::size_t i : gang.workers) {
      for (const GangPart& part : workers_[i].parts) {
        if (part.gang == number) workers_[i].GiveBack(part);
      }
      plan.victims.push_back(
          {candidates_.list[i].worker->id, gang.any_task->attempt, gang.any_task->job});
      changed.push_back(i);
    }
  }
  workers_[index].Take({0, shape_.cores.value(), shape_.memory.value(), 1, option.mask});
  workers_[index].share.Take(shape_, option.mask);
  racks_used_[candidates_.list[index].rack] = true;
  plan.tasks.push_back({index, option.mask});
  plan.cost += option.fit_cost;
  for (const std::size_t i : changed) Update(i);
}

}  // namespace

std::optional<Plan> PlanWithVictims(const PlacementInput& input, const Candidates& candidates,
                                    const GangTable& gangs, Scope scope, bool use_avoided) {
  if (candidates.list.empty()) return std::nullopt;
  return VictimPlanner(input, candidates, gangs, scope, use_avoided).Run(gangs);
}

}  // namespace basilspring::internal
