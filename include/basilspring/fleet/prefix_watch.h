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

/// Follows all keys below a prefix: reads them once, then hears of each change. When the history
/// that it needs is gone, it reads them again. Lives on the process's own thread.
class PrefixWatch {
 public:
  /// `snapshot` says that the items are all there are; otherwise they are changes in their order.
  using Handler = std::function<void(std::vector<StoreItem> items, bool snapshot)>;

  PrefixWatch(StoreAccess& store, Executor executor, std::string prefix, Handler handler);
  ~PrefixWatch();
  PrefixWatch(const PrefixWatch&) = delete;
  PrefixWatch& operator=(const PrefixWatch&) = delete;

  void Start();
  /// Continues after a failure once its pause is over.
  void Tick(TimePoint now);

  bool loaded() const { return loaded_; }
  /// When the store last told what had changed or that nothing had.
  TimePoint current_at() const { return current_at_; }
  std::int64_t revision() const { return revision_; }

 private:
  void Load(std::string after_key, std::int64_t revision, std::vector<StoreItem> items);
  void Watch();
  void Pause(const StoreReply& reply);

  StoreAccess& store_;
  Executor executor_;
  std::string prefix_;
  Handler handler_;
  bool loaded_ = false;
  bool idle_ = true;
  TimePoint retry_at_;
  Duration pause_;
  std::int64_t revision_ = 0;
  TimePoint current_at_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_PREFIX_WATCH_H_
