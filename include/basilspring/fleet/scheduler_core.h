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
    /// Whether the worker has accepted or listed the run.
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

  struct Job {
    JobSpec spec;
    /// The last known settings of the job's queue. Once the queue is removed, the service is empty.
    Queue queue;
    /// Whether a configuration of this term contained the queue. If false, its limits are unknown.
    bool queue_known = false;
    TimePoint accepted_at;
    /// The final phase, or kQueued while the job has not ended; see PhaseOf().
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
    /// RecordBegin() and never reset.
    bool begun = false;
    /// The number of runs that still occupy capacity.
    std::int32_t live_runs = 0;
    /// When the job last had a live run.
    TimePoint last_active_at;
  };

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
  struct PendingOrder {
    NodeId worker;
    Order order;
    /// A start is not sent before this version of its job's record is stored.
    std::uint64_t version = 0;
  };
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
  /// A cancellation of a job that has not been added.
  struct EarlyCancel {
    /// When a pass first saw it.
    std::optional<TimePoint> kept_since;
    /// Whether the deletion of its key has been requested.
    bool removing = false;
  };
  std::map<JobId, EarlyCancel> cancelled_before_added_;
  std::map<NodeId, Worker> workers_;
  /// Agents of earlier terms that have not reported in this one.
  std::set<NodeId> unreported_agents_;
  bool agents_incomplete_ = false;
  std::vector<WorkerShape> shapes_;
  RunTimeModel run_times_;
  UrgentHeadroom urgent_headroom_;
  /// Orders that were sent and have not been answered, with the incarnations they were sent to.
  struct BatchInFlight {
    NodeId node;
    std::uint64_t incarnation = 0;
    BackendId backend;
    std::int64_t started_unix_ms = 0;
    /// For each order its run and whether it is a start.
    std::vector<std::pair<RunKey, bool>> orders;
  };
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
