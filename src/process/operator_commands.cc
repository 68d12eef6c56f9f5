#include <fmt/format.h>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "basilspring/error.h"
#include "basilspring/process/command_line.h"
#include "process/command_support.h"

namespace basilspring::internal {
namespace {

namespace json = boost::json;

constexpr const char* kSettingsTarget = "/v1/operator/settings";

json::object Assignment(const std::string& path, const std::string& key, json::value value) {
  return {{"path", path}, {"key", key}, {"value", std::move(value)}};
}

std::string WorkspacePath(const std::string& workspace) { return "/*/*/" + workspace; }

void PrintStatus(const json::value& body) {
  fmt::print("configuration revision {}\n", FieldText(body, "revision"));
  std::vector<std::vector<std::string>> rows = {{"CELL", "STATE", "SCHEDULER", "EPOCH", "WORKERS",
                                                 "FREE/ACCELERATORS", "TASKS", "QUEUED",
                                                 "REVISION"}};
  for (const json::value& cell : body.at("cells").as_array()) {
    rows.push_back(
        {FieldText(cell, "cell"), FieldText(cell, "state"), FieldText(cell, "scheduler"),
         FieldText(cell, "epoch"), FieldText(cell, "workers"),
         FieldText(cell, "free_accelerators") + "/" + FieldText(cell, "total_accelerators"),
         FieldText(cell, "running_tasks"), FieldText(cell, "queued"),
         FieldText(cell, "config_revision")});
  }
  PrintTable(rows);
}

int ListWorkspaces(const Arguments& arguments) {
  TCLAP::CmdLine command_line("Lists the workspaces", ' ', kVersion);
  const OperatorOptions options(command_line);
  if (const int code = ParseArguments(command_line, arguments); code >= 0) return code;
  return CallAndPrint(options, "GET", kSettingsTarget, "", [](const json::value& body) {
    for (const auto& node : body.at("nodes").as_object()) {
      const std::string path(node.key());
      if (path.rfind("/*/*/", 0) == 0 && FieldText(node.value(), "workspace") == "true") {
        fmt::print("{}\n", path.substr(5));
      }
    }
  });
}

int CreateOrDeleteWorkspace(const Arguments& arguments, bool exists) {
  TCLAP::CmdLine command_line(exists ? "Creates a workspace" : "Deletes a workspace", ' ',
                              kVersion);
  const OperatorOptions options(command_line);
  TCLAP::ValueArg<int> weight("", "weight", "Share among the workspaces", false, 100, "N",
                              command_line);
  TCLAP::UnlabeledValueArg<std::string> name("name", "Workspace", true, "", "NAME", command_line);
  if (const int code = ParseArguments(command_line, arguments); code >= 0) return code;
  const std::string path = WorkspacePath(name.getValue());
  json::array changes = {Assignment(path, "workspace", exists ? json::value(true) : nullptr)};
  if (weight.isSet()) changes.emplace_back(Assignment(path, "weight", weight.getValue()));
  return SendChange(options, std::move(changes));
}

int CreateWorkspace(const Arguments& arguments) { return CreateOrDeleteWorkspace(arguments, true); }
int DeleteWorkspace(const Arguments& arguments) {
  return CreateOrDeleteWorkspace(arguments, false);
}

int ListGuarantees(const Arguments& arguments) {
  TCLAP::CmdLine command_line("Lists the guarantees", ' ', kVersion);
  const OperatorOptions options(command_line);
  if (const int code = ParseArguments(command_line, arguments); code >= 0) return code;
  return CallAndPrint(options, "GET", kSettingsTarget, "", [](const json::value& body) {
    std::vector<std::vector<std::string>> rows = {{"NODE", "LEVEL", "COUNT"}};
    for (const auto& node : body.at("nodes").as_object()) {
      for (const auto& setting : node.value().as_object()) {
        const std::string key(setting.key());
        if (key.rfind("guarantee.", 0) != 0) continue;
        rows.push_back({std::string(node.key()), key.substr(10), json::serialize(setting.value())});
      }
    }
    PrintTable(rows);
  });
}

int SetGuarantee(const Arguments& arguments) {
  TCLAP::CmdLine command_line(
      "Sets what a workspace is guaranteed in a data centre; levels that are not named stay", ' ',
      kVersion);
  const OperatorOptions options(command_line);
  TCLAP::ValueArg<std::string> place("d", "data-centre", "Data centre", true, "",
                                     "/REGION/DATA-CENTRE", command_line);
  constexpr std::array<const char*, 6> kLevels = {"run1", "run2", "run4", "run8", "worker", "rack"};
  std::vector<std::unique_ptr<TCLAP::ValueArg<int>>> levels;
  levels.reserve(kLevels.size());
  for (const char* const level : kLevels) {
    levels.push_back(std::make_unique<TCLAP::ValueArg<int>>(
        "", level, fmt::format("Guaranteed shapes at level {}", level), false, 0, "N",
        command_line));
  }
  TCLAP::UnlabeledValueArg<std::string> workspace("workspace", "Workspace", true, "", "NAME",
                                                  command_line);
  if (const int code = ParseArguments(command_line, arguments); code >= 0) return code;
  const std::string path = place.getValue() + "/" + workspace.getValue();
  json::array changes;
  for (std::size_t i = 0; i < kLevels.size(); ++i) {
    if (!levels[i]->isSet()) continue;
    changes.emplace_back(
        Assignment(path, fmt::format("guarantee.{}", kLevels[i]), levels[i]->getValue()));
  }
  if (changes.empty()) {
    fmt::print(stderr, "basilspring guarantee set: no level is given; allowed: --run1 to --rack\n");
    return kExitUsage;
  }
  return SendChange(options, std::move(changes));
}

int ListDataCentres(const Arguments& arguments) {
  TCLAP::CmdLine command_line("Lists the data centres", ' ', kVersion);
  const OperatorOptions options(command_line);
  if (const int code = ParseArguments(command_line, arguments); code >= 0) return code;
  return CallAndPrint(options, "GET", "/v1/operator/status", "", [](const json::value& body) {
    std::map<std::string, std::string> states;
    for (const json::value& cell : body.at("cells").as_array()) {
      states[fmt::format("/{}/{}", FieldText(cell, "region"), FieldText(cell, "data_centre"))] =
          FieldText(cell, "state");
    }
    std::vector<std::vector<std::string>> rows = {{"DATA CENTRE", "STATE"}};
    for (const auto& [name, state] : states) rows.push_back({name, state});
    PrintTable(rows);
  });
}

int SetDataCentreState(const Arguments& arguments, const char* state) {
  TCLAP::CmdLine command_line(
      fmt::format("Takes a data centre {} service; --json prints the answer", state), ' ',
      kVersion);
  const OperatorOptions options(command_line);
  TCLAP::UnlabeledValueArg<std::string> path("path", "Data centre", true, "", "/REGION/DATA-CENTRE",
                                             command_line);
  if (const int code = ParseArguments(command_line, arguments); code >= 0) return code;
  const json::object body{{"path", path.getValue()}, {"state", state}, {"author", OperatorName()}};
  return CallAndPrint(options, "POST", "/v1/operator/datacentre", json::serialize(body),
                      &PrintChange);
}

int TakeDataCentreOut(const Arguments& arguments) { return SetDataCentreState(arguments, "out"); }
int TakeDataCentreIn(const Arguments& arguments) { return SetDataCentreState(arguments, "in"); }

}  // namespace

int RunStatus(const Arguments& arguments) {
  TCLAP::CmdLine command_line("Shows cells, data centres and the configuration revision", ' ',
                              kVersion);
  const OperatorOptions options(command_line);
  if (const int code = ParseArguments(command_line, arguments); code >= 0) return code;
  return CallAndPrint(options, "GET", "/v1/operator/status", "", &PrintStatus);
}

int RunWorkspace(const Arguments& arguments) {
  return RunSubcommand("workspace",
                       {{"list", &ListWorkspaces, "lists the workspaces"},
                        {"create", &CreateWorkspace, "creates a workspace"},
                        {"delete", &DeleteWorkspace, "deletes a workspace"}},
                       arguments);
}

int RunGuarantee(const Arguments& arguments) {
  return RunSubcommand("guarantee",
                       {{"list", &ListGuarantees, "lists the guarantees"},
                        {"set", &SetGuarantee, "sets a guarantee"}},
                       arguments);
}

int RunDataCentre(const Arguments& arguments) {
  return RunSubcommand("datacentre",
                       {{"list", &ListDataCentres, "lists the data centres"},
                        {"out", &TakeDataCentreOut, "takes a data centre out of service"},
                        {"in", &TakeDataCentreIn, "takes a data centre back into service"}},
                       arguments);
}

}  // namespace basilspring::internal
