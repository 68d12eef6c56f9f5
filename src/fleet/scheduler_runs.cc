#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "basilspring/fleet/scheduler_core.h"

// What happens to runs: reports, ends and losses.
namespace basilspring::fleet {
namespace {

// Clocks of backend servers run up to this much slow, so a lease may last that much longer.
constexpr std::int64_t kClockErrorPercent = 3;
// Added to every lease before its runs count as gone, for the way of the last poll.
constexpr Duration kLeaseMargin(300);
// Wait before a failed or refused task is tried again, so that a fault that passes can pass.
constexpr Duration kRetryDelay(100);
// Distinct jobs that must fail on a worker in a row before it is put on probation.
constexpr std::size_t kFailuresForProbation = 2;
constexpr Duration kLongestProbation = Duration::Seconds(60);
// A backend server that has not answered polls for this long may be gone.
constexpr Duration kPollSilence(2000);

}  // namespace

TimePoint SchedulerCore::LeaseHorizon(TimePoint granted) const {
  return granted + options_.lease * (100 + kClockErrorPercent) / 100 + options_.stop_time +
         kLeaseMargin;
}

AgentReportReply SchedulerCore::OnReport(TimePoint now, const AgentReport& report) {
  AgentReportReply reply;
  reply.accepted = true;
  reply.term = term_;
  reply.lease = options_.lease;
  Worker& worker = workers_[report.node];
  const bool stale = worker.incarnation == report.incarnation && worker.reported &&
                     report.number <= worker.report_number;
  unheard_agents_.erase(report.node);
  if (!stale) {
    worker.node = report.node;
    worker.address = report.address;
    if (!worker.reported) {
      Say(fmt::format("agent={} incarnation={:x} rows={} reports for the first time in term {}",
                      report.node.value(), report.incarnation, report.running.size(),
                      term_.value()));
    }
    if (worker.incarnation != report.incarnation) {
      // Polls are counted anew, and orders that the former process had not answered are open.
      for (auto& [key, run] : worker.runs) {
        run.visible_from = run.confirmed ? 1 : 0;
        if (!run.confirmed && !run.stopping) RequestStop(now, worker, key, run);
      }
    }
    worker.incarnation = report.incarnation;
    worker.report_number = report.number;
    worker.reported = true;
    worker.last_report = now;
    worker.poll_age = report.poll_age;
    if (report.backend_gone) {
      worker.rows_seen = true;
      if (worker.backend) LoseWorker(now, worker, "its backend server has ended");
    } else if (!report.backend.empty()) {
      TakeLife(now, worker, report);
    }
  }
  reply.acknowledged = AcknowledgedEnd(report.node);
  if (worker.backend) reply.started_unix_ms = worker.backend->started_unix_ms;
  return reply;
}

void SchedulerCore::TakeLife(TimePoint now, Worker& worker, const AgentReport& report) {
  const BackendAnnouncement& life = report.backend.front();
  const bool same = worker.backend && worker.backend->id == life.id &&
                    worker.backend->started_unix_ms == life.started_unix_ms;
  if (!same) {
    // Its lease can have been extended up to now, whatever polls have shown so far.
    worker.last_alive = now;
    if (worker.backend) LoseWorker(now, worker, "its backend server was started anew");
    worker.last_end = 0;
    worker.unsaved_ends.clear();
    worker.failed_jobs.clear();
    worker.probation_until = TimePoint();
    worker.next_probation = options_.first_probation;
    Say(fmt::format("worker={} backend={} born={} data_centre={} accelerators={} joined",
                    worker.node.value(), life.id.value(), life.started_unix_ms,
                    life.data_centre.value(), life.capacity.accelerators));
  }
  const bool was_draining = same && worker.backend->draining;
  const bool news = !same || worker.backend->sequence != life.sequence;
  worker.backend = life;
  if (!same) RememberShape(life);
  if (life.draining) {
    // What remains counts from the announcement, not from each report that repeats it.
    if (news) worker.drain_deadline = now + life.drain_remaining;
    if (!was_draining) {
      Say(fmt::format("worker={} backend={} drains remaining_ms={} runs={}", worker.node.value(),
                      life.id.value(), life.drain_remaining.milliseconds(), worker.runs.size()));
    }
  }
  if (report.poll == 0) return;
  worker.rows_seen = true;
  if (report.poll_age < kPollSilence) worker.last_alive = now;
  for (const EndedRow& end : report.ended) TakeEnd(now, worker, end);
  for (const RunningRow& row : report.running) AdoptRow(now, worker, row, report.poll);
  DropVanishedRuns(now, worker, report);
}

void SchedulerCore::DropVanishedRuns(TimePoint now, Worker& worker, const AgentReport& report) {
  std::set<RunKey> listed;
  for (const RunningRow& row : report.running) listed.insert({row.task, row.run});
  std::vector<RunKey> vanished;
  for (const auto& [key, run] : worker.runs) {
    if (run.visible_from == 0 || report.poll < run.visible_from) continue;
    // A run that is being stopped still works though it is not listed as running any more. Its end
    // follows, unless it never started.
    if (run.stopping && (!run.stop_confirmed_at ||
                         now - *run.stop_confirmed_at <= options_.stop_time + kLeaseMargin)) {
      continue;
    }
    if (listed.count(key) == 0) vanished.push_back(key);
  }
  for (const RunKey& key : vanished) {
    Say(fmt::format("task={} run={} worker={} poll={} is not listed any more", key.task.ToString(),
                    key.run.value(), worker.node.value(), report.poll));
    Release(now, worker, key, true);
  }
}

void SchedulerCore::AdoptRow(TimePoint now, Worker& worker, const RunningRow& row,
                             std::uint64_t poll) {
  const RunKey key{row.task, row.run};
  Job* job = FindJob(row.task);
  auto found = worker.runs.find(key);
  if (found == worker.runs.end()) {
    Allocation run;
    run.working_since = now;
    run.progressed_at = now;
    run.visible_from = poll;
    if (job != nullptr) {
      run.needs = SpecOf(*job, StepIndex(*job, row.task)).needs;
      Task& task = TaskOf(*job, row.task);
      ++task.live_runs;
      job->steps[StepIndex(*job, row.task)].agents.insert(worker.node);
      const bool wanted = task.phase == TaskPhase::kWaiting && !IsFinal(job->phase) &&
                          row.run.value() > task.run.value();
      if (wanted) {
        task.phase = TaskPhase::kActive;
        task.run = row.run;
        task.worker = worker.node;
        job->started = true;
      }
      Say(fmt::format("task={} run={} worker={} percent={} found running, {}", row.task.ToString(),
                      row.run.value(), worker.node.value(), row.percent,
                      wanted ? "taken over" : "not wanted"));
    }
    found = worker.runs.emplace(key, std::move(run)).first;
  }
  Allocation& run = found->second;
  run.confirmed = true;
  if (run.visible_from == 0) run.visible_from = poll;
  if (!row.checkpoint.empty()) run.checkpoint = row.checkpoint;
  if (!run.first_percent) {
    run.first_percent = row.percent;
    run.first_percent_at = now;
  }
  if (row.percent != run.percent) {
    run.percent = row.percent;
    run.progressed_at = now;
  }
  if (job == nullptr && !run.stopping) RequestStop(now, worker, key, run);
}

void SchedulerCore::TakeEnd(TimePoint now, Worker& worker, const EndedRow& end) {
  if (end.number <= worker.last_end) return;
  worker.last_end = end.number;
  ApplyEnd(now, worker, {end.task, end.run}, static_cast<RunEnd>(end.end), end.checkpoint);
  const Job* job = FindJob(end.task);
  if (job != nullptr && job->version > job->saved) {
    worker.unsaved_ends[end.number] = {end.task.job, job->version};
  }
}

void SchedulerCore::ApplyEnd(TimePoint now, Worker& worker, const RunKey& key, RunEnd end,
                             const std::string& checkpoint) {
  Job* job = FindJob(key.task);
  const auto found = worker.runs.find(key);
  Duration ran;
  std::int32_t percent = 0;
  bool measured = false;
  if (found != worker.runs.end()) {
    if (!checkpoint.empty()) found->second.checkpoint = checkpoint;
    ran = now - found->second.working_since;
    percent = found->second.percent;
    measured = found->second.measured;
    Release(now, worker, key, end != RunEnd::kDone && end != RunEnd::kGangIncomplete);
  }
  Say(fmt::format("task={} run={} worker={} end={} ran_ms={} percent={} checkpoint={}",
                  key.task.ToString(), key.run.value(), worker.node.value(), RunEndName(end),
                  ran.milliseconds(), percent, !checkpoint.empty()));
  if (job == nullptr || IsFinal(job->phase)) return;
  if (end == RunEnd::kDone) {
    ++counts_.runs_done;
    worker.failed_jobs.clear();
    worker.next_probation = options_.first_probation;
    if (measured) run_times_.Observe(job->spec.queue, key.task.step, ran);
    MarkDone(*job, key.task);
  } else if (end == RunEnd::kFailed) {
    ++counts_.runs_failed;
    CountFailure(now, worker, *job, key);
  }
}

void SchedulerCore::MarkDone(Job& job, const TaskId& id) {
  const std::size_t index = StepIndex(job, id);
  const StepSpec& spec = SpecOf(job, index);
  if (spec.long_running) return;
  Step& step = job.steps[index];
  // The members of a gang end together; one end stands for all of them.
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    if (!spec.gang && i != static_cast<std::size_t>(id.index)) continue;
    if (step.tasks[i].phase == TaskPhase::kDone) continue;
    step.tasks[i].phase = TaskPhase::kDone;
    ++step.done;
    ++job.version;
  }
  const bool all = std::all_of(job.steps.begin(), job.steps.end(), [](const Step& row) {
    return row.done == static_cast<std::int32_t>(row.tasks.size());
  });
  if (all && !IsFinal(job.phase)) Finish(job, JobPhase::kCompleted, "all tasks are done");
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
  std::set<RunNumber> failed = task.failed_runs;
  if (spec.gang) {
    for (const Task& member : job.steps[index].tasks) {
      failed.insert(member.failed_runs.begin(), member.failed_runs.end());
    }
  }
  if (static_cast<std::int32_t>(failed.size()) >= job.queue.max_attempts) {
    Finish(job, JobPhase::kFailed,
           fmt::format("task {} failed {} times", key.task.ToString(), failed.size()));
  } else if (spec.gang) {
    StopStep(now, job, index);
  }
}

void SchedulerCore::CountWorkerFailure(TimePoint now, Worker& worker, const JobId& job) {
  worker.failed_jobs.insert(job);
  if (worker.failed_jobs.size() < kFailuresForProbation || now < worker.probation_until) return;
  worker.probation_until = now + worker.next_probation;
  Say(fmt::format("worker={} failed {} jobs in a row: on probation for {} ms", worker.node.value(),
                  worker.failed_jobs.size(), worker.next_probation.milliseconds()));
  worker.next_probation = std::min(worker.next_probation * 2, kLongestProbation);
}

void SchedulerCore::Release(TimePoint now, Worker& worker, const RunKey& key, bool lost) {
  const auto found = worker.runs.find(key);
  if (found == worker.runs.end()) return;
  const Allocation run = std::move(found->second);
  worker.runs.erase(found);
  Job* job = FindJob(key.task);
  if (job == nullptr) return;
  Task& task = TaskOf(*job, key.task);
  --task.live_runs;
  Step& step = job->steps[StepIndex(*job, key.task)];
  const bool quiet = std::none_of(step.tasks.begin(), step.tasks.end(),
                                  [](const Task& row) { return row.live_runs > 0; });
  if (quiet) {
    // Agents that have not reported in this term may still have runs of an earlier one.
    std::erase_if(step.agents, [this](const NodeId& node) {
      const auto agent = workers_.find(node);
      return agent == workers_.end() || agent->second.rows_seen;
    });
  }
  if (lost && run.confirmed) {
    ++counts_.runs_lost;
    const auto work = LostWork(*job, key, run, now);
    counts_.wasted_core_ms += static_cast<std::uint64_t>(work * 1000.0);
  }
  if (task.phase != TaskPhase::kActive || task.run != key.run) return;
  task.phase = TaskPhase::kWaiting;
  if (!run.checkpoint.empty()) {
    task.checkpoint = run.checkpoint;
    task.saved_percent = run.percent;
  }
}

void SchedulerCore::LoseWorker(TimePoint now, Worker& worker, const std::string& reason) {
  Say(fmt::format("worker={} runs={} counts as lost: {}", worker.node.value(), worker.runs.size(),
                  reason));
  while (!worker.runs.empty()) {
    // A copy: releasing a run removes the key that names it.
    const RunKey key = worker.runs.begin()->first;
    Release(now, worker, key, true);
  }
  worker.backend.reset();
}

void SchedulerCore::RequestStop(TimePoint now, Worker& worker, const RunKey& key, Allocation& run) {
  if (!run.stopping) run.stopping_since = now;
  run.stopping = true;
  run.stop_due = now + options_.stop_retry;
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
