#ifndef BASILSPRING_SRC_PROCESS_CELL_MODEL_H_
#define BASILSPRING_SRC_PROCESS_CELL_MODEL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"
#include "basilspring/error.h"
#include "basilspring/ids.h"
#include "basilspring/request/job.h"

namespace basilspring::internal {

/// A worker lost longer ago than this is ignored when checking whether a job can ever fit.
inline constexpr Duration kLostWorkerRetention = Duration::Seconds(600);
/// How long a result is kept so that it can be sent again to an entry that asks for it.
inline constexpr Duration kResultRetention = Duration::Seconds(60);
/// Bounds on the number and total size of kept results, so that a burst of large answers can't
/// exhaust the process's memory.
inline constexpr std::size_t kMaxRetainedResults = 2048;
inline constexpr std::size_t kMaxRetainedResultBytes = 16 * 1024 * 1024;
/// How long a job that is known only from an agent's report, and so has no payload, waits for its
/// entry to submit it again.
inline constexpr Duration kOrphanTimeout = Duration::Seconds(60);
/// Interval between scans of all jobs and attempts: with 10,000 waiting jobs, a scan on each tick
/// would exceed the share of a core that control may use.
inline constexpr Duration kScanInterval = Duration(100);
/// Maximum number of jobs that one placement pass takes from the queue; bounds the time of one
/// event.
inline constexpr std::size_t kMaxJobsPerPass = 256;
/// Maximum number of failed placements in one pass; each takes up to a millisecond in a large cell.
inline constexpr std::size_t kMaxFailedPlacementsPerPass = 16;
/// Jobs that could not be placed are retried at this interval even if no capacity was freed: jobs
/// that have started since may be preempted for them.
inline constexpr Duration kPlacementRetryInterval = Duration(500);
/// Quantile of the estimated run time that a backfilled job is assumed to need.
inline constexpr double kBackfillQuantile = 0.9;
/// Initial and maximum delay before a requeued job is placed again; the delay doubles with each
/// failure.
inline constexpr Duration kInitialBackoff = Duration(100);
inline constexpr Duration kMaxBackoff = Duration(5000);
/// Number of preemptions in this cell after which an urgent job is returned to its entry, which
/// prefers other cells. An urgent gang that is larger than the capacity outside the guarantees of
/// other workspaces is preempted at each reclaim, while another cell may have enough free capacity.
inline constexpr std::uint32_t kMaxPreemptionsBeforeReturn = 3;
/// Delay before a failed store write is retried.
inline constexpr Duration kStoreRetryDelay = Duration(1000);
/// Maximum number of cancellations of unknown jobs that are kept until the state has been rebuilt.
inline constexpr std::size_t kMaxEarlyCancels = 4096;
/// Maximum number of workers per job that the next placement avoids because the job failed there.
inline constexpr std::size_t kMaxAvoidedWorkers = 16;
/// How long after the last placement the permit is still renewed.
inline constexpr Duration kPermitRenewalWindow = Duration(5000);
/// Maximum number of unanswered permit requests that are remembered.
inline constexpr std::size_t kMaxPendingPermitRequests = 16;
/// An entry that hasn't sent an EntryHello for this long gets no more summaries.
inline constexpr Duration kEntryExpiry = Duration::Seconds(60);

/// The properties of a job that decide whether it can be placed: when one job can't be placed, jobs
/// with the same key can't be placed either.
using PlacementKey = std::tuple<WorkspaceId, JobClass, GangShape>;

/// Progress of one task of an attempt, as its scheduler knows it.
enum class MemberState : std::uint8_t {
  /// Assigned to a worker; the agent has not been told yet.
  kPlanned,
  /// Prepare was sent.
  kPreparing,
  /// The agent has reserved the task's resources.
  kPrepared,
  /// Start was sent.
  kStarting,
  kRunning,
  /// StopTask was sent.
  kStopping,
  /// The task ended by itself, with or without an error.
  kDone,
  /// The task was stopped or was never started.
  kStopped,
  /// The worker or the agent lost the task after the gang's Starts were sent.
  kLost,
};

/// One task of an attempt.
struct Member {
  std::uint32_t rank = 0;
  WorkerId worker;
  Address agent;
  AcceleratorMask accelerators = 0;
  /// Whether the task is beyond its workspace's guarantee (borrowed), so that it can be preempted.
  bool borrowed = false;
  MemberState state = MemberState::kPlanned;
  /// Whether the task is counted against its worker in the CellState.
  bool holds_resources = false;
  /// The agent's clock when it answered the Prepare.
  TimePoint agent_now;
  /// Incarnation of the agent that holds the reservation; Start repeats it.
  Incarnation reservation;
  /// When Prepared arrived here.
  TimePoint prepared_at;
  /// When the last command was sent to the agent.
  TimePoint last_command;
  /// Whether the agent has reported that the backend server accepted the task.
  bool started = false;
  /// When a report first lacked the task; std::nullopt if the last one had it.
  std::optional<TimePoint> missing_since;
  ErrorKind error = ErrorKind::kNone;
  std::string output;
  std::string message;
  /// Whether TaskDone still has to be acknowledged.
  bool ack_due = false;

  /// Whether the task has reached a final state.
  bool ended() const {
    return state == MemberState::kDone || state == MemberState::kStopped ||
           state == MemberState::kLost;
  }
};

/// Progress of an attempt.
enum class Phase : std::uint8_t {
  /// Preempted attempts still hold resources that the attempt needs.
  kAwaitingPreemption,
  kPreparing,
  /// All members are prepared and the claim of the request is in flight.
  kClaiming,
  /// All members are prepared, but no valid permit to start tasks is held.
  kAwaitingPermit,
  kStarting,
  kRunning,
  /// A failure is set and members are being stopped.
  kStopping,
};

/// Why an attempt is given up.
struct Failure {
  ErrorKind error = ErrorKind::kNone;
  std::string message;
  StopReason reason = StopReason::kGangMemberLost;
  /// Whether it counts against attempts.max: faults of the job or of a worker do, preemption and
  /// refusals before the start don't.
  bool counts_toward_limit = false;
};

/// One try to run a job with all tasks of its gang.
struct Attempt {
  AttemptId id;
  JobId job;
  Phase phase = Phase::kPreparing;
  std::vector<Member> members;
  TimePoint created;
  TimePoint started_at;
  /// Grace period that agents give the tasks when they are stopped.
  Duration grace;
  /// Attempts that are preempted for this one and have not ended yet.
  std::set<AttemptId> victims;
  bool claim_in_flight = false;
  /// Whether the claim may have taken effect; set when the claim is sent.
  bool maybe_claimed = false;
  bool claimed = false;
  bool start_sent = false;
  /// Whether the queue counts the attempt's resources in the usage of its workspace.
  bool counted_in_usage = false;
  std::optional<Failure> failure;
};

/// A job from its submission until its result is no longer kept.
struct Job {
  JobSpec spec;
  /// False for a job that is known only from an agent's report: its payload is missing.
  bool spec_known = true;
  /// The entry that receives the job's progress and result.
  Address entry;
  JobState state = JobState::kQueued;
  TimePoint submitted;
  TimePoint queued_at;
  std::optional<TimePoint> deadline;
  /// Attempts that were started.
  std::uint32_t attempts = 0;
  /// Failed attempts that count against attempts.max.
  std::uint32_t failures = 0;
  /// The last attempt that was incomplete when it was adopted from agents' reports. Its failure is
  /// counted; members that are reported later belong to the same failure.
  AttemptId incomplete_attempt;
  /// Preemptions in this cell.
  std::uint32_t preemptions = 0;
  /// Uncounted failures since the last counted one, without preemptions; they lengthen the backoff.
  std::uint32_t refusals = 0;
  /// The current attempt; empty if there is none.
  AttemptId attempt;
  /// The job is not placed before this time.
  TimePoint not_before;
  /// Whether a task of an earlier attempt has or may have run, so that "not run" would be untrue.
  bool ran = false;
  /// Whether the job was submitted, listed or reported at a time when an earlier scheduler may have
  /// run it.
  bool from_takeover = false;
  bool cancel_requested = false;
  /// Whether the job failed on so many workers that the fault is its own.
  bool at_fault = false;
  /// The attempt whose claim the store has confirmed; empty if there is none.
  AttemptId claimed_attempt;
  /// Whether the store said that another attempt holds the claim.
  bool claimed_elsewhere = false;
  /// Whether the store said that the request is fenced.
  bool fenced = false;
  bool fence_in_flight = false;
  /// The refusal that is sent once the request record is fenced.
  std::optional<JobResult> refusal;
  std::optional<JobResult> result;
  bool write_in_flight = false;
  /// Whether the result is not yet confirmed to be in the store.
  bool write_due = false;
  /// A fence or result write is not retried before this time.
  TimePoint write_after;
  /// Whether the result was sent to the entry.
  bool delivered = false;
  TimePoint finished_at;
  /// Workers on which earlier attempts failed, at most kMaxAvoidedWorkers.
  std::vector<WorkerId> avoided_workers;
  /// Outcome of the last placement decision, for job queries.
  std::string last_reason;
  /// Why each candidate was rejected in the last failed placement.
  std::vector<std::string> candidate_reasons;
  /// Acknowledgements of TaskDone, by agent, that are sent once the result is safe.
  std::vector<std::pair<Address, TaskDoneAck>> pending_acks;
};

/// What the scheduler knows of a worker and its agent.
struct Worker {
  RackId rack;
  Address agent;
  WorkerCapacity capacity;
  /// Whether the agent has sent a report to this scheduler.
  bool reported = false;
  bool accepting = false;
  TimePoint last_heard;
  /// When the agent's report was last requested; empty if never.
  std::optional<TimePoint> hello_sent;
  /// Whether the last report lacked a task that an earlier one had, which another one must confirm.
  bool awaits_confirmation = false;
  /// Sequence number of the last heartbeat.
  std::uint64_t last_sequence = 0;
};

/// An unknown attempt that agents have reported, until the scheduler decides whether to adopt it.
struct ReportedAttempt {
  /// One task of the attempt and the worker that reported it.
  struct Rank {
    WorkerId worker;
    Address agent;
    TaskReport task;
  };
  /// The report by which the attempt became known.
  TaskReport first_report;
  std::map<std::uint32_t, Rank> ranks;
  /// When the decision is made even if not all tasks were reported.
  TimePoint resolve_at;

  /// Whether all tasks were reported and have been started.
  bool fully_started() const;
  /// Whether any task is being stopped.
  bool any_stopping() const;
};

/// Values of the operators' settings that the scheduler uses.
struct CellSettings {
  bool data_centre_out = false;
  Duration preemption_grace;
  std::uint32_t max_attempts = 3;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_PROCESS_CELL_MODEL_H_
