#include "basilspring/request/placement.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <bit>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "request/accelerator_runs.h"
#include "request/placement_plan.h"

namespace basilspring {
namespace {

using internal::AllAccelerators;
using internal::Candidate;
using internal::Candidates;
using internal::CountBits;
using internal::Exclusion;
using internal::Plan;
using internal::ResourceAmounts;
using internal::Scope;

// Limit on the lines such as "w3: takes no new work"; more lines don't help an operator.
constexpr std::size_t kMaxCandidateLines = 32;

bool Contains(const std::vector<WorkerId>& ids, const WorkerId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

Exclusion FindExclusion(const PlacementInput& input, const WorkerState& worker) {
  const GangShape& shape = input.job->shape;
  if (!worker.accepting) return Exclusion::kNotAccepting;
  if (worker.quarantined) return Exclusion::kQuarantined;
  if (worker.capacity.cores < shape.cores || worker.capacity.memory < shape.memory ||
      worker.capacity.accelerators < shape.accelerators) {
    return Exclusion::kTooSmall;
  }
  if (input.policy == PlacementPolicy::kGuarantees && Contains(input.reserved, worker.id)) {
    return Exclusion::kReserved;
  }
  return Exclusion::kNone;
}

// The resources that belong to the workspace's bound accelerators, minus those that its guaranteed
// tasks occupy.
ResourceAmounts RemainingShare(const Candidate& candidate, const WorkspaceId& workspace) {
  ResourceAmounts share = internal::ShareOf(candidate.worker->capacity, candidate.own_bound);
  for (const PlacedTask& task : candidate.worker->tasks) {
    if (!task.borrowed && task.workspace == workspace) {
      share.Allocate(task.shape, task.accelerators);
    }
  }
  return share;
}

Candidates FilterWorkers(const PlacementInput& input) {
  Candidates candidates;
  candidates.list.reserve(input.cell->workers().size());
  std::unordered_map<std::string_view, std::size_t> racks;
  std::unordered_map<std::string_view, std::size_t> index;
  for (const auto& [id, worker] : input.cell->workers()) {
    Candidate candidate;
    candidate.worker = &worker;
    candidate.exclusion = FindExclusion(input, worker);
    candidate.avoided = Contains(input.avoid, id);
    candidate.free = {worker.free_cores.value(), worker.free_memory.value(),
                      internal::FreeSlots(worker, worker.tasks.size()), worker.free_accelerators};
    candidate.rack = racks.try_emplace(worker.rack.value(), racks.size()).first->second;
    if (candidate.rack == candidates.racks.size()) candidates.racks.emplace_back();
    candidates.racks[candidate.rack].push_back(candidates.list.size());
    index.emplace(id.value(), candidates.list.size());
    candidates.list.push_back(candidate);
  }
  if (input.policy == PlacementPolicy::kFirstFit) return candidates;
  for (const BoundRun& run : input.cell->bound_runs()) {
    const auto it = index.find(run.worker.value());
    if (it == index.end()) continue;
    Candidate& candidate = candidates.list[it->second];
    (run.workspace == input.job->workspace ? candidate.own_bound : candidate.others_bound) |=
        run.accelerators;
  }
  for (Candidate& candidate : candidates.list) {
    if (candidate.own_bound != 0) candidate.share = RemainingShare(candidate, input.job->workspace);
  }
  return candidates;
}

struct ScoredPlan {
  Plan plan;
  bool guaranteed = false;
};

// Free capacity is tried before preemption: a job that can start at once disturbs no other job, and
// its workspace can still reclaim its guarantee later.
std::optional<ScoredPlan> PlanByStages(const PlacementInput& input, const Candidates& candidates,
                                       std::optional<internal::GangTable>& gangs,
                                       bool use_avoided) {
  const GangShape& shape = input.job->shape;
  const bool holds_guarantee =
      shape.accelerators.value() > 0 &&
      std::any_of(candidates.list.begin(), candidates.list.end(),
                  [](const Candidate& candidate) { return candidate.own_bound != 0; });
  if (!gangs && (holds_guarantee || input.may_preempt)) {
    gangs = internal::CollectGangs(candidates, input.now);
  }
  std::optional<Plan> guaranteed;
  if (holds_guarantee) {
    guaranteed =
        internal::PlanWithVictims(input, candidates, *gangs, Scope::kGuaranteed, use_avoided);
    if (guaranteed && guaranteed->victims.empty()) return ScoredPlan{*std::move(guaranteed), true};
  }
  std::optional<Plan> plan = internal::PlanInFreeCapacity(shape, candidates, use_avoided);
  if (plan) return ScoredPlan{*std::move(plan), false};
  if (!input.may_preempt) return std::nullopt;
  if (guaranteed) return ScoredPlan{*std::move(guaranteed), true};
  if (input.job->job_class != JobClass::kUrgent) return std::nullopt;
  plan = internal::PlanWithVictims(input, candidates, *gangs, Scope::kAnywhere, use_avoided);
  if (plan) return ScoredPlan{*std::move(plan), false};
  return std::nullopt;
}

std::optional<ScoredPlan> PlanFirstFit(const PlacementInput& input, const Candidates& candidates) {
  ScoredPlan scored;
  for (std::size_t i = 0; i < candidates.list.size(); ++i) {
    Candidate candidate = candidates.list[i];
    if (candidate.exclusion != Exclusion::kNone) continue;
    while (scored.plan.tasks.size() < input.job->shape.tasks) {
      const auto mask = internal::FirstFitMask(input.job->shape, candidate.free);
      if (!mask) break;
      candidate.free.Allocate(input.job->shape, *mask);
      scored.plan.tasks.push_back({i, *mask});
    }
  }
  if (scored.plan.tasks.size() < input.job->shape.tasks) return std::nullopt;
  return scored;
}

std::optional<ScoredPlan> PlanGang(const PlacementInput& input, const Candidates& candidates) {
  if (input.policy == PlacementPolicy::kFirstFit) return PlanFirstFit(input, candidates);
  std::optional<internal::GangTable> gangs;
  std::optional<ScoredPlan> scored = PlanByStages(input, candidates, gangs, false);
  if (!scored && !input.avoid.empty()) scored = PlanByStages(input, candidates, gangs, true);
  return scored;
}

// Turns a plan into a placement and assigns consecutive ranks to tasks of the same worker and rack.
Placed MakePlacement(const PlacementInput& input, const Candidates& candidates, ScoredPlan scored) {
  Placed placed;
  std::stable_sort(scored.plan.tasks.begin(), scored.plan.tasks.end(),
                   [&](const internal::PlannedTask& a, const internal::PlannedTask& b) {
                     return std::pair(candidates.list[a.candidate].rack, a.candidate) <
                            std::pair(candidates.list[b.candidate].rack, b.candidate);
                   });
  std::set<std::size_t> workers;
  std::set<std::size_t> racks;
  std::set<std::string_view> attempts;
  for (const internal::PlannedTask& task : scored.plan.tasks) {
    const Candidate& candidate = candidates.list[task.candidate];
    placed.tasks.push_back({static_cast<std::uint32_t>(placed.tasks.size()), candidate.worker->id,
                            task.mask, !scored.guaranteed});
    workers.insert(task.candidate);
    racks.insert(candidate.rack);
  }
  placed.victims = std::move(scored.plan.victims);
  for (const Victim& victim : placed.victims) attempts.insert(victim.attempt.value());
  placed.score = scored.plan.cost;
  const GangShape& shape = input.job->shape;
  placed.reason = fmt::format(
      "{} of {}: {} x {}{} accelerators on {} workers in {} racks, cost {:.0f}, {} gangs preempted "
      "with {:.0f} accelerator seconds",
      input.policy == PlacementPolicy::kFirstFit ? "first fit"
      : scored.guaranteed                        ? "guaranteed"
                                                 : "borrowed",
      input.job->workspace.value(), shape.tasks, shape.accelerators.value(),
      shape.adjacent ? " adjacent" : "", workers.size(), racks.size(), placed.score,
      attempts.size(), scored.plan.work_lost / 1000);
  return placed;
}

std::string CandidateLine(const Candidate& candidate, const GangShape& shape) {
  const WorkerState& worker = *candidate.worker;
  if (candidate.exclusion != Exclusion::kNone) {
    return fmt::format("{}: {}", worker.id.value(), internal::ExclusionText(candidate.exclusion));
  }
  return fmt::format(
      "{}: free {} cores, {} MB, {} slots, {} accelerators, largest run {}; a task needs {} cores, "
      "{} MB, 1 slot, {}{} accelerators",
      worker.id.value(), candidate.free.cores, candidate.free.memory, candidate.free.slots,
      CountBits(candidate.free.accelerators),
      internal::LargestFreeBlock(candidate.free.accelerators), shape.cores.value(),
      shape.memory.value(), shape.accelerators.value(), shape.adjacent ? " adjacent" : "");
}

NotPlaced ExplainRefusal(const PlacementInput& input, const Candidates& candidates) {
  NotPlaced result;
  const GangShape& shape = input.job->shape;
  if (!CanEverFit(*input.cell, shape, &result.reason)) {
    result.kind = ErrorKind::kNeverFits;
  } else {
    result.reason =
        fmt::format("no room for {} tasks x {}{} accelerators on {} workers{}", shape.tasks,
                    shape.accelerators.value(), shape.adjacent ? " adjacent" : "",
                    candidates.list.size(), input.may_preempt ? ", preemption included" : "");
  }
  for (const Candidate& candidate : candidates.list) {
    if (result.candidates.size() == kMaxCandidateLines) break;
    result.candidates.push_back(CandidateLine(candidate, shape));
  }
  return result;
}

constexpr std::size_t kBlockLevels = 6;
using BlockCounts = std::array<std::uint32_t, kBlockLevels>;

void CountBlocks(AcceleratorMask mask, BlockCounts& blocks) {
  for (const internal::FreeBlock& block : internal::FreeBlocks(mask)) {
    ++blocks[static_cast<std::size_t>(std::countr_zero(block.size))];
  }
}

// The requested runs are those that the free accelerators would form without fragmentation: as many
// of the largest runs as possible, then smaller runs for the rest.
std::uint32_t PlaceableInLargestRuns(std::uint32_t free, BlockCounts free_blocks,
                                     BlockCounts all_blocks) {
  std::uint32_t placeable = 0;
  for (std::size_t level = kBlockLevels; level-- > 0;) {
    const std::uint32_t wanted = std::min(free >> level, all_blocks[level]);
    const std::uint32_t served = std::min(wanted, free_blocks[level]);
    placeable += served << level;
    free -= wanted << level;
    if (level == 0) break;
    // Each block that is not used at this level splits into two of the next level.
    free_blocks[level - 1] += 2 * (free_blocks[level] - served);
    all_blocks[level - 1] += 2 * (all_blocks[level] - wanted);
  }
  return placeable;
}

}  // namespace

PlacementResult PlaceGang(const PlacementInput& input) {
  const Candidates candidates = FilterWorkers(input);
  std::optional<ScoredPlan> scored = PlanGang(input, candidates);
  if (!scored) return ExplainRefusal(input, candidates);
  return MakePlacement(input, candidates, *std::move(scored));
}

bool CanEverFit(const CellState& cell, const GangShape& shape, std::string* reason) {
  std::uint32_t fitting = 0;
  for (const auto& [id, worker] : cell.workers()) {
    ResourceAmounts available{worker.capacity.cores.value(), worker.capacity.memory.value(),
                              worker.capacity.slots.value(),
                              AllAccelerators(worker.capacity.accelerators.value())};
    while (fitting < shape.tasks) {
      const auto mask = internal::FirstFitMask(shape, available);
      if (!mask) break;
      available.Allocate(shape, *mask);
      ++fitting;
    }
    if (fitting == shape.tasks) return true;
  }
  if (reason != nullptr) {
    *reason = fmt::format(
        "{} empty workers hold {} of {} tasks with {} cores, {} MB and {}{} accelerators each",
        cell.workers().size(), fitting, shape.tasks, shape.cores.value(), shape.memory.value(),
        shape.accelerators.value(), shape.adjacent ? " adjacent" : "");
  }
  return false;
}

Fragmentation MeasureFragmentation(const CellState& cell) {
  Fragmentation result;
  // Number of aligned blocks by level (1, 2, 4, 8, 16, 32 accelerators): those that are free, and
  // those that the workers have in total. Each accelerator belongs to one block.
  BlockCounts free_blocks{};
  BlockCounts all_blocks{};
  for (const auto& [id, worker] : cell.workers()) {
    if (!InFullService(worker)) continue;
    result.free += CountBits(worker.free_accelerators);
    result.largest_run =
        std::max(result.largest_run, internal::LargestFreeBlock(worker.free_accelerators));
    CountBlocks(worker.free_accelerators, free_blocks);
    CountBlocks(AllAccelerators(worker.capacity.accelerators.value()), all_blocks);
  }
  if (result.free == 0) return result;
  result.placeable_share =
      static_cast<double>(PlaceableInLargestRuns(result.free, free_blocks, all_blocks)) /
      result.free;
  return result;
}

}  // namespace basilspring
