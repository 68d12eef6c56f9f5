#ifndef BASILSPRING_FLEET_SCHEDULER_CORE_H_
#define BASILSPRING_FLEET_SCHEDULER_CORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/fleet/fleet_config.h"
#include "basilspring/fleet/job_model.h"
#include "basilspring/fleet/peer_messages.h"
#include "basilspring/fleet/run_time_model.h"

namespace basilspring::fleet {

/// Times of the scheduler's decisions. Those that the platform promises are settings.
struct SchedulerOptions {
  /// How long a backend server's runs may go on after an agent's report was answered. Longer than a
  /// change of the scheduler takes, so that no work is lost by it.
  Duration lease = Duration(5000);
  /// Longest time that a backend server takes to stop a run.
  Duration stop_time = Duration(900);
  /// An agent that has not reported for this long gets no new work.
  Duration silence_limit = Duration(1500);
  /// An unanswered stop is sent again after this time.
  Duration stop_retry = Duration(500);
  /// Beyond the stop time, how long a stopped run may take to be listed as ended before work is
  /// planned elsewhere: a poll and a report of its agent on a busy host.
  Duration stop_slack = Duration(600);
  /// A run whose progress stands still for this long is stopped and started elsewhere.
  Duration stall_limit = Duration(3000);
  /// First time that a backend server which fails what it starts gets nothing new; doubles.
  Duration first_probation = Duration(4000);
  /// How long before a draining backend server leaves its runs are stopped to save their state.
  Duration drain_margin = Duration(600);
  /// On a draining backend server, a run that can't continue elsewhere is left alone if it is
  /// expected to end this long before the server leaves; covers small errors of the prediction.
  Duration finish_margin = Duration(200);
  /// How long a finished job is kept for its callers.
  Duration keep_finished = Duration(120000);
  /// In a fleet that is less than half used, a job of which nothing runs waits no longer than this
  /// for the rack of its data.
  Duration rack_wait = Duration(1000);
  /// A job of the first priority that is beyond its workspace's guarantee stops other work only
  /// after waiting this long.
  Duration borrow_wait = Duration(100);
  /// Time in which the remembered peak of the first priority's use falls to about a third.
  Duration headroom_memory = Duration(6000);
  /// Waiting gangs, the most urgent ones, for which workers are kept from refilling.
  std::int32_t awaited_gangs = 2;
  /// Work that must start within this time to be on time may use the headroom.
  Duration headroom_slack = Duration(2000);
};

/// Something that the scheduler decided, for the log.
struct Decision {
  std::string text;
};

/// Orders for one agent, with the number under which their answer is handed back.
struct OutgoingOrders {
  std::uint64_t batch = 0;
  Address agent;
  OrderBatch message;
};

/// A job's record to write; `version` is handed back when it is stored.
struct ProgressSave {
  JobId job;
  std::uint64_t version = 0;
  std::string bytes;
  /// The job was kept long enough: remove all that the store has of it.
  bool remove = false;
};

struct SchedulerOutput {
  std::vector<OutgoingOrders> orders;
  std::vector<ProgressSave> saves;
  std::vector<Decision> decisions;
};

/// Numbers for the metrics address.
struct SchedulerCounts {
  std::uint64_t runs_started = 0;
  std::uint64_t starts_refused = 0;
  std::uint64_t runs_done = 0;
  std::uint64_t runs_failed = 0;
  std::uint64_t runs_lost = 0;
  std::uint64_t runs_preempted = 0;
  std::uint64_t runs_stalled = 0;
  std::uint64_t jobs_completed = 0;
  std::uint64_t jobs_failed = 0;
  std::uint64_t jobs_cancelled = 0;
  /// Core-milliseconds of run time that were thrown away.
  std::uint64_t wasted_core_ms = 0;
};

/// Decides which task runs where, under one term of the scheduler's lease. Pure: time, reports and
/// answers are arguments, and what is to be done is returned. A run holds its room until its end is
/// listed, its stop is confirmed or its lease has provably run out, so no task runs twice.
class SchedulerCore {
 public:
  SchedulerCore(SchedulerOptions options, Term term, TimePoint now);

  void SetOperatorState(std::shared_ptr<const OperatorState> state);

  /// Adds a job from the store; `progress` is what an earlier scheduler recorded of it.
  /// Runs of an earlier term may exist on the agents that the progress names.
  void AddJob(TimePoint now, std::int64_t wall_ms, JobSpec spec,
              const std::optional<JobProgress>& progress);
  /// The caller has cancelled the job. Remembered also when the job comes later.
  void CancelJob(const JobId& job);
  /// An agent that may have runs of an earlier term.
  void ExpectAgent(const NodeId& node, const Address& address);

  /// Takes an agent's report and returns the answer.
  AgentReportReply OnReport(TimePoint now, const AgentReport& report);
  /// The answer to a batch of orders; none when it was lost.
  void OnOrdersAnswered(TimePoint now, std::uint64_t batch,
                        const std::optional<OrderBatchReply>& reply);
  /// The record of a job is stored.
  void OnSaved(const JobId& job, std::uint64_t version);

  /// Decides. With `may_start` false (the lease is in doubt) nothing is started.
  SchedulerOutput Tick(TimePoint now, std::int64_t wall_ms, bool may_start);

  /// The phase that callers may be shown, or nothing when the job is not known here. A final phase
  /// is shown once it is stored.
  std::optional<JobPhase> PhaseOf(const JobId& job) const;
  /// The answer to an entry's question. Without a valid lease only an end is told: another
  /// scheduler may have seen the job end since, but an end stays.
  JobQueryReply AnswerQuery(const JobId& job, bool lease_valid) const;
  std::vector<QueueSummary> Summaries() const;
  /// The kinds of workers that were seen in this term; empty while some may still be missing.
  std::vector<WorkerShape> Shapes(TimePoint now) const;
  /// The number up to which the ends of this agent's backend server are stored.
  std::int64_t AcknowledgedEnd(const NodeId& node) const;
  /// Whether an answer to the agent's report should wait, because ends in it are being stored.
  bool HasUnsavedEnds(const NodeId& node) const;
  const SchedulerCounts& counts() const { return counts_; }
  /// Whether the agent may have runs: it reports, or its last lease has not run out yet.
  bool KnowsAgent(const NodeId& node) const { return workers_.count(node) > 0; }

 private:
  struct RunKey {
    TaskId task;
    RunNumber run;
    auto operator<=>(const RunKey&) const = default;
  };

  /// A run that may be going on at a worker and holds room there.
  struct Allocation {
    Resources needs;
    bool confirmed = false;
    bool stopping = false;
    /// When its stop was first asked for.
    TimePoint stopping_since;
    /// The next time to send its stop.
    TimePoint stop_due;
    /// When the backend server first confirmed that it stops the run.
    std::optional<TimePoint> stop_confirmed_at;
    /// From this poll on the worker's rows are authoritative for the run; 0 while unknown.
    std::uint64_t visible_from = 0;
    std::string checkpoint;
    std::int32_t percent = 0;
    /// The first progress that was listed, and when; the run's own pace counts from it.
    std::optional<std::int32_t> first_percent;
    TimePoint first_percent_at;
    TimePoint progressed_at;
    TimePoint working_since;
    /// Its run time tells how long such tasks take: started here, from the beginning, near its
    /// data.
    bool measured = false;
  };

  struct Worker {
    NodeId node;
    Address address;
    std::uint64_t incarnation = 0;
    std::uint64_t report_number = 0;
    /// Whether the agent has reported in this term.
    bool reported = false;
    /// Whether it has shown in this term what runs there.
    bool rows_seen = false;
    TimePoint last_report;
    /// The last report that showed that runs may still be extended.
    TimePoint last_alive;
    std::optional<BackendAnnouncement> backend;
    Duration poll_age;
    TimePoint drain_deadline;
    std::map<RunKey, Allocation> runs;
    /// Last end that was taken in, and for each end not yet stored the job version it needs.
    std::int64_t last_end = 0;
    std::map<std::int64_t, std::pair<JobId, std::uint64_t>> unsaved_ends;
    /// Failures since the last success, by job; grounds for suspicion.
    std::set<JobId> failed_jobs;
    TimePoint probation_until;
    Duration next_probation;
    TimePoint refused_until;
  };

  enum class TaskPhase : std::uint8_t { kWaiting, kActive, kDone };

  struct Task {
    TaskPhase phase = TaskPhase::kWaiting;
    std::set<RunNumber> failed_runs;
    /// Starts in this term.
    std::uint64_t runs = 0;
    /// The run in force while active.
    RunNumber run;
    NodeId worker;
    std::string checkpoint;
    std::int32_t saved_percent = 0;
    /// Workers where a run of the task has failed.
    std::set<NodeId> failed_on;
    /// Runs that still hold room, also ones that were given up.
    std::int32_t live_runs = 0;
    TimePoint not_before;
    /// How often the task was stopped for others.
    std::uint32_t preemptions = 0;
  };

  struct Step {
    std::vector<Task> tasks;
    std::int32_t done = 0;
    /// Agents that may have runs of the step, of this term or an earlier one.
    std::set<NodeId> agents;
    std::optional<TimePoint> ready_at;
    /// Workers held for the step while what runs there is being stopped.
    std::vector<NodeId> reserved;
    TimePoint reserved_at;
    /// Workers that other work of no first priority leaves to a waiting gang, whose runs end by
    /// themselves.
    std::vector<NodeId> awaited;
    /// When the log last said why the step waits.
    TimePoint explained_at;
  };

  struct Job {
    JobSpec spec;
    Queue queue;
    TimePoint accepted_at;
    JobPhase phase = JobPhase::kQueued;
    bool phase_stored = false;
    bool cancelled = false;
    std::int64_t finished_unix_ms = 0;
    std::vector<Step> steps;
    std::uint64_t version = 0;
    std::uint64_t saving = 0;
    std::uint64_t saved = 0;
    bool started = false;
    /// When something of the job was last running.
    TimePoint last_live;
  };

  /// A step that could start now.
  struct ReadyStep {
    Job* job = nullptr;
    std::size_t step = 0;
    std::int32_t tier = 0;
    /// The time by which it must start to be on time or, where that has passed, to be of use at
    /// all.
    TimePoint latest_start;
    /// Core-seconds that its waiting tasks will take.
    double own_work = 0;
    std::vector<std::int32_t> waiting;
  };

  struct View;
  struct Pass;

  // Jobs and their records, in scheduler_core.cc.
  static std::size_t StepIndex(const Job& job, const TaskId& task);
  static const StepSpec& SpecOf(const Job& job, std::size_t step);
  static TaskId IdOf(const Job& job, std::size_t step, std::size_t index);
  /// The job of a task, or nullptr when there is no such task.
  Job* FindJob(const TaskId& task);
  static Task& TaskOf(Job& job, const TaskId& task);
  void RefreshQueue(Job& job);
  void Finish(Job& job, JobPhase phase, const std::string& reason);
  static JobProgress ProgressOf(Job& job);
  void CollectSaves(SchedulerOutput& out);
  void RemoveOldJobs(SchedulerOutput& out);

  // Reports, ends and losses, in scheduler_runs.cc.
  void RememberShape(const BackendAnnouncement& life);
  void TakeLife(TimePoint now, Worker& worker, const AgentReport& report);
  void AdoptRow(TimePoint now, Worker& worker, const RunningRow& row, std::uint64_t poll);
  void DropVanishedRuns(TimePoint now, Worker& worker, const AgentReport& report);
  void TakeEnd(TimePoint now, Worker& worker, const EndedRow& end);
  void ApplyEnd(TimePoint now, Worker& worker, const RunKey& key, RunEnd end,
                const std::string& checkpoint);
  void MarkDone(Job& job, const TaskId& task);
  void CountFailure(TimePoint now, Worker& worker, Job& job, const RunKey& key);
  void CountWorkerFailure(TimePoint now, Worker& worker, const JobId& job);
  void LoseWorker(TimePoint now, Worker& worker, const std::string& reason);
  void Release(TimePoint now, Worker& worker, const RunKey& key, bool lost);
  void RequestStop(TimePoint now, Worker& worker, const RunKey& key, Allocation& run);
  void StopStep(TimePoint now, Job& job, std::size_t step);
  /// When runs count as gone whose lease was last extended at this time.
  TimePoint LeaseHorizon(TimePoint granted) const;

  // What is looked at in each pass, in scheduler_checks.cc.
  void StopUnwanted(TimePoint now);
  void CheckSilentWorkers(TimePoint now);
  void CheckDrains(TimePoint now);
  bool MustLeave(TimePoint now, const Worker& worker, const RunKey& key) const;
  Duration TimeToFinish(TimePoint now, const Job& job, const RunKey& key) const;
  void CheckStalls(TimePoint now);
  bool GangProgresses(TimePoint now, const Job& job, std::size_t step) const;
  /// Whether an agent that may have runs of the step has not shown yet what it has.
  bool RecoveryPending(TimePoint now, const Step& step) const;

  // Orders, in scheduler_orders.cc.
  struct PendingOrder {
    NodeId worker;
    Order order;
    /// A start waits until this version of its job's record is stored.
    std::uint64_t version = 0;
  };
  bool MaySend(TimePoint now, const PendingOrder& pending);
  bool MustWait(const PendingOrder& pending) const;
  void EmitOrders(TimePoint now, SchedulerOutput& out);

  // Which step is served next, in scheduler_queue.cc.
  void Schedule(TimePoint now);
  std::vector<ReadyStep> ReadySteps(TimePoint now, const Pass& pass);
  bool StepIsReady(const Job& job, std::size_t step) const;
  static std::vector<std::int32_t> WaitingTasks(const Job& job, std::size_t step, TimePoint now);
  std::set<JobId> GuaranteedJobs() const;
  Duration Chain(const Job& job) const;
  void Rank(TimePoint now, const Pass& pass, ReadyStep& ready) const;
  void TryStart(TimePoint now, Pass& pass, const ReadyStep& ready);
  bool TryReserved(TimePoint now, Pass& pass, const ReadyStep& ready);
  void Start(TimePoint now, Pass& pass, Job& job, std::size_t step,
             const std::vector<std::int32_t>& tasks, const std::vector<std::size_t>& rows);
  void StartTask(TimePoint now, Job& job, const TaskId& id, Worker& worker,
                 const std::string& checkpoint);
  void ExplainWait(TimePoint now, const Pass& pass, const ReadyStep& ready, const View& view);

  // Room on the workers, in scheduler_room.cc.
  void BeginPass(TimePoint now, Pass& pass);
  View BuildView(const Pass& pass, const ReadyStep& ready) const;
  Resources FreeRoom(const Worker& worker) const;
  bool IsUsable(TimePoint now, const Worker& worker, const ServiceId& service) const;
  void UpdateHeadroom(TimePoint now, Pass& pass);
  std::int32_t WithinHeadroom(TimePoint now, const Pass& pass, const ReadyStep& ready) const;
  void AwaitRoom(TimePoint now, Pass& pass, const ReadyStep& ready, const View& view);
  Duration TimeUntilFits(TimePoint now, const Worker& worker, Resources room,
                         const Resources& needs) const;
  Duration RemainingTime(TimePoint now, const RunKey& key, const Allocation& run) const;
  /// Whether the room of a run that is being stopped can still be expected soon.
  bool FreesSoon(TimePoint now, const Allocation& run) const;

  // What is stopped for others, in scheduler_preemption.cc.
  void AddVictims(TimePoint now, const Pass& pass, const ReadyStep& ready, View& view) const;
  void Preempt(TimePoint now, Pass& pass, const View& view,
               const std::vector<std::size_t>& victims);
  double LostWork(const Job& job, const RunKey& key, const Allocation& run, TimePoint now) const;

  void Say(std::string text) { decisions_.push_back({std::move(text)}); }

  SchedulerOptions options_;
  Term term_;
  TimePoint term_began_;
  std::int64_t wall_ms_ = 0;
  std::shared_ptr<const OperatorState> operators_;
  std::map<JobId, Job> jobs_;
  /// The jobs that have not ended.
  std::set<JobId> active_;
  std::set<JobId> cancelled_early_;
  std::map<NodeId, Worker> workers_;
  /// Agents of earlier terms that have not reported in this one.
  std::set<NodeId> unheard_agents_;
  std::vector<WorkerShape> shapes_;
  RunTimeModel run_times_;
  /// Recent peak of the accelerators that jobs of the first priority use or wait for.
  double urgent_peak_ = 0;
  TimePoint urgent_peak_at_;
  struct BatchInFlight {
    NodeId node;
    std::uint64_t incarnation = 0;
    BackendId backend;
    std::int64_t started_unix_ms = 0;
    std::vector<std::pair<RunKey, bool>> orders;
  };
  std::map<std::uint64_t, BatchInFlight> batches_;
  std::uint64_t next_batch_ = 1;
  std::vector<PendingOrder> pending_orders_;
  std::vector<Decision> decisions_;
  SchedulerCounts counts_;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_SCHEDULER_CORE_H_
