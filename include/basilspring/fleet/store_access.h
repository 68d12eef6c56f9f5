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

struct StoreAccessCounts {
  std::uint64_t direct_calls = 0;
  std::uint64_t relayed_calls = 0;
  std::uint64_t failures = 0;
};

/// Reaches the store directly, or through a peer while the store refuses this host or can't be
/// reached from it. Used on the process's own thread only; handlers run there.
class StoreAccess {
 public:
  StoreAccess(Store& store, PeerClient& peers, Executor executor);
  ~StoreAccess();
  StoreAccess(const StoreAccess&) = delete;
  StoreAccess& operator=(const StoreAccess&) = delete;

  void Call(const StoreCall& call, StoreHandler handler);
  /// Makes a call for a peer: directly, so that calls don't go round, and not at all while the own
  /// way is known to be bad.
  void CallForPeer(const StoreCall& call, StoreHandler handler);
  /// Makes a call directly or not at all, to learn quickly whether the own way is good.
  void CallDirectly(const StoreCall& call, StoreHandler handler);
  /// Processes to relay through.
  void SetPeers(std::vector<Address> peers);

  /// Whether calls have failed, by every way, for so long that the next one will fail too.
  bool IsAway(TimePoint now) const;
  /// When a call last failed by every way that was tried.
  TimePoint last_failure() const { return last_failure_; }
  const StoreAccessCounts& counts() const { return counts_; }

 private:
  void Direct(const StoreCall& call, StoreHandler handler, bool may_relay);
  void Relay(const StoreCall& call, StoreHandler handler, std::size_t attempt, bool may_go_direct);
  void MarkDirect(const StoreReply& reply);
  void ProbeDirect();
  /// The next peer that has not just failed to answer, or nothing.
  std::optional<Address> NextPeer();

  Store& store_;
  PeerClient& peers_client_;
  Executor executor_;
  std::vector<Address> peers_;
  std::size_t next_peer_ = 0;
  /// Peers that gave no answer, and until when they are left alone.
  std::map<Address, TimePoint> silent_peers_;
  TimePoint direct_bad_until_;
  Duration direct_pause_;
  bool direct_good_ = true;
  TimePoint last_answer_;
  TimePoint last_failure_;
  StoreAccessCounts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_STORE_ACCESS_H_
