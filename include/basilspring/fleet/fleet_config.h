#ifndef BASILSPRING_FLEET_FLEET_CONFIG_H_
#define BASILSPRING_FLEET_FLEET_CONFIG_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/fleet/job_model.h"
#include "basilspring/ids.h"

namespace basilspring::fleet {

/// A queue of the operator's configuration: where callers find it and how its jobs are treated.
struct Queue {
  QueueId id;
  /// Host name that callers address.
  std::string host;
  /// Prefix of the paths of its jobs; the longest match counts.
  std::string path_prefix;
  ServiceId service;
  /// 0 is served first and may preempt the others.
  std::int32_t priority = 0;
  /// Runs of a task that may end as failed.
  std::int32_t max_attempts = 1;
  /// A job is on time up to this multiple of its longest chain of work, plus `target_slack`.
  double stretch = 1.0;
  Duration target_slack;
  /// Callers need no key.
  bool open_to_all = false;
};

struct Service {
  ServiceId id;
  /// The backend servers refuse what exceeds their capacity.
  bool enforces_capacity = true;
};

struct Workspace {
  WorkspaceId id;
  std::vector<std::string> api_keys;
  /// Accelerators that belong to the workspace's jobs of priority 0 at all times.
  std::int64_t guaranteed_accelerators = 0;
};

/// One version of the operator's configuration. Immutable once built.
class FleetConfig {
 public:
  std::int64_t version = 0;
  std::vector<Queue> queues;
  std::vector<Service> services;
  std::vector<Workspace> workspaces;

  /// The queue that serves this host and path, or nullptr.
  const Queue* FindQueue(const std::string& host, const std::string& path) const;
  const Queue* FindQueue(const QueueId& id) const;
  const Service* FindService(const ServiceId& id) const;
  /// The workspace that owns the key, or nullptr.
  const Workspace* FindWorkspaceByKey(const std::string& key) const;
  const Workspace* FindWorkspace(const WorkspaceId& id) const;
};

/// Everything that operators have said, as of one revision of the store.
struct OperatorState {
  FleetConfig config;
  /// Data centres whose workers get nothing new.
  std::set<DataCentreId> evacuated;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_FLEET_CONFIG_H_
