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
  /// The renewal failed, so it is not known whether the lease still exists. The holder keeps
  /// scheduling until it sees a higher epoch or a later renewal reports that the lease has expired.
  kStoreDown,
  /// The store reports that the lease has expired. Another process may hold the cell.
  kExpired,
};

/// Acquires, renews and releases the lease of one cell. Its holder is the process whose listen
/// address is the value of the key /basilspring/cells/<cell>, which is attached to a store lease.
/// Calls block the calling fiber and must not overlap.
class Election {
 public:
  Election(StoreClient& store, const CellId& cell, Address self, Duration time_to_live);

  /// Tries once to create the key. Returns the epoch, which is the revision at which the key was
  /// created, or std::nullopt if another process holds the cell. Throws Error if the store does not
  /// answer; in that case a store lease that was already granted expires by itself.
  std::optional<Epoch> Acquire();
  LeaseRenewal Renew();
  /// Revokes the store lease, so that a successor need not wait for it to expire. Does nothing if
  /// no lease is held.
  void Release();

  /// Earliest time at which the lease can expire. It is counted from the sending of the last
  /// successful request, so the store keeps the key at least until held_until().
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
