#include "basilspring/process/command_line.h"

#include <fmt/format.h>

#include <array>
#include <string>
#include <string_view>

#include "basilspring/error.h"
#include "basilspring/fleet/node_settings.h"
#include "basilspring/process/agent.h"
#include "basilspring/process/entry.h"
#include "basilspring/process/process_settings.h"
#include "process/command_support.h"

namespace basilspring {
namespace {

using internal::Arguments;

int PrintFaults(const SettingsOutcome& outcome) {
  for (const SettingsFault& fault : outcome.faults) fmt::print(stderr, "{}\n", fault.text);
  return outcome.faults.empty() ? kExitDone : kExitUsage;
}

int RunDaemon(const Arguments& arguments, ProcessRole role, int (*run)(const ProcessSettings&)) {
  TCLAP::CmdLine command_line("Runs until SIGTERM, then finishes what is in flight", ' ',
                              internal::kVersion);
  TCLAP::ValueArg<std::string> file("s", "settings", "Settings file (TOML)", true, "", "FILE",
                                    command_line);
  if (const int code = internal::ParseArguments(command_line, arguments); code >= 0) return code;
  const SettingsOutcome outcome = LoadProcessSettings(file.getValue());
  if (!outcome.faults.empty()) return PrintFaults(outcome);
  if (outcome.settings.role != role) {
    fmt::print(stderr, "{}: process.role is not \"{}\"\n", file.getValue(), arguments.front());
    return kExitUsage;
  }
  ConfigureLog(outcome.settings.log_level, outcome.settings.name.value());
  return run(outcome.settings);
}

int RunEntryCommand(const Arguments& arguments) {
  return RunDaemon(arguments, ProcessRole::kEntry, &RunEntry);
}

int RunAgentCommand(const Arguments& arguments) {
  return RunDaemon(arguments, ProcessRole::kAgent, &RunAgent);
}

int RunNodeCommand(const Arguments& arguments, const fleet::AdapterFactory& make_adapters) {
  TCLAP::CmdLine command_line("Runs until SIGTERM, then finishes what is in flight", ' ',
                              internal::kVersion);
  TCLAP::ValueArg<std::string> file("s", "settings", "Settings file (TOML)", true, "", "FILE",
                                    command_line);
  TCLAP::SwitchArg check("c", "check", "Only checks the settings file", command_line);
  if (const int code = internal::ParseArguments(command_line, arguments); code >= 0) return code;
  const fleet::NodeSettingsOutcome outcome = fleet::LoadNodeSettings(file.getValue());
  for (const SettingsFault& fault : outcome.faults) fmt::print(stderr, "{}\n", fault.text);
  if (!outcome.faults.empty()) return kExitUsage;
  if (check.getValue()) {
    fmt::print("{} is without faults\n", file.getValue());
    return kExitDone;
  }
  ConfigureLog(outcome.settings.log_level, outcome.settings.name.value());
  return fleet::RunNode(outcome.settings, file.getValue(), make_adapters);
}

int RunCheckConfig(const Arguments& arguments) {
  TCLAP::CmdLine command_line("Checks settings files and lists all faults", ' ',
                              internal::kVersion);
  TCLAP::UnlabeledMultiArg<std::string> files("files", "Settings files (TOML)", true, "FILE",
                                              command_line);
  if (const int code = internal::ParseArguments(command_line, arguments); code >= 0) return code;
  int code = kExitDone;
  for (const std::string& file : files.getValue()) {
    if (PrintFaults(LoadProcessSettings(file)) != kExitDone) code = kExitUsage;
  }
  if (code == kExitDone) fmt::print("{} file(s) without faults\n", files.getValue().size());
  return code;
}

struct Command {
  std::string_view name;
  int (*run)(const Arguments& arguments);
  std::string_view description;
};

constexpr std::array<Command, 9> kCommands = {{
    {"entry", &RunEntryCommand, "serves callers and operators"},
    {"agent", &RunAgentCommand, "owns the resources of one worker"},
    {"check-config", &RunCheckConfig, "checks settings files"},
    {"status", &internal::RunStatus, "cells, data centres and entries"},
    {"workspace", &internal::RunWorkspace, "list, create, delete"},
    {"guarantee", &internal::RunGuarantee, "list, set"},
    {"datacentre", &internal::RunDataCentre, "list, out, in"},
    {"settings", &internal::RunSettings, "get, set, unset, diff, history"},
    {"job", &internal::RunJob, "submit, list, show, cancel, explain"},
}};

constexpr std::string_view kNodeCommand = "node";

void PrintUsage(std::FILE* out) {
  fmt::print(out, "usage: basilspring COMMAND ...\n");
  fmt::print(out, "  {:<13} {}\n", kNodeCommand, "serves one host of a fleet: entry or agent");
  for (const Command& command : kCommands) {
    fmt::print(out, "  {:<13} {}\n", command.name, command.description);
  }
  fmt::print(out,
             "exit codes: 0 done, 1 refused, 2 usage, 3 unreachable, 4 unknown outcome\n"
             "`basilspring COMMAND --help` describes a command.\n");
}

template <typename Run>
int RunAndReportErrors(std::string_view name, Run run) {
  try {
    return run();
  } catch (const Error& error) {
    fmt::print(stderr, "basilspring {}: {}\n", name, error.what());
    return ErrorInfo(error.kind()).exit_code;
  } catch (const std::exception& error) {
    fmt::print(stderr, "basilspring {}: internal error: {}\n", name, error.what());
    return kExitUnknownOutcome;
  }
}

}  // namespace

int RunCommandLine(int argc, char** argv, const fleet::AdapterFactory& make_adapters) {
  const Arguments arguments(argv + 1, argv + argc);
  const std::string name = arguments.empty() ? "" : arguments.front();
  if (name == "--version") {
    fmt::print("basilspring {}\n", internal::kVersion);
    return kExitDone;
  }
  for (const Command& command : kCommands) {
    if (command.name == name) {
      return RunAndReportErrors(name, [&] { return command.run(arguments); });
    }
  }
  if (name == kNodeCommand) {
    return RunAndReportErrors(name, [&] { return RunNodeCommand(arguments, make_adapters); });
  }
  const bool help = name == "--help" || name == "-h";
  PrintUsage(help ? stdout : stderr);
  return help ? kExitDone : kExitUsage;
}

}  // namespace basilspring
