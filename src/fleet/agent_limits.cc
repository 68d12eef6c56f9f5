#include <fmt/format.h>

#include <algorithm>
#include <limits>

#include "basilspring/fleet/agent_core.h"

// How far an agent may extend the lease of its backend server and acknowledge its ends, and which
// of its calls the backend server may still carry out.
namespace basilspring::fleet {
namespace {

// Leases are converted with a reading of the backend server's clock that is no older than this. The
// clock may be 2% slow and may stand still while the host is suspended, so an older reading could
// make the lease last longer than the scheduler allows for. Equal to the silence of a backend
// server after which the scheduler extends no lease.
constexpr Duration kMaxClockAge(2000);

// An end that can't be decoded is kept for this long, so that an agent of another version, which
// may replace this one meanwhile, can record it; hosts are updated within seconds. Then it is given
// up, because ends after it would fill the backend server's list, and the scheduler would go on
// waiting for a complete one.
constexpr Duration kUnreadableEndHold = Duration::Seconds(30);

// Largest rise of the epoch at once. Epochs are counted from a time of day in seconds, and a jump
// of some days is caught up within 4 s.
constexpr std::uint32_t kMaxEpochStep = 1U << 16U;

}  // namespace

void FleetAgentCore::UpdateEpoch() {
  if (identified_ || !epoch_used_ || epoch_ == std::numeric_limits<std::uint32_t>::max()) return;
  ++epoch_;
  epoch_used_ = false;
}

void FleetAgentCore::CatchUpEpoch() {
  // Until the agent knows a scheduler, its term is the lowest one, whatever its epoch.
  if (term_ == Term()) return;
  // A former process of this agent has sent calls, and the time of day was set back since.
  epoch_shared_ = true;
  const std::uint32_t left = std::numeric_limits<std::uint32_t>::max() - epoch_;
  epoch_ += std::min(epoch_step_, left);
  epoch_step_ = std::min(epoch_step_ * 2, kMaxEpochStep);
  LogDecision(
      fmt::format("epoch={} raised: the backend server has seen a higher fencing token", epoch_));
}

bool FleetAgentCore::IsClockRecent(TimePoint now) const {
  return clock_known_ && now - clock_read_at_ <= kMaxClockAge;
}

void FleetAgentCore::OnSkippedRows(TimePoint now, const BackendReply& reply) {
  if (reply.message != skipped_rows_) {
    skipped_rows_ = reply.message;
    if (!skipped_rows_.empty()) {
      LogDecision(
          fmt::format("backend={} poll={} {}", backend_->id.value(), polls_sent_, skipped_rows_));
    }
  }
  if (!reply.unreadable_end) {
    unreadable_end_.reset();
    return;
  }
  // Acknowledged ends are not listed.
  const std::int64_t number = std::max(*reply.unreadable_end, confirmed_acknowledgement_ + 1);
  if (!unreadable_end_ || unreadable_end_->number != number) unreadable_end_ = {number, now, false};
  UnreadableEnd& end = *unreadable_end_;
  const bool follows_unrecorded = std::any_of(
      reply.ended.begin(), reply.ended.end(),
      [&](const EndedRow& row) { return row.number > acknowledged_ && row.number < number; });
  if (end.given_up || follows_unrecorded || now - end.first_listed < kUnreadableEndHold) return;
  end.given_up = true;
  acknowledged_ = std::max(acknowledged_, number);
  LogDecision(fmt::format("backend={} born={} end={} acknowledged without being recorded",
                          backend_->id.value(), backend_->started_unix_ms, number));
}

std::int64_t FleetAgentCore::AcknowledgeableEnd() const {
  if (!unreadable_end_ || unreadable_end_->given_up) return acknowledged_;
  return std::min(acknowledged_, unreadable_end_->number - 1);
}

}  // namespace basilspring::fleet
