#include "basilspring/fleet/done_tasks.h"

#include <algorithm>

namespace basilspring::fleet {
namespace {

// A host with 64 cores that ends tasks of 1 s all the time ends fewer within kMaxAge. An entry
// takes about 230 bytes, so the memory stays at 1 MB of the 128 MB of an agent.
constexpr std::size_t kMaxEnds = 4096;
// Longer than a change of the scheduler together with the loss of the agents' leases (2.5 s and
// 6.4 s), after which a scheduler may act on a record that lacks an end.
constexpr Duration kMaxAge = Duration::Seconds(60);

}  // namespace

Duration MaxDoneEvidenceAge(const SchedulerOptions& options) {
  // A run may end as done after its job has ended, but not after its lease has certainly expired.
  // Half of the time that is left is a margin for clocks of different speed.
  const Duration after_last_end =
      options.keep_finished - options.lease - options.LeaseExpiryMargin();
  return std::clamp(after_last_end / 2, Duration(), kMaxAge);
}

void DoneTasks::OnListing(TimePoint poll_sent, const BackendAnnouncement& backend,
                          const std::vector<EndedRow>& ended, bool more_ends) {
  if (backend_ != backend.id || started_unix_ms_ != backend.started_unix_ms) {
    backend_ = backend.id;
    started_unix_ms_ = backend.started_unix_ms;
    last_number_ = 0;
    complete_poll_sent_.reset();
  }
  // An end is listed again until it is acknowledged; only its first listing bounds its age.
  const std::int64_t known = last_number_;
  for (const EndedRow& row : ended) {
    last_number_ = std::max(last_number_, row.number);
    if (row.number <= known || static_cast<RunEnd>(row.end) != RunEnd::kDone) continue;
    if (!complete_poll_sent_ || poll_sent - *complete_poll_sent_ > kMaxAge) continue;
    Remember(row.task, {row.run, *complete_poll_sent_});
  }
  if (!more_ends) complete_poll_sent_ = poll_sent;
}

void DoneTasks::Remember(const TaskId& task, const Evidence& evidence) {
  if (!ends_.insert_or_assign(task, evidence).second) {
    std::erase(order_, task);
  }
  order_.push_back(task);
  while (!order_.empty()) {
    const auto oldest = ends_.find(order_.front());
    const bool expired = evidence.ended_after - oldest->second.ended_after > kMaxAge;
    if (!expired && ends_.size() <= kMaxEnds) break;
    ends_.erase(oldest);
    order_.pop_front();
  }
}

std::optional<DoneTasks::Evidence> DoneTasks::Find(TimePoint now, const TaskId& task,
                                                   RepeatRule rule, Duration max_age) const {
  if (rule == RepeatRule::kMayRepeat) return std::nullopt;
  const bool gang = rule == RepeatRule::kOncePerGang;
  TaskId first = task;
  if (gang) first.index = 0;
  for (auto it = ends_.lower_bound(first); it != ends_.end(); ++it) {
    const TaskId& other = it->first;
    const bool same_step =
        other.job == task.job && other.occurrence == task.occurrence && other.step == task.step;
    if (!same_step || (!gang && other.index != task.index)) break;
    if (now - it->second.ended_after <= std::min(max_age, kMaxAge)) return it->second;
  }
  return std::nullopt;
}

}  // namespace basilspring::fleet
