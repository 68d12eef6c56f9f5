#ifndef BASILSPRING_CONNECTION_STORE_CLIENT_H_
#define BASILSPRING_CONNECTION_STORE_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"

namespace basilspring {

class HttpClient;
class IoThread;

struct StoreKeyValue {
  std::string key;
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t lease = 0;
};

struct RangeResult {
  /// Revision of the store at which the read took place.
  std::int64_t revision = 0;
  std::vector<StoreKeyValue> pairs;
  /// Whether more keys match than the limit allowed.
  bool more = false;
};

/// Condition of a transaction: the key does not exist.
struct KeyAbsent {
  std::string key;
};
/// Condition of a transaction: the key was last modified at this revision.
struct ModRevisionIs {
  std::string key;
  std::int64_t revision = 0;
};
/// Condition of a transaction: the key has this value.
struct ValueIs {
  std::string key;
  std::string value;
};
using StoreCondition = std::variant<KeyAbsent, ModRevisionIs, ValueIs>;

/// Write of a transaction: sets the value of a key and attaches the key to the lease, unless it is
/// 0.
struct PutKey {
  std::string key;
  std::string value;
  std::int64_t lease = 0;
};
/// Write of a transaction: deletes a key.
struct DeleteKey {
  std::string key;
};
using StoreWrite = std::variant<PutKey, DeleteKey>;

struct TxnResult {
  bool succeeded = false;
  /// Revision of the store at which the transaction was executed. If its success was recognized by
  /// reading back, the revision of the last change of the first PutKey's key.
  std::int64_t revision = 0;
  /// The existing keys of `read_on_failure` with their values; empty if all conditions held in the
  /// attempt that was answered. May be non-empty after a success that was recognized by reading
  /// back.
  std::vector<StoreKeyValue> found;
};

struct StoreEvent {
  bool deleted = false;
  StoreKeyValue pair;
};

struct StoreOptions {
  std::vector<Address> servers;
  /// Time limit for one attempt.
  Duration attempt_timeout = Duration(1000);
  /// Time limit for a call including its retries.
  Duration call_deadline = Duration(2500);
  /// Upper limit of the pause before the first retry. The limit doubles with each further retry, up
  /// to 32 times this value; the lower limit is half the upper one.
  Duration max_first_retry_pause = Duration(50);
  /// Maximum number of retries as a percentage of the successful calls; a small constant is added.
  int retry_percent = 20;
  /// Seed of the random pauses between retries.
  std::uint64_t seed = 1;
};

struct StoreCounters {
  /// Attempts: each retry of a call counts as well.
  std::uint64_t calls = 0;
  std::uint64_t retries = 0;
  /// Failed calls. A failed attempt that is retried does not count.
  std::uint64_t failures = 0;
  /// Transactions whose lost success was recognized because the store held the value of the first
  /// PutKey.
  std::uint64_t read_backs = 0;
};

/// A watch that runs until it is destroyed; the handlers are not called after that.
class StoreWatch {
 public:
  virtual ~StoreWatch() = default;
};

/// Client of the key-value store that uses the JSON mapping of the etcd v3 API. Calls block the
/// calling fiber or thread and must not be made on the I/O thread. They throw
/// Error(kStoreUnavailable) if the call certainly had no effect, and Error(kStoreOutcomeUnknown) if
/// a write may have taken effect or may still do so.
class StoreClient {
 public:
  StoreClient(IoThread& io, HttpClient& http, StoreOptions options);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  /// Linearizable read of one key; `pairs` is empty if the key is absent.
  RangeResult Get(const std::string& key);

  /// Linearizable read of the keys with the prefix, beginning at `from` unless it is empty, and at
  /// most `limit` of them.
  RangeResult List(const std::string& prefix, std::size_t limit = 1000,
                   const std::string& from = "");

  /// Performs all writes if all conditions hold. If the response is lost, the same transaction is
  /// sent again. For the transaction to take effect at most once, at least one condition must fail
  /// after the writes have taken effect (KeyAbsent, ModRevisionIs or ValueIs on a key that is
  /// written). If the repeated transaction fails and the store holds the value of the first PutKey,
  /// the earlier attempt succeeded. That value must therefore be unique to this call, for example
  /// by containing an attempt, token or owner.
  TxnResult Txn(const std::vector<StoreCondition>& conditions,
                const std::vector<StoreWrite>& writes,
                const std::vector<std::string>& read_on_failure = {});

  /// Returns the id of a new lease.
  std::int64_t GrantLease(Duration time_to_live);
  /// Renews a lease; returns false if it has expired. Not retried: the caller renews on its own
  /// schedule.
  bool KeepAlive(std::int64_t lease);
  void RevokeLease(std::int64_t lease);

  /// Watches all keys with the prefix from the given revision on. Handlers run on the I/O thread.
  /// If the connection breaks or becomes silent, the watch is resumed at the next revision. If that
  /// revision has been compacted, `on_reset` is called and the watch ends; the owner has to list
  /// the keys again.
  std::unique_ptr<StoreWatch> Watch(
      const std::string& prefix, std::int64_t from_revision,
      std::function<void(std::vector<StoreEvent>, std::int64_t revision)> on_events,
      std::function<void()> on_reset);

  StoreCounters counters() const;

  class Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_STORE_CLIENT_H_
