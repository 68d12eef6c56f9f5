#ifndef BASILSPRING_FLEET_STORE_ACCESS_H_
#define BASILSPRING_FLEET_STORE_ACCESS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/address.h"
#include "basilspring/fleet/peer_client.h"
#include "basilspring/fleet/store.h"

namespace basilspring::fleet {

/// Counters for the metrics address.
struct StoreAccessCounts {
  std::uint64_t direct_calls = 0;
  std::uint64_t relayed_calls = 0;
  std::uint64_t failures = 0;
};

/// Calls the store directly, or through a peer while the store refuses this host or can't be
/// reached from it. Used only on the thread that owns the process's state; handlers run there.
class StoreAccess {
 public:
  StoreAccess(Store& store, PeerClient& peers, Executor executor);
  ~StoreAccess();
  StoreAccess(const StoreAccess&) = delete;
  StoreAccess& operator=(const StoreAccess&) = delete;

  /// Makes a call, directly or through a peer.
  void Call(const StoreCall& call, StoreHandler handler);
  /// Makes a call for a peer. The call is never relayed, so that calls don't circulate between
  /// peers, and it fails at once while the store is known to be unreachable from here.
  void CallForPeer(const StoreCall& call, StoreHandler handler);
  /// Makes a call without relaying it, to find out quickly whether the store is reachable from
  /// here.
  void CallDirectly(const StoreCall& call, StoreHandler handler);
  /// Sets the processes through which calls can be relayed.
  void SetPeers(std::vector<Address> peers);

  /// Whether calls, direct and relayed, have failed for so long that the next one is expected to
  /// fail too.
  bool IsUnavailable(TimePoint now) const;
  /// When a direct or relayed call last failed.
  TimePoint last_failure() const { return last_failure_; }
  const StoreAccessCounts& counts() const { return counts_; }

 private:
  /// Makes a direct call. If it fails and repeating it is safe, relays it when `may_relay` is set.
  void CallStore(const StoreCall& call, StoreHandler handler, bool may_relay);
  /// Relays a call, trying up to kRelayAttempts peers. If none is left, makes the call directly
  /// when `may_call_directly` is set and fails otherwise.
  void Relay(const StoreCall& call, StoreHandler handler, std::size_t attempt,
             bool may_call_directly);
  /// Updates the state of the direct connection from the outcome of a direct call.
  void RecordDirectResult(const StoreReply& reply);
  /// Makes a direct read once the retry delay is over, to find out whether the store is reachable.
  void ProbeDirect();
  /// Returns the next peer that did not just fail to answer; std::nullopt if there is none.
  std::optional<Address> NextPeer();

  Store& store_;
  PeerClient& peers_client_;
  Executor executor_;
  std::vector<Address> peers_;
  std::size_t next_peer_ = 0;
  /// Peers that did not answer, and until when they are not tried.
  std::map<Address, TimePoint> unresponsive_peers_;
  /// Until when direct calls are avoided after a failure, and the delay after the next failure.
  TimePoint direct_retry_at_;
  Duration direct_retry_delay_;
  /// Whether the last direct call was answered.
  bool direct_reachable_ = true;
  /// When a direct or relayed call was last answered.
  TimePoint last_answer_;
  TimePoint last_failure_;
  StoreAccessCounts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_STORE_ACCESS_H_
