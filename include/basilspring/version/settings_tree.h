#ifndef BASILSPRING_VERSION_SETTINGS_TREE_H_
#define BASILSPRING_VERSION_SETTINGS_TREE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "basilspring/connection/messages.h"
#include "basilspring/ids.h"

namespace basilspring {

using SettingValue = std::variant<bool, std::int64_t, std::string>;
/// The text form of a value, which ParseSetting reads.
std::string SettingValueText(const SettingValue& value);

/// One key that operators can set.
struct SettingDefinition {
  std::string_view key;
  SettingValue default_value;
  /// Inclusive bounds of a number.
  std::int64_t minimum = 0;
  std::int64_t maximum = 0;
  /// Allowed values of a string, separated by '|'; empty if all are allowed.
  std::string_view allowed;
  std::string_view description;
};

/// All settings, sorted by key.
const std::vector<SettingDefinition>& SettingDefinitions();
/// Returns the setting with this key. Throws Error(kInvalidArgument) with the key if there is none.
const SettingDefinition& FindSetting(std::string_view key);
/// Parses the text form of a value. Throws Error(kInvalidArgument) with the key, the value and what
/// is allowed.
SettingValue ParseSetting(std::string_view key, std::string_view text);

/// The scope of a lookup, which determines the nodes that it searches. Empty parts are left out.
struct SettingScope {
  RegionId region;
  DataCentreId data_centre;
  WorkspaceId workspace;
};

/// A value and the path of the node that sets it, or "default" if no node sets it.
struct ResolvedSetting {
  SettingValue value;
  std::string node;
};

/// The operators' settings of one configuration revision. Each of these nodes overrides those
/// before it: "/", "/<region>", "/<region>/<data centre>", "/*/*/<workspace>",
/// "/<region>/<data centre>/<workspace>".
class SettingsTree {
 public:
  /// Throws Error(kInvalidArgument) if a path, key or value is not allowed; the message says what
  /// is.
  static SettingsTree FromNodes(const std::vector<ConfigNode>& nodes);
  std::vector<ConfigNode> ToNodes() const;

  ResolvedSetting Resolve(std::string_view key, const SettingScope& scope) const;
  std::int64_t ResolveNumber(std::string_view key, const SettingScope& scope) const;
  std::string ResolveText(std::string_view key, const SettingScope& scope) const;
  bool ResolveBool(std::string_view key, const SettingScope& scope) const;

  /// Sets a key at a node, or removes it if the value is std::nullopt. Throws like FromNodes.
  void Set(const std::string& path, std::string_view key, std::optional<SettingValue> value);

  /// The existing workspaces, whose node "/*/*/<workspace>" sets `workspace` to true.
  std::vector<WorkspaceId> Workspaces() const;
  /// Region and data centre of all nodes at or below the data centre level.
  std::vector<SettingScope> DataCentres() const;

  const std::map<std::string, std::map<std::string, SettingValue>>& nodes() const { return nodes_; }

  /// The nodes that apply to one data centre.
  std::vector<ConfigNode> FilterFor(const RegionId& region, const DataCentreId& data_centre) const;

 private:
  std::map<std::string, std::map<std::string, SettingValue>> nodes_;
};

/// Throws Error(kInvalidArgument) if the text is not the path of a node.
void CheckNodePath(const std::string& path);

}  // namespace basilspring

#endif  // BASILSPRING_VERSION_SETTINGS_TREE_H_
