#include <fmt/format.h>

#include <map>
#include <string>
#include <utility>

#include "basilspring/process/command_line.h"
#include "basilspring/version/settings_tree.h"
#include "process/command_support.h"

namespace basilspring::internal {
namespace {

namespace json = boost::json;

constexpr const char* kTarget = "/v1/operator/settings";

void PrintResolved(const json::value& body, const std::string& key, bool explain) {
  std::vector<std::vector<std::string>> rows = {{"KEY", "VALUE"}};
  if (explain) rows.front().emplace_back("NODE");
  for (const json::value& setting : body.at("settings").as_array()) {
    if (!key.empty() && FieldText(setting, "key") != key) continue;
    rows.push_back({FieldText(setting, "key"), FieldText(setting, "value")});
    if (explain) rows.back().push_back(FieldText(setting, "node"));
  }
  PrintTable(rows);
}

int Get(const Arguments& arguments) {
  TCLAP::CmdLine command_line(
      "Shows the values in force at a node, inherited ones included; with --explain also the node "
      "that each comes from",
      ' ', kVersion);
  const OperatorOptions options(command_line);
  TCLAP::SwitchArg explain("", "explain", "Name the node that a value comes from", command_line);
  TCLAP::UnlabeledValueArg<std::string> path("path", "Node", true, "", "NODE", command_line);
  TCLAP::UnlabeledValueArg<std::string> key("key", "Setting; all when it is left out", false, "",
                                            "KEY", command_line);
  if (const int code = ParseArguments(command_line, arguments); code >= 0) return code;
  if (!key.getValue().empty()) FindSetting(key.getValue());
  const std::string target =
      fmt::format("{}/resolve?{}", kTarget, EncodeQuery({{"path", path.getValue()}}));
  return CallAndPrint(options, "GET", target, "", [&](const json::value& body) {
    PrintResolved(body, key.getValue(), explain.getValue());
  });
}

int SendAssignment(const OperatorOptions& options, const std::string& path, const std::string& key,
                   json::value value) {
  json::array changes = {json::object{{"path", path}, {"key", key}, {"value", std::move(value)}}};
  return SendChange(options, std::move(changes));
}

int Set(const Arguments& arguments) {
  TCLAP::CmdLine command_line("Sets a value at a node", ' ', kVersion);
  const OperatorOptions options(command_line);
  TCLAP::UnlabeledValueArg<std::string> path("path", "Node", true, "", "NODE", command_line);
  TCLAP::UnlabeledValueArg<std::string> key("key", "Setting", true, "", "KEY", command_line);
  TCLAP::UnlabeledValueArg<std::string> value("value", "Value", true, "", "VALUE", command_line);
  if (const int code = ParseArguments(command_line, arguments); code >= 0) return code;
  const SettingValue parsed = ParseSetting(key.getValue(), value.getValue());
  return SendAssignment(options, path.getValue(), key.getValue(),
                        std::visit([](const auto& typed) { return json::value(typed); }, parsed));
}

int Unset(const Arguments& arguments) {
  TCLAP::CmdLine command_line("Removes a value from a node, which then inherits it", ' ', kVersion);
  const OperatorOptions options(command_line);
  TCLAP::UnlabeledValueArg<std::string> path("path", "Node", true, "", "NODE", command_line);
  TCLAP::UnlabeledValueArg<std::string> key("key", "Setting", true, "", "KEY", command_line);
  if (const int code = ParseArguments(command_line, arguments); code >= 0) return code;
  return SendAssignment(options, path.getValue(), key.getValue(), nullptr);
}

int History(const Arguments& arguments) {
  TCLAP::CmdLine command_line("Shows the last changes, the latest at the end", ' ', kVersion);
  const OperatorOptions options(command_line);
  TCLAP::ValueArg<int> limit("n", "limit", "Number of changes", false, 20, "N", command_line);
  if (const int code = ParseArguments(command_line, arguments); code >= 0) return code;
  const std::string target = fmt::format("/v1/operator/history?limit={}", limit.getValue());
  return CallAndPrint(options, "GET", target, "", [](const json::value& body) {
    std::vector<std::vector<std::string>> rows = {
        {"REVISION", "AUTHOR", "NODE", "KEY", "OLD", "NEW"}};
    for (const json::value& change : body.at("changes").as_array()) {
      for (const json::value& assignment : change.at("assignments").as_array()) {
        rows.push_back({FieldText(change, "revision"), FieldText(change, "author"),
                        FieldText(assignment, "node"), FieldText(assignment, "key"),
                        FieldText(assignment, "old"), FieldText(assignment, "new")});
      }
    }
    PrintTable(rows);
  });
}

// Prints each setting that differs between two revisions, with its value at each of them.
void PrintDiff(const json::value& body, std::int64_t from, std::int64_t to) {
  std::map<std::pair<std::string, std::string>, std::pair<std::string, std::string>> changed;
  for (const json::value& change : body.at("changes").as_array()) {
    const std::int64_t revision = change.at("revision").to_number<std::int64_t>();
    if (revision <= from || revision > to) continue;
    for (const json::value& assignment : change.at("assignments").as_array()) {
      const auto setting =
          std::make_pair(FieldText(assignment, "node"), FieldText(assignment, "key"));
      const auto [row, added] = changed.try_emplace(setting, FieldText(assignment, "old"), "");
      row->second.second = FieldText(assignment, "new");
    }
  }
  std::vector<std::vector<std::string>> rows = {{"NODE", "KEY", "OLD", "NEW"}};
  for (const auto& [setting, values] : changed) {
    if (values.first == values.second) continue;
    rows.push_back({setting.first, setting.second, values.first, values.second});
  }
  PrintTable(rows);
}

int Diff(const Arguments& arguments) {
  TCLAP::CmdLine command_line("Shows what changed between two revisions", ' ', kVersion);
  const OperatorOptions options(command_line);
  TCLAP::UnlabeledValueArg<std::int64_t> from("from", "Earlier revision", true, 0, "REVISION",
                                              command_line);
  TCLAP::UnlabeledValueArg<std::int64_t> to("to", "Later revision", true, 0, "REVISION",
                                            command_line);
  if (const int code = ParseArguments(command_line, arguments); code >= 0) return code;
  return CallAndPrint(
      options, "GET", "/v1/operator/history?limit=1000", "",
      [&](const json::value& body) { PrintDiff(body, from.getValue(), to.getValue()); });
}

}  // namespace

int RunSettings(const Arguments& arguments) {
  return RunSubcommand("settings",
                       {{"get", &Get, "shows the values in force at a node"},
                        {"set", &Set, "sets a value at a node"},
                        {"unset", &Unset, "removes a value from a node"},
                        {"diff", &Diff, "shows what changed between two revisions"},
                        {"history", &History, "shows the last changes"}},
                       arguments);
}

}  // namespace basilspring::internal
