#include "basilspring/process/timings.h"

#include <initializer_list>

namespace basilspring {

Timings Timings::Scaled(int percent) const {
  Timings scaled = *this;
  for (Duration* duration : {&scaled.cell_lease,
                             &scaled.cell_lease_renewal_interval,
                             &scaled.max_election_delay,
                             &scaled.rebuild_wait,
                             &scaled.heartbeat_interval,
                             &scaled.scheduler_silence_timeout,
                             &scaled.find_cell_interval,
                             &scaled.worker_silence_timeout,
                             &scaled.task_lease,
                             &scaled.reservation_timeout,
                             &scaled.summary_interval,
                             &scaled.permit_validity,
                             &scaled.permit_refresh_interval,
                             &scaled.backend_silence_timeout,
                             &scaled.backend_poll_wait,
                             &scaled.vouching_limit,
                             &scaled.registration_wait,
                             &scaled.registration_interval,
                             &scaled.registration_silence_timeout,
                             &scaled.answer_retention}) {
    *duration = *duration * percent / 100;
  }
  return scaled;
}

}  // namespace basilspring
