#include "standin/soak_rules.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace basilspring::standin {
namespace {

// The users' bounds for a cancellation or an evacuation to be in force (3 s and 5 s), and 6 s more
// while the store is disturbed.
constexpr std::int64_t kCancelMs = 3000 + 6000;
constexpr std::int64_t kEvacuationMs = 5000 + 6000;
// Time between SIGTERM and SIGKILL on the users' platform.
constexpr std::int64_t kGraceMs = 6000;
// A request counts as read this long after it was sent, and may be cut off without an answer
// before.
constexpr std::int64_t kReadMs = 200;

bool PromisesNoRun(int status) { return status >= 400 && status != 502 && status != 504; }

std::map<std::string, std::vector<SoakRun>> ByTask(const SoakRecord& record) {
  std::map<std::string, std::vector<SoakRun>> tasks;
  for (const SoakRun& run : record.runs) tasks[run.task].push_back(run);
  for (auto& [task, runs] : tasks) {
    std::sort(runs.begin(), runs.end(), [](const SoakRun& left, const SoakRun& right) {
      return left.begun_ms < right.begun_ms;
    });
  }
  return tasks;
}

class Judge {
 public:
  explicit Judge(const SoakRecord& record) : record_(record) {}

  SoakVerdict Run() {
    CheckTasks();
    for (const auto& [id, job] : record_.jobs) CheckJob(job);
    CheckEvacuations();
    CheckStops();
    for (const std::string& event : record_.events) Break("{}", event);
    return std::move(verdict_);
  }

 private:
  template <typename... Args>
  void Break(fmt::format_string<Args...> format, Args&&... args) {
    verdict_.broken.push_back(fmt::format(format, std::forward<Args>(args)...));
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
    if (first.end.empty() || later.begun_ms < first.ended_ms) {
      Break("task {} ran twice at a time: run {} on {} from {} and run {} on {} from {}",
            first.task, first.run, first.worker, first.begun_ms, later.run, later.worker,
            later.begun_ms);
    }
    const bool noted = first.end == "done" && first.acknowledged_ms;
    if (noted && later.begun_ms > *first.acknowledged_ms) {
      Break("task {} began again at {} on {}, after its end of {} was acknowledged at {}",
            first.task, later.begun_ms, later.worker, first.ended_ms, *first.acknowledged_ms);
    }
  }

  void CheckJob(const SoakJob& job) {
    std::set<std::string> done;
    for (const SoakRun& run : record_.runs) {
      if (run.job != job.id) continue;
      if (run.end == "done") done.insert(run.task);
      if (job.refused()) Break("job {} was refused and ran at {}", job.id, run.begun_ms);
      if (job.cancelled_ms && run.begun_ms > *job.cancelled_ms + kCancelMs) {
        Break("job {} was cancelled at {} and began a task at {}", job.id, *job.cancelled_ms,
              run.begun_ms);
      }
      const bool over = job.cancelled_ms && record_.settled_ms > *job.cancelled_ms + kCancelMs;
      if (over && run.end.empty()) Break("task {} of a cancelled job works on", run.task);
    }
    ++verdict_.checked[job.refused() ? "refused jobs" : "other jobs"];
    CheckLooks(job);
    if (!job.accepted() || job.cancel_sent_ms) return;
    ++verdict_.checked["accepted jobs"];
    const std::string last = job.looks.empty() ? "no answer" : job.looks.back().phase;
    if (last != "completed") Break("accepted job {} is shown as {} at the end", job.id, last);
    const std::size_t needed = job.gang ? 1 : static_cast<std::size_t>(job.tasks);
    if (last == "completed" && done.size() < needed) {
      Break("job {} is shown as completed with {} of {} tasks done", job.id, done.size(), needed);
    }
  }

  void CheckLooks(const SoakJob& job) {
    std::optional<std::int64_t> completed_ms;
    for (const SoakLook& look : job.looks) {
      ++verdict_.checked["answers about jobs"];
      // An answer that was asked for before may overtake the one that told of the end.
      const bool after = completed_ms && look.asked_ms > *completed_ms;
      const bool phase = look.phase == "queued" || look.phase == "running" ||
                         look.phase == "failed" || look.phase == "410";
      if (after && phase) {
        Break("job {} is shown as {} at {}, after completed at {}", job.id, look.phase,
              look.answered_ms, *completed_ms);
      }
      if (look.phase == "completed" && !completed_ms) completed_ms = look.answered_ms;
      if (look.phase == "failed") Break("job {} is shown as failed, though no run failed", job.id);
      if (look.phase == "cancelled" && !job.cancel_sent_ms) {
        Break("job {} is shown as cancelled, though nobody cancelled it", job.id);
      }
    }
  }

  void CheckEvacuations() {
    for (const SoakEvacuation& evacuation : record_.evacuations) {
      ++verdict_.checked["evacuations"];
      for (const SoakRun& run : record_.runs) {
        if (run.zone != evacuation.zone || run.begun_ms <= evacuation.begun_ms + kEvacuationMs ||
            run.begun_ms >= evacuation.ended_ms) {
          continue;
        }
        Break("task {} began at {} in {}, which was out of service since {}", run.task,
              run.begun_ms, run.zone, evacuation.begun_ms);
      }
    }
  }

  void CheckStops() {
    for (const SoakGracefulStop& stop : record_.stops) {
      ++verdict_.checked["graceful stops of entries"];
      if (stop.ended_ms - stop.signalled_ms > kGraceMs) {
        Break("{} took {} ms to stop", stop.entry, stop.ended_ms - stop.signalled_ms);
      }
      for (const SoakBrokenCall& call : record_.broken_calls) {
        const bool cut = call.entry == stop.entry && call.broken_ms >= stop.signalled_ms &&
                         call.broken_ms <= stop.ended_ms + kReadMs &&
                         call.broken_ms - call.sent_ms > kReadMs;
        if (cut) {
          Break("{} cut off a request of {} at {} while it stopped from {} to {}", stop.entry,
                call.sent_ms, call.broken_ms, stop.signalled_ms, stop.ended_ms);
        }
      }
    }
  }

  const SoakRecord& record_;
  SoakVerdict verdict_;
};

}  // namespace

bool SoakJob::accepted() const {
  return std::any_of(submits.begin(), submits.end(),
                     [](int status) { return status >= 200 && status < 300; });
}

bool SoakJob::refused() const {
  return !submits.empty() && std::all_of(submits.begin(), submits.end(), PromisesNoRun);
}

SoakVerdict JudgeSoak(const SoakRecord& record) { return Judge(record).Run(); }

}  // namespace basilspring::standin
