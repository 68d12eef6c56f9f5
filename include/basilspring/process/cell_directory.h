#ifndef BASILSPRING_PROCESS_CELL_DIRECTORY_H_
#define BASILSPRING_PROCESS_CELL_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"
#include "basilspring/ids.h"
#include "basilspring/version/settings_tree.h"

namespace basilspring {

/// A message, its destination and whether it is sent as a datagram or over the connection.
struct DirectoryMessage {
  Address to;
  Message message;
  bool datagram = true;
};

/// An entry's directory of cells and entries: tells agents who schedules their cell, and cell
/// schedulers which configuration is in force. A state machine without I/O; the time is an
/// argument.
class CellDirectory {
 public:
  CellDirectory(ProcessId self, Address address, RegionId region);

  /// Handles a change of a cell's key in the store; an empty holder means that the cell is vacant.
  /// Returns answers for the agents that asked for the cell within the last 10 s, and the
  /// configuration for the new holder.
  std::vector<DirectoryMessage> OnCellChanged(TimePoint now, const CellId& cell,
                                              const Address& holder, Epoch epoch);
  /// Returns the answer for an agent that asks who holds its cell, and remembers the agent.
  DirectoryMessage OnFindCell(TimePoint now, const Address& from, const FindCell& message);
  /// Records the region and the scheduler of a cell. Returns the configuration for the scheduler if
  /// it has a lower revision.
  std::vector<DirectoryMessage> OnSummary(TimePoint now, const Address& from,
                                          const CellSummary& summary);
  /// Records the configuration revision that a cell has confirmed.
  void OnConfigurationInForce(const ConfigurationInForce& message);
  /// Records another entry of this region.
  void OnEntryHello(TimePoint now, const EntryHello& message);
  /// Sets the registered entries.
  void SetEntries(std::map<ProcessId, Address> entries) { entries_ = std::move(entries); }
  void SetStoreReachable(bool reachable) { store_reachable_ = reachable; }

  /// Sets the configuration and returns the updates for all cells of the region. Ignored unless the
  /// revision is higher than the current one.
  std::vector<DirectoryMessage> SetConfiguration(TimePoint now, ConfigRevision revision,
                                                 SettingsTree tree);

  /// Returns the EntryHello messages that are due. Must be called once a second.
  std::vector<DirectoryMessage> DueHellos(TimePoint now);

  /// Live entries of this region, this one first; at most as many as fit a datagram.
  std::vector<Address> EntriesOfRegion(TimePoint now) const;
  const std::map<CellId, ConfigRevision>& in_force() const { return in_force_; }
  const std::map<ProcessId, Address>& entries() const { return entries_; }
  ConfigRevision revision() const { return revision_; }
  const SettingsTree& tree() const { return tree_; }

 private:
  struct Cell {
    Address holder;
    Epoch epoch;
    std::optional<RegionId> region;
    DataCentreId data_centre;
    /// The configuration is not sent again before this time.
    TimePoint next_update;
    /// Agents that asked for the cell, and when.
    std::map<Address, TimePoint> requesters;
  };

  /// The region of a cell; this entry's region if it is unknown.
  RegionId RegionOf(const CellId& id, const Cell& cell) const;
  CellHolder HolderOf(TimePoint now, const CellId& id, const Cell& cell) const;
  /// The configuration for a cell's scheduler; std::nullopt if there is no configuration or holder,
  /// or if the cell is in another region.
  std::optional<DirectoryMessage> UpdateFor(TimePoint now, const CellId& id, Cell& cell);

  ProcessId self_;
  Address address_;
  RegionId region_;
  std::map<CellId, Cell> cells_;
  std::map<ProcessId, Address> entries_;
  /// Other entries of this region, and when each last sent an EntryHello.
  std::map<Address, TimePoint> region_entries_;
  /// Highest configuration revision that each cell is known to have in force.
  std::map<CellId, ConfigRevision> in_force_;
  ConfigRevision revision_;
  SettingsTree tree_;
  bool store_reachable_ = false;
  std::uint64_t hello_rounds_ = 0;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_CELL_DIRECTORY_H_
