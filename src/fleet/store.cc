#include "basilspring/fleet/store.h"

#include <algorithm>
#include <array>
#include <utility>

namespace basilspring::fleet {
namespace {

constexpr std::array<std::string_view, 7> kStatusNames = {
    "ok", "not-found", "conflict", "history-lost", "unavailable", "unknown", "rejected"};

// The store's answers have up to about 1.4 MB, which a connection of 1 Mbit/s transfers in this
// time. A transfer that proceeds is not begun anew, because the next one would take as long.
constexpr Duration kTransferTimeout(12000);

StoreCall MakeCall(StoreOperation operation) {
  StoreCall call;
  call.operation = static_cast<std::uint8_t>(operation);
  return call;
}

}  // namespace

std::string_view StoreStatusName(StoreStatus status) {
  return kStatusNames.at(static_cast<std::size_t>(status));
}

bool IsUnfinishedPage(const StoreReply& reply) { return reply.more && reply.items.empty(); }

bool ContainsKey(const StoreReply& reply, std::string_view key) {
  return std::any_of(reply.items.begin(), reply.items.end(),
                     [key](const StoreItem& item) { return item.key == key; });
}

StoreCall StoreCall::Get(std::string key) {
  StoreCall call = MakeCall(StoreOperation::kGet);
  call.key = std::move(key);
  return call;
}

StoreCall StoreCall::Range(std::string prefix, std::string after_key) {
  StoreCall call = MakeCall(StoreOperation::kRange);
  call.key = std::move(prefix);
  call.after_key = std::move(after_key);
  call.AllowLargeAnswer();
  return call;
}

StoreCall StoreCall::Watch(std::string prefix, std::int64_t after_revision, Duration wait) {
  StoreCall call = MakeCall(StoreOperation::kWatch);
  call.key = std::move(prefix);
  call.after_revision = after_revision;
  call.wait = wait;
  call.AllowLargeAnswer();
  return call;
}

void StoreCall::AllowLargeAnswer() { transfer_timeout = kTransferTimeout; }

StoreCall StoreCall::Transaction() { return MakeCall(StoreOperation::kTransaction); }

StoreCall StoreCall::GrantLease(Duration time) {
  StoreCall call = MakeCall(StoreOperation::kGrantLease);
  call.lease_time = time;
  return call;
}

StoreCall StoreCall::RenewLease(std::int64_t lease) {
  StoreCall call = MakeCall(StoreOperation::kRenewLease);
  call.lease = lease;
  return call;
}

StoreCall StoreCall::EndLease(std::int64_t lease) {
  StoreCall call = MakeCall(StoreOperation::kEndLease);
  call.lease = lease;
  return call;
}

StoreCall& StoreCall::If(std::string condition_key, std::int64_t revision) {
  conditions.push_back({std::move(condition_key), revision});
  return *this;
}

StoreCall& StoreCall::Set(std::string write_key, std::string value, std::int64_t write_lease) {
  writes.push_back({std::move(write_key), std::move(value), write_lease});
  return *this;
}

StoreCall& StoreCall::Remove(std::string removed_key) {
  removals.push_back(std::move(removed_key));
  return *this;
}

}  // namespace basilspring::fleet
