#include "standin/soak_rules.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace basilspring::standin {
namespace {

// The users' bounds for a cancellation (3 s) and an evacuation (5 s) to take effect, plus 6 s
// because the store may be faulty meanwhile.
constexpr std::int64_t kCancelBoundMs = 3000 + 6000;
constexpr std::int64_t kEvacuationBoundMs = 5000 + 6000;
// Time between SIGTERM and SIGKILL on the users' platform.
constexpr std::int64_t kStopGraceMs = 6000;
// An entry that stops may close a connection without an answer within this time after the request
// was sent, because it may not have read the request yet.
constexpr std::int64_t kUnreadRequestMs = 200;
// The users' bound for a reload to take effect. Requests sent until then may not be cut off by it.
constexpr std::int64_t kReloadBoundMs = 4000;
// The users' bounds: an accepted job is known after the first time, and until the second one has
// passed since its end.
constexpr std::int64_t kVisibleBoundMs = 3000;
constexpr std::int64_t kRetentionMs = 120000;
// The users' bounds for jobs that haven't ended: from the first time after the end of the traffic
// on, none has nothing running for longer than the second one while less than half of the capacity
// is in use.
constexpr std::int64_t kFinishBoundMs = 14000;
constexpr std::int64_t kIdleWaitBoundMs = 3000;
// The users' bound for a start after the job was reported as completed, and the time after a fault
// for which they don't hold the affected hosts to it.
constexpr std::int64_t kCompletionBoundMs = 1000;
constexpr std::int64_t kContactBoundMs = 4000;

// The answer to a query for a job that the system doesn't know.
constexpr const char* kUnknownJob = "410";

bool PromisesNoRun(int status) { return status >= 400 && status != 502 && status != 504; }

std::map<std::string, std::vector<SoakRun>> ByTask(const SoakRecord& record) {
  std::map<std::string, std::vector<SoakRun>> tasks;
  for (const SoakRun& run : record.runs) tasks[run.task].push_back(run);
  for (auto& [task, runs] : tasks) {
    std::sort(runs.begin(), runs.end(), [](const SoakRun& left, const SoakRun& right) {
      return left.started_ms < right.started_ms;
    });
  }
  return tasks;
}

class SoakChecker {
 public:
  explicit SoakChecker(const SoakRecord& record) : record_(record) {}

  SoakVerdict Run() {
    CheckTasks();
    for (const auto& [id, job] : record_.jobs) CheckJob(job);
    CheckEvacuations();
    CheckStops();
    CheckReloads();
    for (const std::string& event : record_.events) AddViolation("{}", event);
    return std::move(verdict_);
  }

 private:
  template <typename... Args>
  void AddViolation(fmt::format_string<Args...> format, Args&&... args) {
    verdict_.violations.push_back(fmt::format(format, std::forward<Args>(args)...));
  }

  void CheckTasks() {
    for (const auto& [task, runs] : ByTask(record_)) {
      for (std::size_t i = 0; i < runs.size(); ++i) {
        ++verdict_.checked["runs"];
        for (std::size_t k = i + 1; k < runs.size(); ++k) CheckPair(runs[i], runs[k]);
      }
    }
  }

  void CheckPair(const SoakRun& first, const SoakRun& later) {
    if (first.end.empty() || later.started_ms < first.ended_ms) {
      AddViolation(
          "task {} had two runs at the same time: run {} on {} from {} and run {} on {} from {}",
          first.task, first.run, first.worker, first.started_ms, later.run, later.worker,
          later.started_ms);
    }
    if (first.end != "done" || !first.acknowledged_ms) return;
    if (later.started_ms > *first.acknowledged_ms) {
      AddViolation("task {} started again at {} on {}, after its end at {} was acknowledged at {}",
                   first.task, later.started_ms, later.worker, first.ended_ms,
                   *first.acknowledged_ms);
    } else if (later.started_ms >= first.ended_ms && !first.lapsed_before_acknowledgement) {
      AddViolation(
          "task {} started again at {} on {}, after its end at {}, which was acknowledged later at "
          "{}",
          first.task, later.started_ms, later.worker, first.ended_ms, *first.acknowledged_ms);
    }
  }

  /// Reports starts after callers were told that the job is completed. The users' rule covers the
  /// hosts that no fault has affected recently, which is all hosts some time after the last fault.
  void CheckStartsAfterCompletion(const SoakJob& job) {
    for (const SoakPhaseAnswer& answer : job.phase_answers) {
      if (answer.phase != "completed") continue;
      const std::int64_t from_ms = std::max(answer.answered_ms + kCompletionBoundMs,
                                            record_.quiet_from_ms + kContactBoundMs);
      for (const SoakRun& run : record_.runs) {
        if (run.job != job.id || run.started_ms <= from_ms) continue;
        AddViolation(
            "task {} started again at {} on {}, after its job was reported as completed "
            "at {}",
            run.task, run.started_ms, run.worker, answer.answered_ms);
      }
      return;
    }
  }

  void CheckJob(const SoakJob& job) {
    std::set<std::string> done;
    for (const SoakRun& run : record_.runs) {
      if (run.job != job.id) continue;
      if (run.end == "done") done.insert(run.task);
      if (job.refused()) AddViolation("job {} was refused, but ran at {}", job.id, run.started_ms);
      if (job.cancelled_ms && run.started_ms > *job.cancelled_ms + kCancelBoundMs) {
        AddViolation("job {} was cancelled at {}, but started a task at {}", job.id,
                     *job.cancelled_ms, run.started_ms);
      }
      const bool must_have_ended =
          job.cancelled_ms && record_.settled_ms > *job.cancelled_ms + kCancelBoundMs;
      if (must_have_ended && run.end.empty()) {
        AddViolation("task {} of a cancelled job is still running", run.task);
      }
    }
    ++verdict_.checked[job.refused() ? "refused jobs" : "other jobs"];
    CheckPhaseAnswers(job);
    CheckStartsAfterCompletion(job);
    CheckKnown(job);
    if (!job.accepted() || job.cancel_sent_ms) return;
    ++verdict_.checked["accepted jobs"];
    const std::string last = LastPhase(job);
    if (last != "completed") {
      AddViolation("accepted job {} is reported as {} at the end", job.id, last);
    }
    const std::size_t needed = job.gang ? 1 : static_cast<std::size_t>(job.tasks);
    CheckIdleWaits(job, needed);
    if (last == "completed" && done.size() < needed) {
      AddViolation("job {} is reported as completed with {} of {} tasks done", job.id, done.size(),
                   needed);
    }
  }

  void CheckPhaseAnswers(const SoakJob& job) {
    std::optional<std::int64_t> completed_ms;
    for (const SoakPhaseAnswer& answer : job.phase_answers) {
      ++verdict_.checked["answers about jobs"];
      // The answer to an earlier query may arrive after the answer that reported the end.
      const bool after = completed_ms && answer.asked_ms > *completed_ms;
      const bool phase =
          answer.phase == "queued" || answer.phase == "running" || answer.phase == "failed";
      if (after && phase) {
        AddViolation("job {} is reported as {} at {}, after completed at {}", job.id, answer.phase,
                     answer.answered_ms, *completed_ms);
      }
      if (answer.phase == "running" && !HasBegunBy(job, answer.answered_ms)) {
        AddViolation("job {} is reported as running at {}, though no task has started", job.id,
                     answer.answered_ms);
      }
      if (answer.phase == "completed" && !completed_ms) completed_ms = answer.answered_ms;
      if (answer.phase == "failed") {
        AddViolation("job {} is reported as failed, though no run failed", job.id);
      }
      if (answer.phase == "cancelled" && !job.cancel_sent_ms) {
        AddViolation("job {} is reported as cancelled, though no caller cancelled it", job.id);
      }
    }
  }

  bool HasBegunBy(const SoakJob& job, std::int64_t time_ms) const {
    return std::any_of(record_.runs.begin(), record_.runs.end(), [&](const SoakRun& run) {
      return run.job == job.id && run.started_ms <= time_ms;
    });
  }

  static bool InProgressAt(const SoakRun& run, std::int64_t time_ms) {
    return run.started_ms <= time_ms && (run.end.empty() || run.ended_ms > time_ms);
  }

  /// Reports an accepted job that waits beside idle capacity after the end of all faults.
  void CheckIdleWaits(const SoakJob& job, std::size_t needed) {
    std::vector<const SoakRun*> own;
    const std::int64_t from_ms =
        std::max(record_.quiet_from_ms + kFinishBoundMs, job.accepted_ms.value_or(0));
    // Between two of these times, the runs in progress don't change.
    std::set<std::int64_t> times = {from_ms, record_.settled_ms};
    for (const SoakRun& run : record_.runs) {
      if (run.job == job.id) own.push_back(&run);
      times.insert(run.started_ms);
      if (!run.end.empty()) times.insert(run.ended_ms);
    }
    bool waits = false;
    std::int64_t waits_since_ms = from_ms;
    for (auto it = times.find(from_ms); it != times.end(); ++it) {
      if (*it > record_.settled_ms) return;
      if (waits && *it - waits_since_ms > kIdleWaitBoundMs) {
        AddViolation("job {} had nothing running from {} to {}, beside idle capacity", job.id,
                     waits_since_ms, *it);
        return;
      }
      std::set<std::string> done;
      bool running = false;
      for (const SoakRun* run : own) {
        running = running || InProgressAt(*run, *it);
        if (run->end == "done" && run->ended_ms <= *it) done.insert(run->task);
      }
      if (done.size() >= needed) return;
      const auto in_use =
          std::count_if(record_.runs.begin(), record_.runs.end(),
                        [time_ms = *it](const SoakRun& run) { return InProgressAt(run, time_ms); });
      const bool waited = std::exchange(waits, !running && 2 * in_use < record_.capacity);
      if (!waited) waits_since_ms = *it;
    }
  }

  /// Returns the last answer about the job that doesn't say that the job is unknown.
  static std::string LastPhase(const SoakJob& job) {
    std::string last = job.phase_answers.empty() ? "no answer" : "unknown";
    for (const SoakPhaseAnswer& answer : job.phase_answers) {
      if (answer.phase != kUnknownJob) last = answer.phase;
    }
    return last;
  }

  /// Reports answers that an accepted job is unknown, other than after its retention.
  void CheckKnown(const SoakJob& job) {
    std::optional<std::int64_t> known_from;
    if (job.accepted_ms) known_from = *job.accepted_ms + kVisibleBoundMs;
    std::int64_t ended_ms = job.cancel_sent_ms.value_or(0);
    for (const SoakRun& run : record_.runs) {
      if (run.job == job.id) ended_ms = std::max({ended_ms, run.started_ms, run.ended_ms});
    }
    for (const SoakPhaseAnswer& answer : job.phase_answers) {
      const bool terminal = answer.phase == "completed" || answer.phase == "cancelled";
      if (terminal) {
        known_from = std::min(known_from.value_or(answer.answered_ms), answer.answered_ms);
      }
      if (answer.phase != kUnknownJob || !known_from || answer.asked_ms <= *known_from) continue;
      // A job without a known end is kept without a limit.
      if (ended_ms > 0 && answer.asked_ms > ended_ms + kRetentionMs) continue;
      AddViolation("job {} is reported as unknown at {}, though it must be known from {} until {}",
                   job.id, answer.answered_ms, *known_from, ended_ms + kRetentionMs);
    }
  }

  void CheckEvacuations() {
    for (const SoakEvacuation& evacuation : record_.evacuations) {
      ++verdict_.checked["evacuations"];
      for (const SoakRun& run : record_.runs) {
        if (run.zone != evacuation.zone ||
            run.started_ms <= evacuation.started_ms + kEvacuationBoundMs ||
            run.started_ms >= evacuation.ended_ms) {
          continue;
        }
        AddViolation("task {} started at {} in {}, which was out of service since {}", run.task,
                     run.started_ms, run.zone, evacuation.started_ms);
      }
    }
  }

  void CheckStops() {
    for (const SoakGracefulStop& stop : record_.stops) {
      ++verdict_.checked["graceful stops of entries"];
      if (stop.ended_ms - stop.signalled_ms > kStopGraceMs) {
        AddViolation("{} took {} ms to stop", stop.entry, stop.ended_ms - stop.signalled_ms);
      }
      for (const SoakBrokenCall& call : record_.broken_calls) {
        if (!CutOff(call, stop.entry, stop.signalled_ms, stop.ended_ms + kUnreadRequestMs)) {
          continue;
        }
        AddViolation(
            "{} broke the connection of a request sent at {} at {}, during its graceful stop "
            "from {} to {}",
            stop.entry, call.sent_ms, call.broken_ms, stop.signalled_ms, stop.ended_ms);
      }
    }
  }

  void CheckReloads() {
    for (const SoakReload& reload : record_.reloads) {
      ++verdict_.checked["reloads of entries"];
      for (const SoakBrokenCall& call : record_.broken_calls) {
        if (!CutOff(call, reload.entry, reload.signalled_ms, reload.calm_until_ms) ||
            call.sent_ms > reload.signalled_ms + kReloadBoundMs) {
          continue;
        }
        AddViolation("{} broke the connection of a request sent at {} at {}, after a reload at {}",
                     reload.entry, call.sent_ms, call.broken_ms, reload.signalled_ms);
      }
    }
  }

  /// Whether the connection broke in the given time, though the entry must have read the request.
  static bool CutOff(const SoakBrokenCall& call, const std::string& entry, std::int64_t from_ms,
                     std::int64_t until_ms) {
    return call.entry == entry && call.broken_ms >= from_ms && call.broken_ms <= until_ms &&
           call.broken_ms - call.sent_ms > kUnreadRequestMs;
  }

  const SoakRecord& record_;
  SoakVerdict verdict_;
};

}  // namespace

bool SoakJob::accepted() const {
  return std::any_of(submit_statuses.begin(), submit_statuses.end(),
                     [](int status) { return status >= 200 && status < 300; });
}

bool SoakJob::refused() const {
  return !submit_statuses.empty() &&
         std::all_of(submit_statuses.begin(), submit_statuses.end(), PromisesNoRun);
}

SoakVerdict CheckSoakRecord(const SoakRecord& record) { return SoakChecker(record).Run(); }

}  // namespace basilspring::standin
