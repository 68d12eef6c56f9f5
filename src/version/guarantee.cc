#include "basilspring/version/guarantee.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "request/accelerator_runs.h"
#include "request/placement_plan.h"
#include "version/guarantee_packer.h"

namespace basilspring {
namespace {

using internal::GuaranteePacker;
using internal::PackedRack;
using internal::PackedWorker;
using internal::PackOrder;
using internal::PreviousRun;

struct Inventory {
  std::vector<PackedWorker> workers;
  std::vector<PackedRack> racks;
  std::vector<PreviousRun> previous_runs;
};

BindingResult PackWithFallbacks(const Inventory& inventory,
                                const std::vector<Guarantee>& guarantees) {
  const auto pack = [&](PackOrder order) {
    return GuaranteePacker(inventory.workers, inventory.racks, inventory.previous_runs, order)
        .Pack(guarantees);
  };
  BindingResult keeping_runs = pack(PackOrder::kKeepPreviousRuns);
  if (keeping_runs.shortfalls.empty()) return keeping_runs;
  BindingResult best_fit = pack(PackOrder::kBestFit);
  const auto bound = [](const BindingResult& result) {
    std::uint32_t accelerators = 0;
    for (const BoundRun& run : result.runs) accelerators += internal::CountBits(run.accelerators);
    return accelerators;
  };
  const bool better = best_fit.shortfalls.empty() || bound(best_fit) > bound(keeping_runs);
  if (!best_fit.shortfalls.empty() && !inventory.previous_runs.empty()) {
    // Packing without the previous runs repeats the decision by which the guarantees were accepted,
    // so it succeeds if the inventory is the same.
    BindingResult without_previous =
        PackWithFallbacks({inventory.workers, inventory.racks, {}}, guarantees);
    if (without_previous.shortfalls.empty()) return without_previous;
  }
  return better ? best_fit : keeping_runs;
}

bool InUse(const BoundRun& run, const WorkerState& worker) {
  return std::any_of(worker.tasks.begin(), worker.tasks.end(), [&](const PlacedTask& task) {
    return !task.borrowed && (task.accelerators & run.accelerators) != 0 &&
           task.workspace == run.workspace;
  });
}

// Sorts racks and workers in the order in which a cell lists its workers, so that PackGuarantees
// and BindGuarantees break ties the same way.
std::vector<RackInventory> SortById(std::vector<RackInventory> racks) {
  std::erase_if(racks, [](const RackInventory& rack) { return rack.workers.empty(); });
  for (RackInventory& rack : racks) {
    std::sort(rack.workers.begin(), rack.workers.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
  }
  std::sort(racks.begin(), racks.end(), [](const RackInventory& a, const RackInventory& b) {
    return a.workers.front().id < b.workers.front().id;
  });
  return racks;
}

Inventory InventoryOf(const CellState& cell) {
  Inventory inventory;
  std::unordered_map<std::string_view, std::size_t> racks;
  std::unordered_map<std::string_view, std::size_t> workers;
  for (const auto& [id, worker] : cell.workers()) {
    const std::size_t rack = racks.try_emplace(worker.rack.value(), racks.size()).first->second;
    if (rack == inventory.racks.size()) inventory.racks.emplace_back();
    if (!InFullService(worker)) {
      inventory.racks[rack].complete = false;
      continue;
    }
    workers.emplace(id.value(), inventory.workers.size());
    inventory.racks[rack].workers.push_back(inventory.workers.size());
    inventory.workers.push_back(
        {id, rack, internal::AllAccelerators(worker.capacity.accelerators.value())});
  }
  for (const BoundRun& run : cell.bound_runs()) {
    const auto it = workers.find(run.worker.value());
    if (it == workers.end() || run.accelerators == 0) continue;
    if ((run.accelerators & ~inventory.workers[it->second].all) != 0) continue;
    inventory.previous_runs.push_back(
        {run.workspace, it->second, run.accelerators, InUse(run, *cell.Find(run.worker))});
  }
  return inventory;
}

}  // namespace

BindingResult PackGuarantees(const std::vector<RackInventory>& racks,
                             const std::vector<Guarantee>& guarantees) {
  Inventory inventory;
  for (const RackInventory& rack : SortById(racks)) {
    PackedRack packed;
    for (const RackInventory::Worker& worker : rack.workers) {
      packed.workers.push_back(inventory.workers.size());
      inventory.workers.push_back(
          {worker.id, inventory.racks.size(), internal::AllAccelerators(worker.accelerators)});
    }
    inventory.racks.push_back(std::move(packed));
  }
  return PackWithFallbacks(inventory, guarantees);
}

BindingResult BindGuarantees(const CellState& cell, const std::vector<Guarantee>& guarantees) {
  return PackWithFallbacks(InventoryOf(cell), guarantees);
}

std::string DescribeShortfalls(const std::vector<Shortfall>& shortfalls) {
  std::string text;
  for (const Shortfall& shortfall : shortfalls) {
    if (!text.empty()) text += "; ";
    text +=
        fmt::format("workspace {}: {} of {} {} fit", shortfall.workspace.value(), shortfall.missing,
                    shortfall.level, shortfall.missing == 1 ? "doesn't" : "don't");
  }
  return text;
}

}  // namespace basilspring
