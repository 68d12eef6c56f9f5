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
std::string SettingValueText(const SettingValue& value);

/// One key that operators can set.
struct SettingDefinition {
  std::string_view key;
  SettingValue default_value;
  /// For numbers: inclusive bounds.
  std::int64_t minimum = 0;
  std::int64_t maximum = 0;
  /// For strings: the allowed values separated by '|'; empty allows all.
  std::string_view allowed;
  std::string_view description;
};

/// All keys, sorted.
const std::vector<SettingDefinition>& SettingDefinitions();
/// Throws Error(kInvalidArgument) that names the key when there is none.
const SettingDefinition& FindSetting(std::string_view key);
/// Reads a value from its text form. Throws Error(kInvalidArgument) with key, value and what is
/// allowed.
SettingValue ParseSetting(std::string_view key, std::string_view text);

/// Which nodes a lookup goes through.
struct SettingScope {
  RegionId region;
  DataCentreId data_centre;
  WorkspaceId workspace;
};

/// A value with the node it comes from; "default" when no node sets it.
struct ResolvedSetting {
  SettingValue value;
  std::string node;
};

/// The operators' settings of one configuration revision. A lower node overrides a higher one: "/",
/// "/<region>",
/// "/<region>/<data centre>", "/*/*/<workspace>", "/<region>/<data centre>/<workspace>".
class SettingsTree {
 public:
  /// Throws Error(kInvalidArgument) that names the node, the key, the value and what is allowed.
  static SettingsTree FromNodes(const std::vector<ConfigNode>& nodes);
  std::vector<ConfigNode> ToNodes() const;

  ResolvedSetting Resolve(std::string_view key, const SettingScope& scope) const;
  std::int64_t ResolveNumber(std::string_view key, const SettingScope& scope) const;
  std::string ResolveText(std::string_view key, const SettingScope& scope) const;
  bool ResolveBool(std::string_view key, const SettingScope& scope) const;

  /// Sets or, with no value, removes a key at a node. Throws like FromNodes.
  void Set(const std::string& path, std::string_view key, std::optional<SettingValue> value);

  /// Workspaces that exist: those whose node "/*/*/<workspace>" has `workspace` true.
  std::vector<WorkspaceId> Workspaces() const;
  /// Region and data centre of each node at that level.
  std::vector<SettingScope> DataCentres() const;

  const std::map<std::string, std::map<std::string, SettingValue>>& nodes() const { return nodes_; }

  /// The nodes that concern one data centre.
  std::vector<ConfigNode> FilterFor(const RegionId& region, const DataCentreId& data_centre) const;

 private:
  std::map<std::string, std::map<std::string, SettingValue>> nodes_;
};

/// Throws Error(kInvalidArgument) when the text is not the path of a node.
void CheckNodePath(const std::string& path);

}  // namespace basilspring

#endif  // BASILSPRING_VERSION_SETTINGS_TREE_H_
