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

/// Workers that were lost this long ago no longer count for "can ever fit".
inline constexpr Duration kForgetWorkerAfter = Duration::Seconds(600);
/// How long results are kept for entries that ask again.
inline constexpr Duration kKeepResult = Duration::Seconds(60);
/// Bounds of the kept results, so that a burst of large answers can't exhaust the process's memory.
inline constexpr std::size_t kKeptResults = 2048;
inline constexpr std::size_t kKeptResultBytes = 16 * 1024 * 1024;
/// A job without payload, known only from an agent's report, waits this long for its entry.
inline constexpr Duration kKeepOrphan = Duration::Seconds(60);
/// Scans of all jobs and attempts are this far apart: with 10,000 waiting jobs, one on each tick
/// would take more than the share of a core that control may use.
inline constexpr Duration kScanInterval = Duration(100);
/// Jobs that are tried in one pass over the queue; bounds the time of one event.
inline constexpr std::size_t kJobsPerPass = 256;
/// Placements that may find no room in one pass; each takes up to a millisecond in a large cell.
inline constexpr std::size_t kFailuresPerPass = 16;
/// Jobs without room are tried again after this even if no room was freed: other jobs that have
/// started since may be preempted.
inline constexpr Duration kForgetNoRoom = Duration(500);
/// Share of runs that end within the time a backfilled job is given.
inline constexpr double kBackfillQuantile = 0.9;
/// First and longest pause before a requeued job is placed again.
inline constexpr Duration kFirstBackoff = Duration(100);
inline constexpr Duration kLongestBackoff = Duration(5000);
inline constexpr Duration kStoreRetry = Duration(1000);
/// Cancellations of unknown jobs that are kept until the state has been rebuilt.
inline constexpr std::size_t kEarlyCancels = 4096;
/// Workers that a job failed on, remembered for its next placement.
inline constexpr std::size_t kAvoidedWorkers = 16;
/// Permits are kept up for this long after the last placement.
inline constexpr Duration kKeepPermit = Duration(5000);
inline constexpr std::size_t kPermitRequests = 16;
/// An entry that hasn't said hello for this long gets no more summaries.
inline constexpr Duration kForgetEntryAfter = Duration::Seconds(60);

/// Jobs that are alike for placement: when one finds no room, the others don't either.
using Likeness = std::tuple<WorkspaceId, JobClass, GangShape>;

enum class MemberState : std::uint8_t {
  kPlanned,
  kPreparing,
  kPrepared,
  kStarting,
  kRunning,
  kStopping,
  kDone,
  kStopped,
  kLost,
};

/// One task of an attempt.
struct Member {
  std::uint32_t rank = 0;
  WorkerId worker;
  Address agent;
  AcceleratorMask accelerators = 0;
  bool borrowed = false;
  MemberState state = MemberState::kPlanned;
  /// Whether the task holds resources in the cell's state.
  bool holds = false;
  TimePoint agent_now;
  /// Run of the agent that prepared it.
  Incarnation reservation;
  TimePoint prepared_at;
  TimePoint last_command;
  /// Whether the agent has shown that the backend server accepted the task.
  bool started = false;
  ErrorKind error = ErrorKind::kNone;
  std::string output;
  std::string message;
  /// Whether TaskDone still has to be acknowledged.
  bool ack_due = false;

  bool over() const {
    return state == MemberState::kDone || state == MemberState::kStopped ||
           state == MemberState::kLost;
  }
};

enum class Phase : std::uint8_t {
  kMakingRoom,
  kPreparing,
  kClaiming,
  kAwaitingPermit,
  kStarting,
  kRunning,
  kStopping,
};

/// Why an attempt is given up.
struct Failure {
  ErrorKind error = ErrorKind::kNone;
  std::string message;
  StopReason reason = StopReason::kGangMemberLost;
  /// Whether it counts against attempts.max: faults of the job or of a worker do, preemption and
  /// refusals before the start don't.
  bool counts = false;
};

struct Attempt {
  AttemptId id;
  JobId job;
  Phase phase = Phase::kPreparing;
  std::vector<Member> members;
  TimePoint created;
  TimePoint started_at;
  Duration grace;
  std::set<AttemptId> victims;
  bool claim_in_flight = false;
  /// Set from the moment at which the claim may have taken effect.
  bool maybe_claimed = false;
  bool claimed = false;
  bool start_sent = false;
  /// Whether the queue counts it in what its workspace holds.
  bool holds_share = false;
  std::optional<Failure> failure;
};

struct Job {
  JobSpec spec;
  /// False for a job that is known only from an agent's report: its payload is missing.
  bool spec_known = true;
  Address entry;
  JobState state = JobState::kQueued;
  TimePoint submitted;
  TimePoint queued_at;
  std::optional<TimePoint> deadline;
  std::uint32_t attempts = 0;
  std::uint32_t failures = 0;
  std::uint32_t refusals = 0;
  AttemptId attempt;
  TimePoint not_before;
  /// Whether a task of an earlier attempt has or may have run, so that "not run" would be untrue.
  bool ran = false;
  /// Submitted or listed while a former scheduler may have run it.
  bool from_takeover = false;
  bool cancel = false;
  /// It failed on so many workers that the fault is its own.
  bool at_fault = false;
  /// The store said that another attempt holds the claim, or that the request is fenced.
  AttemptId claimed_attempt;
  bool claimed_elsewhere = false;
  bool fenced = false;
  /// Whether a fence is in flight.
  bool fencing = false;
  /// The refusal that is sent once the request record is fenced.
  std::optional<JobResult> refusal;
  std::optional<JobResult> result;
  bool write_in_flight = false;
  bool write_due = false;
  TimePoint write_after;
  bool delivered = false;
  TimePoint finished_at;
  std::vector<WorkerId> avoid;
  std::string last_reason;
  std::vector<std::string> reasons;
  /// Members' TaskDone that are acknowledged once the result is safe.
  std::vector<std::pair<Address, TaskDoneAck>> acks;
};

struct Worker {
  RackId rack;
  Address agent;
  WorkerCapacity capacity;
  bool reported = false;
  bool accepting = false;
  TimePoint last_heard;
  std::optional<TimePoint> hello_sent;
  std::uint64_t last_sequence = 0;
};

/// An attempt that was found in agents' reports and is not decided yet.
struct FoundAttempt {
  struct Rank {
    WorkerId worker;
    Address agent;
    TaskReport task;
  };
  TaskReport first;
  std::map<std::uint32_t, Rank> ranks;
  TimePoint decide_at;

  /// Whether all tasks were found and have been started.
  bool whole() const;
  /// Whether a task is being stopped.
  bool stopping() const;
};

/// Values of the operators' settings that the scheduler uses.
struct CellSettings {
  bool out = false;
  Duration preemption_grace;
  std::uint32_t max_attempts = 3;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_PROCESS_CELL_MODEL_H_
