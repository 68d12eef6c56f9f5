#include "basilspring/fleet/fleet_config.h"

#include <algorithm>

namespace basilspring::fleet {
namespace {

template <typename Row, typename Id>
const Row* FindById(const std::vector<Row>& rows, const Id& id) {
  const auto found =
      std::find_if(rows.begin(), rows.end(), [&](const Row& row) { return row.id == id; });
  return found == rows.end() ? nullptr : &*found;
}

}  // namespace

const Queue* FleetConfig::FindQueue(const std::string& host, const std::string& path) const {
  const Queue* best = nullptr;
  for (const Queue& queue : queues) {
    if (queue.host != host || path.rfind(queue.path_prefix, 0) != 0) continue;
    if (best == nullptr || queue.path_prefix.size() > best->path_prefix.size()) best = &queue;
  }
  return best;
}

const Queue* FleetConfig::FindQueue(const QueueId& id) const { return FindById(queues, id); }

const Service* FleetConfig::FindService(const ServiceId& id) const {
  return FindById(services, id);
}

const Workspace* FleetConfig::FindWorkspaceByKey(const std::string& key) const {
  if (key.empty()) return nullptr;
  for (const Workspace& workspace : workspaces) {
    const auto& keys = workspace.api_keys;
    if (std::find(keys.begin(), keys.end(), key) != keys.end()) return &workspace;
  }
  return nullptr;
}

const Workspace* FleetConfig::FindWorkspace(const WorkspaceId& id) const {
  return FindById(workspaces, id);
}

}  // namespace basilspring::fleet
