#ifndef BASILSPRING_REQUEST_WORKER_HEALTH_H_
#define BASILSPRING_REQUEST_WORKER_HEALTH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/ids.h"

namespace basilspring {

struct HealthSettings {
  /// Distinct jobs that fail in a row on a worker before it is quarantined.
  std::uint32_t failures_to_quarantine = 3;
  /// Distinct workers on which a job fails before the fault counts as the job's.
  std::uint32_t workers_to_blame_job = 3;
  /// Attempts that fail before the job is given up.
  std::uint32_t max_attempts = 5;
  Duration first_quarantine = Duration::Seconds(30);
  Duration longest_quarantine = Duration::Seconds(3600);
  /// Successes after which a worker on probation counts as healthy and its quarantine time starts
  /// over.
  std::uint32_t successes_to_trust = 3;
};

enum class WorkerTrust : std::uint8_t {
  kHealthy,
  /// Takes no tasks.
  kQuarantined,
  /// Takes one task at a time.
  kProbation,
};

/// What a failure of a job's task means.
struct FailureVerdict {
  /// The job failed on several distinct workers: retrying it can't help.
  bool job_at_fault = false;
  bool attempts_exhausted = false;
  /// Workers whose trust changed.
  std::vector<WorkerId> changed;
};

/// Tells workers that fail everything from jobs that fail everywhere. Pure: the time is an
/// argument.
class WorkerHealth {
 public:
  explicit WorkerHealth(const HealthSettings& settings) : settings_(settings) {}
  void SetSettings(const HealthSettings& settings) { settings_ = settings; }

  /// Notes one failed attempt, once for the whole gang: `worker` is where the first task failed by
  /// itself. Tasks that were stopped, preempted or lost with their worker must not be noted.
  FailureVerdict OnTaskFailed(const WorkerId& worker, const JobId& job, TimePoint now);
  /// Returns true when the worker's trust changed.
  bool OnTaskSucceeded(const WorkerId& worker, TimePoint now);

  /// Trust of a worker; quarantine turns into probation when its time is over.
  WorkerTrust Trust(const WorkerId& worker, TimePoint now) const;
  /// Whether the worker may take a task: healthy, or on probation with no task on it.
  bool MayTakeTask(const WorkerId& worker, std::size_t tasks_on_it, TimePoint now) const;
  /// When the next quarantine ends.
  std::optional<TimePoint> NextChange(TimePoint now) const;
  /// The workers that a job failed on, for PlacementInput::avoid.
  std::vector<WorkerId> FailedOn(const JobId& job) const;

  /// Forgets a job that has ended; the workers keep their counts.
  void ForgetJob(const JobId& job) { jobs_.erase(job); }
  void ForgetWorker(const WorkerId& worker) { workers_.erase(worker); }

 private:
  struct Worker {
    /// Jobs that failed since the last success or quarantine.
    std::set<JobId> failed_jobs;
    /// Jobs whose failures led to the last quarantine, and how many of them it needs to stand.
    std::set<JobId> causes;
    std::uint32_t causes_needed = 0;
    TimePoint quarantined_until;
    /// Length of the last quarantine and of the one before; zero while the worker is trusted.
    Duration quarantine;
    Duration earlier_quarantine;
    std::uint32_t successes = 0;
  };
  struct Job {
    std::set<WorkerId> workers;
    std::uint32_t attempts = 0;
  };

  static WorkerTrust TrustOf(const Worker& worker, TimePoint now);
  bool CountFailure(Worker& worker, const JobId& job, TimePoint now) const;
  static bool TakeBack(Worker& worker, const JobId& job, TimePoint now);

  HealthSettings settings_;
  std::map<WorkerId, Worker> workers_;
  std::map<JobId, Job> jobs_;
};

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_WORKER_HEALTH_H_
