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

/// State and logic of CellCore. The member functions are defined in the file that the comment above
/// their group names.
class CellCore::Impl {
 public:
  Impl(CellIdentity identity, const Timings& timings, TimePoint acquired);

  void Handle(TimePoint now, const CellEvent& event, CellOutput& output);

  bool ready_ = false;
  bool handing_over_ = false;
  /// Whether neither a store operation nor an attempt without sent Starts is pending.
  bool HandedOver() const;
  CellCounters counters_;
  /// The configuration in force; std::nullopt before the first one.
  std::optional<ConfigurationUpdate> configuration_;

 private:
  using Member = internal::Member;
  using MemberState = internal::MemberState;
  using Phase = internal::Phase;
  using Failure = internal::Failure;
  using Attempt = internal::Attempt;
  using Job = internal::Job;
  using Worker = internal::Worker;
  using ReportedAttempt = internal::ReportedAttempt;

  // cell_core.cc: dispatch of events, and output.
  void Dispatch(const Address& from, const Message& message);
  void OnTick();
  /// Checks all workers, attempts and jobs for timeouts and due retries.
  void Scan();
  void OnHandOver();
  void OnLeaseReleased();
  void Send(const Address& to, Message message);
  void SendDatagram(const Address& to, Message message);
  template <typename... Args>
  void Log(EventId event, fmt::format_string<Args...> format, Args&&... args) {
    output_->log.push_back({event, fmt::format(format, std::forward<Args>(args)...)});
  }
  /// Stops this scheduler and returns true if the epoch is higher than its own. `source` names the
  /// message that carried the epoch, for the log. A lower epoch shows that the cell had another
  /// scheduler before.
  bool StopIfSuperseded(Epoch epoch, std::string_view source);

  // cell_jobs.cc: submission, cancellation, deadlines.
  void OnSubmit(const Address& from, const SubmitJob& submit);
  void OnCancel(const Address& from, const CancelJob& cancel);
  void OnQuery(const Address& from, const QueryJob& query);
  /// Makes `from` the entry of a known job and sends it the result or the current state. Takes the
  /// specification if it was missing.
  void AttachEntry(Job& job, const Address& from, const JobSpec& spec);
  /// Queues the job. Returns the refusal, or std::nullopt if the job was queued.
  std::optional<JobResult> Admit(const Job& job);
  QueueItem QueueItemFor(const Job& job) const;
  /// Queues a job that was accepted before; the bounds of the queue don't apply.
  void Enqueue(Job& job);
  void LogQueued(const Job& job);
  /// Queues a job again after an attempt without a result; it is not placed before the pause is
  /// over.
  void Requeue(Job& job, const std::string& reason, Duration pause);
  void CancelNow(Job& job);
  /// Whether a task of the job may have run, under this scheduler or an earlier one.
  bool MayHaveRun(const Job& job) const;
  /// Whether all live agents have had the time to report their workers.
  bool InventoryKnown() const;
  void TickJobs();
  /// Forgets queued jobs without a payload whose entry has not submitted them again in time.
  void DropOrphans();
  void ExpireDeadline(Job& job);
  /// Refuses queued jobs that no arrangement of the cell's workers can hold.
  void RefuseImpossibleJobs();

  // cell_results.cc: results, and their writes to the store.
  /// Ends a job without running it. A non-idempotent job is fenced first; if an idempotent one may
  /// have run before, the error kind is replaced by one that says so.
  void RefuseJob(Job& job, ErrorKind error, const std::string& message);
  /// Sets the final result, and writes it to the store or delivers it.
  void FinishJob(Job& job, JobResult result);
  void SendFence(Job& job);
  void WriteResult(Job& job);
  /// Replaces the result of this scheduler by the one that the store already holds.
  void ReplaceResult(Job& job, const JobResult& stored);
  /// Repeats fences and result writes that failed.
  void RetryStoreWrites();
  void ForgetJob(const JobId& id);
  /// Sends the result to the job's entry.
  void Deliver(Job& job);
  /// Acknowledges the job's TaskDone messages, after which the agents drop the outputs.
  void SendAcks(Job& job);
  void OnFenceReply(const FenceReply& reply);
  void OnResultReply(const ResultReply& reply);
  /// Forgets finished jobs that exceed the retention time or the bounds on kept results.
  void DropOldResults();

  // cell_placement.cc: placement of queued jobs.
  /// Tries to place queued jobs: the job with the reservation first, the others in queue order.
  void RunPlacementPass();
  /// Whether the state of the job allows its placement now.
  bool MayPlace(const Job& job) const;
  bool OverQuota(const Job& job) const;
  std::uint64_t AcceleratorsInUse(const WorkspaceId& workspace) const;
  PlacementInput PlacementInputFor(const Job& job) const;
  /// Returns whether an attempt was begun.
  bool TryPlace(Job& job);
  /// Reserves workers for the job that has been passed over longest, if any is due.
  void UpdateReservation();
  /// Lets all waiting jobs be tried again, since free capacity has changed.
  void OnCapacityChange();
  void BeginAttempt(Job& job, Placed placed);
  void Preempt(const AttemptId& victim, const Job& for_job);
  /// Reserves the freed capacity for attempts whose victims have all ended.
  void ReserveFreedCapacity();
  /// Takes the attempt's resources in the cell state and sends Prepare to all its agents.
  void ReserveAndPrepare(Attempt& attempt, Job& job);
  void SendPrepare(const Attempt& attempt, Member& member, const JobSpec& spec);
  PlacedTask PlacedTaskFor(const Member& member, const Attempt& attempt, const JobSpec& spec) const;

  // cell_gang.cc: an attempt from Prepared to its end.
  std::vector<AttemptId> AttemptIds() const;
  Attempt* FindAttempt(const AttemptId& id);
  /// Returns the member with this rank, or null. `attempt` is set to the attempt, or to null if it
  /// is unknown.
  Member* FindMember(const AttemptId& id, std::uint32_t rank, Attempt** attempt);
  void OnPrepared(const Prepared& prepared);
  void OnTaskStarted(const TaskStarted& started);
  void OnTaskDone(const Address& from, const TaskDone& done);
  void OnTaskStopped(const Address& from, const TaskStopped& stopped);
  void OnClaimReply(const ClaimReply& reply);
  /// Claims or starts the attempt once all members are prepared and a permit is valid.
  void Advance(Attempt& attempt);
  void SendClaim(Attempt& attempt, const Job& job);
  void SendStarts(Attempt& attempt, Job& job);
  /// Stops all members. May end and erase the attempt before it returns.
  void FailAttempt(Attempt& attempt, Failure failure, Duration grace);
  void SendStop(Attempt& attempt, Member& member);
  /// Gives the member's resources back to the cell state.
  void ReleaseMember(Attempt& attempt, Member& member);
  void TickAttempts();
  void TickAttempt(Attempt& attempt);
  /// Makes later placements of the job avoid the worker.
  static void Avoid(Job& job, const WorkerId& worker);

  // cell_outcome.cc: consequences of an ended attempt for its job.
  /// Ends and erases the attempt if all its tasks have ended and no claim is in flight.
  void EndIfAllTasksEnded(const AttemptId& id);
  /// Finishes, requeues or refuses the job of an attempt that has ended.
  void EndAttempt(Attempt& attempt);
  void CompleteJob(Job& job, Attempt& attempt);
  /// Decides the outcome of a job whose attempt ended after a cancellation.
  void ConcludeCancelled(Job& job);
  /// Decides the outcome of a non-idempotent job that must not be tried again.
  void ConcludeClaimed(Job& job, const Attempt& attempt);
  /// Requeues the job, or ends it if its deadline has passed or its attempts are exhausted.
  void ConcludeUnfinished(Job& job, const Attempt& attempt);

  // cell_workers.cc: workers and their agents.
  void OnHeartbeat(const Address& from, const Heartbeat& heartbeat);
  void OnAgentReport(const Address& from, const AgentReport& report);
  /// Asks an agent for a report of its tasks, at most once in half a heartbeat interval.
  void RequestReport(const WorkerId& id);
  /// Number of tasks that run on the worker as far as is known here.
  std::uint32_t RunningTasksOn(const WorkerId& id) const;
  /// Fails the attempts with tasks that the agent should have but did not report.
  void FailMissingTasks(const AgentReport& report);
  /// Returns whether reports that are some time apart lack the member's task. A single one may be a
  /// late one of a former process of the agent, because reports name the worker only.
  bool IsMissingConfirmed(Member& member);
  void UpdateAccepting(const WorkerId& id, Worker& worker, bool accepting);
  void TickWorkers();
  /// Removes a worker that counts as lost, and fails the attempts with tasks on it.
  void RemoveSilentWorker(const WorkerId& id);

  // cell_health.cc: quarantine of workers whose tasks keep failing.
  /// Counts a task's success or failure for its worker.
  void RecordHealth(const Attempt& attempt, const Member& member);
  void TickHealth();
  /// Applies quarantine and probation to the cell state.
  void UpdateTrust();

  // cell_recovery.cc: rebuilding of the state after the acquisition, and late reports.
  void OnRecordsListed(const RecordsListed& listed);
  /// Handles one task of an agent's report.
  void OnReportedTask(const WorkerId& worker, const Address& agent, const TaskReport& task);
  /// Applies the report of a task whose attempt is known. The task is stopped if it is not a member
  /// of the attempt or has ended here.
  void UpdateKnownMember(const WorkerId& worker, const Address& agent, Attempt& attempt,
                         const TaskReport& task);
  static TaskDone TaskDoneFromReport(const TaskReport& task);
  void SendStopTo(const Address& agent, const AttemptId& attempt, std::uint32_t rank);
  bool HasReportedAttempt(const JobId& job) const;
  /// Handles TaskDone of an attempt or member that this scheduler doesn't know.
  void OnUnknownTaskDone(const Address& from, const TaskDone& done);
  void TickRecovery();
  /// Adopts the reported attempts that are fully started or whose waiting time has passed.
  void ResolveReportedAttempts();
  /// Returns the job of a reported attempt. An unknown one is added, without its payload.
  Job& JobForReportedAttempt(const ReportedAttempt& found);
  /// Builds an attempt from its reports; members that were not reported count as lost.
  Attempt BuildAttempt(const AttemptId& id, const ReportedAttempt& found);
  /// Takes the resources of an adopted attempt in the cell state.
  void HoldResources(Attempt& attempt, const JobSpec& spec, const ReportedAttempt& found);
  /// Makes a reported attempt the current attempt of its job, or stops it if the job has another
  /// attempt or a result.
  void AdoptAttempt(const AttemptId& id, const ReportedAttempt& found);
  /// Processes the tasks of an adopted attempt that have finished.
  void ApplyFinishedTasks(const ReportedAttempt& found);
  /// Processes the finished tasks of an adopted attempt; fails the attempt if tasks are missing or
  /// the job was cancelled.
  void ResumeAdoptedAttempt(const AttemptId& id, const ReportedAttempt& found);

  // cell_permits.cc: permits to start tasks, and the data centre's service state.
  /// Whether a permit is held that stays valid for longer than `margin`.
  bool PermitValid(Duration margin) const;
  bool DataCentreOut() const { return settings_.data_centre_out || out_by_permit_; }
  /// Whether the permit is to be renewed.
  bool NeedsPermit() const;
  void RequestPermit();
  void OnPermit(const Permit& permit);
  /// Records what the answer to a permit request says about the data centre's service state.
  void SetOutByPermit(bool out, ConfigRevision revision);
  /// Applies a change of DataCentreOut() to attempts and jobs; does nothing without a change.
  void OnDataCentreStateChange();
  /// Stops an attempt because the data centre is out of service, unless that would lose the outcome
  /// of a non-idempotent job.
  void StopForDataCentre(Attempt& attempt);
  /// Returns queued jobs to their entries while the data centre is out of service.
  void ReturnQueuedJobs();
  bool CanReturn(const Job& job) const;
  /// Whether the job is to be returned because it was preempted too often in this cell.
  static bool MustLeaveCell(const Job& job);
  /// Returns queued jobs that must leave the cell to their entries.
  void ReturnPreemptedJobs();
  /// Returns the job to its entry and forgets it.
  void ReturnJob(const JobId& id, std::string_view reason);
  void TickDataCentreOut();

  // cell_configuration.cc: the operators' settings.
  void OnConfiguration(const Address& from, const ConfigurationUpdate& update);
  /// Puts a configuration in force unless its revision is not higher than the current one.
  void AcceptConfiguration(const ConfigurationUpdate& update);
  void ApplySettings();
  /// Applies the settings that have a default, which also hold before the first configuration.
  void ApplyNumericSettings();
  SettingScope Scope(const WorkspaceId& workspace) const;
  std::int64_t WorkspaceNumber(std::string_view key, const WorkspaceId& workspace) const;
  /// Binds the workspaces' guarantees to workers again.
  void RebindGuarantees();
  /// Copies the borrowed flags of all tasks from the cell state to the attempts.
  void SyncBorrowedFlags();
  /// Tells the queue the total capacity of the workers that take work.
  void UpdateCapacity();

  // cell_summary.cc: summaries for entries.
  void OnEntryHello(const EntryHello& hello);
  void TickSummary();
  CellSummary Summary() const;
  /// All known entries, whether from the settings or from their EntryHello.
  std::vector<Address> Entries() const;
  std::vector<Duration> EstimatedWaits() const;
  /// The estimated wait of a class, between 1 s and 60 s.
  Duration RetryAfter(JobClass job_class) const;

  const CellIdentity identity_;
  const Timings timings_;
  const TimePoint acquired_;
  /// Time of the current event.
  TimePoint now_;
  /// Output of the current event; valid only while the event is handled.
  CellOutput* output_ = nullptr;
  bool superseded_ = false;
  TimePoint last_tick_;
  TimePoint next_scan_;
  /// Whether something changed that may let a queued job be placed.
  bool placement_due_ = false;

  std::map<JobId, Job> jobs_;
  std::map<AttemptId, Attempt> attempts_;
  JobQueue queue_;
  RunTimeEstimate run_times_;
  WorkerHealth health_;
  std::set<WorkerId> quarantined_;
  /// Capacity that is reserved for a waiting job; empty if none is.
  std::optional<CapacityReservation> reservation_;
  /// Keys of the jobs that could not be placed since free capacity last changed.
  std::set<internal::PlacementKey> unplaceable_;
  /// When unplaceable_ was last cleared by the timer.
  TimePoint last_placement_retry_;
  /// Jobs whose results are kept, oldest first, and the size of these results.
  std::deque<JobId> finished_jobs_;
  std::size_t finished_bytes_ = 0;
  /// Jobs with a fence or a result write that has not succeeded yet.
  std::set<JobId> unwritten_jobs_;
  /// Unknown jobs that were cancelled before the state was rebuilt.
  std::set<JobId> early_cancels_;
  std::uint64_t next_attempt_number_ = 1;

  /// The reported workers and the tasks that hold their resources.
  CellState cell_;
  /// Current and recently lost workers, all without tasks; input of CanEverFit.
  CellState inventory_;
  std::map<WorkerId, Worker> workers_;
  /// Lost workers and when they were lost.
  std::map<WorkerId, TimePoint> lost_workers_;
  std::map<AttemptId, ReportedAttempt> reported_attempts_;
  bool records_listed_ = false;
  /// Whether another scheduler held this cell before.
  bool has_predecessor_ = false;
  /// Whether queued jobs have been checked once against the complete inventory.
  bool inventory_checked_ = false;

  /// Until when tasks may be started.
  TimePoint permit_until_;
  TimePoint next_permit_request_;
  /// When an attempt last reserved its resources.
  TimePoint last_placement_;
  std::uint64_t next_permit_id_ = 1;
  /// Unanswered requests and when they were sent.
  std::map<std::uint64_t, TimePoint> permit_requests_;
  /// When a permit was last received.
  TimePoint permit_answered_;
  /// When permit_pair_ last changed.
  TimePoint permit_pair_moved_;
  /// Index of the first of the two entries that are asked in turn for permits.
  std::size_t permit_pair_ = 0;
  /// Whether the last accepted answer to a permit request said that the data centre is out of
  /// service, and the highest configuration revision of such answers.
  bool out_by_permit_ = false;
  ConfigRevision out_revision_;
  /// Since when the data centre has been out of service; empty while it is in service.
  std::optional<TimePoint> out_since_;

  ConfigRevision revision_;
  std::optional<SettingsTree> tree_;
  internal::CellSettings settings_;
  std::vector<Guarantee> guarantees_;
  std::map<WorkspaceId, WorkspaceShare> shares_;
  /// Workspaces with a bound guarantee.
  std::set<WorkspaceId> guaranteed_workspaces_;
  /// Whether guarantees must be bound again before the next placement pass.
  bool rebind_due_ = false;
  /// The shortfalls that were last logged, so that they are logged only when they change.
  std::string last_shortfalls_;

  /// Entries of the last EntriesUpdated, and those that sent an EntryHello and when.
  std::vector<Address> known_entries_;
  std::map<Address, TimePoint> hello_entries_;
  TimePoint next_summary_;
};

}  // namespace basilspring

#endif  // BASILSPRING_SRC_PROCESS_CELL_CORE_INTERNAL_H_
