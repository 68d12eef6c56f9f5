#ifndef BASILSPRING_VERSION_GUARANTEE_H_
#define BASILSPRING_VERSION_GUARANTEE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilspring/ids.h"
#include "basilspring/request/cell_state.h"

namespace basilspring {

/// The guarantee of a workspace in one data centre: a number of shapes at each level. Runs are
/// aligned accelerator runs on one worker; a worker or rack is all accelerators of one worker or
/// rack.
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

/// One rack of an inventory, whose accelerators guarantees are packed into.
struct RackInventory {
  RackId rack;
  struct Worker {
    WorkerId id;
    std::uint32_t accelerators = 0;
  };
  std::vector<Worker> workers;
};

/// The part of a guarantee that doesn't fit: the number of missing shapes of one level.
struct Shortfall {
  WorkspaceId workspace;
  std::string level;
  std::uint32_t missing = 0;
};

struct BindingResult {
  std::vector<BoundRun> runs;
  /// Empty if all guarantees fit together.
  std::vector<Shortfall> shortfalls;
};

/// Packs all guarantees into an empty inventory: racks first, then workers, then runs from large to
/// small. Because the levels are nested and aligned, this order succeeds whenever a packing exists.
BindingResult PackGuarantees(const std::vector<RackInventory>& racks,
                             const std::vector<Guarantee>& guarantees);

/// Binds the guarantees to the workers of a cell. Runs of `cell.bound_runs()` that still belong to
/// a guarantee are kept where possible, with preference for those with guaranteed tasks on them;
/// the others move. Workers that are not in full service are left out, and their racks can't be
/// bound as a whole.
BindingResult BindGuarantees(const CellState& cell, const std::vector<Guarantee>& guarantees);

/// Makes `runs` the bound runs of the cell and sets for each task whether it is borrowed. A gang is
/// guaranteed only if each of its tasks is within its workspace's bound runs and within their share
/// of the worker's cores, memory and slots; otherwise the whole gang is borrowed. Must be called
/// whenever bound runs or workers change, and after a rebuild.
void ApplyBinding(CellState& cell, std::vector<BoundRun> runs);

/// Formats shortfalls for operators, such as "workspace quotes: 2 of run8 don't fit".
std::string DescribeShortfalls(const std::vector<Shortfall>& shortfalls);

}  // namespace basilspring

#endif  // BASILSPRING_VERSION_GUARANTEE_H_
