#ifndef BASILSPRING_STANDIN_STORE_SERVER_H_
#define BASILSPRING_STANDIN_STORE_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"

namespace basilspring::standin {

/// The faults that a StoreServer injects.
enum class StoreFault : std::uint8_t {
  kNone,
  /// The port and all open connections are closed, as when the store is down.
  kDown,
  /// Calls are read but never executed or answered.
  kHang,
  /// Calls are executed, and answered after a delay.
  kSlow,
  /// Calls are executed but never answered.
  kLoseAnswers,
};

/// A fault and its parameters.
struct StoreFaultSettings {
  StoreFault fault = StoreFault::kNone;
  Duration delay;
  /// Percentage of the calls that kHang, kSlow and kLoseAnswers affect.
  int percent = 100;
  /// Seed of the random choice of these calls.
  std::uint64_t seed = 1;
};

/// A stand-in for the platform's key-value store: an in-memory implementation of the JSON form of
/// the etcd v3 API over HTTP, with fault injection. Data survives kDown. Paths:
/// /v3/kv/{range,put,txn,deleterange}, /v3/lease/{grant,keepalive,revoke}, /v3/watch.
class StoreServer {
 public:
  /// Starts to serve; port 0 selects a free port.
  explicit StoreServer(const Address& listen);
  ~StoreServer();
  StoreServer(const StoreServer&) = delete;
  StoreServer& operator=(const StoreServer&) = delete;

  Address address() const;
  /// Replaces the current fault.
  void SetFault(const StoreFaultSettings& fault);

  /// Returns the number of calls by path, the number of watches and the revision, as JSON.
  std::string StatsJson() const;
  /// Returns the value of a key, or "" if it is absent; for tests.
  std::string Peek(const std::string& key) const;

  struct Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

/// Parses {"mode":"none|down|hang|slow|lose_answers","delay_ms":N,"percent":N,"seed":N}. Throws
/// Error(kInvalidArgument).
StoreFaultSettings ParseStoreFault(const std::string& body);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_STORE_SERVER_H_
