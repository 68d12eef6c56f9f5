#include "basilspring/version/settings_tree.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <set>
#include <utility>

#include "basilspring/error.h"
#include "names.h"

namespace basilspring {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMaxCount = 100000;

std::vector<SettingDefinition> MakeDefinitions() {
  std::vector<SettingDefinition> definitions = {
      {"attempts.max", std::int64_t{3}, 1, 20, "", "attempts to run an idempotent job"},
      {"guarantee.rack", std::int64_t{0}, 0, kMaxCount, "", "guaranteed whole racks"},
      {"guarantee.run1", std::int64_t{0}, 0, kMaxCount, "", "guaranteed single accelerators"},
      {"guarantee.run2", std::int64_t{0}, 0, kMaxCount, "", "guaranteed runs of 2 accelerators"},
      {"guarantee.run4", std::int64_t{0}, 0, kMaxCount, "", "guaranteed runs of 4 accelerators"},
      {"guarantee.run8", std::int64_t{0}, 0, kMaxCount, "", "guaranteed runs of 8 accelerators"},
      {"guarantee.worker", std::int64_t{0}, 0, kMaxCount, "", "guaranteed whole workers"},
      {"link.budget_kbps", std::int64_t{30000}, 0, 10000000, "",
       "kilobits a second that requests may use on the link to each other region"},
      {"preemption.grace_ms", std::int64_t{2000}, 0, 600000, "",
       "time for a checkpoint before a preempted task is stopped"},
      {"queue.limit.background", std::int64_t{5000}, 0, kMaxCount, "",
       "queued background jobs of a cell"},
      {"queue.limit.batch", std::int64_t{5000}, 0, kMaxCount, "", "queued batch jobs of a cell"},
      {"queue.limit.urgent", std::int64_t{1000}, 0, kMaxCount, "", "queued urgent jobs of a cell"},
      {"quota.accelerators", std::int64_t{kMaxCount}, 0, kMaxCount, "",
       "accelerators that the workspace may hold in a cell"},
      {"retry.budget_percent", std::int64_t{10}, 0, 100, "",
       "retries as a share of successful requests"},
      {"run_time.default_ms", std::int64_t{60000}, 1, 2592000000, "",
       "assumed run time of a job that declares none"},
      {"state", std::string("in"), 0, 0, "in|out", "whether the data centre is in service"},
      {"weight", std::int64_t{100}, 1, 10000, "", "share of the workspace among others"},
      {"workspace", false, 0, 0, "", "whether the workspace exists; set at /*/*/WORKSPACE"},
  };
  std::sort(definitions.begin(), definitions.end(),
            [](const auto& left, const auto& right) { return left.key < right.key; });
  return definitions;
}

[[noreturn]] void Reject(std::string_view key, std::string_view value, std::string_view allowed) {
  throw Error(ErrorKind::kInvalidArgument,
              fmt::format("setting {} is \"{}\"; allowed: {}", key, value, allowed));
}

std::string NumberRange(const SettingDefinition& definition) {
  return fmt::format("a whole number from {} to {}", definition.minimum, definition.maximum);
}

// Checks type and range against the definition.
void CheckValue(const SettingDefinition& definition, const SettingValue& value) {
  const std::string text = SettingValueText(value);
  if (value.index() != definition.default_value.index()) {
    constexpr std::array<std::string_view, 3> kTypes = {"true or false", "a whole number",
                                                        "a text"};
    Reject(definition.key, text, kTypes[definition.default_value.index()]);
  }
  if (const auto* const number = std::get_if<std::int64_t>(&value)) {
    if (*number < definition.minimum || *number > definition.maximum) {
      Reject(definition.key, text, NumberRange(definition));
    }
  }
  if (std::holds_alternative<std::string>(value) && !definition.allowed.empty()) {
    const std::string choices = fmt::format("|{}|", definition.allowed);
    if (choices.find(fmt::format("|{}|", text)) == std::string::npos) {
      Reject(definition.key, text, definition.allowed);
    }
  }
}

SettingValue FromJson(std::string_view key, const json::value& value) {
  if (value.is_bool()) return value.as_bool();
  if (value.is_int64()) return value.as_int64();
  if (value.is_string()) return std::string(value.as_string());
  Reject(key, json::serialize(value), "true or false, a whole number or a text");
}

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> parts;
  std::size_t begin = 1;
  while (begin < path.size()) {
    const std::size_t end = std::min(path.find('/', begin), path.size());
    parts.push_back(path.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

// From the lowest node, which wins, to the highest.
std::vector<std::string> LookupOrder(const SettingScope& scope) {
  std::vector<std::string> order;
  const std::string region = "/" + scope.region.value();
  const std::string data_centre = region + "/" + scope.data_centre.value();
  if (!scope.workspace.empty()) {
    order.push_back(data_centre + "/" + scope.workspace.value());
    order.push_back("/*/*/" + scope.workspace.value());
  }
  if (!scope.data_centre.empty()) order.push_back(data_centre);
  if (!scope.region.empty()) order.push_back(region);
  order.emplace_back("/");
  return order;
}

}  // namespace

std::string SettingValueText(const SettingValue& value) {
  if (const auto* const flag = std::get_if<bool>(&value)) return *flag ? "true" : "false";
  if (const auto* const number = std::get_if<std::int64_t>(&value)) return std::to_string(*number);
  return std::get<std::string>(value);
}

const std::vector<SettingDefinition>& SettingDefinitions() {
  static const std::vector<SettingDefinition> definitions = MakeDefinitions();
  return definitions;
}

const SettingDefinition& FindSetting(std::string_view key) {
  for (const SettingDefinition& definition : SettingDefinitions()) {
    if (definition.key == key) return definition;
  }
  std::string known;
  for (const SettingDefinition& definition : SettingDefinitions()) {
    known += known.empty() ? "" : ", ";
    known += definition.key;
  }
  throw Error(ErrorKind::kInvalidArgument,
              fmt::format("there is no setting \"{}\"; allowed: {}", key, known));
}

SettingValue ParseSetting(std::string_view key, std::string_view text) {
  const SettingDefinition& definition = FindSetting(key);
  SettingValue value = std::string(text);
  if (std::holds_alternative<bool>(definition.default_value)) {
    if (text != "true" && text != "false") Reject(key, text, "true or false");
    value = text == "true";
  } else if (std::holds_alternative<std::int64_t>(definition.default_value)) {
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
      Reject(key, text, NumberRange(definition));
    }
    value = number;
  }
  CheckValue(definition, value);
  return value;
}

void CheckNodePath(const std::string& path) {
  bool valid = !path.empty() && path.front() == '/' && (path.size() == 1 || path.back() != '/');
  const std::vector<std::string> parts = valid ? SplitPath(path) : std::vector<std::string>();
  valid = valid && parts.size() <= 3;
  const bool in_all_data_centres = parts.size() == 3 && parts[0] == "*" && parts[1] == "*";
  for (std::size_t i = 0; valid && i < parts.size(); ++i) {
    valid = internal::IsName(parts[i]) || (in_all_data_centres && i < 2);
  }
  if (!valid) {
    throw Error(ErrorKind::kInvalidArgument,
                fmt::format("\"{}\" is not a node; allowed: /, /REGION, /REGION/DATA-CENTRE, "
                            "/REGION/DATA-CENTRE/WORKSPACE, /*/*/WORKSPACE",
                            path));
  }
}

SettingsTree SettingsTree::FromNodes(const std::vector<ConfigNode>& nodes) {
  SettingsTree tree;
  for (const ConfigNode& node : nodes) {
    boost::system::error_code error;
    const json::value value = json::parse(node.json, error);
    if (error || !value.is_object()) {
      throw Error(ErrorKind::kInvalidArgument,
                  fmt::format("node {} is not a JSON object", node.path));
    }
    CheckNodePath(node.path);
    for (const auto& member : value.as_object()) {
      const std::string key(member.key());
      tree.Set(node.path, key, FromJson(key, member.value()));
    }
  }
  return tree;
}

std::vector<ConfigNode> SettingsTree::ToNodes() const {
  std::vector<ConfigNode> result;
  for (const auto& [path, values] : nodes_) {
    json::object object;
    for (const auto& [key, value] : values) {
      std::visit([&object, &key = key](const auto& typed) { object[key] = typed; }, value);
    }
    result.push_back({path, json::serialize(object)});
  }
  return result;
}

ResolvedSetting SettingsTree::Resolve(std::string_view key, const SettingScope& scope) const {
  const SettingDefinition& definition = FindSetting(key);
  for (const std::string& path : LookupOrder(scope)) {
    const auto node = nodes_.find(path);
    if (node == nodes_.end()) continue;
    const auto found = node->second.find(std::string(key));
    if (found != node->second.end()) return {found->second, path};
  }
  return {definition.default_value, "default"};
}

std::int64_t SettingsTree::ResolveNumber(std::string_view key, const SettingScope& scope) const {
  return std::get<std::int64_t>(Resolve(key, scope).value);
}

std::string SettingsTree::ResolveText(std::string_view key, const SettingScope& scope) const {
  return std::get<std::string>(Resolve(key, scope).value);
}

bool SettingsTree::ResolveBool(std::string_view key, const SettingScope& scope) const {
  return std::get<bool>(Resolve(key, scope).value);
}

void SettingsTree::Set(const std::string& path, std::string_view key,
                       std::optional<SettingValue> value) {
  CheckNodePath(path);
  const SettingDefinition& definition = FindSetting(key);
  if (!value.has_value()) {
    const auto node = nodes_.find(path);
    if (node == nodes_.end()) return;
    node->second.erase(std::string(key));
    if (node->second.empty()) nodes_.erase(node);
    return;
  }
  CheckValue(definition, *value);
  nodes_[path][std::string(key)] = std::move(*value);
}

std::vector<WorkspaceId> SettingsTree::Workspaces() const {
  std::vector<WorkspaceId> workspaces;
  for (const auto& [path, values] : nodes_) {
    if (path.rfind("/*/*/", 0) != 0) continue;
    WorkspaceId workspace(path.substr(5));
    if (ResolveBool("workspace", {{}, {}, workspace})) workspaces.push_back(std::move(workspace));
  }
  return workspaces;
}

std::vector<SettingScope> SettingsTree::DataCentres() const {
  std::set<std::pair<std::string, std::string>> found;
  for (const auto& [path, values] : nodes_) {
    const std::vector<std::string> parts = SplitPath(path);
    if (parts.size() >= 2 && parts[0] != "*") found.emplace(parts[0], parts[1]);
  }
  std::vector<SettingScope> scopes;
  scopes.reserve(found.size());
  for (const auto& [region, data_centre] : found) {
    scopes.push_back({RegionId(region), DataCentreId(data_centre), {}});
  }
  return scopes;
}

std::vector<ConfigNode> SettingsTree::FilterFor(const RegionId& region,
                                                const DataCentreId& data_centre) const {
  const std::string region_path = "/" + region.value();
  const std::string data_centre_path = region_path + "/" + data_centre.value();
  std::vector<ConfigNode> result;
  for (ConfigNode& node : ToNodes()) {
    const bool relevant = node.path == "/" || node.path == region_path ||
                          node.path == data_centre_path || node.path.rfind("/*/*/", 0) == 0 ||
                          node.path.rfind(data_centre_path + "/", 0) == 0;
    if (relevant) result.push_back(std::move(node));
  }
  return result;
}

}  // namespace basilspring
