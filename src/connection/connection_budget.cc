#include "basilspring/connection/connection_budget.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

#include "basilspring/process/log.h"

namespace basilspring {
namespace {

// Descriptors for files, the store, the backend server, listeners and connections to peers. A fleet
// has up to 300 processes, and a process keeps one or two connections to each.
constexpr std::size_t kReservedDescriptors = 900;
// One of this many parts of the memory is not available to requests that are being handled. It
// remains for those that are being read, so that new clients can be served or refused.
constexpr std::size_t kMemoryParts = 4;
constexpr Duration kLogPeriod(1000);
constexpr int kLinesPerPeriod = 10;

}  // namespace

std::size_t ConnectionsWithin(std::size_t configured, std::size_t descriptor_limit) {
  const std::size_t reserved = std::min(kReservedDescriptors, descriptor_limit / 2);
  return std::min(configured, descriptor_limit - reserved);
}

std::size_t ConnectionsWithinProcessLimit(std::size_t configured) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return configured;
  return ConnectionsWithin(configured, limit.rlim_cur);
}

const char* BudgetCauseName(BudgetCause cause) {
  switch (cause) {
    case BudgetCause::kMemory:
      return "memory";
    case BudgetCause::kConnections:
      return "connections";
    case BudgetCause::kDescriptors:
      return "descriptors";
  }
  return "unknown";
}

ConnectionBudget::ConnectionBudget(const ConnectionLimits& limits)
    : memory_limit_(limits.memory_bytes), connection_limit_(limits.connections) {}

ConnectionBudget::Id ConnectionBudget::Add(std::string listener, TimePoint now,
                                           std::function<void()> close) {
  const Id id = ++last_id_;
  connections_.emplace(id, Connection{std::move(listener), now, now, 0, false, std::move(close)});
  ++connection_count_;
  while (connections_.size() > connection_limit_) {
    // The new connection stays, so that a client always gets in.
    const auto victim = Choose(BudgetCause::kConnections, now, id);
    if (!victim) break;
    Close(*victim, BudgetCause::kConnections, now);
  }
  return id;
}

void ConnectionBudget::Remove(Id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  connection_bytes_ -= found->second.bytes;
  --connection_count_;
  connections_.erase(found);
}

void ConnectionBudget::SetBytes(Id id, std::size_t bytes) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  connection_bytes_ += bytes;
  connection_bytes_ -= found->second.bytes;
  found->second.bytes = bytes;
}

void ConnectionBudget::SetProgress(Id id, TimePoint now) {
  const auto found = connections_.find(id);
  if (found != connections_.end()) found->second.progress_at = now;
}

void ConnectionBudget::SetHandled(Id id, bool handled) {
  const auto found = connections_.find(id);
  if (found != connections_.end()) found->second.handled = handled;
}

void ConnectionBudget::Enforce(TimePoint now) {
  while (connections_.size() > connection_limit_) {
    Close(*Choose(BudgetCause::kConnections, now, std::nullopt), BudgetCause::kConnections, now);
  }
  // Closing a connection does not release a request that is being handled.
  const std::size_t reserved = memory_limit_ / kMemoryParts;
  while (connection_bytes_ > reserved && bytes() > memory_limit_) {
    const auto victim = Choose(BudgetCause::kMemory, now, std::nullopt);
    if (!victim) break;
    Close(*victim, BudgetCause::kMemory, now);
  }
}

bool ConnectionBudget::CloseForDescriptor(TimePoint now) {
  const auto victim = Choose(BudgetCause::kDescriptors, now, std::nullopt);
  if (victim) Close(*victim, BudgetCause::kDescriptors, now);
  return victim.has_value();
}

std::optional<ConnectionBudget::Id> ConnectionBudget::Choose(BudgetCause cause, TimePoint now,
                                                             std::optional<Id> kept) const {
  std::optional<Id> chosen;
  std::pair<bool, std::uint64_t> best;
  for (const auto& [id, connection] : connections_) {
    if (id == kept) continue;
    const auto waited = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, (now - connection.progress_at).milliseconds()));
    const std::uint64_t weight =
        cause == BudgetCause::kMemory ? connection.bytes * (waited + 1) : waited;
    const std::pair<bool, std::uint64_t> rank(!connection.handled, weight);
    if (!chosen || rank > best) {
      chosen = id;
      best = rank;
    }
  }
  return chosen;
}

void ConnectionBudget::Close(Id id, BudgetCause cause, TimePoint now) {
  const auto found = connections_.find(id);
  LogClosed(found->second, cause, now);
  ++closed_[static_cast<std::size_t>(cause)];
  // Moved, because the connection removes itself.
  const std::function<void()> close = std::move(found->second.close);
  close();
  Remove(id);
}

void ConnectionBudget::LogClosed(const Connection& connection, BudgetCause cause, TimePoint now) {
  if (now - log_period_at_ >= kLogPeriod) {
    log_period_at_ = now;
    lines_in_period_ = 0;
  }
  if (++lines_in_period_ > kLinesPerPeriod) {
    ++lines_left_out_;
    return;
  }
  Log(EventId::kConnectionOverBudget,
      "listener={} cause={} held_bytes={} age_ms={} without_progress_ms={} handled={} "
      "connections={} total_bytes={} left_out={}",
      connection.listener, BudgetCauseName(cause), connection.bytes,
      (now - connection.opened_at).milliseconds(), (now - connection.progress_at).milliseconds(),
      connection.handled, connections(), bytes(), std::exchange(lines_left_out_, 0));
}

ConnectionBudget::Charge ConnectionBudget::TryHandle(std::size_t bytes) {
  const std::size_t limit = memory_limit_ - memory_limit_ / kMemoryParts;
  // Only the I/O thread adds; other threads release.
  if (handled_bytes_ + bytes > limit) return nullptr;
  handled_bytes_ += bytes;
  return {this, [budget = shared_from_this(), bytes](void*) { budget->handled_bytes_ -= bytes; }};
}

void ConnectionBudget::SetLimits(const ConnectionLimits& limits) {
  memory_limit_ = limits.memory_bytes;
  connection_limit_ = limits.connections;
}

}  // namespace basilspring
