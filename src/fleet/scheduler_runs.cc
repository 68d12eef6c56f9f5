#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "basilspring/fleet/scheduler_core.h"

// Ends and losses of runs.
namespace basilspring::fleet {
namespace {

// Delay before a failed task is started again, so that a transient fault can clear.
constexpr Duration kRetryDelay(100);
// Number of distinct jobs that must fail on a worker, without a success in between, before it is
// put on probation.
constexpr std::size_t kFailuresForProbation = 2;
constexpr Duration kMaxProbation = Duration::Seconds(60);
// A task is given up when this many workers have crashed under it soon after its start, or this
// many at any time. It must not be started three times more after three workers have crashed, and a
// scheduler that is replaced may miss one crash.
constexpr int kMaxEarlyCrashes = 3;
constexpr int kMaxCrashes = 4;
// Of the early crashes this many must be certain: a task may be given up after two crashes. The
// others are starts of which nothing shows that they were carried out.
constexpr int kMinCertainCrashes = 2;
// Longest delay before a task is started again after such a start was lost with its worker; it
// doubles from kRetryDelay on. Leaves time to notice the loss within the 3 s for which a job may be
// left waiting beside free capacity.
constexpr Duration kMaxLostStartPause(1000);
// A long-running task that has run for this long is not the cause of its worker's crash.
constexpr Duration kSoundRunTime = Duration::Seconds(30);

}  // namespace

void SchedulerCore::RecordEnds(TimePoint now, Worker& worker, const AgentReport& report) {
  if (report.backend.empty()) return;
  const BackendAnnouncement& backend = report.backend.front();
  if (worker.ends_backend != backend.id || worker.ends_started_unix_ms != backend.started_unix_ms) {
    worker.ends_backend = backend.id;
    worker.ends_started_unix_ms = backend.started_unix_ms;
    worker.last_end = 0;
    worker.unsaved_ends.clear();
  }
  for (const EndedRow& end : report.ended) RecordEnd(now, worker, end, report.number);
}

void SchedulerCore::RecordEnd(TimePoint now, Worker& worker, const EndedRow& end,
                              std::uint64_t report) {
  if (end.number <= worker.last_end) return;
  worker.last_end = end.number;
  const RunKey key{end.task, end.run};
  const auto outcome = static_cast<RunEnd>(end.end);
  Allocation run;
  Duration ran;
  if (const auto known = worker.runs.find(key); known != worker.runs.end()) {
    ConfirmRun(known->second);
    if (!end.checkpoint.empty()) known->second.checkpoint = end.checkpoint;
    run = known->second;
    ran = now - run.working_since;
    ReleaseRun(now, worker, key, outcome != RunEnd::kDone && outcome != RunEnd::kGangIncomplete);
  }
  Job* ended_job = FindJob(end.task);
  if (ended_job != nullptr && !IsFinal(ended_job->phase)) {
    RecordBegin(now, worker, *ended_job, key, "ended");
    const std::uint64_t version = ended_job->version;
    ApplyEnd(now, worker, *ended_job, key, outcome, run, ran);
    // Once the end is acknowledged, only the record shows that the job has begun.
    const bool begin_unrecorded = unrecorded_begins_.erase(ended_job->spec.id) > 0;
    if (begin_unrecorded && ended_job->version == version) ++ended_job->version;
  }
  const auto found = jobs_.find(end.task.job);
  std::uint64_t record_version = 0;
  if (found != jobs_.end()) {
    const Job& job = found->second;
    record_version = job.version;
    if (job.record_fault != RecordFault::kNone && !IsFinal(job.phase)) {
      // Acknowledged once a record that was made after this end is stored.
      record_version = std::max(job.version, job.saved_version + 1);
      worker.unsaved_ends[end.number] = {end.task.job, record_version};
    } else if (ended_job != nullptr && job.version > job.saved_version) {
      worker.unsaved_ends[end.number] = {end.task.job, record_version};
    }
  }
  LogDecision(fmt::format(
      "task={} run={} worker={} backend={} born={} number={} report={} end={} ran_ms={} percent={} "
      "checkpoint={} record_version={}{}",
      end.task.ToString(), end.run.value(), worker.node.value(), worker.ends_backend.value(),
      worker.ends_started_unix_ms, end.number, report, RunEndName(outcome), ran.milliseconds(),
      run.percent, !end.checkpoint.empty(), record_version,
      found == jobs_.end() ? " the job is not known: the end is acknowledged without a record"
                           : ""));
}

void SchedulerCore::ApplyEnd(TimePoint now, Worker& worker, Job& job, const RunKey& key, RunEnd end,
                             const Allocation& run, Duration ran) {
  if (end == RunEnd::kDone) {
    ++counts_.runs_done;
    worker.failed_jobs.clear();
    worker.next_probation = options_.first_probation;
    if (run.on_probation) worker.probation_until = TimePoint();
    if (run.is_run_time_sample) {
      run_times_.Observe(job.spec.queue, key.task.step, job.spec.id,
                         SpecOf(job, StepIndex(job, key.task)).estimate, ran);
    }
    MarkDone(job, key.task);
  } else if (end == RunEnd::kFailed) {
    ++counts_.runs_failed;
    CountFailure(now, worker, job, key);
  }
}

void SchedulerCore::MarkDone(Job& job, const TaskId& id) {
  const std::size_t index = StepIndex(job, id);
  const StepSpec& spec = SpecOf(job, index);
  if (spec.long_running) return;
  Step& step = job.steps[index];
  // The members of a gang end together, so the end of one counts for all of them.
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    if (!spec.gang && i != static_cast<std::size_t>(id.index)) continue;
    if (step.tasks[i].phase == TaskPhase::kDone) continue;
    step.tasks[i].phase = TaskPhase::kDone;
    ++step.done;
    ++job.version;
  }
  const bool all = std::all_of(job.steps.begin(), job.steps.end(), [](const Step& other) {
    return other.done == static_cast<std::int32_t>(other.tasks.size());
  });
  if (all && !IsFinal(job.phase)) FinishJob(job, JobPhase::kCompleted, "all tasks are done");
}

void SchedulerCore::CountFailure(TimePoint now, Worker& worker, Job& job, const RunKey& key) {
  const std::size_t index = StepIndex(job, key.task);
  const StepSpec& spec = SpecOf(job, index);
  Task& task = TaskOf(job, key.task);
  if (task.phase == TaskPhase::kDone) return;
  CountWorkerFailure(now, worker, key.task.job);
  task.failed_on.insert(worker.node);
  task.not_before = now + kRetryDelay;
  if (spec.long_running || !task.failed_runs.insert(key.run).second) return;
  ++job.version;
  FailIfAttemptsUsedUp(job, index, static_cast<std::size_t>(key.task.index));
  if (spec.gang && !IsFinal(job.phase)) StopStep(now, job, index);
}

void SchedulerCore::FailIfAttemptsUsedUp(Job& job, std::size_t step, std::size_t index) {
  // The limit of an unknown queue is checked once the configuration contains the queue.
  if (IsFinal(job.phase) || !job.queue_known) return;
  const Task& task = job.steps[step].tasks[index];
  if (task.phase == TaskPhase::kDone || task.failed_runs.empty()) return;
  std::set<RunNumber> failed = task.failed_runs;
  if (SpecOf(job, step).gang) {
    for (const Task& member : job.steps[step].tasks) {
      failed.insert(member.failed_runs.begin(), member.failed_runs.end());
    }
  }
  if (static_cast<std::int32_t>(failed.size()) < job.queue.max_attempts) return;
  FinishJob(job, JobPhase::kFailed,
            fmt::format("task {} failed {} times, limit {} in config {}",
                        IdOf(job, step, index).ToString(), failed.size(), job.queue.max_attempts,
                        operator_state_->config.version));
}

void SchedulerCore::FailIfAttemptsUsedUp(Job& job) {
  if (IsFinal(job.phase)) return;
  for (std::size_t step = 0; step < job.steps.size(); ++step) {
    for (std::size_t index = 0; index < job.steps[step].tasks.size(); ++index) {
      FailIfAttemptsUsedUp(job, step, index);
      FailIfWorkersCrashed(job, step, index);
    }
  }
}

void SchedulerCore::CountWorkerFailure(TimePoint now, Worker& worker, const JobId& job) {
  worker.failed_jobs.insert(job);
  if (worker.failed_jobs.size() < kFailuresForProbation || now < worker.probation_until) return;
  worker.probation_until = now + worker.next_probation;
  LogDecision(fmt::format("worker={} runs of {} jobs failed in a row: on probation for {} ms",
                          worker.node.value(), worker.failed_jobs.size(),
                          worker.next_probation.milliseconds()));
  worker.next_probation = std::min(worker.next_probation * 2, kMaxProbation);
}

void SchedulerCore::ReleaseRun(TimePoint now, Worker& worker, const RunKey& key, bool lost) {
  const auto found = worker.runs.find(key);
  if (found == worker.runs.end()) return;
  const Allocation run = std::move(found->second);
  worker.runs.erase(found);
  Job* job = FindJob(key.task);
  if (job == nullptr) return;
  Task& task = TaskOf(*job, key.task);
  --task.live_runs;
  --job->live_runs;
  Step& step = job->steps[StepIndex(*job, key.task)];
  const bool quiet = std::none_of(step.tasks.begin(), step.tasks.end(),
                                  [](const Task& other) { return other.live_runs > 0; });
  if (quiet) {
    // Agents that have not listed their runs in this term may still have runs of an earlier one.
    std::erase_if(step.agents, [&](const NodeId& node) {
      const auto agent = workers_.find(node);
      return agent == workers_.end() ||
             (agent->second.runs_listed_at && !MayHaveStoppingRuns(now, agent->second));
    });
  }
  if (lost && run.confirmed) {
    ++counts_.runs_lost;
    const auto work = LostWork(*job, key, run, now);
    counts_.wasted_core_ms += static_cast<std::uint64_t>(work * 1000.0);
  }
  if (task.phase != TaskPhase::kActive || task.run != key.run) return;
  task.phase = TaskPhase::kWaiting;
  task.waiting_since = now;
  if (!run.checkpoint.empty()) {
    task.checkpoint = run.checkpoint;
    task.checkpoint_percent = run.percent;
  }
}

bool SchedulerCore::AwaitsOrder(const NodeId& node, const RunKey& key) const {
  return std::any_of(pending_orders_.begin(), pending_orders_.end(),
                     [&](const PendingOrder& pending) {
                       return pending.worker == node && pending.order.start &&
                              pending.order.task == key.task && pending.order.run == key.run;
                     });
}

int SchedulerCore::CountCrashes(const Task& task, RunEvidence evidence) {
  return static_cast<int>(std::count_if(task.crashed_runs.begin(), task.crashed_runs.end(),
                                        [&](const auto& row) { return row.second == evidence; }));
}

int SchedulerCore::CountUncertainCrashes(const Task& task) {
  return CountCrashes(task, RunEvidence::kNone) + CountCrashes(task, RunEvidence::kStopped);
}

int SchedulerCore::CountCertainCrashes(const Task& task) {
  return CountCrashes(task, RunEvidence::kAccepted) + CountCrashes(task, RunEvidence::kListed);
}

void SchedulerCore::CountCrash(TimePoint now, Worker& worker, const AgentReport& report) {
  // A worker that drains ends on purpose, and if its agent ended as well, the whole host failed.
  if (worker.backend->draining || worker.backend_reported_by != report.incarnation) return;
  const std::int64_t next_born =
      report.backend_gone || report.backend.empty() ? 0 : report.backend.front().started_unix_ms;
  const auto age_ms = [now](const std::optional<TimePoint>& moment) {
    return moment ? (now - *moment).milliseconds() : -1;
  };
  // Runs that a poll has listed have worked beside each other without a crash, so the cause is
  // sought among the later ones first, as far as these were active.
  const bool any_accepted =
      std::any_of(worker.runs.begin(), worker.runs.end(),
                  [](const auto& row) { return EvidenceOf(row.second) == RunEvidence::kAccepted; });
  for (const auto& [key, run] : worker.runs) {
    Job* job = FindJob(key.task);
    const RunEvidence evidence = EvidenceOf(run);
    if (job == nullptr || IsFinal(job->phase) || AwaitsOrder(worker.node, key)) continue;
    if (evidence == RunEvidence::kListed && any_accepted) continue;
    if (TaskOf(*job, key.task).phase == TaskPhase::kDone) continue;
    RecordCrash(now, worker, *job, key, run);
    LogDecision(fmt::format(
        "task={} run={} worker={} ran_ms={} listed={} confirmed={} stop_ms={} "
        "stop_confirmed={} poll_age_ms={} ordered_ms={} born={} next_born={} crashes={} the worker "
        "crashed {}",
        key.task.ToString(), key.run.value(), worker.node.value(),
        (now - run.working_since).milliseconds(), run.first_percent.has_value(), run.confirmed,
        run.stopping ? (now - run.stopping_since).milliseconds() : -1,
        run.stop_confirmed_at.has_value(), age_ms(worker.polled_at), age_ms(run.ordered_at),
        worker.backend->started_unix_ms, next_born, CountCertainCrashes(TaskOf(*job, key.task)),
        IsCertain(evidence) ? "during the run"
                            : "and nothing shows that the run was active: not counted"));
    FailIfWorkersCrashed(*job, StepIndex(*job, key.task), static_cast<std::size_t>(key.task.index));
  }
}

void SchedulerCore::RecordCrash(TimePoint now, const Worker& worker, Job& job, const RunKey& key,
                                const Allocation& run) {
  const RunEvidence evidence = EvidenceOf(run);
  Task& task = TaskOf(job, key.task);
  task.failed_on.insert(worker.node);
  Duration pause = kRetryDelay;
  if (!IsCertain(evidence)) {
    task.crashed_runs[key.run] = evidence;
    const int lost_starts = CountUncertainCrashes(task);
    pause =
        std::min(kRetryDelay * (std::int64_t{1} << std::min(lost_starts, 4)), kMaxLostStartPause);
  } else {
    const bool sound = SpecOf(job, StepIndex(job, key.task)).long_running &&
                       now - run.working_since >= kSoundRunTime;
    if (sound) {
      task.crashed_runs.clear();
    } else {
      task.crashed_runs[key.run] = evidence;
      ++counts_.crashes_counted;
    }
    ++job.version;
  }
  task.not_before = now + pause;
}

void SchedulerCore::CountCrashOfAcceptedRun(TimePoint now, Worker& worker, const RunKey& key,
                                            std::uint64_t batch) {
  Job* job = FindJob(key.task);
  if (job == nullptr || IsFinal(job->phase)) return;
  Task& task = TaskOf(*job, key.task);
  const auto found = task.crashed_runs.find(key.run);
  if (found == task.crashed_runs.end() || found->second != RunEvidence::kNone) return;
  RecordBegin(now, worker, *job, key, "accepted");
  if (task.phase == TaskPhase::kDone) return;
  found->second = RunEvidence::kAccepted;
  ++counts_.crashes_counted;
  ++job->version;
  LogDecision(fmt::format(
      "task={} run={} worker={} batch={} crashes={} the worker crashed during the run: the answer "
      "to its start came after the crash",
      key.task.ToString(), key.run.value(), worker.node.value(), batch, CountCertainCrashes(task)));
  FailIfWorkersCrashed(*job, StepIndex(*job, key.task), static_cast<std::size_t>(key.task.index));
}

void SchedulerCore::FailIfWorkersCrashed(Job& job, std::size_t step, std::size_t index) {
  const Task& task = job.steps[step].tasks[index];
  const int early = CountCrashes(task, RunEvidence::kAccepted);
  const int certain = CountCertainCrashes(task);
  const int lost_starts = CountUncertainCrashes(task);
  const bool early_used_up = early >= kMinCertainCrashes && early + lost_starts >= kMaxEarlyCrashes;
  if (IsFinal(job.phase) || (!early_used_up && certain < kMaxCrashes)) return;
  const std::string lost =
      lost_starts == 0 ? ""
                       : fmt::format(", {} more starts were lost with their workers", lost_starts);
  FinishJob(job, JobPhase::kFailed,
            fmt::format("{} workers have crashed under task {}{}", certain,
                        IdOf(job, step, index).ToString(), lost));
}

void SchedulerCore::MarkWorkerLost(TimePoint now, Worker& worker, const std::string& reason) {
  LogDecision(fmt::format("worker={} runs={} treating the worker as lost: {}", worker.node.value(),
                          worker.runs.size(), reason));
  while (!worker.runs.empty()) {
    // Copies the key, because releasing the run destroys the original.
    const RunKey key = worker.runs.begin()->first;
    LogDecision(fmt::format("task={} run={} worker={} confirmed={} lost with its worker: {}",
                            key.task.ToString(), key.run.value(), worker.node.value(),
                            worker.runs.begin()->second.confirmed, reason));
    ReleaseRun(now, worker, key, true);
  }
  worker.backend.reset();
}

void SchedulerCore::RequestStop(TimePoint now, Worker& worker, const RunKey& key, Allocation& run) {
  if (!run.stopping) run.stopping_since = now;
  run.stopping = true;
  run.stop_due = now + options_.stop_retry_interval;
  Order order;
  order.task = key.task;
  order.run = key.run;
  pending_orders_.push_back({worker.node, std::move(order)});
}

void SchedulerCore::StopStep(TimePoint now, Job& job, std::size_t step) {
  for (std::size_t i = 0; i < job.steps[step].tasks.size(); ++i) {
    Task& task = job.steps[step].tasks[i];
    if (task.phase != TaskPhase::kActive) continue;
    Worker& worker = workers_[task.worker];
    const RunKey key{IdOf(job, step, i), task.run};
    const auto found = worker.runs.find(key);
    if (found == worker.runs.end() || found->second.stopping) continue;
    RequestStop(now, worker, key, found->second);
  }
}

}  // namespace basilspring::fleet
