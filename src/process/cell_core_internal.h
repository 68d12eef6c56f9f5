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
#include "basilspring/request/capacity_reservation.h"
#include "basilspring/request/cell_state.h"
#include "basilspring/request/job_queue.h"
#include "basilspring/request/run_time_estimate.h"
#include "basilspring/request/worker_health.h"
#include "basilspring/version/guarantee.h"
#include "basilspring/version/settings_tree.h"
#include "process/cell_model.h"

namespace basilspring {

class CellCore::Impl {
 public:
  Impl(CellIdentity identity, const Timings& timings, TimePoint acquired);

  void Handle(TimePoint now, const CellEvent& event, CellOutput& output);

  bool ready_ = false;
  bool handing_over_ = false;
  bool HandedOver() const;
  CellCounters counters_;
  /// What is in force; nothing before the first configuration.
  std::optional<ConfigurationUpdate> configuration_;

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
  /// Looks through all workers, attempts and jobs for what is due.
  void Scan();
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
  /// Why the job is refused, or nothing when it has been queued.
  std::optional<JobResult> Admit(const Job& job);
  QueueItem ItemOf(const Job& job) const;
  void Enqueue(Job& job);
  void LogQueued(const Job& job);
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
  void UpdateReservation();
  void NoteRoomChange();
  void BeginAttempt(Job& job, Placed placed);
  void Preempt(const AttemptId& victim, const Job& for_job);
  /// Reserves the room of gangs whose victims have ended.
  void BindFreedRoom();
  void Reserve(Attempt& attempt, Job& job);
  void SendPrepare(const Attempt& attempt, Member& member, const JobSpec& spec);
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
  void NoteHealth(const Attempt& attempt, const Member& member);
  void TickHealth();
  void UpdateTrust();

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
  /// Gives queued jobs back to their entries while the data centre is out of service.
  void ReturnQueuedJobs();
  bool CanReturn(const Job& job) const;
  void TickDataCentreOut();

  // cell_configuration.cc
  void OnConfiguration(const Address& from, const ConfigurationUpdate& update);
  void TakeConfiguration(const ConfigurationUpdate& update);
  void ApplySettings();
  void ApplyNumbers();
  SettingScope Scope(const WorkspaceId& workspace) const;
  std::int64_t WorkspaceNumber(std::string_view key, const WorkspaceId& workspace) const;
  void Rebind();
  /// Copies from the cell's state to the attempts which tasks are borrowed.
  void CopyBorrowed();
  void UpdateCapacity();

  // cell_summary.cc
  void OnEntryHello(const EntryHello& hello);
  void TickSummary();
  CellSummary Summary() const;
  std::vector<Address> Entries() const;
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
  TimePoint next_scan_;
  /// Something changed that may let a queued job be placed.
  bool dirty_ = false;

  std::map<JobId, Job> jobs_;
  std::map<AttemptId, Attempt> attempts_;
  JobQueue queue_;
  RunTimeEstimate run_times_;
  WorkerHealth health_;
  std::set<WorkerId> quarantined_;
  std::optional<CapacityReservation> reservation_;
  /// Kinds of jobs for which no room was found since the room last changed.
  std::set<internal::Likeness> no_room_;
  TimePoint no_room_since_;
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
  std::map<WorkspaceId, WorkspaceShare> shares_;
  /// Workspaces with bound runs.
  std::set<WorkspaceId> guaranteed_;
  bool rebind_due_ = false;
  std::string last_shortfalls_;

  std::vector<Address> known_entries_;
  std::map<Address, TimePoint> hello_entries_;
  TimePoint next_summary_;
};

}  // namespace basilspring

#endif  // BASILSPRING_SRC_PROCESS_CELL_CORE_INTERNAL_H_
