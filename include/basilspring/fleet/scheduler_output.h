#ifndef BASILSPRING_FLEET_SCHEDULER_OUTPUT_H_
#define BASILSPRING_FLEET_SCHEDULER_OUTPUT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilspring/connection/address.h"
#include "basilspring/fleet/job_model.h"
#include "basilspring/fleet/peer_messages.h"

/// What one scheduling pass decides, and the counters of the scheduler.
namespace basilspring::fleet {

/// One line of the decision log.
struct Decision {
  std::string text;
};

/// Orders for one agent. `batch` identifies them when their answer is passed to
/// SchedulerCore::OnOrdersAnswered().
struct OutgoingOrders {
  std::uint64_t batch = 0;
  Address agent;
  OrderBatch message;
};

/// The record of a job to write to the store. `version` is passed to SchedulerCore::OnSaved() once
/// it is stored.
struct ProgressSave {
  JobId job;
  std::uint64_t version = 0;
  std::string bytes;
  /// If true, all keys of the job are deleted from the store instead, because its retention time is
  /// over.
  bool remove = false;
  /// Deletion: revisions of the job's cancellation and of the accepted job when the deletion was
  /// decided; 0 if none is known.
  std::int64_t cancel_revision = 0;
  std::int64_t job_revision = 0;
  /// What the record contains, for the log.
  JobPhase phase = JobPhase::kQueued;
  std::int64_t done_tasks = 0;
  /// Revision of the job's record on which the write or deletion is conditional; 0 if it must not
  /// exist.
  std::int64_t record_revision = 0;
};

struct SchedulerOutput {
  std::vector<OutgoingOrders> orders;
  std::vector<ProgressSave> saves;
  std::vector<Decision> decisions;
};

/// Counters that the process exports as metrics.
struct SchedulerCounts {
  /// Starts that were decided; some are never sent, refused or not carried out.
  std::uint64_t starts_planned = 0;
  std::uint64_t starts_refused = 0;
  /// Runs ordered in this term of which an answer, a poll or an end shows that they have begun.
  std::uint64_t runs_started = 0;
  /// Starts that an agent refused because it had read that the task has ended as done, which the
  /// scheduler's record did not contain.
  std::uint64_t starts_contradicted = 0;
  std::uint64_t runs_done = 0;
  std::uint64_t runs_failed = 0;
  std::uint64_t runs_lost = 0;
  /// Crashes of workers, each counted once for every task that may have caused it.
  std::uint64_t crashes_counted = 0;
  std::uint64_t runs_preempted = 0;
  std::uint64_t runs_stalled = 0;
  /// Steps for which no runs were stopped, because the loss was larger than the gain.
  std::uint64_t preemptions_declined = 0;
  /// Gangs that were started on free capacity before the stops on their reserved workers completed.
  std::uint64_t reservations_moved = 0;
  /// Reservations that were kept beyond their time because stops were late.
  std::uint64_t reservations_extended = 0;
  std::uint64_t jobs_completed = 0;
  std::uint64_t jobs_failed = 0;
  std::uint64_t jobs_cancelled = 0;
  /// Core-milliseconds of run time whose results were lost.
  std::uint64_t wasted_core_ms = 0;
  /// Steps with tasks to place in the last pass, whether or not they were placed.
  std::uint64_t steps_ready = 0;
  /// Steps whose turn had come in the last pass and that were not considered for placement.
  std::uint64_t steps_blocked = 0;
  /// Otherwise usable workers that were on probation in the last pass.
  std::uint64_t workers_on_probation = 0;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_SCHEDULER_OUTPUT_H_
