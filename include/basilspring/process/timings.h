#ifndef BASILSPRING_PROCESS_TIMINGS_H_
#define BASILSPRING_PROCESS_TIMINGS_H_

#include "basilspring/clock.h"

namespace basilspring {

/// All intervals, leases and timeouts of the protocols between entries, cell schedulers and agents.
/// docs/design.md gives the reasons.
struct Timings {
  /// Lease on a cell's key in the store. Its holder is the cell scheduler.
  Duration cell_lease = Duration(4000);
  Duration cell_lease_renewal_interval = Duration(1500);
  /// Maximum delay before an agent contends for the cell. Each agent has its own delay, so that the
  /// agents don't contend at the same time.
  Duration max_election_delay = Duration(1500);
  /// How long a new cell scheduler collects the reports of its agents before it places jobs.
  Duration rebuild_wait = Duration(1000);
  Duration heartbeat_interval = Duration(2000);
  /// An agent looks for another scheduler after this time without an answer to its heartbeats.
  Duration scheduler_silence_timeout = Duration(3000);
  Duration find_cell_interval = Duration(500);
  /// A worker counts as lost after this time without a heartbeat.
  Duration worker_silence_timeout = Duration(6000);
  /// A member of a running gang stops its task after this time without a message from the others.
  Duration task_lease = Duration(10000);
  /// How long an agent keeps resources reserved for a prepared task.
  Duration reservation_timeout = Duration(5000);
  /// How often a cell scheduler sends a summary of its cell to the entries.
  Duration summary_interval = Duration(1000);
  Duration permit_validity = Duration(2000);
  /// How often an entry reads the guard key, and how often a cell scheduler requests permits.
  Duration permit_refresh_interval = Duration(500);
  /// A backend server counts as gone after this time without an announcement.
  Duration backend_silence_timeout = Duration(6000);
  /// How long an agent's long poll at a backend server waits for the result of a task.
  Duration backend_poll_wait = Duration(2000);
  /// An entry issues no permits after this time without a read of the store's registry of entries.
  Duration vouching_limit = Duration(890000);
  /// A new entry may change a data centre once all registered entries have acknowledged it, or
  /// after this time.
  Duration registration_wait = Duration(900000);
  /// How often an entry sends its registration to the other entries.
  Duration registration_interval = Duration(5000);
  /// An entry is removed from the registry once it has not answered another entry for this time.
  Duration registration_silence_timeout = Duration(60000);
  /// How long the answer of a durable job can be fetched after the job has finished.
  Duration answer_retention = Duration(3600000);

  /// Returns the timings with every duration multiplied by percent / 100, which keeps the ratios
  /// between them that the protocols rely on. Tests use it to run long outages within seconds.
  Timings Scaled(int percent) const;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_TIMINGS_H_
