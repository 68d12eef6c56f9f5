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

/// What a process learns from its TOML file.
struct ProcessSettings {
  ProcessRole role = ProcessRole::kAgent;
  ProcessId name;
  RegionId region;
  DataCentreId data_centre;
  /// Agents only.
  RackId rack;
  /// Agents only; "<data centre>/0" when the file doesn't set it.
  CellId cell;
  /// TCP and UDP between the system's own processes.
  Address listen;
  /// HTTP: callers and operators at an entry; the backend server and metrics at an agent.
  Address http;
  /// Entries to ask first; the entries in use are learned from them.
  std::vector<Address> entries;
  StoreOptions store;
  Timings timings;
  LogLevel log_level = LogLevel::kInfo;
  /// Time for requests in flight to finish on a graceful stop.
  Duration drain_limit = Duration(30000);
  /// Entries only: requests in flight and open connections.
  std::size_t max_requests = 10000;
  std::size_t max_connections = 4096;
  /// "guarantees" or "first-fit", the baseline that the policy is measured against.
  std::string placement_policy = "guarantees";
  /// Entries only: "vouching", or "fail-closed", which issues no permits while the store is away.
  std::string permit_policy = "vouching";
};

/// One fault of a settings file, ready to print: "file:line: key: value; allowed: ...".
struct SettingsFault {
  std::string text;
};

struct SettingsOutcome {
  ProcessSettings settings;
  /// All faults of the file, not only the first; empty when the settings can be used.
  std::vector<SettingsFault> faults;
};

/// Reads and checks a settings file: syntax, unknown keys, types, ranges and contradictions. A file
/// that can't be read is a fault too.
SettingsOutcome LoadProcessSettings(const std::string& path);

/// The same for text that is already in memory; `name` stands for the file in faults.
SettingsOutcome ParseProcessSettings(const std::string& text, const std::string& name);

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_PROCESS_SETTINGS_H_
