#ifndef BASILSPRING_SRC_PROCESS_CELL_CORE_INTERNAL_H_
#define BASILSPRING_SRC_PROCESS_CELL_CORE_INTERNAL_H_

#include <fmt/format.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "basilspring/process/cell_core.h"
#include "basilspring/request/cell_state.h"
#include "basilspring/version/guarantee.h"
#include "basilspring/version/settings_tree.h"
#include "process/cell_queue.h"

namespace basilspring {

namespace internal {

/// Workers that were lost this long ago no longer count for "can ever fit".
inline constexpr Duration kForgetWorkerAfter = Duration::Seconds(600);
/// How long results are kept for entries that ask again.
inline constexpr Duration kKeepResult = Duration::Seconds(60);
/// Bounds of the kept results, so that a burst of large answers can't exhaust the process's memory.
inline constexpr std::size_t kKeptResults = 2048;
inline constexpr std::size_t kKeptResultBytes = 16 * 1024 * 1024;
/// A job without payload, known only from an agent's report, waits this long for its entry.
inline constexpr Duration kKeepOrphan = Duration::Seconds(60);
/// Jobs that are tried in one pass over the queue; bounds the time of one event.
inline constexpr std::size_t kJobsPerPass = 64;
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
  /// The store said that another attempt holds the claim, or that the request is fenced.
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
  std::array<std::uint64_t, kJobClassCount> queue_limit{};
  Duration preemption_grace;
  std::uint32_t max_attempts = 3;
  Duration default_run_time;
};

}  // namespace internal

class CellCore::Impl {
 public:
  Impl(CellIdentity identity, const Timings& timings, TimePoint acquired);

  void Handle(TimePoint now, const CellEvent& event, CellOutput& output);

  bool ready_ = false;
  bool handing_over_ = false;
  bool HandedOver() const;
  CellCounters counters_;

 private:
  using Member = internal::Member;
  using MemberState = internal::MemberState;
  using Phase = internal::Phase;
  using Failure = internal::Failure;
  using Attempt = internal::Attempt;
  using Job = internal::Job;
  using Worker = internal::Worker;
  using FoundAttempt = internal::FoundAttempt;

  // cell_core.cc: dispatch and output.
  void Dispatch(const Address& from, const Message& message);
  void OnTick();
  void OnHandOver();
  void OnLeaseReleased();
  void Send(const Address& to, Message message);
  void SendDatagram(const Address& to, Message message);
  template <typename... Args>
  void Log(EventId event, fmt::format_string<Args...> format, Args&&... args) {
    out_->log.push_back({event, fmt::format(format, std::forward<Args>(args)...)});
  }
  /// True when the epoch is higher than this scheduler's, which then stops.
  bool CheckEpoch(Epoch epoch, std::string_view source);

  // cell_jobs.cc: submission, cancellation, deadlines.
  void OnSubmit(const Address& from, const SubmitJob& submit);
  void OnCancel(const Address& from, const CancelJob& cancel);
  void OnQuery(const Address& from, const QueryJob& query);
  void AttachEntry(Job& job, const Address& from, const JobSpec& spec);
  std::optional<JobResult> AdmissionFault(const JobSpec& spec) const;
  void Enqueue(Job& job);
  void Requeue(Job& job, const std::string& reason, Duration pause);
  void CancelNow(Job& job);
  bool MayHaveRun(const Job& job) const;
  bool InventoryKnown() const;
  void TickJobs();
  void DropOrphans();
  void ExpireDeadline(Job& job);
  void RefuseImpossibleJobs();

  // cell_results.cc: results and their writes.
  /// Ends a job of which no task has run; a non-idempotent one is fenced first.
  void RefuseJob(Job& job, ErrorKind error, const std::string& message);
  void FinishJob(Job& job, JobResult result);
  void SendFence(Job& job);
  void WriteResult(Job& job);
  void ReplaceResult(Job& job, const JobResult& stored);
  void RetryStore();
  void ForgetJob(const JobId& id);
  void Deliver(Job& job);
  void SendAcks(Job& job);
  void OnFenceReply(const FenceReply& reply);
  void OnResultReply(const ResultReply& reply);
  void DropOldResults();

  // cell_placement.cc: from the queue to an attempt.
  void PlacePass();
  bool MayPlace(const Job& job) const;
  bool OverQuota(const Job& job) const;
  std::uint64_t AcceleratorsInUse(const WorkspaceId& workspace) const;
  PlacementInput InputFor(const Job& job) const;
  bool TryPlace(Job& job);
  void BeginAttempt(Job& job, Placed placed);
  void Preempt(const AttemptId& victim, const Job& for_job);
  /// Reserves the room of gangs whose victims have ended.
  void BindFreedRoom();
  void Reserve(Attempt& attempt, Job& job);
  PlacedTask TaskOf(const Member& member, const Attempt& attempt, const JobSpec& spec) const;

  // cell_gang.cc: from Prepared to the end of an attempt.
  std::vector<AttemptId> AttemptIds() const;
  Attempt* FindAttempt(const AttemptId& id);
  Member* FindMember(const AttemptId& id, std::uint32_t rank, Attempt** attempt);
  void OnPrepared(const Prepared& prepared);
  void OnTaskStarted(const TaskStarted& started);
  void OnTaskDone(const Address& from, const TaskDone& done);
  void OnTaskStopped(const Address& from, const TaskStopped& stopped);
  void OnClaimReply(const ClaimReply& reply);
  void Advance(Attempt& attempt);
  void SendClaim(Attempt& attempt, const Job& job);
  void SendStarts(Attempt& attempt, Job& job);
  /// Stops all members. May end and erase the attempt at once.
  void FailAttempt(Attempt& attempt, Failure failure, Duration grace);
  void SendStop(Attempt& attempt, Member& member);
  void ReleaseMember(Attempt& attempt, Member& member);
  void TickAttempts();
  void TickAttempt(Attempt& attempt);
  static void Avoid(Job& job, const WorkerId& worker);

  // cell_outcome.cc: what an ended attempt means for its job.
  void EndIfOver(const AttemptId& id);
  void EndAttempt(Attempt& attempt);
  void CompleteJob(Job& job, Attempt& attempt);
  void ConcludeCancelled(Job& job);
  void ConcludeClaimed(Job& job, const Attempt& attempt);
  void ConcludeUnfinished(Job& job, const Attempt& attempt);

  // cell_workers.cc: agents.
  void OnHeartbeat(const Address& from, const Heartbeat& heartbeat);
  void OnAgentReport(const Address& from, const AgentReport& report);
  void RequestReport(const WorkerId& id);
  std::uint32_t RunningOn(const WorkerId& id) const;
  void ReconcileMissing(const AgentReport& report);
  void UpdateAccepting(const WorkerId& id, Worker& worker, bool accepting);
  void TickWorkers();
  void LoseWorker(const WorkerId& id);

  // cell_health.cc: workers that fail what they start.
  void NoteHealth(const Attempt& attempt, const Member& member, Duration ran_for);
  void TickHealth();

  // cell_recovery.cc: rebuilding after acquisition, and late reports.
  void OnRecords(const RecordsListed& listed);
  void OnReportedTask(const WorkerId& worker, const Address& agent, const TaskReport& task);
  void UpdateKnownMember(const WorkerId& worker, const Address& agent, Attempt& attempt,
                         const TaskReport& task);
  static TaskDone DoneFromReport(const TaskReport& task);
  void SendStopTo(const Address& agent, const AttemptId& attempt, std::uint32_t rank);
  bool HasFoundAttempt(const JobId& job) const;
  void OnUnknownTaskDone(const Address& from, const TaskDone& done);
  void TickRecovery();
  void DecideFound();
  Job& JobOfFound(const FoundAttempt& found);
  Attempt BuildAttempt(const AttemptId& id, const FoundAttempt& found);
  void HoldResources(Attempt& attempt, const JobSpec& spec, const FoundAttempt& found);
  void Adopt(const AttemptId& id, const FoundAttempt& found);
  void ResumeAdopted(const AttemptId& id, const FoundAttempt& found);

  // cell_permits.cc
  bool PermitValid(Duration margin) const;
  bool DataCentreOut() const { return settings_.out || out_by_permit_; }
  bool WantsPermit() const;
  void RequestPermit();
  void OnPermit(const Permit& permit);
  void SetOutByPermit(bool out, ConfigRevision revision);
  /// Acts on a change of DataCentreOut.
  void NoteDataCentreState();
  void StopForDataCentre(Attempt& attempt);
  void TickDataCentreOut();

  // cell_configuration.cc
  void OnConfiguration(const Address& from, const ConfigurationUpdate& update);
  void ApplySettings();
  void ApplyNumbers();
  SettingScope Scope(const WorkspaceId& workspace) const;
  std::int64_t WorkspaceNumber(std::string_view key, const WorkspaceId& workspace) const;
  void Rebind();
  /// Copies from the cell's state to the attempts which tasks are borrowed.
  void CopyBorrowed();

  // cell_summary.cc
  void OnEntryHello(const EntryHello& hello);
  void TickSummary();
  CellSummary Summary() const;
  std::vector<Address> Entries() const;
  void NoteWait(const Job& job);
  void NoteRunTime(const Job& job, Duration run_time);
  std::vector<Duration> EstimatedWaits() const;
  Duration RetryAfter(JobClass job_class) const;

  const CellIdentity identity_;
  const Timings timings_;
  const TimePoint acquired_;
  /// Valid while an event is handled.
  TimePoint now_;
  CellOutput* out_ = nullptr;
  bool deposed_ = false;
  TimePoint last_tick_;
  /// Something changed that may let a queued job be placed.
  bool dirty_ = false;

  std::map<JobId, Job> jobs_;
  std::map<AttemptId, Attempt> attempts_;
  internal::CellQueue queue_;
  std::deque<JobId> finished_;
  std::size_t finished_bytes_ = 0;
  std::set<JobId> unwritten_;
  std::set<JobId> early_cancels_;
  std::uint64_t next_attempt_ = 1;

  CellState cell_;
  /// Workers seen lately with nothing on them, for CanEverFit.
  CellState capacity_;
  std::map<WorkerId, Worker> workers_;
  std::map<WorkerId, TimePoint> lost_;
  std::map<AttemptId, FoundAttempt> found_;
  bool records_listed_ = false;
  /// Whether another scheduler held this cell before.
  bool predecessor_ = false;
  bool inventory_checked_ = false;

  TimePoint permit_until_;
  TimePoint next_permit_request_;
  TimePoint last_demand_;
  std::uint64_t next_permit_ = 1;
  std::map<std::uint64_t, TimePoint> permit_requests_;
  TimePoint permit_answered_;
  TimePoint permit_pair_moved_;
  std::size_t permit_pair_ = 0;
  bool out_by_permit_ = false;
  ConfigRevision out_revision_;
  std::optional<TimePoint> out_since_;

  ConfigRevision revision_;
  std::optional<SettingsTree> tree_;
  internal::CellSettings settings_;
  std::vector<Guarantee> guarantees_;
  /// Workspaces with bound runs.
  std::set<WorkspaceId> guaranteed_;
  bool rebind_due_ = false;
  std::string last_shortfalls_;

  std::vector<Address> known_entries_;
  std::map<Address, TimePoint> hello_entries_;
  TimePoint next_summary_;
  std::array<std::int64_t, kJobClassCount> wait_average_ms_{};
  std::array<std::int64_t, kJobClassCount> run_average_ms_{};
};

}  // namespace basilspring

#endif  // BASILSPRING_SRC_PROCESS_CELL_CORE_INTERNAL_H_
