#ifndef BASILSPRING_CONNECTION_CONNECTION_BUDGET_H_
#define BASILSPRING_CONNECTION_CONNECTION_BUDGET_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "basilspring/clock.h"

namespace basilspring {

struct ConnectionLimits {
  /// Bytes that all connections and the requests being handled may hold.
  std::size_t memory_bytes = std::size_t{32} * 1024 * 1024;
  /// Accepted connections that may be open.
  std::size_t connections = 3000;

  bool operator==(const ConnectionLimits&) const = default;
};

/// Returns how many accepted connections a process with this limit of descriptors may have: at most
/// `configured`, and not the descriptors reserved for files, the store, peers and listeners.
std::size_t ConnectionsWithin(std::size_t configured, std::size_t descriptor_limit);
/// The same with the limit of this process.
std::size_t ConnectionsWithinProcessLimit(std::size_t configured);

/// Why a connection was closed.
enum class BudgetCause : std::uint8_t { kMemory, kConnections, kDescriptors };
inline constexpr std::size_t kBudgetCauses = 3;
const char* BudgetCauseName(BudgetCause cause);

/// What all accepted connections of a process may hold together. Does no I/O. If a limit is
/// exceeded, closes connections: for memory, those with the largest product of bytes held and time
/// without progress; for connections and descriptors, those without progress for longest. A
/// connection whose request is being handled is closed only if there is no other. Used on the I/O
/// thread, except for the functions marked as thread-safe.
class ConnectionBudget : public std::enable_shared_from_this<ConnectionBudget> {
 public:
  using Id = std::uint64_t;

  explicit ConnectionBudget(const ConnectionLimits& limits = {});

  /// Adds a connection, and closes others if there are too many. `close` must call Remove().
  Id Add(std::string listener, TimePoint now, std::function<void()> close);
  void Remove(Id id);
  /// Sets what the connection holds, without the request being handled.
  void SetBytes(Id id, std::size_t bytes);
  /// Records that a request began or was read, or that a part of a response was written.
  void SetProgress(Id id, TimePoint now);
  /// Sets whether a request of the connection is being handled.
  void SetHandled(Id id, bool handled);
  /// Closes connections until the limits are kept.
  void Enforce(TimePoint now);
  /// Closes one connection because the process has no free descriptor. Returns false if there is
  /// none.
  bool CloseForDescriptor(TimePoint now);

  /// The memory of a request that is being handled; released when the last copy is destroyed, on
  /// any thread. It remains counted after its connection was closed.
  using Charge = std::shared_ptr<void>;
  /// Returns nullptr if the requests being handled hold too much already.
  Charge TryHandle(std::size_t bytes);

  // Thread-safe.
  void SetLimits(const ConnectionLimits& limits);
  std::size_t bytes() const { return connection_bytes_.load() + handled_bytes_.load(); }
  std::size_t connections() const { return connection_count_.load(); }
  std::uint64_t closed(BudgetCause cause) const {
    return closed_[static_cast<std::size_t>(cause)].load();
  }

 private:
  struct Connection {
    std::string listener;
    TimePoint opened_at;
    TimePoint progress_at;
    std::size_t bytes = 0;
    bool handled = false;
    std::function<void()> close;
  };

  /// Returns the connection to close first, or std::nullopt if there is none except `kept`.
  std::optional<Id> Choose(BudgetCause cause, TimePoint now, std::optional<Id> kept) const;
  void Close(Id id, BudgetCause cause, TimePoint now);
  void LogClosed(const Connection& connection, BudgetCause cause, TimePoint now);

  std::atomic<std::size_t> memory_limit_;
  std::atomic<std::size_t> connection_limit_;
  std::map<Id, Connection> connections_;
  Id last_id_ = 0;
  std::atomic<std::size_t> connection_bytes_{0};
  std::atomic<std::size_t> connection_count_{0};
  std::atomic<std::size_t> handled_bytes_{0};
  std::array<std::atomic<std::uint64_t>, kBudgetCauses> closed_{};
  /// Log lines written in the second that began at `log_period_at_`, and lines left out since the
  /// last one.
  TimePoint log_period_at_;
  int lines_in_period_ = 0;
  std::uint64_t lines_left_out_ = 0;
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_CONNECTION_BUDGET_H_
