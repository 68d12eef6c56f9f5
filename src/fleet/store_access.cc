#include "basilspring/fleet/store_access.h"

#include <algorithm>
#include <utility>

#include "basilspring/fleet/peer_messages.h"
#include "basilspring/process/log.h"
#include "fleet/peer_call.h"

namespace basilspring::fleet {
namespace {

// How long the direct way is left alone after a failure; doubles up to the second.
constexpr Duration kFirstPause(500);
constexpr Duration kLongestPause(2000);
// Without an answer for this long, and with a failure since, the store counts as away.
constexpr Duration kAwayAfter(600);
// Peers that are tried for one call.
constexpr std::size_t kRelayAttempts = 3;
// Added to a relayed call's time for the way to the peer.
constexpr Duration kRelayTime(150);
// A peer that has a way to the store gets an answer within this time.
constexpr Duration kRelayedCallTimeout(500);
// A relayed watch waits only this long: the peer's own way may go bad meanwhile.
constexpr Duration kRelayedWait(400);
constexpr Duration kProbeTimeout(300);
// A peer that gave no answer is left alone for this time.
constexpr Duration kSilentPeerPause(3000);

bool IsAnswer(StoreStatus status) {
  return status != StoreStatus::kUnavailable && status != StoreStatus::kUnknown;
}

bool IsRead(const StoreCall& call) {
  return call.kind() == StoreOperation::kGet || call.kind() == StoreOperation::kRange ||
         call.kind() == StoreOperation::kWatch || call.kind() == StoreOperation::kRenewLease;
}

StoreReply FromRelay(const RelayedStoreReply& relayed) {
  StoreReply reply;
  if (relayed.status <= static_cast<std::uint8_t>(StoreStatus::kUnknown)) {
    reply.status = static_cast<StoreStatus>(relayed.status);
  }
  reply.items = relayed.items;
  reply.revision = relayed.revision;
  reply.more = relayed.more;
  reply.lease = relayed.lease;
  reply.lease_time = relayed.lease_time;
  reply.message = relayed.message;
  return reply;
}

}  // namespace

StoreAccess::StoreAccess(Store& store, PeerClient& peers, Executor executor)
    : store_(store), peers_client_(peers), executor_(std::move(executor)) {}

StoreAccess::~StoreAccess() { *alive_ = false; }

void StoreAccess::SetPeers(std::vector<Address> peers) { peers_ = std::move(peers); }

bool StoreAccess::IsAway(TimePoint now) const {
  return last_failure_ > last_answer_ && now - last_answer_ > kAwayAfter;
}

void StoreAccess::Call(const StoreCall& call, StoreHandler handler) {
  // A watch that waits in vain takes longer than any other call, so it is not the one to try a bad
  // way again.
  const bool watch = call.kind() == StoreOperation::kWatch;
  const bool bad = watch ? !direct_good_ : Clock::Now() < direct_bad_until_;
  if (bad && watch) ProbeDirect();
  if (bad && !peers_.empty()) {
    Relay(call, std::move(handler), 0, !watch);
  } else {
    Direct(call, std::move(handler), true);
  }
}

void StoreAccess::ProbeDirect() {
  if (Clock::Now() < direct_bad_until_) return;
  StoreCall probe = StoreCall::Get("basilspring/probe");
  probe.timeout = kProbeTimeout;
  Direct(
      probe, [](const StoreReply&) {}, false);
}

void StoreAccess::CallForPeer(const StoreCall& call, StoreHandler handler) {
  if (Clock::Now() < direct_bad_until_) {
    StoreReply reply;
    reply.status = StoreStatus::kUnavailable;
    reply.message = "this process has no way to the store either";
    handler(std::move(reply));
    return;
  }
  Direct(call, std::move(handler), false);
}

void StoreAccess::CallDirectly(const StoreCall& call, StoreHandler handler) {
  Direct(call, std::move(handler), false);
}

void StoreAccess::MarkDirect(const StoreReply& reply) {
  const bool good = IsAnswer(reply.status);
  if (good) {
    last_answer_ = Clock::Now();
    direct_bad_until_ = TimePoint();
    direct_pause_ = kFirstPause;
  } else {
    ++counts_.failures;
    last_failure_ = Clock::Now();
    direct_bad_until_ = Clock::Now() + std::max(direct_pause_, kFirstPause);
    direct_pause_ = std::min(std::max(direct_pause_, kFirstPause) * 2, kLongestPause);
  }
  if (good != direct_good_) {
    Log(EventId::kFleetStore, "store {} status={} {}", good ? "regained" : "lost",
        StoreStatusName(reply.status), reply.message);
  }
  direct_good_ = good;
}

void StoreAccess::Direct(const StoreCall& call, StoreHandler handler, bool may_relay) {
  ++counts_.direct_calls;
  store_.Call(call, [this, alive = alive_, call, handler = std::move(handler), may_relay,
                     executor = executor_](StoreReply reply) {
    executor([this, alive, call, handler, may_relay, reply = std::move(reply)]() mutable {
      if (!*alive) return;
      // A watch without an answer may only have waited on a silent connection; whoever watches
      // reads again, and that call shows whether the way is bad.
      const bool silent_watch =
          call.kind() == StoreOperation::kWatch && reply.status == StoreStatus::kUnknown;
      if (silent_watch) {
        handler(std::move(reply));
        return;
      }
      MarkDirect(reply);
      const bool retry = reply.status == StoreStatus::kUnavailable ||
                         (reply.status == StoreStatus::kUnknown && IsRead(call));
      if (retry && may_relay && !peers_.empty()) {
        Relay(call, std::move(handler), 0, false);
      } else {
        handler(std::move(reply));
      }
    });
  });
}

std::optional<Address> StoreAccess::NextPeer() {
  const TimePoint now = Clock::Now();
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const Address& peer = peers_[(next_peer_ + i) % peers_.size()];
    const auto silent = silent_peers_.find(peer);
    if (silent != silent_peers_.end() && now < silent->second) continue;
    next_peer_ = (next_peer_ + i) % peers_.size();
    return peer;
  }
  return std::nullopt;
}

void StoreAccess::Relay(const StoreCall& call, StoreHandler handler, std::size_t attempt,
                        bool may_go_direct) {
  const std::optional<Address> peer = attempt < kRelayAttempts ? NextPeer() : std::nullopt;
  if (!peer) {
    if (may_go_direct) {
      Direct(call, std::move(handler), false);
      return;
    }
    StoreReply reply;
    reply.status = StoreStatus::kUnavailable;
    reply.message = "neither the store nor a peer answers";
    last_failure_ = Clock::Now();
    handler(std::move(reply));
    return;
  }
  ++counts_.relayed_calls;
  StoreCall relayed = call;
  relayed.timeout = std::min(call.timeout, kRelayedCallTimeout);
  relayed.wait = std::min(call.wait, kRelayedWait);
  peers_client_.Send(
      *peer, RelayedStoreCall::kPath, internal::EncodePeerBody(RelayedStoreCall{relayed}),
      relayed.timeout + relayed.wait + kRelayTime,
      [this, alive = alive_, call, handler = std::move(handler), attempt, may_go_direct,
       peer = *peer](const PeerResult& result) mutable {
        if (!*alive) return;
        StoreReply reply;
        reply.status = result.sent ? StoreStatus::kUnknown : StoreStatus::kUnavailable;
        reply.message = result.message;
        try {
          if (result.body) {
            reply = FromRelay(internal::DecodePeerBody<RelayedStoreReply>(*result.body));
          }
        } catch (const Error& error) {
          reply.message = error.what();
        }
        if (IsAnswer(reply.status)) {
          last_answer_ = Clock::Now();
          handler(std::move(reply));
          return;
        }
        last_failure_ = Clock::Now();
        if (!result.body) silent_peers_[peer] = Clock::Now() + kSilentPeerPause;
        ++next_peer_;
        const bool retry = reply.status == StoreStatus::kUnavailable || IsRead(call);
        Log(EventId::kFleetStore, "relay peer={} attempt={} status={} {}", peer.ToString(), attempt,
            StoreStatusName(reply.status), reply.message);
        if (retry) {
          Relay(call, std::move(handler), attempt + 1, may_go_direct);
        } else {
          handler(std::move(reply));
        }
      });
}

}  // namespace basilspring::fleet
