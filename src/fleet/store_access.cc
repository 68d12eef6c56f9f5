#include "basilspring/fleet/store_access.h"

#include <algorithm>
#include <utility>

#include "basilspring/fleet/peer_messages.h"
#include "basilspring/process/log.h"
#include "fleet/peer_call.h"

namespace basilspring::fleet {
namespace {

// Time without direct calls after a failed one; doubles with each further failure, up to the
// maximum.
constexpr Duration kInitialRetryDelay(500);
constexpr Duration kMaxRetryDelay(2000);
// The store is considered unavailable if the last answer is older than this and a call has failed
// since.
constexpr Duration kUnavailableAfter(600);
// Number of peers that are tried for one call.
constexpr std::size_t kRelayAttempts = 3;
// Added to the timeout of a relayed call for the connection to the peer.
constexpr Duration kRelayOverhead(150);
// A peer that reaches the store gets an answer within this time.
constexpr Duration kMaxRelayedCallTimeout(500);
// Longest wait of a relayed watch. It is short, because the peer may lose its own connection to the
// store meanwhile.
constexpr Duration kMaxRelayedWait(400);
constexpr Duration kProbeTimeout(300);
// Time for which a peer that did not answer is not tried again.
constexpr Duration kUnresponsivePeerPause(3000);

bool IsAnswer(StoreStatus status) {
  return status != StoreStatus::kUnavailable && status != StoreStatus::kUnknown;
}

/// Whether the call can be repeated when its outcome is unknown.
bool IsIdempotent(const StoreCall& call) {
  return call.kind() == StoreOperation::kGet || call.kind() == StoreOperation::kRange ||
         call.kind() == StoreOperation::kWatch || call.kind() == StoreOperation::kRenewLease;
}

StoreReply FromRelay(const RelayedStoreReply& relayed) {
  StoreReply reply;
  if (relayed.status <= static_cast<std::uint8_t>(StoreStatus::kRejected)) {
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

StoreAccess::StoreAccess(Store& store, PeerClient& peer_client, Executor executor)
    : store_(store), peer_client_(peer_client), executor_(std::move(executor)) {}

StoreAccess::~StoreAccess() { *alive_ = false; }

void StoreAccess::SetPeers(std::vector<Address> peers) { peers_ = std::move(peers); }

bool StoreAccess::IsUnavailable(TimePoint now) const {
  return last_failure_ > last_answer_ && now - last_answer_ > kUnavailableAfter;
}

void StoreAccess::Call(const StoreCall& call, StoreHandler handler) {
  // A watch that gets no answer takes longer to fail than any other call. After a failure, the
  // direct connection is therefore tried with a probe and not with a watch.
  const bool watch = call.kind() == StoreOperation::kWatch;
  const bool unreachable = watch ? !direct_reachable_ : Clock::Now() < direct_retry_at_;
  if (unreachable && watch) ProbeDirect();
  if (unreachable && !peers_.empty()) {
    Relay(call, std::move(handler), 0, !watch);
  } else {
    CallStore(call, std::move(handler), true);
  }
}

void StoreAccess::ProbeDirect() {
  if (Clock::Now() < direct_retry_at_) return;
  StoreCall probe = StoreCall::Get("basilspring/probe");
  probe.timeout = kProbeTimeout;
  CallStore(
      probe, [](const StoreReply&) {}, false);
}

void StoreAccess::CallForPeer(StoreCall call, StoreHandler handler) {
  if (Clock::Now() < direct_retry_at_) {
    StoreReply reply;
    reply.status = StoreStatus::kUnavailable;
    reply.message = "this process has no way to the store either";
    handler(std::move(reply));
    return;
  }
  if (call.kind() == StoreOperation::kRange || call.kind() == StoreOperation::kWatch) {
    call.AllowLargeAnswer();
  }
  CallStore(call, std::move(handler), false);
}

void StoreAccess::CallDirectly(const StoreCall& call, StoreHandler handler) {
  CallStore(call, std::move(handler), false);
}

void StoreAccess::ReadBothWays(const StoreCall& call, StoreHandler handler) {
  struct Race {
    StoreHandler handler;
    int open = 0;
  };
  const auto race = std::make_shared<Race>(Race{std::move(handler), peers_.empty() ? 1 : 2});
  const StoreHandler on_reply = [race](StoreReply reply) {
    --race->open;
    if (!race->handler || (!IsAnswer(reply.status) && race->open > 0)) return;
    std::exchange(race->handler, nullptr)(std::move(reply));
  };
  CallStore(call, on_reply, false);
  if (!peers_.empty()) Relay(call, on_reply, kRelayAttempts - 1, false);
}

void StoreAccess::RecordDirectResult(const StoreReply& reply) {
  const bool reachable = IsAnswer(reply.status);
  if (reachable) {
    last_answer_ = Clock::Now();
    direct_retry_at_ = TimePoint();
    direct_retry_delay_ = kInitialRetryDelay;
  } else {
    ++counts_.direct_failures;
    last_failure_ = Clock::Now();
    direct_retry_at_ = Clock::Now() + std::max(direct_retry_delay_, kInitialRetryDelay);
    direct_retry_delay_ =
        std::min(std::max(direct_retry_delay_, kInitialRetryDelay) * 2, kMaxRetryDelay);
  }
  if (reachable != direct_reachable_) {
    Log(EventId::kFleetStore, "store {} status={} {}", reachable ? "regained" : "lost",
        StoreStatusName(reply.status), reply.message);
  }
  direct_reachable_ = reachable;
}

void StoreAccess::CallStore(const StoreCall& call, StoreHandler handler, bool may_relay) {
  ++counts_.direct_calls;
  store_.Call(call, [this, alive = alive_, call, handler = std::move(handler), may_relay,
                     executor = executor_](StoreReply reply) {
    executor([this, alive, call, handler, may_relay, reply = std::move(reply)]() mutable {
      if (!*alive) return;
      // An unanswered watch does not prove that the store is unreachable: its connection may have
      // stopped delivering answers. The watcher reads all keys again, and that call shows whether
      // the store is reachable.
      const bool unanswered_watch =
          call.kind() == StoreOperation::kWatch && reply.status == StoreStatus::kUnknown;
      if (unanswered_watch) {
        handler(std::move(reply));
        return;
      }
      RecordDirectResult(reply);
      const bool retry = reply.status == StoreStatus::kUnavailable ||
                         (reply.status == StoreStatus::kUnknown && IsIdempotent(call));
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
    const auto unresponsive = unresponsive_peers_.find(peer);
    if (unresponsive != unresponsive_peers_.end() && now < unresponsive->second) continue;
    next_peer_ = (next_peer_ + i) % peers_.size();
    return peer;
  }
  return std::nullopt;
}

void StoreAccess::Relay(const StoreCall& call, StoreHandler handler, std::size_t attempt,
                        bool may_call_directly) {
  const std::optional<Address> peer = attempt < kRelayAttempts ? NextPeer() : std::nullopt;
  if (!peer) {
    if (may_call_directly) {
      CallStore(call, std::move(handler), false);
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
  relayed.timeout = std::min(call.timeout, kMaxRelayedCallTimeout);
  relayed.wait = std::min(call.wait, kMaxRelayedWait);
  peer_client_.Send(
      *peer, RelayedStoreCall::kPath, internal::EncodePeerBody(RelayedStoreCall{relayed}),
      relayed.timeout + relayed.wait + kRelayOverhead,
      [this, alive = alive_, call, handler = std::move(handler), attempt, may_call_directly,
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
        if (!result.body) unresponsive_peers_[peer] = Clock::Now() + kUnresponsivePeerPause;
        ++next_peer_;
        const bool retry = reply.status == StoreStatus::kUnavailable || IsIdempotent(call);
        Log(EventId::kFleetStore, "relay peer={} attempt={} status={} {}", peer.ToString(), attempt,
            StoreStatusName(reply.status), reply.message);
        if (retry) {
          Relay(call, std::move(handler), attempt + 1, may_call_directly);
        } else {
          handler(std::move(reply));
        }
      },
      call.transfer_timeout);
}

}  // namespace basilspring::fleet
