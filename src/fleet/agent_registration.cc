#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "basilspring/fleet/agent_core.h"

// Which backend server an agent controls: announcements, probes and notices of leaving.
namespace basilspring::fleet {
namespace {

// Number of unconfirmed announcements that are kept, and how long each is kept unless it is
// repeated. A backend server announces itself every 1.5 s.
constexpr std::size_t kMaxClaims = 8;
constexpr Duration kClaimLifetime = Duration::Seconds(5);
// Shortest time between a probe that is not answered and the next one.
constexpr Duration kProbeRetry(150);
// Longest transit time of an announcement. A notice of leaving may arrive earlier by as much than
// the announcement of the drain said.
constexpr Duration kTransitTime(300);

}  // namespace

bool FleetAgentCore::SameBackendIncarnation(const BackendAnnouncement& other) const {
  return backend_ && backend_->id == other.id && backend_->started_unix_ms == other.started_unix_ms;
}

void FleetAgentCore::ResetBackendState() {
  running_.clear();
  ended_.clear();
  more_ends_ = false;
  unreadable_end_.reset();
  acknowledged_ = 0;
  confirmed_acknowledgement_ = 0;
  identified_ = false;
  in_question_ = false;
  superseded_after_poll_.reset();
  open_connection_failed_ = false;
  poll_abandoned_ = false;
  poll_answered_ = 0;
  // The next poll is sent at once, and the answer to one of the former backend server is ignored.
  poll_in_flight_ = false;
  clock_known_ = false;
  poll_not_before_ = TimePoint();
  gone_since_.reset();
  gone_ = false;
  left_ = false;
  drains_until_.reset();
  lease_granted_until_ = TimePoint();
  poll_lease_until_ = TimePoint();
  lease_confirmed_until_ = TimePoint();
}

bool FleetAgentCore::RunsHaveEnded(TimePoint now) const {
  return left_ || now > lease_granted_until_ + options_.lease_expiry_margin;
}

bool FleetAgentCore::IsServiceKnown(const ServiceId& service) const {
  return services_.empty() ||
         std::find(services_.begin(), services_.end(), service) != services_.end();
}

void FleetAgentCore::LogIgnored(const BackendAnnouncement& announcement, std::string_view reason) {
  LogDecision(fmt::format("backend={} born={} sequence={} service={} announcement ignored: {}",
                          announcement.id.value(), announcement.started_unix_ms,
                          announcement.sequence, announcement.service.value(), reason));
}

bool FleetAgentCore::StartedEarlier(const BackendAnnouncement& other) const {
  return backend_ && other.started_unix_ms < backend_->started_unix_ms;
}

bool FleetAgentCore::OnAnnouncement(TimePoint now, const BackendAnnouncement& announcement) {
  // The service of the registered backend server may have been removed from the configuration.
  if (SameBackendIncarnation(announcement)) return UpdateBackend(now, announcement);
  if (!IsServiceKnown(announcement.service)) {
    LogIgnored(announcement, "the configuration does not contain its service");
    return false;
  }
  // Normally a late announcement of a former incarnation. But the time of day may have been set
  // back before the registered one was replaced.
  if (StartedEarlier(announcement) && !in_question_) {
    LogIgnored(announcement, "it is older than the registered backend server");
    return false;
  }
  AddClaim(now, announcement);
  return true;
}

bool FleetAgentCore::UpdateBackend(TimePoint now, const BackendAnnouncement& announcement) {
  const bool contradicts = announcement.service != backend_->service ||
                           announcement.address != backend_->address ||
                           announcement.data_centre != backend_->data_centre;
  // These don't change while a backend server runs. The registration itself is wrong if its service
  // does not exist.
  const bool corrects =
      contradicts && !IsServiceKnown(backend_->service) && IsServiceKnown(announcement.service);
  if (contradicts && !corrects) {
    LogIgnored(announcement, "it contradicts the registered backend server");
    return false;
  }
  if (!corrects && announcement.sequence <= backend_->sequence) {
    LogIgnored(announcement, "it is not newer than the last one");
    return false;
  }
  if (corrects || announcement.draining != backend_->draining) {
    LogDecision(fmt::format("backend={} service={} draining={} remaining_ms={}",
                            announcement.id.value(), announcement.service.value(),
                            announcement.draining, announcement.drain_remaining.milliseconds()));
    report_due_ = true;
  }
  SetBackend(now, announcement);
  left_ = false;
  return true;
}

void FleetAgentCore::SetBackend(TimePoint announced_at, const BackendAnnouncement& announcement) {
  backend_ = announcement;
  if (!announcement.draining) {
    drains_until_.reset();
    return;
  }
  // A delayed announcement shows a later time than the server meant.
  const TimePoint until = announced_at + announcement.drain_remaining;
  drains_until_ = std::min(drains_until_.value_or(until), until);
}

void FleetAgentCore::AddClaim(TimePoint now, const BackendAnnouncement& announcement) {
  const auto found = std::find_if(claims_.begin(), claims_.end(), [&](const Claim& claim) {
    return claim.announcement.id == announcement.id &&
           claim.announcement.started_unix_ms == announcement.started_unix_ms;
  });
  if (found != claims_.end()) {
    if (announcement.sequence > found->announcement.sequence) found->announcement = announcement;
    found->announced_at = now;
    return;
  }
  if (claims_.size() == kMaxClaims) claims_.pop_front();
  claims_.push_back({announcement, now});
}

void FleetAgentCore::ProbeClaims(TimePoint now) {
  if (probe_in_flight_ || now < probe_not_before_) return;
  std::erase_if(claims_,
                [&](const Claim& claim) { return now - claim.announced_at > kClaimLifetime; });
  if (claims_.empty()) return;
  BackendProbe probe;
  probe.number = ++probes_sent_;
  probe.backend = claims_.front().announcement;
  probe.poll.fence = {term_, epoch_};
  probe.poll.brief = IsBriefAfter(unanswered_probes_);
  probe_in_flight_ = true;
  probe_sent_at_ = now;
  probed_ = probe.backend;
  effects_.probe = std::move(probe);
}

void FleetAgentCore::OnProbed(TimePoint now, std::uint64_t number, const BackendReply& reply) {
  if (!probe_in_flight_ || number != probes_sent_) return;
  probe_in_flight_ = false;
  if (reply.status == BackendStatus::kStaleTerm) CatchUpEpoch();
  const auto found = std::find_if(claims_.begin(), claims_.end(), [&](const Claim& claim) {
    return claim.announcement.id == probed_.id &&
           claim.announcement.started_unix_ms == probed_.started_unix_ms;
  });
  if (found == claims_.end()) return;
  const Claim claim = *found;
  claims_.erase(found);
  const bool earlier = StartedEarlier(claim.announcement);
  // Answers without a start time identify the backend server by its id only, which does not show
  // that an earlier start time is the newer one.
  const bool same_start = reply.started_unix_ms == claim.announcement.started_unix_ms ||
                          (reply.started_unix_ms == 0 && !earlier);
  const bool may_register = same_start && (!earlier || in_question_);
  if (reply.status == BackendStatus::kOk && may_register) {
    Register(now, claim);
  } else if (reply.status == BackendStatus::kOk ||
             reply.status == BackendStatus::kOtherIncarnation) {
    LogIgnored(claim.announcement, "another backend server listens at its address");
  } else {
    claims_.push_back(claim);
    ++unanswered_probes_;
    probe_not_before_ = std::max(now, probe_sent_at_ + kProbeRetry);
    return;
  }
  unanswered_probes_ = 0;
}

void FleetAgentCore::Register(TimePoint now, const Claim& claim) {
  const BackendAnnouncement& announcement = claim.announcement;
  // A call for a former incarnation with the same id names the end of the lease on a clock that is
  // far ahead of the new one.
  const bool same_id = backend_ && backend_->id == announcement.id;
  ResetBackendState();
  // A former process of this agent may have granted a lease.
  lease_granted_until_ = now + (same_id ? options_.longest_lease : options_.lease);
  LogDecision(fmt::format("backend={} born={} service={} accelerators={} registered",
                          announcement.id.value(), announcement.started_unix_ms,
                          announcement.service.value(), announcement.capacity.accelerators));
  SetBackend(claim.announced_at, announcement);
  report_due_ = true;
}

void FleetAgentCore::OnLeave(TimePoint now, const BackendId& id) {
  if (!backend_ || backend_->id != id) return;
  if (!drains_until_ || now + kTransitTime < *drains_until_) {
    LogDecision(
        fmt::format("backend={} born={} draining={} notice of leaving ignored: {}", id.value(),
                    backend_->started_unix_ms, backend_->draining,
                    drains_until_ ? "it stays longer" : "it has not announced that it drains"));
    return;
  }
  LogDecision(fmt::format("backend={} has left", id.value()));
  // The backend server stays registered as draining until another incarnation announces itself, so
  // that a late announcement does not register it again as available.
  backend_->drain_remaining = Duration(0);
  left_ = true;
  report_due_ = true;
}

}  // namespace basilspring::fleet
