#ifndef BASILSPRING_CONNECTION_MEMBERSHIP_MESSAGES_H_
#define BASILSPRING_CONNECTION_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "basilspring/connection/address.h"
#include "basilspring/connection/serialize.h"
#include "basilspring/ids.h"

/// Messages that identify processes and the scheduler of a cell.
namespace basilspring {

/// First message on each TCP connection: identity and listen address of the connecting process.
struct Hello {
  ProcessId process;
  Incarnation incarnation;
  Address listen;
  BASILSPRING_SERIALIZE(process, incarnation, listen)
};

/// Request of an agent to an entry for the process that schedules the cell of the agent.
struct FindCell {
  CellId cell;
  WorkerId worker;
  BASILSPRING_SERIALIZE(cell, worker)
};

/// Answer to FindCell. If no scheduler holds the cell, `holder` is empty and `epoch` is the last
/// one known.
struct CellHolder {
  CellId cell;
  Address holder;
  Epoch epoch;
  /// Entries of the region. They let an agent find an entry after all those in its settings were
  /// replaced.
  std::vector<Address> entries;
  /// Whether the entry has a current view of the store.
  bool store_reachable = false;
  BASILSPRING_SERIALIZE(cell, holder, epoch, entries, store_reachable)
};

/// Sent by the scheduler of a cell during a graceful stop: asks its agents to choose a successor at
/// once.
struct SchedulerGoodbye {
  CellId cell;
  Epoch epoch;
  BASILSPRING_SERIALIZE(cell, epoch)
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_MEMBERSHIP_MESSAGES_H_
