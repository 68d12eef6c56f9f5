#ifndef BASILSPRING_STANDIN_STORE_STATE_H_
#define BASILSPRING_STANDIN_STORE_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilspring/clock.h"

namespace basilspring::standin {

struct StoredValue {
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

/// One change, kept for watches.
struct StoredEvent {
  bool deleted = false;
  std::string key;
  StoredValue value;
};

/// The data of the stand-in store: a versioned map with leases and a history of events. All writes
/// of one transaction share a revision.
class StoreState {
 public:
  std::int64_t revision() const { return revision_; }
  const std::map<std::string, StoredValue>& values() const { return values_; }

  /// Begins a revision for a group of writes.
  void BeginWrite() { ++revision_; }
  /// False when the lease doesn't exist.
  bool Put(const std::string& key, const std::string& value, std::int64_t lease);
  /// Number of keys that were deleted from [key, end), or of the one key when `end` is empty.
  std::int64_t Delete(const std::string& key, const std::string& end);

  std::int64_t Grant(std::int64_t seconds, TimePoint now);
  /// Remaining seconds, or zero when the lease doesn't exist.
  std::int64_t KeepAlive(std::int64_t lease, TimePoint now);
  void Revoke(std::int64_t lease);
  void ExpireLeases(TimePoint now);

  /// Events with a revision of at least `from`; nothing when some of them are no longer kept.
  std::optional<std::vector<StoredEvent>> EventsSince(std::int64_t from) const;

 private:
  struct Lease {
    std::int64_t seconds = 0;
    TimePoint expires;
  };
  void Record(StoredEvent event);

  std::int64_t revision_ = 1;
  std::int64_t next_lease_ = 1000;
  std::map<std::string, StoredValue> values_;
  std::map<std::int64_t, Lease> leases_;
  std::deque<StoredEvent> history_;
  /// All events from this revision on are in the history.
  std::int64_t first_kept_revision_ = 1;
};

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_STORE_STATE_H_
