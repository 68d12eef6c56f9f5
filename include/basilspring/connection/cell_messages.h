#ifndef BASILSPRING_CONNECTION_CELL_MESSAGES_H_
#define BASILSPRING_CONNECTION_CELL_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/address.h"
#include "basilspring/connection/serialize.h"
#include "basilspring/ids.h"

/// Between entry and cell scheduler about the cell: summaries and configuration.
namespace basilspring {

/// Racks that are equal as far as guarantees need them. One line stands for all of them, because a
/// line for each rack of 128 workers would make the summary five times as long.
struct RackCapacity {
  std::uint32_t racks = 1;
  /// Workers of each rack.
  std::uint32_t workers = 0;
  /// Accelerators of the smallest worker of the rack.
  std::uint32_t accelerators_per_worker = 0;
  BASILSPRING_SERIALIZE(racks, workers, accelerators_per_worker)
};

/// State of one cell, once a second, to the entries of its region.
struct CellSummary {
  CellId cell;
  RegionId region;
  DataCentreId data_centre;
  Epoch epoch;
  Address scheduler;
  ConfigRevision config_revision;
  std::uint32_t workers = 0;
  std::uint32_t free_accelerators = 0;
  std::uint32_t total_accelerators = 0;
  std::uint32_t free_slots = 0;
  /// Number of free aligned runs of 1, 2, 4 and 8 accelerators; a larger run also counts as smaller
  /// ones.
  std::vector<std::uint32_t> free_runs;
  /// Queued jobs and estimated wait, by class.
  std::vector<std::uint32_t> queued;
  std::vector<Duration> estimated_wait;
  std::uint32_t running_tasks = 0;
  /// Whether the scheduler has rebuilt its state and places jobs.
  bool ready = false;
  /// What the workers hold when they are empty; used to check whether guarantees fit.
  std::vector<RackCapacity> racks;
  BASILSPRING_SERIALIZE(cell, region, data_centre, epoch, scheduler, config_revision, workers,
                        free_accelerators, total_accelerators, free_slots, free_runs, queued,
                        estimated_wait, running_tasks, ready, racks)
};

/// An entry makes itself known to a cell scheduler, which then sends its summaries there.
struct EntryHello {
  ProcessId entry;
  Address address;
  RegionId region;
  ConfigRevision config_revision;
  BASILSPRING_SERIALIZE(entry, address, region, config_revision)
};

/// One node of the operators' settings: path such as "/bg-south/plovdiv-a" and its JSON object.
struct ConfigNode {
  std::string path;
  std::string json;
  BASILSPRING_SERIALIZE(path, json)
};

/// All nodes of a configuration that concern one cell.
struct ConfigurationUpdate {
  ConfigRevision revision;
  std::vector<ConfigNode> nodes;
  BASILSPRING_SERIALIZE(revision, nodes)
};

struct ConfigurationInForce {
  CellId cell;
  ConfigRevision revision;
  BASILSPRING_SERIALIZE(cell, revision)
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_CELL_MESSAGES_H_
