#include "basilspring/version/config_change.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <utility>

#include "basilspring/clock.h"
#include "basilspring/connection/store_client.h"
#include "basilspring/error.h"
#include "basilspring/process/log.h"

namespace basilspring {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxNodes = 10000;
// Each try fails only if another operator's change was committed meanwhile. At 0.15 changes per
// second, more than a few tries indicate a fault.
constexpr int kMaxTries = 20;

using OldValues = std::map<std::pair<std::string, std::string>, std::optional<SettingValue>>;

std::optional<SettingValue> ValueAt(const SettingsTree& tree, const std::string& path,
                                    const std::string& key) {
  const auto node = tree.nodes().find(path);
  if (node == tree.nodes().end()) return std::nullopt;
  const auto found = node->second.find(key);
  if (found == node->second.end()) return std::nullopt;
  return found->second;
}

std::string ValueOrNone(const std::optional<SettingValue>& value) {
  return value.has_value() ? SettingValueText(*value) : "(not set)";
}

json::value ValueJson(const std::optional<SettingValue>& value) {
  if (!value.has_value()) return nullptr;
  return std::visit([](const auto& typed) { return json::value(typed); }, *value);
}

OldValues ReadOldValues(const SettingsTree& tree, const ConfigChange& change) {
  OldValues values;
  for (const SettingAssignment& assignment : change.assignments) {
    values[{assignment.path, assignment.key}] = ValueAt(tree, assignment.path, assignment.key);
  }
  return values;
}

void ThrowIfChanged(const OldValues& before, const SettingsTree& now, const ConfigChange& change) {
  for (const SettingAssignment& assignment : change.assignments) {
    const auto current = ValueAt(now, assignment.path, assignment.key);
    if (current == before.at({assignment.path, assignment.key})) continue;
    Log(EventId::kConfigurationConflict, "node={} key={} current={} refused={}", assignment.path,
        assignment.key, ValueOrNone(current), ValueOrNone(assignment.value));
    throw Error(ErrorKind::kConflict,
                fmt::format("{} of {} was changed to {} by another operator; your value was {}",
                            assignment.key, assignment.path, ValueOrNone(current),
                            ValueOrNone(assignment.value)));
  }
}

std::string HistoryKey(std::int64_t sequence) {
  return fmt::format("{}{:020}", kConfigHistoryPrefix, sequence);
}

std::string HistoryJson(const ConfigChange& change, const SettingsTree& current,
                        std::int64_t sequence) {
  json::array assignments;
  for (const SettingAssignment& assignment : change.assignments) {
    assignments.emplace_back(
        json::object{{"node", assignment.path},
                     {"key", assignment.key},
                     {"old", ValueJson(ValueAt(current, assignment.path, assignment.key))},
                     {"new", ValueJson(assignment.value)}});
  }
  return json::serialize(json::object{{"sequence", sequence},
                                      {"author", change.author},
                                      {"token", change.token},
                                      {"time_ms", Clock::WallMilliseconds()},
                                      {"assignments", std::move(assignments)}});
}

std::string GuardJson(std::int64_t sequence, const std::string& token) {
  return json::serialize(json::object{{"sequence", sequence}, {"token", token}});
}

std::vector<StoreCondition> GuardCondition(const ConfigSnapshot& snapshot) {
  if (snapshot.revision == ConfigRevision()) return {KeyAbsent{kConfigGuardKey}};
  return {ModRevisionIs{kConfigGuardKey, static_cast<std::int64_t>(snapshot.revision.value())}};
}

std::vector<StoreWrite> ChangeWrites(const ConfigChange& change, const ConfigSnapshot& snapshot,
                                     const SettingsTree& candidate) {
  const std::int64_t sequence = snapshot.sequence + 1;
  // The guard comes first; its value contains the token, which identifies the change after a lost
  // answer of the store.
  std::vector<StoreWrite> writes = {PutKey{kConfigGuardKey, GuardJson(sequence, change.token)}};
  std::set<std::string> paths;
  for (const SettingAssignment& assignment : change.assignments) paths.insert(assignment.path);
  std::map<std::string, std::string> nodes;
  for (const ConfigNode& node : candidate.ToNodes()) nodes[node.path] = node.json;
  for (const std::string& path : paths) {
    const auto node = nodes.find(path);
    if (node == nodes.end()) {
      writes.emplace_back(DeleteKey{kConfigNodePrefix + path});
    } else {
      writes.emplace_back(PutKey{kConfigNodePrefix + path, node->second});
    }
  }
  writes.emplace_back(PutKey{HistoryKey(sequence), HistoryJson(change, snapshot.tree, sequence)});
  if (sequence > kConfigHistoryLength) {
    writes.emplace_back(DeleteKey{HistoryKey(sequence - kConfigHistoryLength)});
  }
  return writes;
}

std::string TextOf(const json::object& object, std::string_view name) {
  const json::value* const value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

}  // namespace

ConfigSnapshot ReadConfiguration(StoreClient& store) {
  const RangeResult range = store.List(kConfigPrefix, kMaxNodes);
  ConfigSnapshot snapshot;
  std::vector<ConfigNode> nodes;
  const std::string node_prefix = kConfigNodePrefix;
  for (const StoreKeyValue& pair : range.pairs) {
    if (pair.key == kConfigGuardKey) {
      snapshot.revision = ConfigRevision(static_cast<std::uint64_t>(pair.mod_revision));
      boost::system::error_code error;
      const json::value guard = json::parse(pair.value, error);
      if (!error && guard.is_object() && guard.as_object().contains("sequence")) {
        snapshot.sequence = guard.at("sequence").to_number<std::int64_t>();
      }
    } else if (pair.key.rfind(node_prefix, 0) == 0) {
      nodes.push_back({pair.key.substr(node_prefix.size()), pair.value});
    }
  }
  snapshot.tree = SettingsTree::FromNodes(nodes);
  return snapshot;
}

ConfigRevision ApplyConfigChange(StoreClient& store, const ConfigChange& change,
                                 const ConfigCheck& check) {
  std::optional<OldValues> before;
  for (int i = 0; i < kMaxTries; ++i) {
    const ConfigSnapshot snapshot = ReadConfiguration(store);
    if (before.has_value()) {
      ThrowIfChanged(*before, snapshot.tree, change);
    } else {
      before = ReadOldValues(snapshot.tree, change);
    }
    SettingsTree candidate = snapshot.tree;
    for (const SettingAssignment& assignment : change.assignments) {
      candidate.Set(assignment.path, assignment.key, assignment.value);
    }
    check(candidate);
    std::vector<StoreCondition> conditions = GuardCondition(snapshot);
    conditions.insert(conditions.end(), change.conditions.begin(), change.conditions.end());
    const TxnResult result = store.Txn(conditions, ChangeWrites(change, snapshot, candidate));
    if (result.succeeded) return ConfigRevision(static_cast<std::uint64_t>(result.revision));
  }
  throw Error(ErrorKind::kConflict,
              fmt::format("{} other changes were made meanwhile; nothing was changed", kMaxTries));
}

bool ResolveConfigChange(StoreClient& store, const ConfigChange& change) {
  // An empty change updates the guard, so that a delayed transaction of the unresolved change fails
  // its comparison of the guard's revision.
  ConfigChange fencing_change;
  fencing_change.author = change.author;
  fencing_change.token = change.token + "-resolved";
  ApplyConfigChange(store, fencing_change, [](const SettingsTree&) {});
  for (const ConfigHistoryEntry& entry : ReadConfigHistory(store, kConfigHistoryLength)) {
    boost::system::error_code error;
    const json::value parsed = json::parse(entry.json, error);
    if (!error && parsed.is_object() && TextOf(parsed.as_object(), "token") == change.token) {
      return true;
    }
  }
  return false;
}

std::vector<ConfigHistoryEntry> ReadConfigHistory(StoreClient& store, std::size_t limit) {
  std::vector<ConfigHistoryEntry> entries;
  const RangeResult range = store.List(kConfigHistoryPrefix, kConfigHistoryLength + 1);
  const std::size_t skip = range.pairs.size() > limit ? range.pairs.size() - limit : 0;
  for (std::size_t i = skip; i < range.pairs.size(); ++i) {
    const StoreKeyValue& pair = range.pairs[i];
    ConfigHistoryEntry entry;
    entry.sequence = std::stoll(pair.key.substr(std::string_view(kConfigHistoryPrefix).size()));
    entry.revision = ConfigRevision(static_cast<std::uint64_t>(pair.mod_revision));
    entry.json = pair.value;
    entries.push_back(std::move(entry));
  }
  return entries;
}

}  // namespace basilspring
