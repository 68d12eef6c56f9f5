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
  /// Number of distinct jobs that fail in a row on a worker before it is quarantined.
  std::uint32_t failures_to_quarantine = 3;
  /// Number of distinct workers on which a job fails before the fault is attributed to the job.
  std::uint32_t workers_to_fault_job = 3;
  /// Number of failed attempts after which the job fails.
  std::uint32_t max_attempts = 5;
  Duration first_quarantine = Duration::Seconds(30);
  Duration longest_quarantine = Duration::Seconds(3600);
  /// Number of successes after which a worker on probation counts as healthy and its next
  /// quarantine has the first length again.
  std::uint32_t successes_to_recover = 3;
};

enum class WorkerHealthState : std::uint8_t {
  kHealthy,
  /// The worker takes no tasks.
  kQuarantined,
  /// The worker takes one task at a time.
  kProbation,
};

/// The consequences of a task failure for the job and the workers.
struct FailureVerdict {
  /// Whether the job failed on several distinct workers, so that a retry can't help.
  bool job_at_fault = false;
  bool attempts_exhausted = false;
  /// Workers whose health state changed.
  std::vector<WorkerId> changed;
};

/// Distinguishes workers on which all jobs fail from jobs that fail on all workers. The time is
/// always an argument.
class WorkerHealth {
 public:
  explicit WorkerHealth(const HealthSettings& settings) : settings_(settings) {}
  void SetSettings(const HealthSettings& settings) { settings_ = settings; }

  /// Records a failed attempt, once for the whole gang; `worker` is where the first task failed by
  /// itself. Tasks that were stopped, preempted or lost with their worker must not be recorded.
  FailureVerdict OnTaskFailed(const WorkerId& worker, const JobId& job, TimePoint now);
  /// Returns true if the health state of the worker changed.
  bool OnTaskSucceeded(const WorkerId& worker, TimePoint now);

  /// The health state of a worker. A quarantine becomes probation when its time is over.
  WorkerHealthState StateOf(const WorkerId& worker, TimePoint now) const;
  /// Whether the worker may take a task: healthy, or on probation with no task on it.
  bool MayTakeTask(const WorkerId& worker, std::size_t tasks_on_it, TimePoint now) const;
  /// When the next quarantine ends; std::nullopt if no worker is quarantined.
  std::optional<TimePoint> NextQuarantineEnd(TimePoint now) const;
  /// The workers that a job failed on, for PlacementInput::avoid.
  std::vector<WorkerId> FailedOn(const JobId& job) const;

  /// Forgets a job that has ended; the failure counts of the workers stay.
  void ForgetJob(const JobId& job) { jobs_.erase(job); }
  void ForgetWorker(const WorkerId& worker) { workers_.erase(worker); }

 private:
  struct Worker {
    /// Jobs that failed since the last success or quarantine of the worker.
    std::set<JobId> failed_jobs;
    /// Jobs whose failures caused the last quarantine, and how many of them must remain for the
    /// quarantine to stay in force.
    std::set<JobId> quarantine_causes;
    std::uint32_t min_quarantine_causes = 0;
    TimePoint quarantined_until;
    /// Length of the last quarantine and of the one before; zero while the worker is healthy.
    Duration quarantine;
    Duration earlier_quarantine;
    std::uint32_t successes = 0;
  };
  struct Job {
    std::set<WorkerId> workers;
    std::uint32_t attempts = 0;
  };

  static WorkerHealthState StateAt(const Worker& worker, TimePoint now);
  bool RecordFailure(Worker& worker, const JobId& job, TimePoint now) const;
  static bool RetractFailure(Worker& worker, const JobId& job, TimePoint now);

  HealthSettings settings_;
  std::map<WorkerId, Worker> workers_;
  std::map<JobId, Job> jobs_;
};

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_WORKER_HEALTH_H_
