#ifndef BASILSPRING_STANDIN_STORE_SERVER_H_
#define BASILSPRING_STANDIN_STORE_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"

namespace basilspring::standin {

enum class StoreFault : std::uint8_t {
  kNone,
  /// The port is closed and open connections break, as with a store that is down.
  kDown,
  /// Calls are read and never answered, and have no effect.
  kHang,
  /// Calls are answered after a delay.
  kSlow,
  /// Calls take effect but are not answered.
  kLoseAnswers,
};

struct StoreFaultSettings {
  StoreFault fault = StoreFault::kNone;
  Duration delay;
  /// Share of the calls that a hang, a delay or a loss hits, in percent.
  int percent = 100;
  std::uint64_t seed = 1;
};

/// A stand-in for the platform's key-value store: the JSON form of the etcd v3 API over HTTP, in
/// memory, with fault switches. Data survives kDown. Paths: /v3/kv/{range,put,txn,deleterange},
/// /v3/lease/{grant,keepalive,revoke}, /v3/watch.
class StoreServer {
 public:
  /// Port 0 takes a free one.
  explicit StoreServer(const Address& listen);
  ~StoreServer();
  StoreServer(const StoreServer&) = delete;
  StoreServer& operator=(const StoreServer&) = delete;

  Address address() const;
  void SetFault(const StoreFaultSettings& fault);

  /// Number of calls by path, as JSON.
  std::string StatsJson() const;
  /// Value of a key, or "" when it is absent; for tests.
  std::string Peek(const std::string& key) const;

  struct Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

/// Reads {"mode":"none|down|hang|slow|lose_answers","delay_ms":N,"percent":N,"seed":N}. Throws
/// Error(kInvalidArgument).
StoreFaultSettings ParseStoreFault(const std::string& body);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_STORE_SERVER_H_
