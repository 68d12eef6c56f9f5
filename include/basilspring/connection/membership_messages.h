#ifndef BASILSPRING_CONNECTION_MEMBERSHIP_MESSAGES_H_
#define BASILSPRING_CONNECTION_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "basilspring/connection/address.h"
#include "basilspring/connection/serialize.h"
#include "basilspring/ids.h"

/// Who a process is, and who schedules a cell.
namespace basilspring {

/// First message of each TCP connection: who dials and where it listens.
struct Hello {
  ProcessId process;
  Incarnation incarnation;
  Address listen;
  BASILSPRING_SERIALIZE(process, incarnation, listen)
};

/// An agent asks an entry who schedules its cell.
struct FindCell {
  CellId cell;
  WorkerId worker;
  BASILSPRING_SERIALIZE(cell, worker)
};

/// Answer to FindCell. An empty holder means that no scheduler holds the cell; epoch is then the
/// last known.
struct CellHolder {
  CellId cell;
  Address holder;
  Epoch epoch;
  /// Entries of the region, so that agents survive the replacement of the entries in their
  /// settings.
  std::vector<Address> entries;
  /// Whether the entry has a current view of the store.
  bool store_reachable = false;
  BASILSPRING_SERIALIZE(cell, holder, epoch, entries, store_reachable)
};

/// The holder of a cell that stops gracefully asks its agents to choose a successor at once.
struct SchedulerGoodbye {
  CellId cell;
  Epoch epoch;
  BASILSPRING_SERIALIZE(cell, epoch)
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_MEMBERSHIP_MESSAGES_H_
