#include "basilspring/fleet/placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <set>
#include <tuple>

namespace basilspring::fleet {
namespace {

/// Returns how many more tasks of the step the worker may run by `max_per_worker`.
std::int64_t PerWorkerLimit(const StepSpec& step, const Candidate& candidate) {
  if (step.max_per_worker <= 0) return std::numeric_limits<std::int64_t>::max();
  return std::max(0, step.max_per_worker - candidate.same_step_tasks);
}

/// Returns how many tasks of the step fit into `free` on the worker.
std::int64_t Slots(const StepSpec& step, const Candidate& candidate, const Resources& free) {
  if (!IsEligible(step, candidate)) return 0;
  return std::min(step.needs.CountIn(free), PerWorkerLimit(step, candidate));
}

/// Returns the sort key of a worker for one more task: workers that are not suspect first, then
/// those in the rack of the data, then the tightest fit, so that whole workers stay free for wide
/// tasks.
auto PreferenceKey(const StepSpec& step, const Candidate& candidate, const Resources& free) {
  const bool away = !step.data_rack.empty() && candidate.rack != step.data_rack;
  Resources left = free;
  left -= step.needs;
  return std::make_tuple(candidate.suspect, away, left.accelerators, left.milli_cores);
}

using CandidateSet = std::vector<std::size_t>;

CandidateSet AllOf(const std::vector<Candidate>& candidates) {
  CandidateSet all(candidates.size());
  std::iota(all.begin(), all.end(), std::size_t{0});
  return all;
}

/// Assigns each task to the most preferred worker with enough free capacity.
Placement FillGreedily(const StepSpec& step, std::int32_t count,
                       const std::vector<Candidate>& candidates, const CandidateSet& allowed) {
  Placement placement;
  std::vector<Resources> free;
  std::vector<std::int64_t> placed(candidates.size(), 0);
  free.reserve(candidates.size());
  for (const Candidate& candidate : candidates) free.push_back(candidate.free);
  while (static_cast<std::int32_t>(placement.workers.size()) < count) {
    std::optional<std::size_t> best;
    for (const std::size_t i : allowed) {
      if (!step.needs.FitsIn(free[i]) || !IsEligible(step, candidates[i]) ||
          placed[i] >= PerWorkerLimit(step, candidates[i])) {
        continue;
      }
      if (!best || PreferenceKey(step, candidates[i], free[i]) <
                       PreferenceKey(step, candidates[*best], free[*best])) {
        best = i;
      }
    }
    if (!best) break;
    free[*best] -= step.needs;
    ++placed[*best];
    placement.workers.push_back(*best);
  }
  return placement;
}

/// Returns whether the workers of the set could hold `count` tasks if they were empty.
bool SetCanHold(const StepSpec& step, std::int32_t count, const std::vector<Candidate>& candidates,
                const CandidateSet& set) {
  std::int64_t slots = 0;
  for (const std::size_t i : set) {
    slots += Slots(step, candidates[i], candidates[i].capacity);
    if (slots >= count) return true;
  }
  return false;
}

std::int64_t FreeAccelerators(const std::vector<Candidate>& candidates, const CandidateSet& set) {
  std::int64_t free = 0;
  for (const std::size_t i : set) free += candidates[i].free.accelerators;
  return free;
}

/// Returns the sets of workers to try, in order. Tasks take several times as long away from the
/// rack of their data, or spread over racks if they prefer a single one. A step therefore waits for
/// a rack that could hold it, and uses other workers only if there is no such rack.
std::vector<CandidateSet> SetsInOrder(const StepSpec& step, std::int32_t count,
                                      const std::vector<Candidate>& candidates) {
  std::map<std::string_view, CandidateSet> racks;
  for (std::size_t i = 0; i < candidates.size(); ++i) racks[candidates[i].rack].push_back(i);
  const std::int32_t together = step.gang || step.same_rack ? count : 1;
  const auto data = racks.find(step.data_rack);
  if (!step.data_rack.empty() && data != racks.end() &&
      SetCanHold(step, together, candidates, data->second)) {
    return {data->second};
  }
  std::vector<CandidateSet> sets;
  if (step.same_rack && count > 1) {
    for (auto& [rack, members] : racks) {
      if (SetCanHold(step, together, candidates, members)) sets.push_back(std::move(members));
    }
    std::stable_sort(sets.begin(), sets.end(), [&](const auto& left, const auto& right) {
      return FreeAccelerators(candidates, left) < FreeAccelerators(candidates, right);
    });
  }
  if (sets.empty()) sets.push_back(AllOf(candidates));
  return sets;
}

/// The state of one worker in a plan with victims.
struct WorkerPlan {
  Resources free;
  std::int64_t placed = 0;
  std::size_t next_victim = 0;
};

/// Returns the work lost by freeing capacity for one more task on the worker, and the index after
/// the last victim needed for it; std::nullopt if the task cannot be placed there.
std::optional<std::pair<double, std::size_t>> CostOfNextTask(const StepSpec& step,
                                                             const Candidate& candidate,
                                                             const WorkerPlan& plan,
                                                             const std::set<std::size_t>& chosen) {
  if (!IsEligible(step, candidate) || plan.placed >= PerWorkerLimit(step, candidate)) {
    return std::nullopt;
  }
  Resources free = plan.free;
  double cost = 0;
  std::size_t used = plan.next_victim;
  while (!step.needs.FitsIn(free)) {
    if (used == candidate.victims.size()) return std::nullopt;
    const Victim& victim = candidate.victims[used++];
    free += victim.freed;
    if (chosen.count(victim.handle) == 0) cost += victim.lost_work;
  }
  return std::make_pair(cost, used);
}

}  // namespace

bool IsEligible(const StepSpec& step, const Candidate& candidate) {
  if (!step.needs.FitsIn(candidate.capacity)) return false;
  if (step.required_label.empty()) return true;
  const auto* labels = candidate.labels;
  return labels != nullptr &&
         std::find(labels->begin(), labels->end(), step.required_label) != labels->end();
}

std::optional<Placement> PlaceNow(const StepSpec& step, std::int32_t count,
                                  const std::vector<Candidate>& candidates, bool any_rack) {
  std::optional<Placement> best;
  std::vector<CandidateSet> sets = SetsInOrder(step, count, candidates);
  if (any_rack) sets.push_back(AllOf(candidates));
  for (const CandidateSet& set : sets) {
    Placement placement = FillGreedily(step, count, candidates, set);
    if (static_cast<std::int32_t>(placement.workers.size()) == count) return placement;
    if (step.gang || placement.workers.empty()) continue;
    if (!best || placement.workers.size() > best->workers.size()) best = std::move(placement);
  }
  return best;
}

bool IsInPreferredRack(const StepSpec& step, const std::vector<Candidate>& candidates,
                       const Placement& placement) {
  std::string_view rack = step.data_rack;
  for (const std::size_t i : placement.workers) {
    if (rack.empty() && step.same_rack) rack = candidates[i].rack;
    if (!rack.empty() && candidates[i].rack != rack) return false;
  }
  return true;
}

std::optional<Placement> PlaceWithVictims(const StepSpec& step, std::int32_t count,
                                          const std::vector<Candidate>& candidates, bool any_rack) {
  std::optional<Placement> best;
  std::vector<CandidateSet> sets = SetsInOrder(step, count, candidates);
  const std::size_t preferred_sets = sets.size();
  if (any_rack) sets.push_back(AllOf(candidates));
  for (std::size_t index = 0; index < sets.size(); ++index) {
    if (index == preferred_sets && best) break;
    const CandidateSet& set = sets[index];
    Placement placement;
    std::vector<WorkerPlan> plans(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) plans[i].free = candidates[i].free;
    std::set<std::size_t> chosen;
    while (static_cast<std::int32_t>(placement.workers.size()) < count) {
      std::optional<std::size_t> cheapest;
      std::pair<double, std::size_t> cost;
      for (const std::size_t i : set) {
        const auto next = CostOfNextTask(step, candidates[i], plans[i], chosen);
        if (!next) continue;
        const auto rank = [&](std::size_t k, double lost) {
          return std::make_pair(lost, PreferenceKey(step, candidates[k], plans[k].free));
        };
        if (!cheapest || rank(i, next->first) < rank(*cheapest, cost.first)) {
          cheapest = i;
          cost = *next;
        }
      }
      if (!cheapest) break;
      WorkerPlan& plan = plans[*cheapest];
      for (; plan.next_victim < cost.second; ++plan.next_victim) {
        const Victim& victim = candidates[*cheapest].victims[plan.next_victim];
        plan.free += victim.freed;
        if (chosen.insert(victim.handle).second) {
          placement.victims.push_back(victim.handle);
          placement.lost_work += victim.lost_work;
        }
      }
      plan.free -= step.needs;
      ++plan.placed;
      placement.workers.push_back(*cheapest);
    }
    if (static_cast<std::int32_t>(placement.workers.size()) < count) continue;
    if (!best || placement.lost_work < best->lost_work) best = std::move(placement);
  }
  return best;
}

}  // namespace basilspring::fleet
