#include "basilspring/process/cell_directory.h"

#include <algorithm>
#include <utility>

namespace basilspring {
namespace {

// How long an agent that asked for a cell is told of a new holder.
constexpr Duration kRequesterExpiry = Duration(10000);
// Datagrams hold 1,200 bytes; 16 addresses take about 400 of them.
constexpr std::size_t kMaxEntriesInAnswer = 16;
// Minimum time between two updates to a cell: after an update, its next summary may still show the
// old revision.
constexpr Duration kUpdateInterval = Duration(500);
// Cells of other regions and other entries get an EntryHello only every fifth second, which limits
// the bandwidth of their summaries on the link between regions.
constexpr std::uint64_t kRemoteHelloPeriod = 5;
// An entry that hasn't sent an EntryHello for this long is left out of answers.
constexpr Duration kEntryExpiry = Duration(30000);
// Maximum number of agents remembered for a cell.
constexpr std::size_t kMaxRequesters = 512;

DataCentreId DataCentreOf(const CellId& cell) {
  return DataCentreId(cell.value().substr(0, cell.value().find('/')));
}

}  // namespace

CellDirectory::CellDirectory(ProcessId self, Address address, RegionId region)
    : self_(std::move(self)), address_(std::move(address)), region_(std::move(region)) {}

RegionId CellDirectory::RegionOf(const CellId& id, const Cell& cell) const {
  if (cell.region.has_value()) return *cell.region;
  for (const SettingScope& scope : tree_.DataCentres()) {
    if (scope.data_centre == DataCentreOf(id)) return scope.region;
  }
  // Unknown cells are assumed to be in this region, so that they get an EntryHello and answer with
  // a summary.
  return region_;
}

CellHolder CellDirectory::HolderOf(TimePoint now, const CellId& id, const Cell& cell) const {
  return {id, cell.holder, cell.epoch, EntriesOfRegion(now), store_reachable_};
}

std::vector<Address> CellDirectory::EntriesOfRegion(TimePoint now) const {
  std::vector<Address> result = {address_};
  for (const auto& [address, heard] : region_entries_) {
    if (result.size() >= kMaxEntriesInAnswer) break;
    if (now - heard <= kEntryExpiry && address != address_) result.push_back(address);
  }
  return result;
}

std::vector<DirectoryMessage> CellDirectory::OnCellChanged(TimePoint now, const CellId& id,
                                                           const Address& holder, Epoch epoch) {
  Cell& cell = cells_[id];
  std::vector<DirectoryMessage> messages;
  if (epoch < cell.epoch || (epoch == cell.epoch && holder == cell.holder)) return messages;
  cell.holder = holder;
  cell.epoch = epoch;
  for (const auto& [requester, asked] : cell.requesters) {
    if (now - asked <= kRequesterExpiry) messages.push_back({requester, HolderOf(now, id, cell)});
  }
  if (const auto update = UpdateFor(now, id, cell)) messages.push_back(*update);
  return messages;
}

DirectoryMessage CellDirectory::OnFindCell(TimePoint now, const Address& from,
                                           const FindCell& message) {
  Cell& cell = cells_[message.cell];
  for (auto it = cell.requesters.begin(); it != cell.requesters.end();) {
    it = now - it->second > kRequesterExpiry ? cell.requesters.erase(it) : std::next(it);
  }
  if (cell.requesters.size() < kMaxRequesters) cell.requesters[from] = now;
  return {from, HolderOf(now, message.cell, cell)};
}

std::vector<DirectoryMessage> CellDirectory::OnSummary(TimePoint now, const Address& from,
                                                       const CellSummary& summary) {
  Cell& cell = cells_[summary.cell];
  std::vector<DirectoryMessage> messages;
  if (summary.epoch < cell.epoch) return messages;
  cell.region = summary.region;
  cell.data_centre = summary.data_centre;
  // At the same epoch, the holder in the store has precedence: a scheduler whose lease has expired
  // may still send summaries.
  if (summary.epoch > cell.epoch) cell.holder = from;
  cell.epoch = summary.epoch;
  in_force_[summary.cell] = std::max(in_force_[summary.cell], summary.config_revision);
  if (summary.config_revision < revision_ && now >= cell.next_update) {
    if (const auto update = UpdateFor(now, summary.cell, cell)) messages.push_back(*update);
  }
  return messages;
}

void CellDirectory::OnConfigurationInForce(const ConfigurationInForce& message) {
  ConfigRevision& known = in_force_[message.cell];
  known = std::max(known, message.revision);
}

void CellDirectory::OnEntryHello(TimePoint now, const EntryHello& message) {
  if (message.region == region_) region_entries_[message.address] = now;
}

std::optional<DirectoryMessage> CellDirectory::UpdateFor(TimePoint now, const CellId& id,
                                                         Cell& cell) {
  const RegionId region = RegionOf(id, cell);
  // Cells of another region get the configuration from the entries there.
  if (cell.holder.empty() || revision_ == ConfigRevision() || region != region_) return {};
  cell.next_update = now + kUpdateInterval;
  return DirectoryMessage{cell.holder,
                          ConfigurationUpdate{revision_, tree_.FilterFor(region, DataCentreOf(id))},
                          false};
}

std::vector<DirectoryMessage> CellDirectory::SetConfiguration(TimePoint now,
                                                              ConfigRevision revision,
                                                              SettingsTree tree) {
  std::vector<DirectoryMessage> messages;
  if (revision <= revision_) return messages;
  revision_ = revision;
  tree_ = std::move(tree);
  for (auto& [id, cell] : cells_) {
    if (const auto update = UpdateFor(now, id, cell)) messages.push_back(*update);
  }
  return messages;
}

std::vector<DirectoryMessage> CellDirectory::DueHellos(TimePoint now) {
  const bool to_all = hello_rounds_++ % kRemoteHelloPeriod == 0;
  const EntryHello hello{self_, address_, region_, revision_};
  std::vector<DirectoryMessage> messages;
  for (const auto& [id, cell] : cells_) {
    if (cell.holder.empty()) continue;
    if (to_all || RegionOf(id, cell) == region_) messages.push_back({cell.holder, hello});
  }
  for (const auto& [name, address] : entries_) {
    if (to_all && address != address_) messages.push_back({address, hello});
  }
  for (auto it = region_entries_.begin(); it != region_entries_.end();) {
    it = now - it->second > kEntryExpiry ? region_entries_.erase(it) : std::next(it);
  }
  return messages;
}

}  // namespace basilspring
