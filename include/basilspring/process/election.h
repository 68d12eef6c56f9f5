#ifndef BASILSPRING_PROCESS_ELECTION_H_
#define BASILSPRING_PROCESS_ELECTION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"
#include "basilspring/ids.h"

namespace basilspring {

class StoreClient;

/// Result of a renewal of the cell lease.
enum class LeaseRenewal : std::uint8_t {
  kRenewed,
  /// The store does not answer. The lease is not lost: the holder keeps scheduling until it sees a
  /// higher epoch.
  kStoreDown,
  /// The store reports that the lease has expired. Another process may hold the cell.
  kExpired,
};

/// The lease of one cell: the key /basilspring/cells/<cell>, attached to a store lease, with the
/// holder's listen address as its value. Calls block the calling fiber and must not overlap.
class Election {
 public:
  Election(StoreClient& store, const CellId& cell, Address self, Duration time_to_live);

  /// Tries once to create the key. Returns the epoch, which is the revision at which the key was
  /// created, or std::nullopt if another process holds the cell. Throws Error if the store does not
  /// answer; a store lease that was granted before then expires by itself.
  std::optional<Epoch> Acquire();
  LeaseRenewal Renew();
  /// Revokes the lease, so that a successor need not wait for it to expire. Does nothing if no
  /// lease is held.
  void Release();

  /// Earliest time at which the lease can expire. Counted from the time when the request was sent,
  /// so the store keeps the key at least until then.
  TimePoint held_until() const { return held_until_; }

 private:
  std::optional<Epoch> CreateKey(std::int64_t lease);

  StoreClient& store_;
  std::string key_;
  Address self_;
  Duration time_to_live_;
  std::int64_t lease_ = 0;
  TimePoint held_until_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_ELECTION_H_
