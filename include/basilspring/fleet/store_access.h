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

/// Counters that the process publishes as metrics.
struct StoreAccessCounts {
  std::uint64_t direct_calls = 0;
  std::uint64_t relayed_calls = 0;
  /// Direct calls that failed, except unanswered watches.
  std::uint64_t direct_failures = 0;
};

/// Calls the store directly, or through a peer while direct calls from this host fail. Used only on
/// the thread that owns the process's state; handlers run there.
class StoreAccess {
 public:
  StoreAccess(Store& store, PeerClient& peer_client, Executor executor);
  ~StoreAccess();
  StoreAccess(const StoreAccess&) = delete;
  StoreAccess& operator=(const StoreAccess&) = delete;

  /// Makes a call, directly or through a peer.
  void Call(const StoreCall& call, StoreHandler handler);
  /// Makes a call for a peer. The call is never relayed, so that calls don't circulate between
  /// peers, and it fails at once while the store is known to be unreachable from here.
  void CallForPeer(StoreCall call, StoreHandler handler);
  /// Makes a call without relaying it, for calls that only a process with a direct connection may
  /// make, and for probes of that connection.
  void CallDirectly(const StoreCall& call, StoreHandler handler);
  /// Makes a read directly and through one peer at the same time. The handler gets the first
  /// answer, or the last failure if neither way gives one. For reads that have to show quickly
  /// whether the store answers at all.
  void ReadBothWays(const StoreCall& call, StoreHandler handler);
  /// Sets the processes through which calls can be relayed.
  void SetPeers(std::vector<Address> peers);

  /// Whether the last direct call was answered.
  bool ReachesStore() const { return direct_reachable_; }
  /// Whether calls, direct and relayed, have failed for so long that the next one is expected to
  /// fail too.
  bool IsUnavailable(TimePoint now) const;
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
  /// Makes a direct read if the retry delay is over, to find out whether the store is reachable
  /// again; does nothing otherwise.
  void ProbeDirect();
  /// Returns the next peer whose pause after an unanswered call, if any, is over; std::nullopt if
  /// there is none.
  std::optional<Address> NextPeer();

  Store& store_;
  PeerClient& peer_client_;
  Executor executor_;
  std::vector<Address> peers_;
  std::size_t next_peer_ = 0;
  /// Peers that did not answer, and until when they are not tried.
  std::map<Address, TimePoint> unresponsive_peers_;
  /// After a failure, Call relays until this time if there are peers, and CallForPeer fails at
  /// once.
  TimePoint direct_retry_at_;
  /// Time for which direct calls are avoided after the next failure.
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
