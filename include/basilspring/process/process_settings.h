#ifndef BASILSPRING_PROCESS_PROCESS_SETTINGS_H_
#define BASILSPRING_PROCESS_PROCESS_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"
#include "basilspring/connection/store_client.h"
#include "basilspring/ids.h"
#include "basilspring/process/log.h"
#include "basilspring/process/timings.h"

namespace basilspring {

enum class ProcessRole : std::uint8_t { kEntry, kAgent };

/// The settings of an entry or agent process, read from its TOML file.
struct ProcessSettings {
  ProcessRole role = ProcessRole::kAgent;
  ProcessId name;
  RegionId region;
  DataCentreId data_centre;
  /// Agents only.
  RackId rack;
  /// Agents only. Defaults to "<data centre>/0".
  CellId cell;
  /// Address for TCP and UDP traffic between basilspring's own processes.
  Address listen;
  /// Address of the HTTP server. An entry serves callers and operators, an agent serves its backend
  /// server and metrics.
  Address http;
  /// Entries to contact at start. The current list of entries is fetched from them.
  std::vector<Address> entries;
  StoreOptions store;
  Timings timings;
  LogLevel log_level = LogLevel::kInfo;
  /// How long a graceful stop waits for requests or tasks in flight.
  Duration drain_limit = Duration(30000);
  /// Entries only: maximum numbers of requests in flight and of open connections.
  std::size_t max_requests = 10000;
  std::size_t max_connections = 4096;
  /// "guarantees", or "first-fit", the baseline that the default policy is compared with.
  std::string placement_policy = "guarantees";
  /// Entries only: "vouching", or "fail-closed", which issues no permits while the store is
  /// unreachable.
  std::string permit_policy = "vouching";
};

/// One fault of a settings file, formatted for printing: "file:line: key: value; allowed: ...".
struct SettingsFault {
  std::string text;
};

struct SettingsOutcome {
  ProcessSettings settings;
  /// All faults of the file, not only the first. If not empty, `settings` must not be used.
  std::vector<SettingsFault> faults;
};

/// Reads and validates a settings file: syntax, unknown keys, types, ranges and contradictions
/// between values. An unreadable file is reported as a fault.
SettingsOutcome LoadProcessSettings(const std::string& path);

/// Like LoadProcessSettings, for the text of a settings file. `name` is the file name in faults.
SettingsOutcome ParseProcessSettings(const std::string& text, const std::string& name);

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_PROCESS_SETTINGS_H_
