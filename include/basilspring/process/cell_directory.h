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

/// A message and its carrier.
struct DirectoryMessage {
  Address to;
  Message message;
  bool datagram = true;
};

/// What an entry tells agents and cell schedulers about each other and about the configuration.
/// Pure.
class CellDirectory {
 public:
  CellDirectory(ProcessId self, Address address, RegionId region);

  /// The store's key of a cell changed; without a holder the cell is vacant. Agents that asked for
  /// the cell within the last 10 s are told.
  std::vector<DirectoryMessage> OnCellChanged(TimePoint now, const CellId& cell,
                                              const Address& holder, Epoch epoch);
  DirectoryMessage OnFindCell(TimePoint now, const Address& from, const FindCell& message);
  /// Learns region and scheduler of a cell; sends it the configuration when it has a lower one.
  std::vector<DirectoryMessage> OnSummary(TimePoint now, const Address& from,
                                          const CellSummary& summary);
  void OnInForce(const ConfigurationInForce& message);
  /// Another entry made itself known.
  void OnEntryHello(TimePoint now, const EntryHello& message);
  /// Registered entries.
  void SetEntries(std::map<ProcessId, Address> entries) { entries_ = std::move(entries); }
  void SetStoreReachable(bool reachable) { store_reachable_ = reachable; }

  /// Ignored unless the revision is higher than the current one. The update for all cells of the
  /// region.
  std::vector<DirectoryMessage> SetConfiguration(TimePoint now, ConfigRevision revision,
                                                 SettingsTree tree);

  /// Greetings that are due; call it once a second.
  std::vector<DirectoryMessage> Greet(TimePoint now);

  /// Registered entries of this region, this one first; at most as many as fit a datagram.
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
    TimePoint next_update;
    std::map<Address, TimePoint> askers;
  };

  RegionId RegionOf(const CellId& id, const Cell& cell) const;
  CellHolder HolderOf(TimePoint now, const CellId& id, const Cell& cell) const;
  std::optional<DirectoryMessage> UpdateFor(TimePoint now, const CellId& id, Cell& cell);

  ProcessId self_;
  Address address_;
  RegionId region_;
  std::map<CellId, Cell> cells_;
  std::map<ProcessId, Address> entries_;
  /// Entries of this region and when they were last heard.
  std::map<Address, TimePoint> neighbours_;
  std::map<CellId, ConfigRevision> in_force_;
  ConfigRevision revision_;
  SettingsTree tree_;
  bool store_reachable_ = false;
  std::uint64_t greetings_ = 0;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_CELL_DIRECTORY_H_
