#include "basilspring/process/configuration_view.h"

#include <algorithm>
#include <optional>
#include <string_view>

#include "basilspring/version/config_change.h"

namespace basilspring {
namespace {

constexpr std::string_view kNodePrefix = kConfigNodePrefix;

std::optional<std::string> NodePathFromKey(const std::string& key) {
  if (key.compare(0, kNodePrefix.size(), kNodePrefix) != 0) return std::nullopt;
  return key.substr(kNodePrefix.size());
}

}  // namespace

void ConfigurationView::Replace(const std::vector<StoreKeyValue>& pairs, std::int64_t revision) {
  if (revision < list_revision_) return;
  list_revision_ = revision;
  nodes_.clear();
  for (const StoreKeyValue& pair : pairs) {
    if (pair.key == kConfigGuardKey) {
      guard_revision_ =
          std::max(guard_revision_, ConfigRevision(static_cast<std::uint64_t>(pair.mod_revision)));
    } else if (const auto path = NodePathFromKey(pair.key)) {
      nodes_[*path] = pair.value;
    }
  }
}

void ConfigurationView::Apply(const StoreEvent& event) {
  const StoreKeyValue& pair = event.pair;
  if (pair.mod_revision <= list_revision_) return;
  if (pair.key == kConfigGuardKey) {
    if (event.deleted) return;
    guard_revision_ =
        std::max(guard_revision_, ConfigRevision(static_cast<std::uint64_t>(pair.mod_revision)));
    return;
  }
  const auto path = NodePathFromKey(pair.key);
  if (!path.has_value()) return;
  if (event.deleted) {
    nodes_.erase(*path);
  } else {
    nodes_[*path] = pair.value;
  }
}

std::vector<ConfigNode> ConfigurationView::Nodes() const {
  std::vector<ConfigNode> nodes;
  nodes.reserve(nodes_.size());
  for (const auto& [path, json] : nodes_) nodes.push_back({path, json});
  return nodes;
}

}  // namespace basilspring
