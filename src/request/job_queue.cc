#include "basilspring/request/job_queue.h"

#include <fmt/format.h>

#include <algorithm>
#include <queue>
#include <tuple>

namespace basilspring {
namespace {

// A line whose first jobs are over the quota is searched this far for a smaller one.
constexpr std::size_t kMaxOverQuota = 16;

std::size_t IndexOf(JobClass job_class) { return static_cast<std::size_t>(job_class); }

ResourceTotals Sum(const ResourceTotals& a, const ResourceTotals& b) {
  return {a.cores + b.cores, a.memory + b.memory, a.slots + b.slots,
          a.accelerators + b.accelerators};
}

// Saturates at zero: after a rebuild more may be released than was counted.
ResourceTotals Difference(const ResourceTotals& a, const ResourceTotals& b) {
  const auto less = [](std::uint64_t x, std::uint64_t y) { return x < y ? 0 : x - y; };
  return {less(a.cores, b.cores), less(a.memory, b.memory), less(a.slots, b.slots),
          less(a.accelerators, b.accelerators)};
}

ResourceTotals Scaled(const ResourceTotals& a, std::uint64_t factor) {
  return {a.cores * factor, a.memory * factor, a.slots * factor, a.accelerators * factor};
}

bool WithinQuota(const WorkspaceShare& share, const ResourceTotals& held, const GangShape& shape) {
  const std::uint64_t wanted = TotalsOf(shape).accelerators;
  return share.quota_accelerators == 0 || wanted == 0 ||
         held.accelerators + wanted <= share.quota_accelerators;
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
  if (places_.contains(item.id)) return std::nullopt;
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
  Line& line = workspaces_[item.workspace].lines[index];
  if (line.items.empty()) line.served = now;
  Restore(item);
  return std::nullopt;
}

void JobQueue::Restore(const QueueItem& item) {
  if (places_.contains(item.id)) return;
  Line& line = workspaces_[item.workspace].lines[IndexOf(item.job_class)];
  if (line.items.empty()) line.served = std::max(line.served, item.submitted);
  const auto it = line.items.emplace(Place{item.submitted, item.id}, item).first;
  places_.emplace(item.id, &it->second);
  if (item.deadline) deadlines_.emplace(*item.deadline, item.id);
  if (item.passed_over) passed_over_.emplace(*item.passed_over, item.id);
  CountWork(item, true);
}

std::optional<QueueItem> JobQueue::Remove(const JobId& id) {
  const auto it = places_.find(id);
  if (it == places_.end()) return std::nullopt;
  QueueItem item = *it->second;
  places_.erase(it);
  if (item.deadline) deadlines_.erase({*item.deadline, item.id});
  if (item.passed_over) passed_over_.erase({*item.passed_over, item.id});
  workspaces_[item.workspace].lines[IndexOf(item.job_class)].items.erase({item.submitted, item.id});
  CountWork(item, false);
  return item;
}

std::optional<QueueItem> JobQueue::Take(const JobId& id, TimePoint now) {
  std::optional<QueueItem> item = Remove(id);
  if (item) workspaces_[item->workspace].lines[IndexOf(item->job_class)].served = now;
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

void JobQueue::Hold(const WorkspaceId& workspace, const GangShape& shape) {
  ResourceTotals& held = workspaces_[workspace].held;
  held = Sum(held, TotalsOf(shape));
}

void JobQueue::Release(const WorkspaceId& workspace, const GangShape& shape) {
  ResourceTotals& held = workspaces_[workspace].held;
  held = Difference(held, TotalsOf(shape));
}

void JobQueue::ClearHeld() {
  for (auto& [id, workspace] : workspaces_) workspace.held = {};
}

// The first job of a line that may go next, with its rank among the other lines' first jobs.
struct JobQueue::Head {
  std::int64_t level = 0;
  bool over_guarantee = false;
  double share = 0;
  const QueueItem* item = nullptr;
  std::size_t workspace = 0;
  std::size_t line = 0;

  bool operator>(const Head& other) const {
    return std::tie(level, over_guarantee, share, item->submitted, item->id) >
           std::tie(other.level, other.over_guarantee, other.share, other.item->submitted,
                    other.item->id);
  }
};

// Takes jobs in order and counts each as started, so that the next one is chosen with the shares as
// they would be then.
class JobQueue::OrderBuilder {
 public:
  OrderBuilder(const JobQueue& queue, TimePoint now) : queue_(queue), now_(now) {
    for (const auto& [id, workspace] : queue.workspaces_) {
      cursors_.push_back({&workspace, workspace.held, {}, {}});
      Cursor& cursor = cursors_.back();
      for (std::size_t line = 0; line < kJobClassCount; ++line) {
        cursor.next[line] = workspace.lines[line].items.begin();
        Push(cursors_.size() - 1, line);
      }
    }
  }

  std::vector<JobId> Build(std::size_t limit) {
    std::vector<JobId> order;
    while (order.size() < limit && !heads_.empty()) {
      const Head head = heads_.top();
      heads_.pop();
      Cursor& cursor = cursors_[head.workspace];
      // The workspace may have got other jobs since this head was ranked.
      const std::optional<Head> current = RankNext(head.workspace, head.line);
      if (!current) continue;
      if (*current > head) {
        heads_.push(*current);
        continue;
      }
      order.push_back(current->item->id);
      cursor.held = Sum(cursor.held, TotalsOf(current->item->shape));
      cursor.started[head.line] = true;
      ++cursor.next[head.line];
      Push(head.workspace, head.line);
    }
    return order;
  }

 private:
  struct Cursor {
    const Workspace* workspace;
    ResourceTotals held;
    std::array<std::map<Place, QueueItem>::const_iterator, kJobClassCount> next;
    std::array<bool, kJobClassCount> started;
  };

  void Push(std::size_t workspace, std::size_t line) {
    if (const auto head = RankNext(workspace, line)) heads_.push(*head);
  }

  std::optional<Head> RankNext(std::size_t index, std::size_t line_index) {
    Cursor& cursor = cursors_[index];
    const Line& line = cursor.workspace->lines[line_index];
    const WorkspaceShare& share = cursor.workspace->share;
    auto& next = cursor.next[line_index];
    for (std::size_t skipped = 0; next != line.items.end(); ++next, ++skipped) {
      if (skipped == kMaxOverQuota) return std::nullopt;
      if (WithinQuota(share, cursor.held, next->second.shape)) break;
    }
    if (next == line.items.end()) return std::nullopt;
    const QueueItem& item = next->second;
    const TimePoint since = std::max(line.served, item.submitted);
    const std::int64_t waited =
        cursor.started[line_index] ? 0 : std::max<std::int64_t>((now_ - since).milliseconds(), 0);
    const std::int64_t step =
        std::max<std::int64_t>(queue_.settings_.ageing_step.milliseconds(), 1);
    const std::uint64_t accelerators = TotalsOf(item.shape).accelerators;
    const bool inside = accelerators > 0 &&
                        cursor.held.accelerators + accelerators <= share.guaranteed_accelerators;
    return Head{static_cast<std::int64_t>(line_index) - waited / step,
                !inside,
                cursor.held.DominantShareOf(queue_.capacity_) / std::max(share.weight, 1U),
                &item,
                index,
                line_index};
  }

  const JobQueue& queue_;
  TimePoint now_;
  std::vector<Cursor> cursors_;
  std::priority_queue<Head, std::vector<Head>, std::greater<>> heads_;
};

std::vector<JobId> JobQueue::Order(TimePoint now, std::size_t limit) const {
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
  const auto it = places_.find(id);
  return it == places_.end() ? nullptr : it->second;
}

QueueItem* JobQueue::FindItem(const JobId& id) {
  const auto it = places_.find(id);
  return it == places_.end() ? nullptr : it->second;
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
