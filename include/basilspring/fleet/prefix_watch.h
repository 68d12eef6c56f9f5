#ifndef BASILSPRING_FLEET_PREFIX_WATCH_H_
#define BASILSPRING_FLEET_PREFIX_WATCH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/fleet/peer_client.h"
#include "basilspring/fleet/store_access.h"

namespace basilspring::fleet {

/// Watches all keys with a prefix: reads them once and then follows their changes. If the store no
/// longer has the history that the watch needs, it reads all keys again. Used only on the thread
/// that owns the process's state.
class PrefixWatch {
 public:
  /// If `snapshot` is true, the items are all that exist; otherwise they are changes in order.
  using Handler = std::function<void(std::vector<StoreItem> items, bool snapshot)>;

  PrefixWatch(StoreAccess& store, Executor executor, std::string prefix, Handler handler);
  ~PrefixWatch();
  PrefixWatch(const PrefixWatch&) = delete;
  PrefixWatch& operator=(const PrefixWatch&) = delete;

  /// Reads all keys and then watches them. If the watch has been started before, answers to its
  /// former calls are ignored.
  void Start();
  /// Asks for changes at once, after the process was paused. An answer that arrived meanwhile is
  /// ignored, because it may be as old as the pause. Does nothing before all keys have been read.
  void Refresh();
  /// Ignores answers to calls in flight and makes no further calls.
  void Stop();
  /// Tries again after a failure once the retry delay is over; call it periodically.
  void Tick(TimePoint now);

  bool loaded() const { return loaded_; }
  /// When the store last confirmed that all changes are known.
  TimePoint current_at() const { return current_at_; }
  /// Revision up to which changes are known.
  std::int64_t revision() const { return revision_; }

 private:
  /// The pages of an unfinished read of all keys.
  struct Pages {
    /// Last key of the pages read; empty before the first one.
    std::string after_key;
    /// Revision of the first page; 0 before it is read.
    std::int64_t revision = 0;
    std::vector<StoreItem> items;
  };

  /// Reads all keys, page by page.
  void Load();
  /// Reads the page that follows `pages_`. After a failure, the same page is read again.
  void LoadPage();
  /// Asks for changes; the store holds back its answer for up to `wait` until there is one.
  void Watch(Duration wait);
  /// Logs a failure and sets the time of the next attempt.
  void ScheduleRetry(const StoreReply& reply);

  StoreAccess& store_;
  Executor executor_;
  std::string prefix_;
  Handler handler_;
  bool loaded_ = false;
  bool started_ = false;
  /// Whether no call is in flight.
  bool idle_ = true;
  TimePoint retry_at_;
  Duration retry_delay_;
  std::int64_t revision_ = 0;
  Pages pages_;
  TimePoint current_at_;
  /// Each call holds a copy, and its answer is ignored once the value is false. Start() replaces
  /// it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_PREFIX_WATCH_H_
