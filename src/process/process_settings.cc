#include "basilspring/process/process_settings.h"

#include <fmt/format.h>

#include <utility>

#include "process/settings_reader.h"

namespace basilspring {
namespace {

using internal::Presence;
using internal::SettingsReader;

void ReadIdentity(SettingsReader& reader, ProcessSettings& settings) {
  const auto role = reader.Choice("process.role", Presence::kRequired, "entry|agent");
  settings.role = role == "entry" ? ProcessRole::kEntry : ProcessRole::kAgent;
  const bool agent = settings.role == ProcessRole::kAgent;
  settings.name = ProcessId(reader.Name("process.name", Presence::kRequired).value_or(""));
  settings.region = RegionId(reader.Name("process.region", Presence::kRequired).value_or(""));
  settings.data_centre =
      DataCentreId(reader.Name("process.data_centre", Presence::kRequired).value_or(""));
  const auto rack = reader.Name("process.rack", agent ? Presence::kRequired : Presence::kOptional);
  settings.rack = RackId(rack.value_or(""));
  const auto cell = reader.Name("process.cell", Presence::kOptional, true);
  const std::string own_cells = settings.data_centre.value() + "/";
  settings.cell = CellId(cell.value_or(own_cells + "0"));
  if (cell.has_value() && cell->rfind(own_cells, 0) != 0) {
    reader.AddFault("process.cell", fmt::format("\"{}\" is not a cell of the data centre; "
                                                "allowed: {}NUMBER",
                                                *cell, own_cells));
  }
  if (!agent && (rack.has_value() || cell.has_value())) {
    reader.AddFault(rack.has_value() ? "process.rack" : "process.cell",
                    "is set for an entry; only agents belong to a rack and a cell");
  }
}

void ReadNetwork(SettingsReader& reader, ProcessSettings& settings) {
  const bool agent = settings.role == ProcessRole::kAgent;
  settings.listen = reader.IpAddress("network.listen", Presence::kRequired).value_or(Address());
  settings.http = reader.IpAddress("network.http", Presence::kRequired).value_or(Address());
  settings.entries =
      reader.IpAddresses("network.entries", agent ? Presence::kRequired : Presence::kOptional);
  if (!settings.listen.empty() && settings.listen == settings.http) {
    reader.AddFault("network.http",
                    fmt::format("{} is the same as network.listen", settings.http.ToString()));
  }
}

void ReadStore(SettingsReader& reader, ProcessSettings& settings) {
  settings.store.servers = reader.IpAddresses("store.servers", Presence::kRequired);
  if (const auto value =
          reader.Integer("store.attempt_timeout_ms", Presence::kOptional, 10, 60000)) {
    settings.store.attempt_timeout = Duration(*value);
  }
  if (const auto value = reader.Integer("store.call_deadline_ms", Presence::kOptional, 10, 60000)) {
    settings.store.call_deadline = Duration(*value);
  }
  if (const auto value = reader.Integer("store.retry_percent", Presence::kOptional, 0, 100)) {
    settings.store.retry_percent = static_cast<int>(*value);
  }
  if (settings.store.call_deadline < settings.store.attempt_timeout) {
    reader.AddFault("store.call_deadline_ms",
                    fmt::format("{} is shorter than store.attempt_timeout_ms ({})",
                                settings.store.call_deadline.milliseconds(),
                                settings.store.attempt_timeout.milliseconds()));
  }
}

void ReadLimits(SettingsReader& reader, ProcessSettings& settings) {
  if (const auto level =
          reader.Choice("log.level", Presence::kOptional, "debug|info|warning|error")) {
    settings.log_level = LogLevelFromName(*level);
  }
  if (const auto value = reader.Integer("limits.drain_ms", Presence::kOptional, 0, 3600000)) {
    settings.drain_limit = Duration(*value);
  }
  if (const auto value = reader.Integer("limits.max_requests", Presence::kOptional, 1, 1000000)) {
    settings.max_requests = static_cast<std::size_t>(*value);
  }
  if (const auto value = reader.Integer("limits.max_connections", Presence::kOptional, 1, 100000)) {
    settings.max_connections = static_cast<std::size_t>(*value);
  }
  if (const auto value = reader.Integer("timing.scale_percent", Presence::kOptional, 5, 1000)) {
    settings.timings = Timings().Scaled(static_cast<int>(*value));
  }
  if (const auto policy =
          reader.Choice("policy.placement", Presence::kOptional, "guarantees|first-fit")) {
    settings.placement_policy = *policy;
  }
  if (const auto policy =
          reader.Choice("policy.permits", Presence::kOptional, "vouching|fail-closed")) {
    settings.permit_policy = *policy;
  }
}

}  // namespace

SettingsOutcome ParseProcessSettings(const std::string& text, const std::string& name) {
  SettingsOutcome outcome;
  const auto root = internal::ParseSettingsText(text, name, outcome.faults);
  if (!root) return outcome;
  SettingsReader reader(*root, name, &outcome.faults);
  ReadIdentity(reader, outcome.settings);
  ReadNetwork(reader, outcome.settings);
  ReadStore(reader, outcome.settings);
  ReadLimits(reader, outcome.settings);
  reader.RejectUnknownKeys();
  return outcome;
}

SettingsOutcome LoadProcessSettings(const std::string& path) {
  SettingsOutcome outcome;
  const auto text = internal::ReadSettingsFile(path, outcome.faults);
  return text ? ParseProcessSettings(*text, path) : outcome;
}

}  // namespace basilspring
