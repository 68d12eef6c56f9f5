#ifndef BASILSPRING_FLEET_NODE_SETTINGS_H_
#define BASILSPRING_FLEET_NODE_SETTINGS_H_

#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/address.h"
#include "basilspring/connection/connection_budget.h"
#include "basilspring/fleet/entry_server.h"
#include "basilspring/fleet/job_model.h"
#include "basilspring/fleet/scheduler_core.h"
#include "basilspring/process/log.h"
#include "basilspring/process/process_settings.h"

namespace basilspring::fleet {

enum class NodeRole : std::uint8_t { kEntry, kAgent };

/// Settings of a process of the fleet, read from its TOML file.
struct NodeSettings {
  NodeRole role = NodeRole::kAgent;
  NodeId name;
  DataCentreId data_centre;
  /// Listens for requests of other processes of the fleet.
  Address peers;
  /// Address under which other processes reach `peers`; differs from it behind a proxy or address
  /// translation.
  Address advertised;
  /// Entries only: listen for callers and for the load balancer's readiness checks.
  Address callers;
  Address readiness;
  /// Agents only: listens for announcements of the backend server.
  Address announcements;
  /// Agents only: address at which the backend server accepts orders.
  Address backend;
  /// Listens for requests for metrics; empty for none.
  Address metrics;
  Address store;
  /// Processes through which calls to the store can be relayed when the direct connection fails.
  std::vector<Address> seeds;
  SchedulerOptions scheduler;
  /// Share of a processor core that the process may use. Processes with a larger share contend for
  /// the scheduler's lease earlier.
  double processor_share = 1.0;
  /// Entries only: whether the scheduler gets a notice of each stored submission and cancellation.
  bool inbox_notices = false;
  /// Time for requests in flight to finish on a graceful stop.
  Duration drain_limit = Duration(5000);
  /// For all accepted connections of the process. The number of connections is also bounded by the
  /// process's limit of descriptors.
  ConnectionLimits connections;
  /// Entries only.
  EntryLimits entry;
  LogLevel log_level = LogLevel::kInfo;
};

struct NodeSettingsOutcome {
  NodeSettings settings;
  /// All faults found in the file; empty if the settings can be used.
  std::vector<SettingsFault> faults;
};

/// Keys whose value differs in newly read settings.
struct NodeSettingsChange {
  /// Keys whose new value the running process uses.
  std::vector<std::string> applied;
  /// Keys whose new value takes effect only after a restart: the role, names, addresses, the
  /// processor share and the notices of the inbox.
  std::vector<std::string> deferred;
};

/// Copies from `next` to `current` what a running process can change. The scheduler uses changed
/// options from its next term on, because the leases of the runs in the current term were granted
/// under the current options.
NodeSettingsChange ApplyChanges(const NodeSettings& next, NodeSettings& current);

NodeSettingsOutcome LoadNodeSettings(const std::string& path);
NodeSettingsOutcome ParseNodeSettings(const std::string& text, const std::string& name);

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_NODE_SETTINGS_H_
