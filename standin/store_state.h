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

/// The value of a key and its metadata, as in etcd. A zero `lease` stands for none.
struct StoredValue {
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

/// One change of a key, kept for watches.
struct StoredEvent {
  bool deleted = false;
  std::string key;
  StoredValue value;
};

/// The data of the stand-in store: a map with revisions, leases and a history of events. All writes
/// of one transaction share a revision.
class StoreState {
 public:
  std::int64_t revision() const { return revision_; }
  const std::map<std::string, StoredValue>& values() const { return values_; }

  /// Starts a new revision, which the writes that follow share.
  void BeginWrite() { ++revision_; }
  /// Sets the value of a key. Returns false, without a change, if the lease doesn't exist.
  bool Put(const std::string& key, const std::string& value, std::int64_t lease);
  /// Deletes the keys in [key, end), or the single key if `end` is empty, and returns their number.
  std::int64_t Delete(const std::string& key, const std::string& end);

  /// Creates a lease and returns its id.
  std::int64_t Grant(std::int64_t seconds, TimePoint now);
  /// Renews the lease and returns its time to live in seconds, or 0 if it doesn't exist.
  std::int64_t KeepAlive(std::int64_t lease, TimePoint now);
  /// Deletes the lease and the keys that are attached to it.
  void Revoke(std::int64_t lease);
  /// Revokes all leases that have expired.
  void ExpireLeases(TimePoint now);

  /// Returns the events from revision `from` on, or std::nullopt if some of them are no longer
  /// kept.
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
  /// The history holds all events from this revision on.
  std::int64_t first_kept_revision_ = 1;
};

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_STORE_STATE_H_
