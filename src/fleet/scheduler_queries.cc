#include <algorithm>
#include <iterator>
#include <utility>

#include "basilspring/fleet/scheduler_core.h"

// What others are told about jobs, queues and workers.
namespace basilspring::fleet {
namespace {

// After this long in a term, agents unknown to earlier terms have reported too. Covers several
// announcement intervals of a backend server.
constexpr Duration kShapesSettleTime(10000);

}  // namespace

std::optional<JobPhase> SchedulerCore::PhaseOf(const JobId& id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return std::nullopt;
  const Job& job = found->second;
  if (IsFinal(job.phase) && job.phase_stored) return job.phase;
  if (job.record_fault == RecordFault::kUnreadable) return std::nullopt;
  // An end that is not stored yet is not shown.
  return job.begun ? JobPhase::kRunning : JobPhase::kQueued;
}

JobQueryReply SchedulerCore::AnswerQuery(const JobId& job, bool lease_valid) const {
  JobQueryReply reply;
  const auto phase = PhaseOf(job);
  const auto found = jobs_.find(job);
  const bool end_may_be_stored =
      found != jobs_.end() && IsFinal(found->second.phase) && !found->second.phase_stored;
  reply.accepted = (lease_valid && !end_may_be_stored) || (phase && IsFinal(*phase));
  reply.known = phase.has_value();
  if (phase) reply.phase = static_cast<std::uint8_t>(*phase);
  return reply;
}

std::vector<QueueSummary> SchedulerCore::Summaries() const {
  std::vector<QueueSummary> summaries;
  summaries.reserve(pending_.size());
  for (const auto& [queue, count] : pending_) summaries.push_back({queue, count});
  return summaries;
}

std::vector<WorkerShape> SchedulerCore::Shapes(TimePoint now) const {
  const bool settled = now - term_started_at_ >= kShapesSettleTime && unreported_agents_.empty() &&
                       !agents_incomplete_;
  return settled ? shapes_ : std::vector<WorkerShape>();
}

void SchedulerCore::RecordShape(const BackendAnnouncement& backend) {
  auto found = std::find_if(shapes_.begin(), shapes_.end(), [&](const WorkerShape& shape) {
    return shape.service == backend.service && shape.capacity == backend.capacity;
  });
  if (found == shapes_.end()) {
    shapes_.push_back({backend.service, backend.capacity, {}});
    found = std::prev(shapes_.end());
  }
  for (const std::string& label : backend.labels) {
    auto& labels = found->labels;
    if (std::find(labels.begin(), labels.end(), label) == labels.end()) labels.push_back(label);
  }
}

std::int64_t SchedulerCore::AcknowledgedEnd(const NodeId& node) const {
  const auto found = workers_.find(node);
  if (found == workers_.end()) return 0;
  const Worker& worker = found->second;
  return worker.unsaved_ends.empty() ? worker.last_end : worker.unsaved_ends.begin()->first - 1;
}

bool SchedulerCore::HasUnsavedEnds(const NodeId& node) const {
  const auto found = workers_.find(node);
  if (found == workers_.end()) return false;
  const auto& ends = found->second.unsaved_ends;
  return std::any_of(ends.begin(), ends.end(), [this](const auto& row) {
    const auto job = jobs_.find(row.second.first);
    if (job == jobs_.end() || job->second.record_fault == RecordFault::kNone) return true;
    return IsFinal(job->second.phase) && job->second.record_fault == RecordFault::kUnreadable;
  });
}

}  // namespace basilspring::fleet
