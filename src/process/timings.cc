#include "basilspring/process/timings.h"

#include <initializer_list>

namespace basilspring {

Timings Timings::Scaled(int percent) const {
  Timings scaled = *this;
  for (Duration* span : {&scaled.cell_lease,
                         &scaled.cell_lease_renewal,
                         &scaled.election_spread,
                         &scaled.rebuild_wait,
                         &scaled.heartbeat,
                         &scaled.scheduler_silence,
                         &scaled.find_cell_interval,
                         &scaled.worker_silence,
                         &scaled.task_lease,
                         &scaled.reservation,
                         &scaled.summary,
                         &scaled.permit_validity,
                         &scaled.permit_read,
                         &scaled.backend_silence,
                         &scaled.backend_poll,
                         &scaled.vouching_limit,
                         &scaled.registration_wait,
                         &scaled.registration_interval,
                         &scaled.registration_silence,
                         &scaled.answer_retention}) {
    *span = *span * percent / 100;
  }
  return scaled;
}

}  // namespace basilspring
