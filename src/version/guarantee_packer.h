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

/// A run that was bound before the packing.
struct OldRun {
  WorkspaceId workspace;
  std::size_t worker = 0;
  AcceleratorMask accelerators = 0;
  /// Whether guaranteed tasks of the workspace run on it.
  bool in_use = false;
};

struct PackedWorker {
  WorkerId id;
  std::size_t rack = 0;
  AcceleratorMask all = 0;
  AcceleratorMask unbound = 0;
  /// Accelerators of old runs, and those of old runs in use.
  AcceleratorMask old_runs = 0;
  AcceleratorMask old_in_use = 0;
};

struct PackedRack {
  std::vector<std::size_t> workers;
  /// Whether all workers of the rack are in the inventory.
  bool whole = true;
};

/// What decides first between two places: where old runs stay, or where the smallest worker or rack
/// is used up. With workers of one size the first never costs room; with mixed sizes it may.
enum class PackOrder : std::uint8_t { kKeepOldRuns, kTightest };

/// Packs guarantees into an inventory level by level, from racks down to single accelerators. Among
/// blocks of one level any choice leaves the same number of blocks, so old runs are kept without
/// loss of room.
class GuaranteePacker {
 public:
  GuaranteePacker(std::vector<PackedWorker> workers, std::vector<PackedRack> racks,
                  std::vector<OldRun> old_runs, PackOrder order);
  BindingResult Pack(const std::vector<Guarantee>& guarantees);

 private:
  void PackRacks(const std::vector<Guarantee>& guarantees);
  void PackWorkers(const std::vector<Guarantee>& guarantees);
  void PackRuns(const std::vector<Guarantee>& guarantees, std::string_view level,
                std::uint32_t size, std::uint32_t Guarantee::*count);
  bool BindBestRack(const WorkspaceId& workspace, bool only_old);
  bool BindBestWorker(const WorkspaceId& workspace, bool only_old);
  bool BindBestRun(const WorkspaceId& workspace, std::uint32_t size);
  bool BindOldRun(const WorkspaceId& workspace, std::uint32_t size);
  /// How much binding the mask displaces from old runs of others, less what it keeps of own ones.
  int Displacement(const std::vector<AcceleratorMask>* own, std::size_t worker,
                   AcceleratorMask mask) const;
  const std::vector<AcceleratorMask>* OldByWorker(const WorkspaceId& workspace) const;
  bool Untouched(std::size_t worker) const;
  void Bind(const WorkspaceId& workspace, std::size_t worker, AcceleratorMask mask);

  std::vector<PackedWorker> workers_;
  std::vector<PackedRack> racks_;
  /// The largest aligned blocks that the unbound accelerators of each worker form.
  std::vector<std::vector<FreeBlock>> free_blocks_;
  /// Old runs of one workspace: those in use first, and their accelerators by worker.
  struct OwnOldRuns {
    std::vector<OldRun> runs;
    std::vector<AcceleratorMask> by_worker;
  };
  std::map<WorkspaceId, OwnOldRuns> old_runs_;
  PackOrder order_;
  BindingResult result_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_VERSION_GUARANTEE_PACKER_H_
