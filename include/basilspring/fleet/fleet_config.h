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

/// A queue of the operator's configuration: the host and path at which callers submit jobs, and how
/// its jobs are scheduled.
struct Queue {
  QueueId id;
  /// Host name of the requests for this queue.
  std::string host;
  /// Prefix of the paths of its jobs. If several queues match a path, the longest prefix is used.
  std::string path_prefix;
  ServiceId service;
  /// The queue's priority. 0 is served first and may preempt the others.
  std::int32_t priority = 0;
  /// The job fails when this many runs of one task, or of one gang, have failed.
  std::int32_t max_attempts = 1;
  /// A job is on time if it ends within this multiple of its critical path, plus `target_slack`.
  double stretch = 1.0;
  Duration target_slack;
  /// If true, callers need no API key.
  bool open_to_all = false;
};

struct Service {
  ServiceId id;
  /// If true, the backend servers refuse runs that exceed their capacity.
  bool enforces_capacity = true;
};

struct Workspace {
  WorkspaceId id;
  std::vector<std::string> api_keys;
  /// Accelerators that are guaranteed to the workspace's jobs of priority 0 at all times.
  std::int64_t guaranteed_accelerators = 0;
};

/// One version of the operator's configuration. Immutable once it is built.
class FleetConfig {
 public:
  std::int64_t version = 0;
  std::vector<Queue> queues;
  std::vector<Service> services;
  std::vector<Workspace> workspaces;

  /// Returns the queue for this host and path, or nullptr if there is none.
  const Queue* FindQueue(const std::string& host, const std::string& path) const;
  const Queue* FindQueue(const QueueId& id) const;
  const Service* FindService(const ServiceId& id) const;
  /// Returns the workspace that owns the API key, or nullptr if there is none.
  const Workspace* FindWorkspaceByKey(const std::string& key) const;
  const Workspace* FindWorkspace(const WorkspaceId& id) const;
};

/// The operators' configuration and evacuations, as of one revision of the store.
struct OperatorState {
  FleetConfig config;
  /// Data centres whose workers are assigned no new work.
  std::set<DataCentreId> evacuated;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_FLEET_CONFIG_H_
