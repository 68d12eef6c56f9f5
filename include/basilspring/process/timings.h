#ifndef BASILSPRING_PROCESS_TIMINGS_H_
#define BASILSPRING_PROCESS_TIMINGS_H_

#include "basilspring/clock.h"

namespace basilspring {

/// Every period, lease and limit of the protocols. docs/design.md gives the reasons.
struct Timings {
  Duration cell_lease = Duration(4000);
  Duration cell_lease_renewal = Duration(1500);
  /// Candidates for the cell scheduler spread their attempts over this span.
  Duration election_spread = Duration(1500);
  /// How long a new cell scheduler waits for the reports of its agents before it places jobs.
  Duration rebuild_wait = Duration(1000);
  Duration heartbeat = Duration(2000);
  /// An agent looks for another scheduler when no heartbeat was answered for this long.
  Duration scheduler_silence = Duration(3000);
  Duration find_cell_interval = Duration(500);
  /// A worker without a heartbeat for this long counts as lost.
  Duration worker_silence = Duration(6000);
  /// A member of a running gang that hears nothing of the others for this long stops its task.
  Duration task_lease = Duration(10000);
  Duration reservation = Duration(5000);
  Duration summary = Duration(1000);
  Duration permit_validity = Duration(2000);
  Duration permit_read = Duration(500);
  /// A backend server that has not announced itself for this long is gone.
  Duration backend_silence = Duration(6000);
  Duration backend_poll = Duration(2000);
  /// An entry without the store for this long issues no permits.
  Duration vouching_limit = Duration(890000);
  /// A new entry that not all registered entries have acknowledged may change a data centre after
  /// this.
  Duration registration_wait = Duration(900000);
  /// Entries make themselves known to each other this often; one that has not answered for the
  /// silence is removed from the registry.
  Duration registration_interval = Duration(5000);
  Duration registration_silence = Duration(60000);
  /// How long answers of durable jobs can be fetched.
  Duration answer_retention = Duration(3600000);

  /// All spans multiplied by percent / 100. The ratios between them, on which the protocols rely,
  /// stay; tests use it to show long outages in seconds.
  Timings Scaled(int percent) const;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_TIMINGS_H_
