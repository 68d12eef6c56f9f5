#include "basilspring/request/job_queue.h"

#include <fmt/format.h>

#include <algorithm>
#include <queue>
#include <tuple>

namespace basilspring {
namespace {

// Limit on the jobs over their workspace's quota that are skipped in one class in search of a
// smaller job.
constexpr std::size_t kMaxOverQuotaSkips = 16;

std::size_t IndexOf(JobClass job_class) { return static_cast<std::size_t>(job_class); }

ResourceTotals Sum(const ResourceTotals& a, const ResourceTotals& b) {
  return {a.cores + b.cores, a.memory + b.memory, a.slots + b.slots,
          a.accelerators + b.accelerators};
}

// Saturates at zero, since more may be subtracted than was added after a rebuild.
ResourceTotals Difference(const ResourceTotals& a, const ResourceTotals& b) {
  const auto less = [](std::uint64_t x, std::uint64_t y) { return x < y ? 0 : x - y; };
  return {less(a.cores, b.cores), less(a.memory, b.memory), less(a.slots, b.slots),
          less(a.accelerators, b.accelerators)};
}

ResourceTotals Scaled(const ResourceTotals& a, std::uint64_t factor) {
  return {a.cores * factor, a.memory * factor, a.slots * factor, a.accelerators * factor};
}

bool WithinQuota(const WorkspaceShare& share, const ResourceTotals& usage, const GangShape& shape) {
  const std::uint64_t wanted = TotalsOf(shape).accelerators;
  return share.quota_accelerators == 0 || wanted == 0 ||
         usage.accelerators + wanted <= share.quota_accelerators;
}

}  // namespace

double ResourceTotals::DominantShareOf(const ResourceTotals& capacity) const {
  const auto part = [](std::uint64_t used, std::uint64_t total) {
    return total == 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(total);
  };
  return std::max({part(cores, capacity.cores), part(memory, capacity.memory),
                   part(slots, capacity.slots), part(accelerators, capacity.accelerators)});
}

ResourceTotals TotalsOf(const GangShape& shape) {
  return Scaled({shape.cores.value(), shape.memory.value(), 1, shape.accelerators.value()},
                shape.tasks);
}

void JobQueue::SetWorkspace(const WorkspaceId& workspace, const WorkspaceShare& share) {
  workspaces_[workspace].share = share;
}

std::optional<QueueRefusal> JobQueue::Add(const QueueItem& item, TimePoint now) {
  if (items_by_id_.contains(item.id)) return std::nullopt;
  const std::size_t index = IndexOf(item.job_class);
  const std::string_view class_name = JobClassName(item.job_class);
  const WorkspaceShare& share = workspaces_[item.workspace].share;
  if (!WithinQuota(share, {}, item.shape)) {
    return QueueRefusal{
        ErrorKind::kQuotaExceeded,
        fmt::format("the job needs {} accelerators, the quota of workspace {} is {}",
                    TotalsOf(item.shape).accelerators, item.workspace.value(),
                    share.quota_accelerators),
        Duration()};
  }
  const Duration wait = EstimateWait(item.job_class);
  if (counts_[index] >= settings_.limits[index]) {
    return QueueRefusal{ErrorKind::kOverloaded,
                        fmt::format("{} {} jobs are waiting, the limit is {}", counts_[index],
                                    class_name, settings_.limits[index]),
                        std::max(wait / 2, Duration::Seconds(1))};
  }
  if (item.deadline && now + wait > *item.deadline) {
    return QueueRefusal{
        ErrorKind::kOverloaded,
        fmt::format("the estimated wait of {} ms for {} jobs is longer than the deadline in {} ms",
                    wait.milliseconds(), class_name, (*item.deadline - now).milliseconds()),
        wait};
  }
  ClassQueue& queue = workspaces_[item.workspace].class_queues[index];
  if (queue.items.empty()) queue.last_start = now;
  Restore(item);
  return std::nullopt;
}

void JobQueue::Restore(const QueueItem& item) {
  if (items_by_id_.contains(item.id)) return;
  ClassQueue& queue = workspaces_[item.workspace].class_queues[IndexOf(item.job_class)];
  if (queue.items.empty()) queue.last_start = std::max(queue.last_start, item.submitted);
  const auto it = queue.items.emplace(SubmissionKey{item.submitted, item.id}, item).first;
  items_by_id_.emplace(item.id, &it->second);
  if (item.deadline) deadlines_.emplace(*item.deadline, item.id);
  if (item.passed_over) passed_over_.emplace(*item.passed_over, item.id);
  CountWork(item, true);
}

std::optional<QueueItem> JobQueue::Remove(const JobId& id) {
  const auto it = items_by_id_.find(id);
  if (it == items_by_id_.end()) return std::nullopt;
  QueueItem item = *it->second;
  items_by_id_.erase(it);
  if (item.deadline) deadlines_.erase({*item.deadline, item.id});
  if (item.passed_over) passed_over_.erase({*item.passed_over, item.id});
  workspaces_[item.workspace].class_queues[IndexOf(item.job_class)].items.erase(
      {item.submitted, item.id});
  CountWork(item, false);
  return item;
}

std::optional<QueueItem> JobQueue::Dequeue(const JobId& id, TimePoint now) {
  std::optional<QueueItem> item = Remove(id);
  if (item) workspaces_[item->workspace].class_queues[IndexOf(item->job_class)].last_start = now;
  return item;
}

std::optional<QueueItem> JobQueue::Cancel(const JobId& id) { return Remove(id); }

std::vector<QueueItem> JobQueue::Expire(TimePoint now) {
  std::vector<QueueItem> expired;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const JobId id = deadlines_.begin()->second;
    expired.push_back(*Remove(id));
  }
  return expired;
}

std::optional<TimePoint> JobQueue::NextDeadline() const {
  if (deadlines_.empty()) return std::nullopt;
  return deadlines_.begin()->first;
}

void JobQueue::AddUsage(const WorkspaceId& workspace, const GangShape& shape) {
  ResourceTotals& usage = workspaces_[workspace].usage;
  usage = Sum(usage, TotalsOf(shape));
}

void JobQueue::SubtractUsage(const WorkspaceId& workspace, const GangShape& shape) {
  ResourceTotals& usage = workspaces_[workspace].usage;
  usage = Difference(usage, TotalsOf(shape));
}

void JobQueue::ClearUsage() {
  for (auto& [id, workspace] : workspaces_) workspace.usage = {};
}

// The first eligible job of one workspace and class, with the keys by which it is ordered among
// the heads of the other queues.
struct JobQueue::Head {
  // Class index minus the number of completed ageing steps; lower values come first.
  std::int64_t level = 0;
  bool over_guarantee = false;
  // Dominant share of the workspace divided by its weight.
  double share = 0;
  const QueueItem* item = nullptr;
  std::size_t workspace_index = 0;
  std::size_t class_index = 0;

  bool operator>(const Head& other) const {
    return std::tie(level, over_guarantee, share, item->submitted, item->id) >
           std::tie(other.level, other.over_guarantee, other.share, other.item->submitted,
                    other.item->id);
  }
};

// Selects jobs in order and counts each as started, so that the next one is selected by the
// resulting shares.
class JobQueue::OrderBuilder {
 public:
  OrderBuilder(const JobQueue& queue, TimePoint now) : queue_(queue), now_(now) {
    for (const auto& [id, workspace] : queue.workspaces_) {
      cursors_.push_back({&workspace, workspace.usage, {}, {}});
      Cursor& cursor = cursors_.back();
      for (std::size_t class_index = 0; class_index < kJobClassCount; ++class_index) {
        cursor.next[class_index] = workspace.class_queues[class_index].items.begin();
        Push(cursors_.size() - 1, class_index);
      }
    }
  }

  std::vector<JobId> Build(std::size_t limit) {
    std::vector<JobId> order;
    while (order.size() < limit && !heads_.empty()) {
      const Head head = heads_.top();
      heads_.pop();
      Cursor& cursor = cursors_[head.workspace_index];
      // Other jobs of the workspace may have been selected since this head was ranked.
      const std::optional<Head> current = RankNext(head.workspace_index, head.class_index);
      if (!current) continue;
      if (*current > head) {
        heads_.push(*current);
        continue;
      }
      order.push_back(current->item->id);
      cursor.usage = Sum(cursor.usage, TotalsOf(current->item->shape));
      cursor.started[head.class_index] = true;
      ++cursor.next[head.class_index];
      Push(head.workspace_index, head.class_index);
    }
    return order;
  }

 private:
  struct Cursor {
    const Workspace* workspace;
    ResourceTotals usage;
    std::array<std::map<SubmissionKey, QueueItem>::const_iterator, kJobClassCount> next;
    std::array<bool, kJobClassCount> started;
  };

  void Push(std::size_t workspace_index, std::size_t class_index) {
    if (const auto head = RankNext(workspace_index, class_index)) heads_.push(*head);
  }

  std::optional<Head> RankNext(std::size_t index, std::size_t class_index) {
    Cursor& cursor = cursors_[index];
    const ClassQueue& queue = cursor.workspace->class_queues[class_index];
    const WorkspaceShare& share = cursor.workspace->share;
    auto& next = cursor.next[class_index];
    for (std::size_t skipped = 0; next != queue.items.end(); ++next, ++skipped) {
      if (skipped == kMaxOverQuotaSkips) return std::nullopt;
      if (WithinQuota(share, cursor.usage, next->second.shape)) break;
    }
    if (next == queue.items.end()) return std::nullopt;
    const QueueItem& item = next->second;
    const TimePoint since = std::max(queue.last_start, item.submitted);
    const std::int64_t waited =
        cursor.started[class_index] ? 0 : std::max<std::int64_t>((now_ - since).milliseconds(), 0);
    const std::int64_t step =
        std::max<std::int64_t>(queue_.settings_.ageing_step.milliseconds(), 1);
    const std::uint64_t accelerators = TotalsOf(item.shape).accelerators;
    const bool within_guarantee = accelerators > 0 && cursor.usage.accelerators + accelerators <=
                                                          share.guaranteed_accelerators;
    return Head{static_cast<std::int64_t>(class_index) - waited / step,
                !within_guarantee,
                cursor.usage.DominantShareOf(queue_.capacity_) / std::max(share.weight, 1U),
                &item,
                index,
                class_index};
  }

  const JobQueue& queue_;
  TimePoint now_;
  std::vector<Cursor> cursors_;
  std::priority_queue<Head, std::vector<Head>, std::greater<>> heads_;
};

std::vector<JobId> JobQueue::NextJobs(TimePoint now, std::size_t limit) const {
  return OrderBuilder(*this, now).Build(limit);
}

void JobQueue::MarkPassedOver(const JobId& id, TimePoint now) {
  QueueItem* item = FindItem(id);
  if (item == nullptr || item->passed_over) return;
  item->passed_over = now;
  passed_over_.emplace(now, id);
}

const QueueItem* JobQueue::DueForReservation(TimePoint now) const {
  if (passed_over_.empty()) return nullptr;
  const auto& [since, id] = *passed_over_.begin();
  return now - since >= settings_.passed_over_limit ? Find(id) : nullptr;
}

Duration JobQueue::EstimateWait(JobClass job_class) const {
  ResourceTotals ahead;
  for (std::size_t i = 0; i <= IndexOf(job_class); ++i) ahead = Sum(ahead, work_[i]);
  return Duration(static_cast<std::int64_t>(ahead.DominantShareOf(capacity_)));
}

const QueueItem* JobQueue::Find(const JobId& id) const {
  const auto it = items_by_id_.find(id);
  return it == items_by_id_.end() ? nullptr : it->second;
}

QueueItem* JobQueue::FindItem(const JobId& id) {
  const auto it = items_by_id_.find(id);
  return it == items_by_id_.end() ? nullptr : it->second;
}

std::size_t JobQueue::Count(JobClass job_class) const { return counts_[IndexOf(job_class)]; }

void JobQueue::CountWork(const QueueItem& item, bool add) {
  const std::size_t index = IndexOf(item.job_class);
  const auto run_time =
      static_cast<std::uint64_t>(std::max<std::int64_t>(item.run_time.milliseconds(), 0));
  const ResourceTotals work = Scaled(TotalsOf(item.shape), run_time);
  work_[index] = add ? Sum(work_[index], work) : Difference(work_[index], work);
  counts_[index] = add ? counts_[index] + 1 : counts_[index] - 1;
}

}  // namespace basilspring
