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

/// What the queue needs to know of a waiting job; the job itself stays with its owner.
struct QueueItem {
  JobId id;
  WorkspaceId workspace;
  JobClass job_class = JobClass::kBatch;
  GangShape shape;
  /// Corrected run time.
  Duration run_time;
  /// First submission; a job that is queued again keeps it and so its place.
  TimePoint submitted;
  std::optional<TimePoint> deadline;
  /// When a placement first failed while jobs behind it may have started.
  std::optional<TimePoint> passed_over;
};

struct QueueSettings {
  /// Waiting jobs by class; more are refused.
  std::array<std::uint32_t, kJobClassCount> limits = {2000, 10000, 10000};
  /// A workspace that got no start in one class for this long competes with the class above, after
  /// twice this with the one above that, and so on past urgent work, so that nothing waits for
  /// ever. Counted from the line's last start, not from each submission: otherwise a large backlog
  /// would age as a whole and go before everybody else.
  Duration ageing_step = Duration::Seconds(600);
  /// A job that was passed over for this long gets reserved workers.
  Duration passed_over_limit = Duration::Seconds(30);
};

/// What operators set for one workspace.
struct WorkspaceShare {
  std::uint32_t weight = 1;
  /// Accelerators that its jobs may hold together; 0 means no limit.
  std::uint32_t quota_accelerators = 0;
  /// A workspace that holds less than this goes first within its class.
  std::uint32_t guaranteed_accelerators = 0;
};

/// Sums of resources, of a cell or of what a workspace holds.
struct ResourceTotals {
  std::uint64_t cores = 0;
  std::uint64_t memory = 0;
  std::uint64_t slots = 0;
  std::uint64_t accelerators = 0;

  /// The largest of the four parts that this is of `capacity`.
  double DominantShareOf(const ResourceTotals& capacity) const;
};
ResourceTotals TotalsOf(const GangShape& shape);

/// Why a job was not queued: kOverloaded, kQuotaExceeded or kDeadlineExceeded.
struct QueueRefusal {
  ErrorKind kind = ErrorKind::kOverloaded;
  std::string reason;
  Duration retry_after;
};

/// The waiting jobs of a cell. Pure: the time is an argument.
class JobQueue {
 public:
  void SetSettings(const QueueSettings& settings) { settings_ = settings; }
  void SetWorkspace(const WorkspaceId& workspace, const WorkspaceShare& share);
  void SetCapacity(const ResourceTotals& capacity) { capacity_ = capacity; }

  /// Queues a job, or says why not: the bound of its class is reached, the estimated wait is longer
  /// than its deadline, or it needs more than the quota of its workspace. A job that is queued
  /// already stays as it is.
  std::optional<QueueRefusal> Add(const QueueItem& item, TimePoint now);
  /// Queues a job that was accepted before: after a preemption, a loss or a rebuild. Bounds don't
  /// apply, since an accepted job must not get lost.
  void Restore(const QueueItem& item);
  /// Removes a job that starts now.
  std::optional<QueueItem> Take(const JobId& id, TimePoint now);
  /// Removes a job that is cancelled.
  std::optional<QueueItem> Cancel(const JobId& id);
  /// Removes and returns the jobs whose deadline has passed.
  std::vector<QueueItem> Expire(TimePoint now);
  std::optional<TimePoint> NextDeadline() const;

  /// Tells what a workspace holds: when its gang takes resources, and when it gives them back.
  void Hold(const WorkspaceId& workspace, const GangShape& shape);
  void Release(const WorkspaceId& workspace, const GangShape& shape);
  /// Forgets what all workspaces hold, before a rebuild.
  void ClearHeld();

  /// The jobs to try now, at most `limit`, best first: by class with ageing, then workspaces below
  /// their guarantee, then by dominant share held over weight, then by submission. Jobs over their
  /// workspace's quota are left out. O((workspaces + limit) log workspaces).
  std::vector<JobId> Order(TimePoint now, std::size_t limit) const;

  /// Notes that a placement of the job failed.
  void MarkPassedOver(const JobId& id, TimePoint now);
  /// The job that waits for reserved workers, the one passed over longest; null when none has
  /// reached the limit.
  const QueueItem* DueForReservation(TimePoint now) const;

  /// Time until a job of this class that is queued now would start: the waiting work of its class
  /// and those above, by the resource that it fills most.
  Duration EstimateWait(JobClass job_class) const;
  const QueueItem* Find(const JobId& id) const;
  std::size_t Count(JobClass job_class) const;
  std::size_t size() const { return places_.size(); }

 private:
  /// Order within a workspace and class.
  using Place = std::pair<TimePoint, JobId>;
  struct Line {
    std::map<Place, QueueItem> items;
    /// When a job of this line last started, or when the line became non-empty.
    TimePoint served;
  };
  struct Workspace {
    WorkspaceShare share;
    ResourceTotals held;
    std::array<Line, kJobClassCount> lines;
  };
  struct Head;
  class OrderBuilder;

  QueueItem* FindItem(const JobId& id);
  std::optional<QueueItem> Remove(const JobId& id);
  void CountWork(const QueueItem& item, bool add);

  QueueSettings settings_;
  ResourceTotals capacity_;
  std::map<WorkspaceId, Workspace> workspaces_;
  std::unordered_map<JobId, QueueItem*> places_;
  std::set<std::pair<TimePoint, JobId>> deadlines_;
  std::set<std::pair<TimePoint, JobId>> passed_over_;
  /// Resources × milliseconds of the waiting jobs, and their number, by class.
  std::array<ResourceTotals, kJobClassCount> work_;
  std::array<std::size_t, kJobClassCount> counts_ = {};
};

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_JOB_QUEUE_H_
