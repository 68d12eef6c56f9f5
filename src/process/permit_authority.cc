#include "basilspring/process/permit_authority.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace basilspring {
namespace {

// Answers that arrive later than this prove nothing, since their vouch has lapsed.
constexpr std::size_t kMaxPendingRequests = 16;

}  // namespace

PermitAuthority::PermitAuthority(ProcessId self, Address address, const Timings& timings)
    : self_(std::move(self)), address_(std::move(address)), timings_(timings) {}

void PermitAuthority::OnConfiguration(ConfigRevision revision,
                                      std::set<DataCentreId> out_of_service) {
  if (revision < revision_) return;
  revision_ = revision;
  out_ = std::move(out_of_service);
}

void PermitAuthority::OnGuardRead(TimePoint started, ConfigRevision guard) {
  if (guard_read_.has_value() && started < *guard_read_) return;
  guard_read_ = started;
  guard_ = guard;
}

void PermitAuthority::OnRegistry(TimePoint started, const std::map<ProcessId, Address>& entries) {
  last_registry_read_ = started;
  const bool registered = entries.find(self_) != entries.end();
  if (registered && !registered_since_.has_value()) registered_since_ = started;
  if (!registered) registered_since_.reset();
  const auto gone = [&entries](const ProcessId& id) { return entries.find(id) == entries.end(); };
  std::erase_if(peers_, [&gone, started](const auto& peer) {
    // A read that began before the entry made itself known may not show its registration yet.
    const bool made_known_since = !peer.second.registered && peer.second.last_heard >= started;
    return gone(peer.first) && !made_known_since;
  });
  std::erase_if(removing_, gone);
  for (const auto& [id, address] : entries) {
    if (id == self_) continue;
    Peer& peer = peers_[id];
    if (peer.address != address) {
      // The same name at another address is another process: nothing it said before counts.
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
  next_tick_ = now + timings_.permit_read;
  const bool register_again = now >= next_registration_;
  if (register_again) next_registration_ = now + timings_.registration_interval;
  for (auto& [id, peer] : peers_) {
    if (!peer.acknowledged || register_again) {
      messages.push_back({peer.address, Registration{self_, address_}});
    }
    // Vouches are only asked for when the store is away; the traffic is quadratic in the number of
    // entries.
    if (!vouching(now)) continue;
    const std::uint64_t request = next_request_++;
    peer.pending[request] = now;
    while (peer.pending.size() > kMaxPendingRequests) peer.pending.erase(peer.pending.begin());
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
    vouch.config_revision = std::max(revision_, guard_);
    for (const auto& [data_centre, changes] : changing_) vouch.changing.push_back(data_centre);
    // An entry that was removed from the registry, or is about to be, gets no vouch.
    const auto peer = peers_.find(request->from);
    // A restarted entry may have written before; it knows its own writes only once it has read the
    // store.
    const bool has_read =
        registered_since_.has_value() && guard_read_.has_value() && revision_ >= guard_;
    vouch.granted = has_read && peer != peers_.end() && peer->second.registered &&
                    removing_.find(request->from) == removing_.end();
    return vouch;
  }
  if (const auto* const registration = std::get_if<Registration>(&message)) {
    // From now on this entry issues no permit on vouches without the new one's.
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
  const auto pending = peer.pending.find(vouch.request);
  if (pending == peer.pending.end()) return;
  const TimePoint sent = pending->second;
  peer.pending.erase(peer.pending.begin(), std::next(pending));
  if (!vouch.granted) {
    peer.vouched_since.reset();
    return;
  }
  // Counted from when the request was sent, because the answer says what held at some later moment.
  peer.vouched_since = sent;
  peer.revision = vouch.config_revision;
  peer.changing = {vouch.changing.begin(), vouch.changing.end()};
}

bool PermitAuthority::vouching(TimePoint now) const {
  return !guard_read_.has_value() || now - *guard_read_ >= timings_.permit_validity;
}

std::optional<TimePoint> PermitAuthority::ProofFromVouches(TimePoint now,
                                                           const DataCentreId& data_centre) const {
  if (fail_closed_) return std::nullopt;
  if (!registered_since_.has_value() || !last_registry_read_.has_value()) return std::nullopt;
  if (now - *last_registry_read_ >= timings_.vouching_limit) return std::nullopt;
  if (guard_ > revision_) return std::nullopt;
  TimePoint proof = now;
  for (const auto& [id, peer] : peers_) {
    if (!peer.vouched_since.has_value() || peer.revision > revision_) return std::nullopt;
    if (peer.changing.find(data_centre) != peer.changing.end()) return std::nullopt;
    proof = std::min(proof, *peer.vouched_since);
  }
  return proof;
}

Permit PermitAuthority::Issue(TimePoint now, const PermitRequest& request) {
  Permit permit;
  permit.data_centre = request.data_centre;
  permit.request = request.request;
  permit.config_revision = revision_;
  permit.out = out_.find(request.data_centre) != out_.end();
  const bool changing = changing_.find(request.data_centre) != changing_.end();
  if (permit.out || changing || revision_ == ConfigRevision()) return permit;
  std::optional<TimePoint> proof;
  if (!vouching(now) && guard_ == revision_) proof = guard_read_;
  if (!proof.has_value() && vouching(now)) proof = ProofFromVouches(now, request.data_centre);
  if (!proof.has_value()) return permit;
  const Duration remaining = *proof + timings_.permit_validity - now;
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
  ++changing_[data_centre];
  // Permits on vouches that this entry gave until now lapse by then.
  return now + timings_.permit_validity;
}

void PermitAuthority::EndChange(const DataCentreId& data_centre) {
  const auto change = changing_.find(data_centre);
  if (change != changing_.end() && --change->second == 0) changing_.erase(change);
}

std::vector<ProcessId> PermitAuthority::SilentPeers(TimePoint now) const {
  std::vector<ProcessId> silent;
  if (!registered_since_.has_value() || vouching(now)) return silent;
  for (const auto& [id, peer] : peers_) {
    if (now - peer.last_heard >= timings_.registration_silence) silent.push_back(id);
  }
  return silent;
}

TimePoint PermitAuthority::BeginRemoval(TimePoint now, const ProcessId& entry) {
  removing_.insert(entry);
  return now + timings_.permit_validity;
}

}  // namespace basilspring
