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

/// What a renewal of the cell lease found out.
enum class LeaseRenewal : std::uint8_t {
  kRenewed,
  /// The store does not answer. Not a loss: the holder goes on until it sees a higher epoch.
  kStoreDown,
  /// The store says that the lease has expired; another process may hold the cell.
  kExpired,
};

/// The lease of one cell: the key /basilspring/cells/<cell> with the holder's listen address as
/// value, under a store lease. Calls wait in the calling fiber and must not overlap.
class Election {
 public:
  Election(StoreClient& store, const CellId& cell, Address self, Duration time_to_live);

  /// Tries once to create the key. Returns the epoch, which is the revision at which the key was
  /// created, or nothing when another process holds the cell. Throws Error when the store does not
  /// answer; the lease that may be left then expires by itself.
  std::optional<Epoch> Acquire();
  LeaseRenewal Renew();
  /// Gives the cell up, so that a successor need not wait for the lease to expire.
  void Release();

  /// End of the lease as far as is known here. Counted from when the request was sent, so the store
  /// keeps the key at least until then.
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
