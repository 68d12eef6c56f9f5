#ifndef BASILSPRING_FLEET_STORE_H_
#define BASILSPRING_FLEET_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/serialize.h"

/// Interface to the key-value store that holds the persistent state.
namespace basilspring::fleet {

struct StoreItem {
  std::string key;
  std::string value;
  /// Revision of the store at the last change of the key.
  std::int64_t revision = 0;
  /// Whether the key was removed; only set in the events of a watch.
  bool removed = false;
  BASILSPRING_SERIALIZE(key, value, revision, removed)
};

enum class StoreStatus : std::uint8_t {
  kOk,
  /// The key or lease does not exist.
  kNotFound,
  /// A condition of the transaction does not hold.
  kConflict,
  /// The store no longer has the history that a watch asked for.
  kHistoryLost,
  /// The call failed and was certainly not carried out.
  kUnavailable,
  /// The call may have been carried out, or may still be carried out.
  kUnknown,
  /// The store does not accept the transaction as it is, for example because a value is too large.
  /// It was not carried out, and repeating it is of no use.
  kRejected,
};

std::string_view StoreStatusName(StoreStatus status);

struct StoreReply {
  StoreStatus status = StoreStatus::kUnknown;
  /// Items read; for a transaction with kConflict, those keys of its conditions that exist.
  std::vector<StoreItem> items;
  /// Revision of the store at the answer; for a transaction, the revision of its change.
  std::int64_t revision = 0;
  /// More keys follow the last item.
  bool more = false;
  std::int64_t lease = 0;
  Duration lease_time;
  std::string message;
};

/// Returns whether the reply is a page without items although more follow. It does not say where
/// the next page begins, and is not the last one.
bool IsUnfinishedPage(const StoreReply& reply);

/// Returns whether the reply contains the item with this key.
bool ContainsKey(const StoreReply& reply, std::string_view key);

struct StoreCondition {
  std::string key;
  /// Revision that the key must have; 0 if the key must not exist.
  std::int64_t revision = 0;
  BASILSPRING_SERIALIZE(key, revision)
};

struct StoreWrite {
  std::string key;
  std::string value;
  /// Lease with whose end the key is removed; 0 for none.
  std::int64_t lease = 0;
  BASILSPRING_SERIALIZE(key, value, lease)
};

enum class StoreOperation : std::uint8_t {
  kGet,
  kRange,
  kWatch,
  kTransaction,
  kGrantLease,
  kRenewLease,
  kEndLease,
};

/// One call to the store. Which members are used depends on the operation.
struct StoreCall {
  /// A StoreOperation.
  std::uint8_t operation = 0;
  /// Get: the key. Range and watch: the prefix.
  std::string key;
  /// Range: the last key of the previous page; empty for the first page.
  std::string after_key;
  /// Watch: events after this revision are returned. Range: a peer that answers from memory must
  /// know all changes up to this revision.
  std::int64_t after_revision = 0;
  /// Range and get: the answer may be some seconds old.
  bool stale_allowed = false;
  std::vector<StoreCondition> conditions;
  std::vector<StoreWrite> writes;
  std::vector<std::string> removals;
  std::int64_t lease = 0;
  Duration lease_time;
  /// Watch: how long the store may hold back the answer until there is an event.
  Duration wait;
  /// Time after which the outcome is considered unknown; for a watch, this is added to `wait`. With
  /// `transfer_timeout`, it limits the time until the answer begins, and between two parts of it.
  Duration timeout = Duration(1000);
  /// Time limit for the transfer of an answer that may be large; 0 if `timeout` covers the whole
  /// answer. Not sent with a relayed call: the peer sets its own.
  Duration transfer_timeout;

  BASILSPRING_SERIALIZE(operation, key, after_key, after_revision, stale_allowed, conditions,
                        writes, removals, lease, lease_time, wait, timeout)

  /// Sets the time limit for an answer of any size that the store returns.
  void AllowLargeAnswer();
  StoreOperation kind() const { return static_cast<StoreOperation>(operation); }
  static StoreCall Get(std::string key);
  static StoreCall Range(std::string prefix, std::string after_key = "");
  static StoreCall Watch(std::string prefix, std::int64_t after_revision, Duration wait);
  static StoreCall Transaction();
  static StoreCall GrantLease(Duration time);
  static StoreCall RenewLease(std::int64_t lease);
  static StoreCall EndLease(std::int64_t lease);

  StoreCall& If(std::string key, std::int64_t revision);
  StoreCall& Set(std::string key, std::string value, std::int64_t lease = 0);
  StoreCall& Remove(std::string key);
};

using StoreHandler = std::function<void(StoreReply)>;

/// Sends calls to the store. Thread-safe; the handler is called once, on any thread.
class Store {
 public:
  virtual ~Store() = default;
  virtual void Call(const StoreCall& call, StoreHandler handler) = 0;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_STORE_H_
