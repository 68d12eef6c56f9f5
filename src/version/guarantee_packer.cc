#include "version/guarantee_packer.h"

#include <algorithm>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "request/accelerator_runs.h"

namespace basilspring::internal {
namespace {

// Binds the shapes of one level for all workspaces and returns how many are missing for each.
// Shapes that can stay on their previous runs are bound first, so that no other workspace's new
// shape displaces them. `bind` returns false if no capacity is left.
template <typename BindOne>
std::vector<std::uint32_t> BindShapes(const std::vector<Guarantee>& guarantees,
                                      std::uint32_t Guarantee::*count, BindOne bind) {
  std::vector<std::uint32_t> missing;
  missing.reserve(guarantees.size());
  for (const Guarantee& guarantee : guarantees) missing.push_back(guarantee.*count);
  for (const bool only_previous : {true, false}) {
    for (std::size_t i = 0; i < guarantees.size(); ++i) {
      while (missing[i] > 0 && bind(guarantees[i].workspace, only_previous)) --missing[i];
    }
  }
  return missing;
}

void AddShortfalls(const std::vector<Guarantee>& guarantees, std::string_view level,
                   const std::vector<std::uint32_t>& missing, BindingResult& result) {
  for (std::size_t i = 0; i < guarantees.size(); ++i) {
    if (missing[i] == 0) continue;
    result.shortfalls.push_back({guarantees[i].workspace, std::string(level), missing[i]});
  }
}

// Displacement and size of a possible binding, in the order given by PackOrder; the lowest is
// chosen.
using Rank = std::pair<int, std::uint32_t>;

Rank RankOf(PackOrder order, int displacement, std::uint32_t size) {
  if (order == PackOrder::kKeepPreviousRuns) return {displacement, size};
  return {static_cast<int>(size), static_cast<std::uint32_t>(displacement + (1 << 20))};
}

}  // namespace

GuaranteePacker::GuaranteePacker(std::vector<PackedWorker> workers, std::vector<PackedRack> racks,
                                 std::vector<PreviousRun> previous_runs, PackOrder order)
    : workers_(std::move(workers)), racks_(std::move(racks)), order_(order) {
  free_blocks_.reserve(workers_.size());
  for (PackedWorker& worker : workers_) {
    worker.unbound = worker.all;
    free_blocks_.push_back(FreeBlocks(worker.all));
  }
  std::stable_sort(
      previous_runs.begin(), previous_runs.end(),
      [](const PreviousRun& a, const PreviousRun& b) { return a.in_use && !b.in_use; });
  for (const PreviousRun& run : previous_runs) {
    PackedWorker& worker = workers_[run.worker];
    worker.previous_runs |= run.accelerators;
    if (run.in_use) worker.previous_runs_in_use |= run.accelerators;
    WorkspacePreviousRuns& previous = previous_runs_[run.workspace];
    previous.runs.push_back(run);
    previous.by_worker.resize(workers_.size());
    previous.by_worker[run.worker] |= run.accelerators;
  }
}

BindingResult GuaranteePacker::Pack(const std::vector<Guarantee>& guarantees) {
  PackRacks(guarantees);
  PackWorkers(guarantees);
  PackRuns(guarantees, "run8", 8, &Guarantee::run8);
  PackRuns(guarantees, "run4", 4, &Guarantee::run4);
  PackRuns(guarantees, "run2", 2, &Guarantee::run2);
  PackRuns(guarantees, "run1", 1, &Guarantee::run1);
  return std::move(result_);
}

void GuaranteePacker::PackRacks(const std::vector<Guarantee>& guarantees) {
  AddShortfalls(guarantees, "rack",
                BindShapes(guarantees, &Guarantee::rack,
                           [this](const WorkspaceId& workspace, bool only_previous) {
                             // The previous rack may be larger than needed, so it is preferred only
                             // if capacity isn't scarce.
                             if (only_previous && order_ == PackOrder::kBestFit) return false;
                             return BindBestRack(workspace, only_previous);
                           }),
                result_);
}

void GuaranteePacker::PackWorkers(const std::vector<Guarantee>& guarantees) {
  AddShortfalls(guarantees, "worker",
                BindShapes(guarantees, &Guarantee::worker,
                           [this](const WorkspaceId& workspace, bool only_previous) {
                             if (only_previous && order_ == PackOrder::kBestFit) return false;
                             return BindBestWorker(workspace, only_previous);
                           }),
                result_);
}

void GuaranteePacker::PackRuns(const std::vector<Guarantee>& guarantees, std::string_view level,
                               std::uint32_t size, std::uint32_t Guarantee::*count) {
  AddShortfalls(guarantees, level,
                BindShapes(guarantees, count,
                           [this, size](const WorkspaceId& workspace, bool only_previous) {
                             return only_previous ? RebindPreviousRun(workspace, size)
                                                  : BindBestRun(workspace, size);
                           }),
                result_);
}

bool GuaranteePacker::BindBestRack(const WorkspaceId& workspace, bool only_previous) {
  const std::vector<AcceleratorMask>* previous_by_worker = PreviousByWorker(workspace);
  if (only_previous && previous_by_worker == nullptr) return false;
  const PackedRack* best = nullptr;
  Rank best_rank;
  for (const PackedRack& rack : racks_) {
    std::uint32_t size = 0;
    int displacement = 0;
    bool fits = rack.complete;
    for (const std::size_t i : rack.workers) {
      fits =
          fits && IsUnbound(i) && (!only_previous || (*previous_by_worker)[i] == workers_[i].all);
      size += CountBits(workers_[i].all);
      displacement += Displacement(previous_by_worker, i, workers_[i].all);
    }
    if (!fits || size == 0) continue;
    const Rank rank = RankOf(order_, displacement, size);
    if (best == nullptr || rank < best_rank) std::tie(best, best_rank) = std::pair(&rack, rank);
  }
  if (best == nullptr) return false;
  for (const std::size_t i : best->workers) Bind(workspace, i, workers_[i].all);
  return true;
}

bool GuaranteePacker::BindBestWorker(const WorkspaceId& workspace, bool only_previous) {
  const std::vector<AcceleratorMask>* previous_by_worker = PreviousByWorker(workspace);
  if (only_previous && previous_by_worker == nullptr) return false;
  std::optional<std::size_t> best;
  Rank best_rank;
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    const AcceleratorMask all = workers_[i].all;
    if (all == 0 || !IsUnbound(i) || (only_previous && (*previous_by_worker)[i] != all)) continue;
    const Rank rank = RankOf(order_, Displacement(previous_by_worker, i, all), CountBits(all));
    if (!best || rank < best_rank) std::tie(best, best_rank) = std::pair(i, rank);
  }
  if (!best) return false;
  Bind(workspace, *best, workers_[*best].all);
  return true;
}

bool GuaranteePacker::RebindPreviousRun(const WorkspaceId& workspace, std::uint32_t size) {
  const auto previous = previous_runs_.find(workspace);
  if (previous == previous_runs_.end()) return false;
  for (const PreviousRun& run : previous->second.runs) {
    if (CountBits(run.accelerators) != size) continue;
    const AcceleratorMask unbound = workers_[run.worker].unbound;
    if ((unbound & run.accelerators) != run.accelerators) continue;
    const auto first = static_cast<std::uint32_t>(std::countr_zero(run.accelerators));
    if (RunMask(first & ~(size - 1), size) != run.accelerators) continue;
    Bind(workspace, run.worker, run.accelerators);
    return true;
  }
  return false;
}

bool GuaranteePacker::BindBestRun(const WorkspaceId& workspace, std::uint32_t size) {
  const std::vector<AcceleratorMask>* previous_by_worker = PreviousByWorker(workspace);
  std::optional<std::pair<std::size_t, AcceleratorMask>> best;
  Rank best_rank;
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    if (workers_[i].unbound == 0) continue;
    for (const FreeBlock& block : free_blocks_[i]) {
      if (block.size < size) continue;
      // The parts of one block differ only in the previous runs that they displace.
      const bool uniform = (workers_[i].previous_runs & RunMask(block.first, block.size)) == 0;
      for (std::uint32_t at = 0; at < block.size; at += size) {
        const AcceleratorMask mask = RunMask(block.first + at, size);
        const Rank rank = RankOf(order_, Displacement(previous_by_worker, i, mask), block.size);
        if (!best || rank < best_rank) {
          best = std::pair(i, mask);
          best_rank = rank;
        }
        if (uniform) break;
      }
    }
  }
  if (!best) return false;
  Bind(workspace, best->first, best->second);
  return true;
}

int GuaranteePacker::Displacement(const std::vector<AcceleratorMask>* previous_by_worker,
                                  std::size_t worker, AcceleratorMask mask) const {
  const AcceleratorMask old = workers_[worker].previous_runs & mask;
  if (old == 0) return 0;
  const AcceleratorMask own_previous =
      previous_by_worker == nullptr ? 0 : (*previous_by_worker)[worker];
  const AcceleratorMask in_use = workers_[worker].previous_runs_in_use & mask;
  const auto bits = [](AcceleratorMask m) { return static_cast<int>(CountBits(m)); };
  // A previous run in use counts four times as much as an idle one, because its tasks would become
  // borrowed.
  return bits(old & ~own_previous) + 3 * bits(in_use & ~own_previous) - bits(old & own_previous) -
         3 * bits(in_use & own_previous);
}

const std::vector<AcceleratorMask>* GuaranteePacker::PreviousByWorker(
    const WorkspaceId& workspace) const {
  const auto it = previous_runs_.find(workspace);
  return it == previous_runs_.end() ? nullptr : &it->second.by_worker;
}

bool GuaranteePacker::IsUnbound(std::size_t worker) const {
  return workers_[worker].unbound == workers_[worker].all;
}

void GuaranteePacker::Bind(const WorkspaceId& workspace, std::size_t worker, AcceleratorMask mask) {
  if (mask == 0) return;
  workers_[worker].unbound &= ~mask;
  free_blocks_[worker] = FreeBlocks(workers_[worker].unbound);
  result_.runs.push_back({workspace, workers_[worker].id, mask});
}

}  // namespace basilspring::internal
