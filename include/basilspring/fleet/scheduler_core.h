#ifndef BASILSPRING_FLEET_SCHEDULER_CORE_H_
#define BASILSPRING_FLEET_SCHEDULER_CORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/fleet/delay_cost.h"
#include "basilspring/fleet/fleet_config.h"
#include "basilspring/fleet/job_model.h"
#include "basilspring/fleet/peer_messages.h"
#include "basilspring/fleet/placement.h"
#include "basilspring/fleet/run_time_model.h"
#include "basilspring/fleet/scheduler_options.h"
#include "basilspring/fleet/scheduler_output.h"
#include "basilspring/fleet/scheduler_state.h"
#include "basilspring/fleet/urgent_headroom.h"

namespace basilspring::fleet {

/// Decides which task runs on which worker during one term of the scheduler's lease. Performs no
/// I/O and reads no clock: time, reports and answers are arguments, and the resulting orders and
/// writes are returned. A run occupies its capacity until its end is listed, its stop is confirmed
/// and complete, or its lease has provably expired, so that no task runs twice at the same time.
class SchedulerCore {
 public:
  SchedulerCore(SchedulerOptions options, Term term, TimePoint now);

  void SetOperatorState(std::shared_ptr<const OperatorState> state);

  /// Adds a job from the store; `progress` is the record that an earlier scheduler stored, empty if
  /// there is none. Runs of an earlier term may exist on the agents named in it. `record_revision`
  /// is the revision of the record in the store, for the log.
  void AddJob(TimePoint now, std::int64_t wall_ms, JobSpec spec,
              const std::optional<JobProgress>& progress, std::int64_t record_revision = 0);
  /// Adds a job whose record exists and can't be read. Runs of it that agents list go on, but
  /// nothing is started, and no end is acknowledged, because a scheduler that can read the record
  /// needs it. Only a final phase is recorded. If the specification can't be read, `spec` contains
  /// the id only, and listed runs are stopped.
  void AddUnreadableJob(TimePoint now, std::int64_t wall_ms, JobSpec spec,
                        std::int64_t record_revision = 0);
  /// Cancels a job for its caller. The cancellation of a job that has not been added is remembered
  /// for as long as a finished job. A repeated cancellation starts this time again.
  void CancelJob(const JobId& job);
  /// Registers an agent that may have runs of an earlier term. The address is empty if unknown.
  void ExpectAgent(const NodeId& node, const Address& address);
  /// Records that agents may exist that were not registered, so the shapes stay unknown.
  void SetAgentsIncomplete() { agents_incomplete_ = true; }

  /// Processes the report of an agent and returns the answer to it. A report that is not accepted
  /// has no effect.
  AgentReportReply OnReport(TimePoint now, const AgentReport& report);
  /// Processes the answer to a batch of orders. `reply` is std::nullopt if the answer was lost.
  void OnOrdersAnswered(TimePoint now, std::uint64_t batch,
                        const std::optional<OrderBatchReply>& reply);
  /// Records that the given version of a job's record is in the store.
  void OnSaved(const JobId& job, std::uint64_t version);
  /// Records that the store does not accept the last write for the job. Until a later one is
  /// stored, the job starts nothing; starts that wait for the record are given up.
  void OnSaveRejected(TimePoint now, const JobId& job);
  /// Records that all keys of the job have been deleted from the store.
  void OnRemoved(const JobId& job);
  /// Keeps a job or cancellation whose keys were not deleted, because the job was cancelled again.
  /// Its retention time starts again.
  void OnRemovalRefused(const JobId& job);

  /// Runs one scheduling pass. Starts no runs if `may_start` is false, because the scheduler's
  /// lease may have expired.
  SchedulerOutput Tick(TimePoint now, std::int64_t wall_ms, bool may_start);

  /// Returns the phase that callers may see, or std::nullopt if the job or its phase is unknown. A
  /// final phase is visible once it is stored.
  std::optional<JobPhase> PhaseOf(const JobId& job) const;
  /// Returns the answer to an entry's query. Without a valid lease only final phases are reported:
  /// another scheduler may have seen the job end in the meantime, whereas a final phase never
  /// changes. The same holds while the write of a final phase isn't answered: the store may have
  /// applied it, and another entry may have read it there.
  JobQueryReply AnswerQuery(const JobId& job, bool lease_valid) const;
  std::vector<QueueSummary> Summaries() const;
  /// Returns the shapes of the workers seen in this term; empty while some workers may not have
  /// reported yet.
  std::vector<WorkerShape> Shapes(TimePoint now) const;
  /// Returns the number up to which all ends listed by this agent's backend server are stored.
  std::int64_t AcknowledgedEnd(const NodeId& node) const;
  /// Returns whether the answer to the agent's report should be delayed because ends listed in it
  /// are still being stored. Ends that can't be stored at present don't count.
  bool HasUnsavedEnds(const NodeId& node) const;
  const SchedulerCounts& counts() const { return counts_; }
  /// As of the last pass in which there were jobs.
  const UrgentHeadroom& urgent_headroom() const { return urgent_headroom_; }
  /// Returns whether the agent may have runs: it reports, or its last lease has not expired yet.
  bool KnowsAgent(const NodeId& node) const { return workers_.count(node) > 0; }

 private:
  using RunKey = scheduler::RunKey;
  using Allocation = scheduler::Allocation;
  using Worker = scheduler::Worker;
  using TaskPhase = scheduler::TaskPhase;
  using RunEvidence = scheduler::RunEvidence;
  using Task = scheduler::Task;
  using Step = scheduler::Step;
  using BlockCause = scheduler::BlockCause;
  using RecordFault = scheduler::RecordFault;
  using Job = scheduler::Job;
  using PendingOrder = scheduler::PendingOrder;
  using EarlyCancel = scheduler::EarlyCancel;
  using BatchInFlight = scheduler::BatchInFlight;

  // Defined in fleet/scheduler_pass.h.
  struct ReadyStep;
  struct Relaxation;
  struct PlacementView;
  struct Pass;

  // Jobs and their records, in scheduler_core.cc.
  static std::size_t StepIndex(const Job& job, const TaskId& task);
  static const StepSpec& SpecOf(const Job& job, std::size_t step);
  static TaskId IdOf(const Job& job, std::size_t step, std::size_t index);
  /// Returns the job of a task, or nullptr if there is no such task.
  Job* FindJob(const TaskId& task);
  static Task& TaskOf(Job& job, const TaskId& task);
  void RefreshQueue(Job& job);
  /// Counts the runs of a new job that agents have listed before it was known. They are being
  /// stopped.
  void CountListedRuns(TimePoint now, Job& job);
  /// Adds the agent to those that may have runs of the step, also in the record of a job that has
  /// not ended: a later scheduler waits for the agents that the record names.
  static void NameAgent(Job& job, std::size_t step, const NodeId& node);
  /// Whether the job has priority 0, as far as the settings of its queue are known.
  static bool IsUrgent(const Job& job) { return job.queue_known && job.queue.priority == 0; }
  /// Gives up the capacity that is reserved or held back for the step.
  static void ReleaseClaims(Step& step);
  void FinishJob(Job& job, JobPhase phase, const std::string& reason);
  static JobProgress ProgressOf(Job& job);
  void CollectSaves(TimePoint now, SchedulerOutput& out);
  void RemoveOldJobs(TimePoint now, SchedulerOutput& out);
  /// Deletes the cancellations of jobs that were never accepted, once no late submission can
  /// arrive.
  void RemoveOldCancels(TimePoint now, SchedulerOutput& out);

  // Reports of agents, in scheduler_reports.cc.
  /// Returns std::nullopt if the report may replace what is known of the agent. If another process
  /// of the agent is known, a report may be a late one of a process that has ended; its sender must
  /// then first return the session in this answer.
  std::optional<AgentReportReply> RequireSession(Worker& worker, const AgentReport& report);
  void RecordShape(const BackendAnnouncement& backend);
  void UpdateBackend(TimePoint now, Worker& worker, const AgentReport& report);
  void ApplyRunningRow(TimePoint now, Worker& worker, const RunningRow& row, std::uint64_t poll);
  void ReleaseUnlistedRuns(TimePoint now, Worker& worker, const AgentReport& report);
  /// Returns the time by which runs whose lease was last extended at `extended_at` have certainly
  /// ended.
  TimePoint LeaseExpiryBound(TimePoint extended_at) const;
  /// Returns the time by which the runs of the worker have certainly ended if it stays silent.
  TimePoint LeaseExpiryBound(const Worker& worker) const;
  /// Returns whether runs that an earlier scheduler has stopped may still be active. They are no
  /// longer listed.
  bool MayHaveStoppingRuns(TimePoint now, const Worker& worker) const;

  // What is known to have begun, in scheduler_begins.cc.
  static RunEvidence EvidenceOf(const Allocation& run);
  static bool IsCertain(RunEvidence evidence) { return evidence >= RunEvidence::kAccepted; }
  /// Records that the worker has accepted, listed or ended the run.
  void ConfirmRun(Allocation& run);
  /// Records that a run of the job has certainly begun. `evidence` is for the log.
  void RecordBegin(TimePoint now, const Worker& worker, Job& job, const RunKey& key,
                   std::string_view evidence);
  /// The phase of a job whose record can be read; a final one may not be stored yet.
  static JobPhase CurrentPhase(const Job& job);
  /// Whether callers see the job in the count of pending jobs. Scheduled jobs wait for their time.
  static bool IsPending(const Job& job);
  /// Takes the job out of the count of pending jobs, if it is in it. Called before a change that
  /// makes the job begin or end.
  void StopCountingAsPending(const Job& job);
  /// Makes the records of jobs that have begun due to be written, once their delay is over.
  void CollectBegunJobs(TimePoint now);

  // Ends and losses of runs, in scheduler_runs.cc.
  /// Processes the ends that the report lists. An end is final, so this does not depend on the term
  /// in which the agent has read it, nor on whether the backend server still exists.
  void RecordEnds(TimePoint now, Worker& worker, const AgentReport& report);
  /// `report` is the number of the report that lists the end, for the log.
  void RecordEnd(TimePoint now, Worker& worker, const EndedRow& end, std::uint64_t report);
  /// Applies the end of a run to its job, which has not ended. `run` is what was known of the run;
  /// its members have their defaults if the run was not known.
  void ApplyEnd(TimePoint now, Worker& worker, Job& job, const RunKey& key, RunEnd end,
                const Allocation& run, Duration ran);
  void MarkDone(Job& job, const TaskId& task);
  void CountFailure(TimePoint now, Worker& worker, Job& job, const RunKey& key);
  /// Fails the job if the attempts of the task, or of its gang, are known to be used up.
  void FailIfAttemptsUsedUp(Job& job, std::size_t step, std::size_t index);
  /// Does the same for all tasks of the job.
  void FailIfAttemptsUsedUp(Job& job);
  void CountWorkerFailure(TimePoint now, Worker& worker, const JobId& job);
  /// Counts the crash of a worker, which the report of its agent shows, against the tasks that may
  /// have caused it, and gives up their jobs when their limit is reached.
  void CountCrash(TimePoint now, Worker& worker, const AgentReport& report);
  static int CountCrashes(const Task& task, RunEvidence evidence);
  static int CountUncertainCrashes(const Task& task);
  /// The number of crashes under the task during runs that were certainly active.
  static int CountCertainCrashes(const Task& task);
  /// Records the crash with the task and postpones its next start.
  void RecordCrash(TimePoint now, const Worker& worker, Job& job, const RunKey& key,
                   const Allocation& run);
  /// Counts a crash whose run was not known to be active, because the start's answer came later.
  void CountCrashOfAcceptedRun(TimePoint now, Worker& worker, const RunKey& key,
                               std::uint64_t batch);
  /// Whether an order of the run has not been sent yet.
  bool AwaitsOrder(const NodeId& node, const RunKey& key) const;
  /// Ends the job if too many workers have crashed under the task.
  void FailIfWorkersCrashed(Job& job, std::size_t step, std::size_t index);
  void MarkWorkerLost(TimePoint now, Worker& worker, const std::string& reason);
  void ReleaseRun(TimePoint now, Worker& worker, const RunKey& key, bool lost);
  void RequestStop(TimePoint now, Worker& worker, const RunKey& key, Allocation& run);
  void StopStep(TimePoint now, Job& job, std::size_t step);

  // Checks made in each pass, in scheduler_checks.cc.
  void StopUnwantedRuns(TimePoint now);
  void CheckSilentWorkers(TimePoint now);
  void CheckDrains(TimePoint now);
  /// Returns whether a run on a draining worker must be stopped now.
  bool MustStopForDrain(TimePoint now, const Worker& worker, const RunKey& key) const;
  /// Returns the predicted time until the run ends; for a member of a gang, until the gang ends.
  Duration TimeToFinish(TimePoint now, const Job& job, const RunKey& key) const;
  void CheckStalls(TimePoint now);
  /// Returns whether recent reports show the progress of the worker's runs.
  bool IsProgressKnown(TimePoint now, const Worker& worker) const;
  /// Returns for how long a run of the task may show no progress before it counts as stalled.
  Duration StallLimit(const Job& job, const TaskId& task) const;
  /// Returns whether the step is a gang of which any member has, or may have, made progress within
  /// `limit`.
  bool IsGangProgressing(TimePoint now, const Job& job, std::size_t step, Duration limit) const;
  /// Returns whether an agent may have runs of the step that it has not listed yet.
  bool RecoveryPending(TimePoint now, const Step& step) const;

  // Orders, in scheduler_orders.cc.
  static RepeatRule RepeatRuleOf(const StepSpec& spec);
  /// Returns whether the order still applies. Releases a run that was stopped before its start was
  /// sent.
  bool MaySend(TimePoint now, const PendingOrder& pending);
  /// Returns whether the agent has not answered the batch with the run's start.
  bool IsStartOpen(const NodeId& node, const RunKey& key) const;
  /// Returns whether the order must wait for the record of its job to be stored.
  bool AwaitsRecord(const PendingOrder& pending) const;
  /// Records that the backend server has confirmed a stop and which poll shows its effect.
  void ConfirmStop(TimePoint now, Allocation& run, std::uint64_t visible_from_poll) const;
  /// Pauses starts on the worker and prefers others until it has accepted one.
  static void CountFailedStart(TimePoint now, Worker& worker);
  void EmitOrders(TimePoint now, SchedulerOutput& out);
  /// Processes the refusal of a start whose task has ended as done according to its agent.
  void OnStartContradicted(TimePoint now, Worker& worker, const RunKey& key, std::uint64_t batch);

  // Order of the ready steps and their starts, in scheduler_queue.cc.
  void Schedule(TimePoint now);
  std::vector<ReadyStep> ReadySteps(TimePoint now, const Pass& pass);
  bool StepIsReady(const Job& job, std::size_t step) const;
  static std::vector<std::int32_t> WaitingTasks(const Job& job, std::size_t step, TimePoint now);
  /// Returns the jobs of priority 0 that are within the guarantee of their workspace. The oldest
  /// jobs are admitted first.
  std::set<JobId> GuaranteedJobs() const;
  /// Returns the predicted length of the longest chain of dependent steps.
  Duration CriticalPath(const Job& job) const;
  /// Returns the value of `work` of the job, in weighted core-seconds.
  JobValue ValueOf(const Job& job, Duration critical_path, double work) const;
  /// Sets the tier, the latest start, the predicted work and the order index.
  void Rank(TimePoint now, const Pass& pass, ReadyStep& ready) const;
  /// Starts as many tasks as fit or, if permitted, preempts other runs and reserves their capacity.
  void TryStart(TimePoint now, Pass& pass, ReadyStep ready);
  /// Returns whether the step may stop other runs in this pass.
  bool MayPreempt(TimePoint now, const Pass& pass, const ReadyStep& ready) const;
  /// Starts `count` tasks of the step, or as many as fit unless it is a gang, without stopping
  /// other runs. Returns false if none fits.
  bool StartOnFreeCapacity(TimePoint now, Pass& pass, const ReadyStep& ready, std::int32_t count,
                           const PlacementView& view);
  /// Gives the capacity that is held back for the step to others.
  void ReleaseHeldBack(Pass& pass, const Job& job, std::size_t step);
  void StartTasks(TimePoint now, Pass& pass, Job& job, std::size_t step,
                  const std::vector<std::int32_t>& tasks,
                  const std::vector<std::size_t>& worker_indices);
  void StartTask(TimePoint now, Job& job, const TaskId& id, Worker& worker,
                 const std::string& checkpoint);

  // Reservations, in scheduler_reservations.cc.
  /// Starts tasks of the step on its reserved workers as their capacity becomes free; a gang starts
  /// when all of it is. Returns false if tasks are left that have no reserved worker; `ready` then
  /// contains only these.
  bool TryStartReserved(TimePoint now, Pass& pass, ReadyStep& ready);
  /// The same for a gang. Returns false if the reservation was given up.
  bool TryStartReservedGang(TimePoint now, Pass& pass, const ReadyStep& ready);
  /// Starts a gang on free capacity instead of waiting for its reserved workers. Its own reserved
  /// capacity counts as free. Returns false if the gang does not fit.
  bool StartReservedGangOnFreeCapacity(TimePoint now, Pass& pass, const ReadyStep& ready);
  /// Returns whether a reservation whose stops are late is kept, because stopping other runs
  /// instead would not make the step on time.
  bool AwaitsLateStops(TimePoint now, const ReadyStep& ready);

  // Steps that are not started, in scheduler_waits.cc.
  BlockCause FindBlockCause(TimePoint now, const Job& job, std::size_t step) const;
  /// Counts the step if it is blocked, and logs the cause at intervals.
  void CheckBlocked(TimePoint now, Job& job, std::size_t step);
  /// Logs at intervals what a step that could not be placed needs and what is free.
  void LogWaitReason(TimePoint now, const Pass& pass, const ReadyStep& ready,
                     const PlacementView& view);

  // Free, reserved and held-back capacity, in scheduler_room.cc.
  void BeginPass(TimePoint now, Pass& pass);
  /// Finds the services of which less than half of the capacity is in use.
  void FindIdleServices(Pass& pass) const;
  /// Returns since when the first of the step's waiting tasks has waited.
  static TimePoint WaitingSince(const ReadyStep& ready, TimePoint now);
  /// Returns which preferences are given up for the step. If at least half of the service's
  /// capacity is in use, none are, unless its tasks are long-running or guaranteed.
  Relaxation RelaxationFor(TimePoint now, const Pass& pass, const ReadyStep& ready) const;
  /// Returns the rack of the step's other tasks in which the next ones must start; empty if they
  /// may start in any rack.
  std::string_view RequiredRack(const Pass& pass, const Job& job, std::size_t step) const;
  /// Returns the workers on which the step may be placed.
  PlacementView BuildView(const Pass& pass, const ReadyStep& ready, Relaxation relaxation) const;
  Resources FreeCapacity(const Worker& worker) const;
  /// Returns whether only the backend server knows how much of its capacity is free, because it
  /// may have runs of an earlier scheduler that still stop, or runs of unknown jobs.
  bool IsOccupationUnknown(TimePoint now, const Worker& worker) const;
  /// Returns the number of processed ends that the worker has not been told to forget.
  static std::int64_t UnacknowledgedEnds(const Worker& worker);
  /// Returns whether new work of the service may be started on the worker.
  bool IsUsable(TimePoint now, const Worker& worker, const ServiceId& service) const;
  /// Updates the headroom from the demand of the jobs of priority 0.
  void UpdateHeadroom(TimePoint now, Pass& pass);
  /// Returns how many of the step's waiting tasks may start without using the headroom.
  std::int32_t TasksWithinHeadroom(TimePoint now, const Pass& pass, const ReadyStep& ready) const;
  /// Chooses the workers on which capacity is held back for a waiting gang.
  void HoldBackCapacity(TimePoint now, Pass& pass, const ReadyStep& ready,
                        const PlacementView& view);
  /// Returns the predicted time until `needs` fit on the worker, of which `free` is unused now.
  Duration TimeUntilFits(TimePoint now, const Worker& worker, Resources free,
                         const Resources& needs) const;
  Duration RemainingTime(TimePoint now, const RunKey& key, const Allocation& run) const;
  /// Returns whether the run is being stopped and its capacity is expected to become free soon.
  bool FreesCapacitySoon(TimePoint now, const Allocation& run) const;

  // Preemption, in scheduler_preemption.cc.
  void AddVictims(TimePoint now, const Pass& pass, const ReadyStep& ready,
                  PlacementView& view) const;
  /// Returns whether the step gains enough by stopping the placement's victims.
  bool IsWorthPreempting(TimePoint now, const ReadyStep& ready, const Placement& placement);
  void Preempt(TimePoint now, Pass& pass, const PlacementView& view,
               const std::vector<std::size_t>& victims);
  /// Returns the work, in weighted core-seconds, that is lost if the run is stopped now.
  double LostWork(const Job& job, const RunKey& key, const Allocation& run, TimePoint now) const;

  void LogDecision(std::string text) { decisions_.push_back({std::move(text)}); }

  SchedulerOptions options_;
  Term term_;
  TimePoint term_started_at_;
  /// When the first pass of this term ran.
  std::optional<TimePoint> first_pass_at_;
  std::int64_t wall_ms_ = 0;
  std::shared_ptr<const OperatorState> operator_state_;
  std::map<JobId, Job> jobs_;
  /// Jobs that have not ended.
  std::set<JobId> active_;
  /// For each queue the number of its pending jobs, if there are any.
  std::map<QueueId, std::int64_t> pending_;
  /// Jobs that have begun since their record was last written, and when it is to be written.
  std::set<JobId> unrecorded_begins_;
  TimePoint record_begins_at_;
  std::map<JobId, EarlyCancel> cancelled_before_added_;
  std::map<NodeId, Worker> workers_;
  /// Agents of earlier terms that have not reported in this one.
  std::set<NodeId> unreported_agents_;
  bool agents_incomplete_ = false;
  std::vector<WorkerShape> shapes_;
  RunTimeModel run_times_;
  UrgentHeadroom urgent_headroom_;
  /// Orders that were sent and have not been answered.
  std::map<std::uint64_t, BatchInFlight> batches_;
  std::uint64_t next_batch_ = 1;
  /// Contains the term, because a late report may carry a session of an earlier one.
  std::uint64_t next_session_ = 0;
  std::vector<PendingOrder> pending_orders_;
  std::vector<Decision> decisions_;
  SchedulerCounts counts_;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_SCHEDULER_CORE_H_
