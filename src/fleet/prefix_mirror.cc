#include "basilspring/fleet/prefix_mirror.h"

#include <algorithm>

namespace basilspring::fleet {

void PrefixMirror::Update(const std::vector<StoreItem>& items, bool snapshot,
                          std::int64_t revision) {
  if (snapshot) {
    items_.clear();
    snapshot_revision_ = revision;
  }
  for (const StoreItem& item : items) items_.insert_or_assign(item.key, item);
}

bool PrefixMirror::Covers(const StoreCall& call) const {
  const bool read = call.kind() == StoreOperation::kRange || call.kind() == StoreOperation::kWatch;
  return read && call.key == prefix_;
}

std::optional<StoreReply> PrefixMirror::Answer(const StoreCall& call, std::int64_t revision) const {
  StoreReply reply;
  reply.status = StoreStatus::kOk;
  reply.revision = revision;
  if (call.kind() == StoreOperation::kRange) {
    if (revision < call.after_revision) {
      reply.status = StoreStatus::kUnavailable;
      reply.message = "the caller knows a later revision";
      return reply;
    }
    for (auto it = items_.upper_bound(call.after_key); it != items_.end(); ++it) {
      if (!it->second.removed) reply.items.push_back(it->second);
    }
    return reply;
  }
  if (call.after_revision < snapshot_revision_) {
    reply.status = StoreStatus::kHistoryLost;
    return reply;
  }
  for (const auto& [key, item] : items_) {
    if (item.revision > call.after_revision) reply.items.push_back(item);
  }
  if (reply.items.empty()) return std::nullopt;
  std::sort(reply.items.begin(), reply.items.end(),
            [](const StoreItem& a, const StoreItem& b) { return a.revision < b.revision; });
  return reply;
}

}  // namespace basilspring::fleet
