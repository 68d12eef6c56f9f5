#include "basilspring/process/election.h"

#include <utility>

#include "basilspring/connection/store_client.h"
#include "basilspring/error.h"

namespace basilspring {

Election::Election(StoreClient& store, const CellId& cell, Address self, Duration time_to_live)
    : store_(store),
      key_("/basilspring/cells/" + cell.value()),
      self_(std::move(self)),
      time_to_live_(time_to_live) {}

std::optional<Epoch> Election::Acquire() {
  const TimePoint sent = Clock::Now();
  const std::int64_t lease = store_.GrantLease(time_to_live_);
  const std::optional<Epoch> epoch = CreateKey(lease);
  if (!epoch) {
    store_.RevokeLease(lease);
    return std::nullopt;
  }
  lease_ = lease;
  held_until_ = sent + time_to_live_;
  return epoch;
}

std::optional<Epoch> Election::CreateKey(std::int64_t lease) {
  const TxnResult created =
      store_.Txn({KeyAbsent{key_}}, {PutKey{key_, self_.ToString(), lease}}, {key_});
  if (!created.succeeded) return std::nullopt;
  // Compares the lease of the key, because its value does not distinguish two elections of the same
  // process if an answer was lost. The create revision is read as well, since the answer to a
  // repeated call does not contain it.
  const RangeResult read = store_.Get(key_);
  if (read.pairs.size() != 1 || read.pairs[0].lease != lease) return std::nullopt;
  return Epoch(static_cast<std::uint64_t>(read.pairs[0].create_revision));
}

LeaseRenewal Election::Renew() {
  const TimePoint sent = Clock::Now();
  try {
    if (!store_.KeepAlive(lease_)) return LeaseRenewal::kExpired;
  } catch (const Error&) {
    return LeaseRenewal::kStoreDown;
  }
  held_until_ = sent + time_to_live_;
  return LeaseRenewal::kRenewed;
}

void Election::Release() {
  if (lease_ == 0) return;
  const std::int64_t lease = std::exchange(lease_, 0);
  try {
    store_.RevokeLease(lease);
  } catch (const Error&) {
    // If the store is unreachable, the lease expires by itself.
    return;
  }
}

}  // namespace basilspring
