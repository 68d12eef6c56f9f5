#ifndef BASILSPRING_SRC_VERSION_GUARANTEE_PACKER_H_
#define BASILSPRING_SRC_VERSION_GUARANTEE_PACKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "basilspring/version/guarantee.h"
#include "request/accelerator_runs.h"

namespace basilspring::internal {

/// A run that was bound to a workspace before the packing.
struct PreviousRun {
  WorkspaceId workspace;
  std::size_t worker = 0;
  AcceleratorMask accelerators = 0;
  /// Whether guaranteed tasks of the workspace run on it.
  bool in_use = false;
};

/// A worker of the inventory during the packing.
struct PackedWorker {
  WorkerId id;
  std::size_t rack = 0;
  AcceleratorMask all = 0;
  AcceleratorMask unbound = 0;
  /// Accelerators of previous runs, and of previous runs in use.
  AcceleratorMask previous_runs = 0;
  AcceleratorMask previous_runs_in_use = 0;
};

/// A rack of the inventory during the packing.
struct PackedRack {
  /// Indices of its workers.
  std::vector<std::size_t> workers;
  /// Whether all workers of the rack are in the inventory.
  bool complete = true;
};

/// First criterion for the choice between several blocks. kKeepPreviousRuns displaces the fewest
/// previous runs; kBestFit uses the smallest worker, rack or block. If all workers have the same
/// size, keeping previous runs never wastes capacity; with mixed sizes it may.
enum class PackOrder : std::uint8_t { kKeepPreviousRuns, kBestFit };

/// Packs guarantees into an inventory level by level, from racks down to single accelerators. Among
/// blocks of one level any choice leaves the same number of blocks, so previous runs can be kept
/// without losing capacity.
class GuaranteePacker {
 public:
  GuaranteePacker(std::vector<PackedWorker> workers, std::vector<PackedRack> racks,
                  std::vector<PreviousRun> previous_runs, PackOrder order);
  BindingResult Pack(const std::vector<Guarantee>& guarantees);

 private:
  void PackRacks(const std::vector<Guarantee>& guarantees);
  void PackWorkers(const std::vector<Guarantee>& guarantees);
  void PackRuns(const std::vector<Guarantee>& guarantees, std::string_view level,
                std::uint32_t size, std::uint32_t Guarantee::*count);
  bool BindBestRack(const WorkspaceId& workspace, bool only_previous);
  bool BindBestWorker(const WorkspaceId& workspace, bool only_previous);
  bool BindBestRun(const WorkspaceId& workspace, std::uint32_t size);
  bool RebindPreviousRun(const WorkspaceId& workspace, std::uint32_t size);
  /// Accelerators of other workspaces' previous runs that binding the mask displaces, minus those
  /// of the workspace's own previous runs that it keeps; runs in use weigh more.
  int Displacement(const std::vector<AcceleratorMask>* previous_by_worker, std::size_t worker,
                   AcceleratorMask mask) const;
  const std::vector<AcceleratorMask>* PreviousByWorker(const WorkspaceId& workspace) const;
  /// Whether no accelerator of the worker is bound yet.
  bool IsUnbound(std::size_t worker) const;
  void Bind(const WorkspaceId& workspace, std::size_t worker, AcceleratorMask mask);

  std::vector<PackedWorker> workers_;
  std::vector<PackedRack> racks_;
  /// The largest aligned blocks that the unbound accelerators of each worker form.
  std::vector<std::vector<FreeBlock>> free_blocks_;
  /// Previous runs of one workspace, those in use first, and their accelerators by worker.
  struct WorkspacePreviousRuns {
    std::vector<PreviousRun> runs;
    std::vector<AcceleratorMask> by_worker;
  };
  std::map<WorkspaceId, WorkspacePreviousRuns> previous_runs_;
  PackOrder order_;
  BindingResult result_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_VERSION_GUARANTEE_PACKER_H_
