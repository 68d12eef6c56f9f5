#ifndef BASILSPRING_CONNECTION_CELL_MESSAGES_H_
#define BASILSPRING_CONNECTION_CELL_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/address.h"
#include "basilspring/connection/serialize.h"
#include "basilspring/ids.h"

/// Messages between entries and cell schedulers about a cell: summaries and configuration.
namespace basilspring {

/// A group of racks whose capacity is equal as far as guarantees depend on it. Racks are grouped,
/// because one element for each rack of 128 workers would make the summary five times as long.
struct RackCapacity {
  std::uint32_t racks = 1;
  /// Workers of each rack.
  std::uint32_t workers = 0;
  /// Accelerators of the worker that has the fewest in the rack.
  std::uint32_t accelerators_per_worker = 0;
  BASILSPRING_SERIALIZE(racks, workers, accelerators_per_worker)
};

/// State of one cell, sent once a second to the entries of its region.
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
  /// Number of queued jobs and estimated wait, indexed by the class of a job.
  std::vector<std::uint32_t> queued;
  std::vector<Duration> estimated_wait;
  std::uint32_t running_tasks = 0;
  /// Whether the scheduler has rebuilt its state and places jobs.
  bool ready = false;
  /// Total capacity of the workers, regardless of running tasks; used to check whether guarantees
  /// fit.
  std::vector<RackCapacity> racks;
  BASILSPRING_SERIALIZE(cell, region, data_centre, epoch, scheduler, config_revision, workers,
                        free_accelerators, total_accelerators, free_slots, free_runs, queued,
                        estimated_wait, running_tasks, ready, racks)
};

/// Announces an entry to a cell scheduler, which then sends its summaries to this entry.
struct EntryHello {
  ProcessId entry;
  Address address;
  RegionId region;
  ConfigRevision config_revision;
  BASILSPRING_SERIALIZE(entry, address, region, config_revision)
};

/// One node of the settings tree: a path such as "/bg-south/plovdiv-a" and the settings of the node
/// as a JSON object.
struct ConfigNode {
  std::string path;
  std::string json;
  BASILSPRING_SERIALIZE(path, json)
};

/// All nodes of a configuration that apply to one cell.
struct ConfigurationUpdate {
  ConfigRevision revision;
  std::vector<ConfigNode> nodes;
  BASILSPRING_SERIALIZE(revision, nodes)
};

/// Reports which revision of the configuration the scheduler of a cell applies.
struct ConfigurationInForce {
  CellId cell;
  ConfigRevision revision;
  BASILSPRING_SERIALIZE(cell, revision)
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_CELL_MESSAGES_H_
