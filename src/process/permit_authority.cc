#include "basilspring/process/permit_authority.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace basilspring {
namespace {

// Bounds the unanswered vouch requests for each entry. The vouch of an answer to an older request
// has expired.
constexpr std::size_t kMaxPendingRequests = 16;

}  // namespace

PermitAuthority::PermitAuthority(ProcessId self, Address address, const Timings& timings)
    : self_(std::move(self)), address_(std::move(address)), timings_(timings) {}

void PermitAuthority::OnConfiguration(ConfigRevision revision,
                                      std::set<DataCentreId> out_of_service) {
  if (revision < applied_revision_) return;
  applied_revision_ = revision;
  out_of_service_ = std::move(out_of_service);
}

void PermitAuthority::OnGuardRead(TimePoint started, ConfigRevision guard) {
  if (last_guard_read_.has_value() && started < *last_guard_read_) return;
  last_guard_read_ = started;
  guard_revision_ = guard;
}

void PermitAuthority::OnRegistry(TimePoint started, const std::map<ProcessId, Address>& entries) {
  last_registry_read_ = started;
  const bool registered = entries.find(self_) != entries.end();
  if (registered && !registered_since_.has_value()) registered_since_ = started;
  if (!registered) registered_since_.reset();
  const auto gone = [&entries](const ProcessId& id) { return entries.find(id) == entries.end(); };
  std::erase_if(peers_, [&gone, started](const auto& peer) {
    // A read that began before this entry heard of the other one may not show its registration yet.
    const bool announced_since = !peer.second.registered && peer.second.last_heard >= started;
    return gone(peer.first) && !announced_since;
  });
  std::erase_if(pending_removals_, gone);
  for (const auto& [id, address] : entries) {
    if (id == self_) continue;
    Peer& peer = peers_[id];
    if (peer.address != address) {
      // The same name at another address is another process, so its earlier messages are ignored.
      peer = Peer();
      peer.address = address;
      peer.last_heard = started;
    }
    peer.registered = true;
  }
}

std::vector<PermitMessage> PermitAuthority::Tick(TimePoint now) {
  std::vector<PermitMessage> messages;
  if (now < next_tick_) return messages;
  next_tick_ = now + timings_.permit_refresh_interval;
  const bool register_again = now >= next_registration_;
  if (register_again) next_registration_ = now + timings_.registration_interval;
  for (auto& [id, peer] : peers_) {
    if (!peer.acknowledged || register_again) {
      messages.push_back({peer.address, Registration{self_, address_}});
    }
    // Vouches are requested only while the store is unreachable, because the traffic is quadratic
    // in the number of entries.
    if (!vouching(now)) continue;
    const std::uint64_t request = next_request_++;
    peer.pending_requests[request] = now;
    while (peer.pending_requests.size() > kMaxPendingRequests) {
      peer.pending_requests.erase(peer.pending_requests.begin());
    }
    messages.push_back({peer.address, VouchRequest{self_, request}});
  }
  return messages;
}

std::optional<Message> PermitAuthority::OnMessage(TimePoint now, const Address& from,
                                                  const Message& message) {
  if (const auto* const request = std::get_if<VouchRequest>(&message)) {
    Vouch vouch;
    vouch.from = self_;
    vouch.request = request->request;
    vouch.config_revision = std::max(applied_revision_, guard_revision_);
    for (const auto& [data_centre, changes] : pending_changes_) {
      vouch.changing.push_back(data_centre);
    }
    // An entry that was removed from the registry, or is about to be, gets no vouch.
    const auto peer = peers_.find(request->from);
    // An entry may have written a change before it restarted, and learns of that change only by
    // reading the store.
    const bool has_read = registered_since_.has_value() && last_guard_read_.has_value() &&
                          applied_revision_ >= guard_revision_;
    vouch.granted = has_read && peer != peers_.end() && peer->second.registered &&
                    pending_removals_.find(request->from) == pending_removals_.end();
    return vouch;
  }
  if (const auto* const registration = std::get_if<Registration>(&message)) {
    // From now on, permits on vouches also require the vouch of the new entry.
    Peer& peer = peers_[registration->entry];
    if (peer.address != registration->address) peer = Peer();
    peer.address = registration->address;
    peer.last_heard = now;
    return RegistrationAck{self_};
  }
  if (const auto* const ack = std::get_if<RegistrationAck>(&message)) {
    const auto peer = peers_.find(ack->from);
    if (peer != peers_.end() && peer->second.address == from) {
      peer->second.acknowledged = true;
      peer->second.last_heard = now;
    }
  }
  if (const auto* const vouch = std::get_if<Vouch>(&message)) OnVouch(*vouch);
  return std::nullopt;
}

void PermitAuthority::OnVouch(const Vouch& vouch) {
  const auto found = peers_.find(vouch.from);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  const auto pending = peer.pending_requests.find(vouch.request);
  if (pending == peer.pending_requests.end()) return;
  const TimePoint sent = pending->second;
  peer.pending_requests.erase(peer.pending_requests.begin(), std::next(pending));
  if (!vouch.granted) {
    peer.vouch_requested_at.reset();
    return;
  }
  // The validity counts from the sending of the request, because the answer describes the state at
  // an unknown later time.
  peer.vouch_requested_at = sent;
  peer.revision = vouch.config_revision;
  peer.changing_data_centres = {vouch.changing.begin(), vouch.changing.end()};
}

bool PermitAuthority::vouching(TimePoint now) const {
  return !last_guard_read_.has_value() || now - *last_guard_read_ >= timings_.permit_validity;
}

std::optional<TimePoint> PermitAuthority::ProofFromVouches(TimePoint now,
                                                           const DataCentreId& data_centre) const {
  if (fail_closed_) return std::nullopt;
  if (!registered_since_.has_value() || !last_registry_read_.has_value()) return std::nullopt;
  if (now - *last_registry_read_ >= timings_.vouching_limit) return std::nullopt;
  if (guard_revision_ > applied_revision_) return std::nullopt;
  TimePoint proof_time = now;
  for (const auto& [id, peer] : peers_) {
    if (!peer.vouch_requested_at.has_value() || peer.revision > applied_revision_) {
      return std::nullopt;
    }
    if (peer.changing_data_centres.find(data_centre) != peer.changing_data_centres.end()) {
      return std::nullopt;
    }
    proof_time = std::min(proof_time, *peer.vouch_requested_at);
  }
  return proof_time;
}

Permit PermitAuthority::Issue(TimePoint now, const PermitRequest& request) {
  Permit permit;
  permit.data_centre = request.data_centre;
  permit.request = request.request;
  permit.config_revision = applied_revision_;
  permit.out_of_service = out_of_service_.find(request.data_centre) != out_of_service_.end();
  const bool changing = pending_changes_.find(request.data_centre) != pending_changes_.end();
  if (permit.out_of_service || changing || applied_revision_ == ConfigRevision()) return permit;
  std::optional<TimePoint> proof_time;
  if (!vouching(now) && guard_revision_ == applied_revision_) proof_time = last_guard_read_;
  if (!proof_time.has_value() && vouching(now)) {
    proof_time = ProofFromVouches(now, request.data_centre);
  }
  if (!proof_time.has_value()) return permit;
  const Duration remaining = *proof_time + timings_.permit_validity - now;
  if (remaining > Duration(0)) permit.remaining = remaining;
  return permit;
}

bool PermitAuthority::MayChange(TimePoint now, std::string* reason) const {
  if (!registered_since_.has_value()) {
    *reason = "this entry is not in the registry of entries yet";
    return false;
  }
  if (now - *registered_since_ >= timings_.registration_wait) return true;
  for (const auto& [id, peer] : peers_) {
    if (peer.acknowledged) continue;
    *reason = fmt::format("entry {} has not acknowledged this entry yet", id.value());
    return false;
  }
  return true;
}

TimePoint PermitAuthority::BeginChange(TimePoint now, const DataCentreId& data_centre) {
  ++pending_changes_[data_centre];
  // Permits that rest on earlier vouches of this entry have expired by then.
  return now + timings_.permit_validity;
}

void PermitAuthority::EndChange(const DataCentreId& data_centre) {
  const auto change = pending_changes_.find(data_centre);
  if (change != pending_changes_.end() && --change->second == 0) pending_changes_.erase(change);
}

std::vector<ProcessId> PermitAuthority::SilentPeers(TimePoint now) const {
  std::vector<ProcessId> silent;
  if (!registered_since_.has_value() || vouching(now)) return silent;
  for (const auto& [id, peer] : peers_) {
    if (now - peer.last_heard >= timings_.registration_silence_timeout) silent.push_back(id);
  }
  return silent;
}

TimePoint PermitAuthority::BeginRemoval(TimePoint now, const ProcessId& entry) {
  pending_removals_.insert(entry);
  return now + timings_.permit_validity;
}

}  // namespace basilspring
