#include "basilspring/fleet/node_settings.h"

#include <fmt/format.h>

#include <algorithm>

#include "process/settings_reader.h"

namespace basilspring::fleet {
namespace {

using basilspring::internal::Presence;
using basilspring::internal::SettingsReader;

// The lease is shorter by at least this much than the longest one that backend servers grant.
constexpr Duration kLeaseMargin(400);
constexpr Duration kMinLease(2000);
// Part of the time between SIGTERM and the forced end that is not used for draining.
constexpr Duration kDrainMargin(500);
constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;

/// Reads a time in milliseconds if the key ends in "_ms", otherwise in seconds.
Duration ReadDuration(SettingsReader& reader, std::string_view key, double minimum, double maximum,
                      Duration fallback) {
  const auto value = reader.Double(key, Presence::kOptional, minimum, maximum);
  if (!value) return fallback;
  const bool milliseconds = key.size() > 3 && key.substr(key.size() - 3) == "_ms";
  constexpr double kMillisecondsPerSecond = 1000.0;
  return Duration(
      static_cast<std::int64_t>(milliseconds ? *value : *value * kMillisecondsPerSecond));
}

void ReadNetwork(SettingsReader& reader, NodeSettings& settings) {
  const bool entry = settings.role == NodeRole::kEntry;
  const Presence for_entry = entry ? Presence::kRequired : Presence::kOptional;
  const Presence for_agent = entry ? Presence::kOptional : Presence::kRequired;
  settings.peers = reader.IpAddress("network.peers", Presence::kRequired).value_or(Address());
  settings.advertised =
      reader.IpAddress("network.advertised", Presence::kOptional).value_or(settings.peers);
  settings.callers = reader.IpAddress("network.callers", for_entry).value_or(Address());
  settings.readiness = reader.IpAddress("network.readiness", for_entry).value_or(Address());
  settings.announcements = reader.IpAddress("network.announcements", for_agent).value_or(Address());
  settings.backend = reader.IpAddress("network.backend", for_agent).value_or(Address());
  settings.metrics = reader.IpAddress("network.metrics", Presence::kOptional).value_or(Address());
  settings.store = reader.IpAddress("network.store", Presence::kRequired).value_or(Address());
  settings.seeds = reader.IpAddresses("network.seeds", Presence::kOptional);
}

void ReadLimits(SettingsReader& reader, NodeSettings& settings) {
  SchedulerOptions& options = settings.scheduler;
  options.longest_lease =
      ReadDuration(reader, "limits.longest_lease_ms", 2500, 600000, options.longest_lease);
  options.lease =
      std::max(kMinLease, std::min(options.lease, options.longest_lease - kLeaseMargin));
  options.stop_time = ReadDuration(reader, "limits.stop_time_ms", 1, 60000, options.stop_time);
  options.keep_finished =
      ReadDuration(reader, "limits.keep_finished_s", 1, 86400, options.keep_finished);
  if (const auto share =
          reader.Double("limits.processor_share", Presence::kOptional, 0.001, 1024)) {
    settings.processor_share = *share;
  }
  if (const auto megabytes =
          reader.Integer("limits.connection_memory_mb", Presence::kOptional, 1, 4096)) {
    settings.connections.memory_bytes = static_cast<std::size_t>(*megabytes) * kMegabyte;
  }
  if (const auto count = reader.Integer("limits.connections", Presence::kOptional, 16, 1000000)) {
    settings.connections.connections = static_cast<std::size_t>(*count);
  }
  settings.entry.longest_caller_timeout =
      ReadDuration(reader, "limits.longest_caller_timeout_ms", 500, 3600000,
                   settings.entry.longest_caller_timeout);
  if (const auto count = reader.Integer("limits.open_requests", Presence::kOptional, 1, 1000000)) {
    settings.entry.open_requests = static_cast<std::size_t>(*count);
  }
  const Duration grace =
      ReadDuration(reader, "limits.stop_grace_s", 1, 3600, settings.drain_limit + kDrainMargin);
  settings.drain_limit = grace - kDrainMargin;
}

void ReadScheduling(SettingsReader& reader, NodeSettings& settings) {
  SchedulerOptions& options = settings.scheduler;
  if (const auto shortage =
          reader.Choice("scheduling.shortage", Presence::kOptional, "tiers|cost")) {
    options.shortage = *shortage == "cost" ? ShortagePolicy::kCost : ShortagePolicy::kTiers;
  }
  if (const auto headroom =
          reader.Choice("scheduling.headroom", Presence::kOptional, "peak|forecast")) {
    options.headroom = *headroom == "forecast" ? HeadroomPolicy::kForecast : HeadroomPolicy::kPeak;
  }
  if (const auto notices =
          reader.Choice("scheduling.inbox_notices", Presence::kOptional, "yes|no")) {
    settings.inbox_notices = *notices == "yes";
  }
}

}  // namespace

NodeSettingsOutcome ParseNodeSettings(const std::string& text, const std::string& name) {
  NodeSettingsOutcome outcome;
  const auto root = basilspring::internal::ParseSettingsText(text, name, outcome.faults);
  if (!root) return outcome;
  SettingsReader reader(*root, name, &outcome.faults);
  NodeSettings& settings = outcome.settings;
  const auto role = reader.Choice("process.role", Presence::kRequired, "entry|agent");
  settings.role = role == "entry" ? NodeRole::kEntry : NodeRole::kAgent;
  settings.name = NodeId(reader.Name("process.name", Presence::kRequired).value_or(""));
  settings.data_centre =
      DataCentreId(reader.Name("process.data_centre", Presence::kRequired).value_or(""));
  ReadNetwork(reader, settings);
  ReadLimits(reader, settings);
  ReadScheduling(reader, settings);
  if (const auto level =
          reader.Choice("log.level", Presence::kOptional, "debug|info|warning|error")) {
    settings.log_level = LogLevelFromName(*level);
  }
  reader.RejectUnknownKeys();
  return outcome;
}

NodeSettingsChange ApplyChanges(const NodeSettings& next, NodeSettings& current) {
  NodeSettingsChange change;
  const auto apply = [&](const char* key, const auto& value, auto& current_value) {
    if (value == current_value) return;
    current_value = value;
    change.applied.emplace_back(key);
  };
  const auto defer = [&](const char* key, const auto& value, const auto& current_value) {
    if (value != current_value) change.deferred.emplace_back(key);
  };
  apply("network.seeds", next.seeds, current.seeds);
  apply("log.level", next.log_level, current.log_level);
  apply("limits.connection_memory_mb", next.connections.memory_bytes,
        current.connections.memory_bytes);
  apply("limits.connections", next.connections.connections, current.connections.connections);
  apply("limits.longest_caller_timeout_ms", next.entry.longest_caller_timeout,
        current.entry.longest_caller_timeout);
  apply("limits.open_requests", next.entry.open_requests, current.entry.open_requests);
  apply("limits.stop_grace_s", next.drain_limit, current.drain_limit);
  apply("limits.longest_lease_ms", next.scheduler.lease, current.scheduler.lease);
  apply("limits.longest_lease_ms", next.scheduler.longest_lease, current.scheduler.longest_lease);
  apply("limits.stop_time_ms", next.scheduler.stop_time, current.scheduler.stop_time);
  apply("limits.keep_finished_s", next.scheduler.keep_finished, current.scheduler.keep_finished);
  apply("scheduling.shortage", next.scheduler.shortage, current.scheduler.shortage);
  apply("scheduling.headroom", next.scheduler.headroom, current.scheduler.headroom);
  defer("process.role", next.role, current.role);
  defer("process.name", next.name, current.name);
  defer("process.data_centre", next.data_centre, current.data_centre);
  defer("network.peers", next.peers, current.peers);
  defer("network.advertised", next.advertised, current.advertised);
  defer("network.callers", next.callers, current.callers);
  defer("network.readiness", next.readiness, current.readiness);
  defer("network.announcements", next.announcements, current.announcements);
  defer("network.backend", next.backend, current.backend);
  defer("network.metrics", next.metrics, current.metrics);
  defer("network.store", next.store, current.store);
  defer("scheduling.inbox_notices", next.inbox_notices, current.inbox_notices);
  defer("limits.processor_share", next.processor_share, current.processor_share);
  return change;
}

NodeSettingsOutcome LoadNodeSettings(const std::string& path) {
  NodeSettingsOutcome outcome;
  const auto text = basilspring::internal::ReadSettingsFile(path, outcome.faults);
  return text ? ParseNodeSettings(*text, path) : outcome;
}

}  // namespace basilspring::fleet
