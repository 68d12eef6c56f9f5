#ifndef BASILSPRING_VERSION_GUARANTEE_H_
#define BASILSPRING_VERSION_GUARANTEE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilspring/ids.h"
#include "basilspring/request/cell_state.h"

namespace basilspring {

/// What a workspace is promised in one data centre: a number of shapes at each level. Runs are
/// aligned accelerator runs on one worker; worker and rack stand for all accelerators of a whole
/// worker or rack.
struct Guarantee {
  WorkspaceId workspace;
  std::uint32_t run1 = 0;
  std::uint32_t run2 = 0;
  std::uint32_t run4 = 0;
  std::uint32_t run8 = 0;
  std::uint32_t worker = 0;
  std::uint32_t rack = 0;

  auto operator<=>(const Guarantee&) const = default;
};

/// One rack of the inventory that guarantees are packed into.
struct RackInventory {
  RackId rack;
  struct Worker {
    WorkerId id;
    std::uint32_t accelerators = 0;
  };
  std::vector<Worker> workers;
};

/// A part of a guarantee that found no room.
struct Shortfall {
  WorkspaceId workspace;
  std::string level;
  std::uint32_t missing = 0;
};

struct BindingResult {
  std::vector<BoundRun> runs;
  /// Empty when all guarantees fit together.
  std::vector<Shortfall> shortfalls;
};

/// Packs all guarantees into an empty inventory: racks first, then workers, then runs from large to
/// small. With nested aligned levels this order packs whenever a packing exists.
BindingResult PackGuarantees(const std::vector<RackInventory>& racks,
                             const std::vector<Guarantee>& guarantees);

/// Binds the guarantees to the workers of a cell. Runs of `cell.bound_runs()` that still stand for
/// a guarantee are kept where possible, above all those with guaranteed tasks on them; the rest
/// move. Workers that are not in full service are left out, and their racks don't count as whole.
BindingResult BindGuarantees(const CellState& cell, const std::vector<Guarantee>& guarantees);

/// Makes `runs` the bound runs of the cell and sets for each task whether it is borrowed. A gang is
/// guaranteed only when each of its tasks holds accelerators of its workspace's own runs and their
/// share of the worker's cores, memory and slots; otherwise all of it is borrowed. To be called
/// whenever bound runs or workers change, and after a rebuild.
void ApplyBinding(CellState& cell, std::vector<BoundRun> runs);

/// "workspace quotes: 2 of run8 don't fit" and so on, for operators.
std::string DescribeShortfalls(const std::vector<Shortfall>& shortfalls);

}  // namespace basilspring

#endif  // BASILSPRING_VERSION_GUARANTEE_H_
