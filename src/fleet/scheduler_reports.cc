#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "basilspring/fleet/scheduler_core.h"

// Reports of agents: which of them count, and what they say about backend servers and runs.
namespace basilspring::fleet {
namespace {

// Clocks of backend servers may run slow by this much, so that a lease lasts longer by as much.
constexpr std::int64_t kClockErrorPercent = 3;
// Longest transit time of a poll or a report.
constexpr Duration kTransitTime(300);
// A backend server that has not answered polls for this long may have exited, so a report does not
// count as an extension of its lease.
constexpr Duration kPollSilenceLimit(2000);

}  // namespace

Duration SchedulerOptions::LeaseExpiryMargin() const {
  return lease * kClockErrorPercent / 100 + stop_time + kTransitTime;
}

TimePoint SchedulerCore::LeaseExpiryBound(TimePoint extended_at) const {
  return extended_at + options_.lease + options_.LeaseExpiryMargin();
}

TimePoint SchedulerCore::LeaseExpiryBound(const Worker& worker) const {
  const TimePoint extended_at = std::max(worker.last_lease_extension, term_started_at_);
  return std::max(LeaseExpiryBound(extended_at), worker.longest_lease_until);
}

bool SchedulerCore::MayHaveStoppingRuns(TimePoint now, const Worker& worker) const {
  const Duration longest_stop = options_.stop_time + options_.stop_time * kClockErrorPercent / 100;
  return worker.runs_listed_at && now < *worker.runs_listed_at + longest_stop;
}

std::optional<AgentReportReply> SchedulerCore::RequireSession(Worker& worker,
                                                              const AgentReport& report) {
  if (!worker.reported || worker.incarnation == report.incarnation) return std::nullopt;
  const auto [offered, added] =
      worker.offered_sessions.try_emplace(report.incarnation, next_session_);
  if (added) {
    ++next_session_;
    LogDecision(fmt::format(
        "agent={} incarnation={:x} known_incarnation={:x} number={} session={} report of another "
        "process of the agent: accepted only with the session",
        report.node.value(), report.incarnation, worker.incarnation, report.number,
        offered->second));
  } else if (report.session == offered->second) {
    return std::nullopt;
  }
  AgentReportReply reply;
  reply.term = term_;
  reply.session = offered->second;
  return reply;
}

AgentReportReply SchedulerCore::OnReport(TimePoint now, const AgentReport& report) {
  AgentReportReply reply;
  reply.accepted = true;
  reply.term = term_;
  Worker& worker = workers_[report.node];
  if (auto refusal = RequireSession(worker, report)) return *refusal;
  const bool stale = worker.incarnation == report.incarnation && worker.reported &&
                     report.number <= worker.report_number;
  unreported_agents_.erase(report.node);
  if (!stale) {
    worker.node = report.node;
    worker.address = report.address;
    if (!worker.reported) {
      LogDecision(fmt::format(
          "agent={} incarnation={:x} rows={} first report of the agent in term {}",
          report.node.value(), report.incarnation, report.running.size(), term_.value()));
    }
    if (worker.incarnation != report.incarnation) {
      worker.offered_sessions.clear();
      // The new agent process numbers its polls from the beginning, and the outcome of the orders
      // that its predecessor did not answer is unknown. A stop is confirmed again, together with
      // the poll that shows its effect.
      for (auto& [key, run] : worker.runs) {
        run.visible_from_poll = run.confirmed ? 1 : 0;
        run.stop_confirmed_at.reset();
        if (!run.confirmed || run.stopping) RequestStop(now, worker, key, run);
      }
    }
    worker.incarnation = report.incarnation;
    worker.report_number = report.number;
    worker.reported = true;
    worker.last_report = now;
    worker.poll_age = report.poll_age;
    if (report.backend_gone) {
      RecordEnds(now, worker, report);
      // A report of an earlier term may be older than the backend server's next incarnation and its
      // runs.
      if (report.term == term_ && !worker.runs_listed_at) worker.runs_listed_at = now;
      if (worker.backend) {
        CountCrash(now, worker, report);
        MarkWorkerLost(now, worker, "its backend server has exited");
      }
    } else if (!report.backend.empty()) {
      UpdateBackend(now, worker, report);
    }
  }
  // If CheckSilentWorkers() does not count this report as an extension, only the rest of the last
  // one is granted.
  const TimePoint extended_at = std::max(worker.last_lease_extension, term_started_at_);
  reply.lease = std::max(Duration(0), extended_at + options_.lease - now);
  reply.acknowledged = AcknowledgedEnd(report.node);
  reply.started_unix_ms = worker.ends_started_unix_ms;
  if (operator_state_) {
    for (const Service& service : operator_state_->config.services) {
      reply.services.push_back(service.id);
    }
  }
  return reply;
}

void SchedulerCore::UpdateBackend(TimePoint now, Worker& worker, const AgentReport& report) {
  BackendAnnouncement backend = report.backend.front();
  const bool same = worker.backend && worker.backend->id == backend.id &&
                    worker.backend->started_unix_ms == backend.started_unix_ms;
  // A restarted agent does not know the earlier announcements of its backend server, so a late one
  // could make a server that drains or has left look available.
  if (same && worker.backend->draining && !backend.draining &&
      backend.sequence <= worker.backend->sequence) {
    LogDecision(fmt::format(
        "worker={} backend={} sequence={} last_sequence={} kept as draining: "
        "the reported announcement is not newer",
        worker.node.value(), backend.id.value(), backend.sequence, worker.backend->sequence));
    backend = *worker.backend;
  }
  if (!same) {
    // The lease may have been extended until now, regardless of what polls have shown so far.
    worker.last_lease_extension = now;
    worker.longest_lease_until = TimePoint();
    // Orders are addressed by id, so a start for the former incarnation may have reached this one.
    // It names the end of the lease on the former clock, which is far ahead of the new one.
    const bool restarted =
        worker.ends_backend == backend.id && worker.ends_started_unix_ms != backend.started_unix_ms;
    if (restarted) {
      worker.runs_listed_at.reset();
      worker.longest_lease_until = now + options_.longest_lease * (100 + kClockErrorPercent) / 100 +
                                   options_.stop_time + kTransitTime;
    }
    if (worker.backend) {
      CountCrash(now, worker, report);
      MarkWorkerLost(now, worker, "its backend server was restarted");
    }
    worker.polled_at.reset();
    worker.failed_jobs.clear();
    worker.failed_starts = 0;
    worker.probation_until = TimePoint();
    worker.next_probation = options_.first_probation;
    LogDecision(fmt::format(
        "worker={} backend={} born={} data_centre={} accelerators={} backend server joined",
        worker.node.value(), backend.id.value(), backend.started_unix_ms,
        backend.data_centre.value(), backend.capacity.accelerators));
  }
  const bool was_draining = same && worker.backend->draining;
  const bool new_announcement = !same || worker.backend->sequence != backend.sequence;
  // The capacity may change while the backend server runs.
  const bool new_shape = !same || worker.backend->capacity != backend.capacity;
  worker.backend = backend;
  worker.backend_reported_by = report.incarnation;
  if (new_shape) {
    RecordShape(backend);
    if (same) {
      LogDecision(fmt::format(
          "worker={} backend={} cores={} memory_mb={} accelerators={} runs={} capacity changed",
          worker.node.value(), backend.id.value(),
          static_cast<double>(backend.capacity.milli_cores) / 1000.0, backend.capacity.memory_mb,
          backend.capacity.accelerators, worker.runs.size()));
    }
  }
  if (backend.draining) {
    // The remaining time counts from the announcement, not from each report that repeats it.
    if (new_announcement) worker.drain_deadline = now + backend.drain_remaining;
    if (!was_draining) {
      LogDecision(fmt::format(
          "worker={} backend={} backend server started to drain, remaining_ms={} runs={}",
          worker.node.value(), backend.id.value(), backend.drain_remaining.milliseconds(),
          worker.runs.size()));
    }
  }
  if (report.poll != 0) worker.polled_at = now - report.poll_age;
  RecordEnds(now, worker, report);
  // A report that was made under an earlier term, and reaches this scheduler because an earlier one
  // had the same address, may lack runs that were started in between.
  if (report.poll == 0 || report.term != term_) return;
  // A run of an earlier term that is not listed may have ended; its end is listed later.
  if (!report.more_ends && !worker.runs_listed_at) worker.runs_listed_at = now;
  if (report.poll_age < kPollSilenceLimit) worker.last_lease_extension = now;
  for (const RunningRow& row : report.running) ApplyRunningRow(now, worker, row, report.poll);
  ReleaseUnlistedRuns(now, worker, report);
}

void SchedulerCore::ReleaseUnlistedRuns(TimePoint now, Worker& worker, const AgentReport& report) {
  // An unlisted run may have ended. Its end is listed once earlier ones are acknowledged.
  if (report.more_ends) return;
  // Reports repeat the rows of the last poll while the backend server does not answer.
  const TimePoint polled_at = now - report.poll_age;
  std::set<RunKey> listed;
  for (const RunningRow& row : report.running) listed.insert({row.task, row.run});
  std::vector<RunKey> vanished;
  for (const auto& [key, run] : worker.runs) {
    if (run.visible_from_poll == 0 || report.poll < run.visible_from_poll) continue;
    // The agent stops a run whose start stays unanswered, and tells it with the batch's answer.
    if (IsStartOpen(worker.node, key)) continue;
    // A run that is being stopped is no longer listed as running although it is still active. Its
    // end is listed later, unless it never started.
    if (run.stopping && (!run.stop_confirmed_at ||
                         polled_at - *run.stop_confirmed_at <= options_.stop_time + kTransitTime)) {
      continue;
    }
    if (listed.count(key) == 0) vanished.push_back(key);
  }
  for (const RunKey& key : vanished) {
    LogDecision(fmt::format("task={} run={} worker={} poll={} run is no longer listed",
                            key.task.ToString(), key.run.value(), worker.node.value(),
                            report.poll));
    ReleaseRun(now, worker, key, true);
  }
}

void SchedulerCore::ApplyRunningRow(TimePoint now, Worker& worker, const RunningRow& row,
                                    std::uint64_t poll) {
  const RunKey key{row.task, row.run};
  Job* job = FindJob(row.task);
  auto found = worker.runs.find(key);
  if (found == worker.runs.end()) {
    Allocation run;
    run.working_since = now;
    run.progressed_at = now;
    run.visible_from_poll = poll;
    run.needs_known = job != nullptr;
    if (job != nullptr) {
      run.needs = SpecOf(*job, StepIndex(*job, row.task)).needs;
      Task& task = TaskOf(*job, row.task);
      ++task.live_runs;
      ++job->live_runs;
      NameAgent(*job, StepIndex(*job, row.task), worker.node);
      // The last run was given up with a former incarnation of this worker if it is listed again.
      const bool is_last_run = row.run == task.run && task.worker == worker.node;
      const bool wanted = task.phase == TaskPhase::kWaiting && !IsFinal(job->phase) &&
                          (row.run.value() > task.run.value() || is_last_run);
      if (wanted) {
        task.phase = TaskPhase::kActive;
        task.run = row.run;
        task.worker = worker.node;
        if (task.crashed_runs.erase(row.run) > 0) {
          // The new incarnation carries it out, so it has not ended with the former one.
          task.failed_on.erase(worker.node);
          ++job->version;
        }
      }
      LogDecision(fmt::format("task={} run={} worker={} percent={} run was already active: {}",
                              row.task.ToString(), row.run.value(), worker.node.value(),
                              row.percent, wanted ? "adopted" : "obsolete"));
    }
    found = worker.runs.emplace(key, std::move(run)).first;
  }
  Allocation& run = found->second;
  ConfirmRun(run);
  if (job != nullptr) RecordBegin(now, worker, *job, key, "listed");
  if (run.visible_from_poll == 0) run.visible_from_poll = poll;
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

}  // namespace basilspring::fleet
