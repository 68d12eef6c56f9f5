#include "standin/store_state.h"

#include <utility>

namespace basilspring::standin {
namespace {

constexpr std::size_t kMaxKeptEvents = 100000;

}  // namespace

bool StoreState::Put(const std::string& key, const std::string& value, std::int64_t lease) {
  if (lease != 0 && leases_.find(lease) == leases_.end()) return false;
  StoredValue& stored = values_[key];
  if (stored.version == 0) stored.create_revision = revision_;
  stored.value = value;
  stored.mod_revision = revision_;
  ++stored.version;
  stored.lease = lease;
  Record({false, key, stored});
  return true;
}

std::int64_t StoreState::Delete(const std::string& key, const std::string& end) {
  const auto first = values_.lower_bound(key);
  auto last = first;
  std::int64_t deleted = 0;
  while (last != values_.end() && (end.empty() ? last->first == key : last->first < end)) {
    StoredValue deleted_value;
    deleted_value.mod_revision = revision_;
    Record({true, last->first, deleted_value});
    ++last;
    ++deleted;
  }
  values_.erase(first, last);
  return deleted;
}

std::int64_t StoreState::Grant(std::int64_t seconds, TimePoint now) {
  const std::int64_t id = next_lease_++;
  leases_[id] = {seconds, now + Duration::Seconds(seconds)};
  return id;
}

std::int64_t StoreState::KeepAlive(std::int64_t lease, TimePoint now) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return 0;
  found->second.expires = now + Duration::Seconds(found->second.seconds);
  return found->second.seconds;
}

void StoreState::Revoke(std::int64_t lease) {
  if (leases_.erase(lease) == 0) return;
  std::vector<std::string> keys;
  for (const auto& [key, value] : values_) {
    if (value.lease == lease) keys.push_back(key);
  }
  if (keys.empty()) return;
  BeginWrite();
  for (const std::string& key : keys) Delete(key, "");
}

void StoreState::ExpireLeases(TimePoint now) {
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires <= now) expired.push_back(id);
  }
  for (const std::int64_t id : expired) Revoke(id);
}

std::optional<std::vector<StoredEvent>> StoreState::EventsSince(std::int64_t from) const {
  if (from < first_kept_revision_) return std::nullopt;
  std::vector<StoredEvent> events;
  for (auto event = history_.rbegin();
       event != history_.rend() && event->value.mod_revision >= from; ++event) {
    events.push_back(*event);
  }
  return std::vector<StoredEvent>(events.rbegin(), events.rend());
}

void StoreState::Record(StoredEvent event) {
  history_.push_back(std::move(event));
  while (history_.size() > kMaxKeptEvents) {
    first_kept_revision_ = history_.front().value.mod_revision + 1;
    history_.pop_front();
  }
}

}  // namespace basilspring::standin
