#ifndef BASILSPRING_REQUEST_JOB_QUEUE_H_
#define BASILSPRING_REQUEST_JOB_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/error.h"
#include "basilspring/ids.h"
#include "basilspring/request/job.h"

namespace basilspring {

/// The scheduling attributes of a waiting job; the owner of the queue keeps the job itself.
struct QueueItem {
  JobId id;
  WorkspaceId workspace;
  JobClass job_class = JobClass::kBatch;
  GangShape shape;
  /// Run time as corrected by RunTimeEstimate.
  Duration run_time;
  /// First submission. A job that is queued again keeps this time and thus its position.
  TimePoint submitted;
  std::optional<TimePoint> deadline;
  /// Time of the first failed placement; jobs behind this one may have started since then.
  std::optional<TimePoint> passed_over;
};

struct QueueSettings {
  /// Maximum number of waiting jobs by class; further jobs are refused.
  std::array<std::uint32_t, kJobClassCount> limits = {2000, 10000, 10000};
  /// Priority ageing: a workspace without a start in one class for this long competes with the
  /// class above, after twice this time with the next one, and so on beyond urgent, which prevents
  /// starvation. The time counts from the last start of the workspace in the class rather than from
  /// each submission; otherwise a large backlog would age as a whole and precede all other
  /// workspaces.
  Duration ageing_step = Duration::Seconds(600);
  /// A job that was passed over for this long gets a capacity reservation.
  Duration passed_over_limit = Duration::Seconds(30);
};

/// The operators' settings for one workspace.
struct WorkspaceShare {
  std::uint32_t weight = 1;
  /// Limit on the accelerators that all jobs of the workspace hold together; 0 means no limit.
  std::uint32_t quota_accelerators = 0;
  /// Jobs that keep their workspace within this number of accelerators precede others of the class.
  std::uint32_t guaranteed_accelerators = 0;
};

/// Total resources of a cell, or of the running jobs of a workspace.
struct ResourceTotals {
  std::uint64_t cores = 0;
  std::uint64_t memory = 0;
  std::uint64_t slots = 0;
  std::uint64_t accelerators = 0;

  /// The dominant share: the largest of the four ratios of these resources to `capacity`.
  double DominantShareOf(const ResourceTotals& capacity) const;
};
ResourceTotals TotalsOf(const GangShape& shape);

/// The reason why a job was not queued; `kind` is kOverloaded or kQuotaExceeded.
struct QueueRefusal {
  ErrorKind kind = ErrorKind::kOverloaded;
  std::string reason;
  Duration retry_after;
};

/// The waiting jobs of a cell. The time is always an argument, which makes the queue deterministic.
class JobQueue {
 public:
  void SetSettings(const QueueSettings& settings) { settings_ = settings; }
  void SetWorkspace(const WorkspaceId& workspace, const WorkspaceShare& share);
  void SetCapacity(const ResourceTotals& capacity) { capacity_ = capacity; }

  /// Queues a job and returns std::nullopt, or returns why it is refused: the limit of its class is
  /// reached, the estimated wait exceeds its deadline, or it needs more than the quota of its
  /// workspace. A job that is already queued is left unchanged.
  std::optional<QueueRefusal> Add(const QueueItem& item, TimePoint now);
  /// Queues a job that was accepted earlier: after a preemption, a lost attempt or a rebuild of the
  /// scheduler's state. The limits don't apply, since an accepted job must not be lost.
  void Restore(const QueueItem& item);
  /// Removes a job that starts now. Returns std::nullopt if the job is not queued.
  std::optional<QueueItem> Dequeue(const JobId& id, TimePoint now);
  /// Removes a cancelled job. Returns std::nullopt if the job is not queued.
  std::optional<QueueItem> Cancel(const JobId& id);
  /// Removes and returns the jobs whose deadline has passed.
  std::vector<QueueItem> Expire(TimePoint now);
  /// The earliest deadline of a waiting job; std::nullopt if none has a deadline.
  std::optional<TimePoint> NextDeadline() const;

  /// Adds a gang to the resource usage of a workspace when the gang is placed, and subtracts it
  /// when the gang releases its resources.
  void AddUsage(const WorkspaceId& workspace, const GangShape& shape);
  void SubtractUsage(const WorkspaceId& workspace, const GangShape& shape);
  /// Clears the resource usage of all workspaces before it is rebuilt.
  void ClearUsage();

  /// The next jobs to place, at most `limit`, in order of precedence: by class with ageing, then
  /// jobs within their workspace's guarantee, then by the workspace's dominant share divided by its
  /// weight, then by submission. Jobs that would exceed their workspace's quota are left out.
  /// O((workspaces + limit) log workspaces).
  std::vector<JobId> NextJobs(TimePoint now, std::size_t limit) const;

  /// Records that a placement of the job failed; only the first failure sets the time.
  void MarkPassedOver(const JobId& id, TimePoint now);
  /// The job that was passed over longest, if it has reached `passed_over_limit` and so gets a
  /// capacity reservation; nullptr otherwise.
  const QueueItem* DueForReservation(TimePoint now) const;

  /// Estimated time until a job of this class that is queued now would start: the waiting work of
  /// its class and those above, divided by the capacity of the cell, for the dominant resource.
  Duration EstimateWait(JobClass job_class) const;
  const QueueItem* Find(const JobId& id) const;
  std::size_t Count(JobClass job_class) const;
  std::size_t size() const { return items_by_id_.size(); }

 private:
  /// Orders the jobs within a workspace and class.
  using SubmissionKey = std::pair<TimePoint, JobId>;
  struct ClassQueue {
    std::map<SubmissionKey, QueueItem> items;
    /// Time of the last start of a job from this queue, or when the queue became non-empty.
    TimePoint last_start;
  };
  struct Workspace {
    WorkspaceShare share;
    ResourceTotals usage;
    std::array<ClassQueue, kJobClassCount> class_queues;
  };
  struct Head;
  class OrderBuilder;

  QueueItem* FindItem(const JobId& id);
  std::optional<QueueItem> Remove(const JobId& id);
  void CountWork(const QueueItem& item, bool add);

  QueueSettings settings_;
  ResourceTotals capacity_;
  std::map<WorkspaceId, Workspace> workspaces_;
  std::unordered_map<JobId, QueueItem*> items_by_id_;
  std::set<std::pair<TimePoint, JobId>> deadlines_;
  std::set<std::pair<TimePoint, JobId>> passed_over_;
  /// Waiting work (resources × milliseconds) and number of waiting jobs, by class.
  std::array<ResourceTotals, kJobClassCount> work_;
  std::array<std::size_t, kJobClassCount> counts_ = {};
};

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_JOB_QUEUE_H_
