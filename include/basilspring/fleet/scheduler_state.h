#ifndef BASILSPRING_FLEET_SCHEDULER_STATE_H_
#define BASILSPRING_FLEET_SCHEDULER_STATE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/address.h"
#include "basilspring/fleet/backend.h"
#include "basilspring/fleet/fleet_config.h"
#include "basilspring/fleet/job_model.h"
#include "basilspring/fleet/peer_messages.h"

/// What SchedulerCore knows of jobs, workers and runs during one term. No other class uses these
/// types.
namespace basilspring::fleet::scheduler {

/// Identifies a run.
struct RunKey {
  TaskId task;
  RunNumber run;
  auto operator<=>(const RunKey&) const = default;
};

/// A run that may be active on a worker and occupies capacity there.
struct Allocation {
  Resources needs;
  /// False if the run was listed and its job is not known, or can't be read.
  bool needs_known = true;
  /// Whether the worker has accepted, listed or ended the run.
  bool confirmed = false;
  bool stopping = false;
  /// When the stop was first requested.
  TimePoint stopping_since;
  /// When the stop is sent again.
  TimePoint stop_due;
  /// When the backend server first confirmed the stop; std::nullopt if it has not.
  std::optional<TimePoint> stop_confirmed_at;
  /// The first poll whose rows are authoritative for the run: if they omit it, it does not exist.
  /// 0 while unknown.
  std::uint64_t visible_from_poll = 0;
  std::string checkpoint;
  std::int32_t percent = 0;
  /// The first listed progress and when it was listed; the run's own pace is measured from there.
  std::optional<std::int32_t> first_percent;
  TimePoint first_percent_at;
  TimePoint progressed_at;
  TimePoint working_since;
  /// When the order to start the run was sent; std::nullopt if this scheduler has sent none.
  std::optional<TimePoint> ordered_at;
  /// Whether the run time is a sample for the run time model: the run was started in this term,
  /// not from a checkpoint, and in the rack of its data.
  bool is_run_time_sample = false;
  /// Whether the run was started while the worker was on probation.
  bool on_probation = false;
};

/// A backend server and its agent. Known also while the agent has not reported in this term, or has
/// no backend server.
struct Worker {
  NodeId node;
  Address address;
  std::uint64_t incarnation = 0;
  /// Sessions offered to other incarnations of the agent since the current one was accepted.
  std::map<std::uint64_t, std::uint64_t> offered_sessions;
  std::uint64_t report_number = 0;
  /// Whether the agent has reported in this term.
  bool reported = false;
  /// When the agent first listed, in this term, which runs are active; std::nullopt if it has
  /// not.
  std::optional<TimePoint> runs_listed_at;
  TimePoint last_report;
  /// The latest time at which the backend server may have extended the lease of its runs.
  TimePoint last_lease_extension;
  /// When the runs of a restarted backend server have certainly ended, if calls for the former
  /// incarnation with the same id have extended their lease.
  TimePoint longest_lease_until;
  std::optional<BackendAnnouncement> backend;
  /// Incarnation of the agent that last reported `backend`.
  std::uint64_t backend_reported_by = 0;
  Duration poll_age;
  /// When `backend` last answered a poll of which a report is known.
  std::optional<TimePoint> polled_at;
  /// When the draining backend server shuts down.
  TimePoint drain_deadline;
  std::map<RunKey, Allocation> runs;
  /// The incarnation of the backend server whose ends were processed last, and the number of the
  /// last one. They are kept when the backend server is lost.
  BackendId ends_backend;
  std::int64_t ends_started_unix_ms = 0;
  std::int64_t last_end = 0;
  /// For each processed end that is not stored yet, the job and the version of its record that
  /// contains the end.
  std::map<std::int64_t, std::pair<JobId, std::uint64_t>> unsaved_ends;
  /// Jobs with a failed run on the worker since the last successful one. If there are any, the
  /// worker is used only as a last resort.
  std::set<JobId> failed_jobs;
  TimePoint probation_until;
  Duration next_probation;
  /// The number of starts that failed since the last accepted one. If there are any, the worker
  /// is used only as a last resort.
  std::int32_t failed_starts = 0;
  /// No start is sent before this time, because one has failed.
  TimePoint start_pause_until;
};

/// What becomes of a task next: a start, the end of its current run, or nothing.
enum class TaskPhase : std::uint8_t { kWaiting, kActive, kDone };

/// What shows that a run has begun, and that it was active when its worker crashed.
enum class RunEvidence : std::uint8_t {
  /// Nothing: no answer to the start is known, and no poll has listed the run. The start may not
  /// have been sent or carried out.
  kNone,
  /// Nothing, and a stop was ordered: the run may have been stopped before the crash, or before
  /// it began. A start that is repeated after a stop is refused like one whose run has ended,
  /// which the agent answers as accepted, so that a later answer shows nothing either.
  kStopped,
  /// The worker has accepted the start.
  kAccepted,
  /// A poll has listed the run.
  kListed,
};

/// A task and what is known of its earlier runs.
struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  std::set<RunNumber> failed_runs;
  /// Runs during which the worker crashed, as far as they may have caused it. Those without
  /// evidence are known in this term only: in a record, earlier versions would count them.
  std::map<RunNumber, RunEvidence> crashed_runs;
  /// The number of starts in this term.
  std::uint64_t runs = 0;
  /// The current run and its worker while the task is active.
  RunNumber run;
  NodeId worker;
  std::string checkpoint;
  /// The progress that `checkpoint` contains.
  std::int32_t checkpoint_percent = 0;
  /// Workers on which a run of the task has failed.
  std::set<NodeId> failed_on;
  /// The number of runs that still occupy capacity, including abandoned ones.
  std::int32_t live_runs = 0;
  /// When the last run of the task in this term ended.
  TimePoint waiting_since;
  /// The earliest time of the next start.
  TimePoint not_before;
  /// How often the task was preempted.
  std::uint32_t preemptions = 0;
  /// How often a run of the task was stopped because it had stalled.
  std::int32_t stalls = 0;
};

/// One step of one occurrence of a job.
struct Step {
  std::vector<Task> tasks;
  /// The number of finished tasks.
  std::int32_t done = 0;
  /// Agents that may have runs of the step, of this term or an earlier one.
  std::set<NodeId> agents;
  std::optional<TimePoint> ready_at;
  /// Workers on which capacity is reserved for the step while the victims there are being
  /// stopped; one element for each task.
  std::vector<NodeId> reserved_workers;
  TimePoint reserved_at;
  /// Whether the reservation is kept beyond its time because stops are late.
  bool awaits_late_stops = false;
  /// What the preemptions for the step have cost others since it last started tasks.
  double preemption_loss = 0;
  /// Whether a preemption was declined, because the loss was larger than the gain, since then.
  bool preemption_declined = false;
  /// Workers on which capacity is held back for the step, a waiting gang; one element for each
  /// task. The runs there are not stopped, but the capacity that they free is not given to other
  /// steps below the urgent tier.
  std::vector<NodeId> held_back_workers;
  /// Since when the step is blocked; std::nullopt if it is not.
  std::optional<TimePoint> blocked_since;
  /// When the reason for the wait was last logged.
  TimePoint wait_logged_at;
};

/// Why a step whose turn has come is not considered for placement.
enum class BlockCause : std::uint8_t {
  kNone,
  /// The configuration does not contain the job's queue.
  kQueueUnknown,
  /// An agent that may have runs of an earlier term has not listed them.
  kAgentsNotListed,
  /// Runs of an earlier start still occupy capacity.
  kEarlierRuns,
  /// The job's record can't be read.
  kRecordUnreadable,
  /// The store does not accept the job's record.
  kRecordRejected,
};

/// Why the job's progress can't be recorded.
enum class RecordFault : std::uint8_t {
  kNone,
  /// The stored record, or the stored specification, can't be read.
  kUnreadable,
  /// The store does not accept the record.
  kRejected,
};

/// A job that the store holds, until its keys are removed.
struct Job {
  JobSpec spec;
  /// The last known settings of the job's queue. Once the queue is removed, the service is empty.
  Queue queue;
  /// Whether a configuration of this term contained the queue. If false, its limits are unknown.
  bool queue_known = false;
  TimePoint accepted_at;
  /// The final phase, or kQueued while the job has not ended; see SchedulerCore::CurrentPhase().
  JobPhase phase = JobPhase::kQueued;
  bool phase_stored = false;
  /// Whether the deletion of the job's keys has been requested.
  bool removing = false;
  bool cancelled = false;
  std::int64_t finished_unix_ms = 0;
  /// Since when this scheduler has seen the job's final phase stored. The retention counts from
  /// here, because the time of day may jump.
  std::optional<TimePoint> kept_since;
  std::vector<Step> steps;
  /// Versions of the job's record: the current one, the one being written (0 if none) and the
  /// last stored one.
  std::uint64_t version = 0;
  std::uint64_t saving_version = 0;
  std::uint64_t saved_version = 0;
  RecordFault record_fault = RecordFault::kNone;
  /// After the store has not accepted a write: when the next one is made, and the time between
  /// the two.
  TimePoint save_not_before;
  Duration save_retry_delay;
  /// Whether a run of the job is known to have begun, also in an earlier term. A start that was
  /// planned or sent is no evidence: it may be refused, or never be carried out. Set by
  /// SchedulerCore::RecordBegin() and never reset.
  bool begun = false;
  /// The number of runs that still occupy capacity.
  std::int32_t live_runs = 0;
  /// When the job last had a live run.
  TimePoint last_active_at;
};

/// An order that has not been sent.
struct PendingOrder {
  NodeId worker;
  Order order;
  /// A start is not sent before this version of its job's record is stored.
  std::uint64_t version = 0;
};

/// Orders that were sent in one batch and have not been answered, with the incarnations that they
/// were sent to.
struct BatchInFlight {
  NodeId node;
  std::uint64_t incarnation = 0;
  BackendId backend;
  std::int64_t started_unix_ms = 0;
  /// For each order its run and whether it is a start.
  std::vector<std::pair<RunKey, bool>> orders;
};

/// A cancellation of a job that has not been added.
struct EarlyCancel {
  /// When a pass first saw it.
  std::optional<TimePoint> kept_since;
  /// Whether the deletion of its key has been requested.
  bool removing = false;
};

}  // namespace basilspring::fleet::scheduler

#endif  // BASILSPRING_FLEET_SCHEDULER_STATE_H_
