#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>
#include <string>

#include "basilspring/error.h"
#include "basilspring/process/command_line.h"
#include "process/command_support.h"

namespace basilspring::internal {
namespace {

namespace json = boost::json;

// Added to the wait time of the request, so that the entry can still answer after that time.
constexpr Duration kAnswerMargin(5000);

std::string RandomRequestKey() {
  std::random_device random;
  return fmt::format("cli-{:08x}{:08x}", random(), random());
}

std::string ReadPayload(const std::string& file) {
  if (file.empty()) return "";
  std::ifstream input(file, std::ios::binary);
  std::ostringstream payload;
  payload << input.rdbuf();
  if (!input) {
    throw Error(ErrorKind::kInvalidArgument, fmt::format("payload file {} can't be read", file));
  }
  return payload.str();
}

// Prints the output of a finished job, or the response body if the job has not finished.
int PrintAnswer(const HttpResult& result) {
  if (!Succeeded(result)) return ReportFailure(result);
  if (result.status == 200) {
    std::fwrite(result.body.data(), 1, result.body.size(), stdout);
  } else {
    fmt::print("{}\n", result.body);
  }
  return kExitDone;
}

int Submit(const Arguments& arguments) {
  TCLAP::CmdLine command_line("Submits a job and prints its answer", ' ', kVersion);
  const OperatorOptions options(command_line);
  TCLAP::ValueArg<std::string> workspace("w", "workspace", "Workspace", true, "", "NAME",
                                         command_line);
  TCLAP::ValueArg<std::string> key("k", "key",
                                   "Request key; a repeat with the same key gets the same job",
                                   false, "", "KEY", command_line);
  TCLAP::ValueArg<std::string> job_class("c", "class", "urgent, batch or background", false,
                                         "batch", "CLASS", command_line);
  TCLAP::ValueArg<int> tasks("", "tasks", "Tasks of the gang", false, 1, "N", command_line);
  TCLAP::ValueArg<int> cores("", "cores", "Cores of a task", false, 1, "N", command_line);
  TCLAP::ValueArg<int> memory("", "memory-mb", "Memory of a task", false, 256, "N", command_line);
  TCLAP::ValueArg<int> accelerators("", "accelerators", "Accelerators of a task", false, 0, "N",
                                    command_line);
  TCLAP::SwitchArg adjacent("", "adjacent", "The accelerators of a task must be adjacent",
                            command_line);
  TCLAP::ValueArg<int> run_time("", "run-time-ms", "Expected run time", false, 0, "MS",
                                command_line);
  TCLAP::ValueArg<int> deadline("", "deadline-ms", "Time after which the answer is useless", false,
                                0, "MS", command_line);
  TCLAP::SwitchArg once("", "non-idempotent", "The job must run at most once", command_line);
  TCLAP::ValueArg<int> wait("", "wait-ms", "Time to wait for the answer", false, 30000, "MS",
                            command_line);
  TCLAP::ValueArg<std::string> payload("p", "payload", "File with the payload", false, "", "FILE",
                                       command_line);
  if (const int code = ParseArguments(command_line, arguments); code >= 0) return code;
  const auto text = [](const TCLAP::ValueArg<int>& argument) {
    return argument.isSet() ? std::to_string(argument.getValue()) : std::string();
  };
  const std::string query = EncodeQuery({{"workspace", workspace.getValue()},
                                         {"key", key.isSet() ? key.getValue() : RandomRequestKey()},
                                         {"class", job_class.getValue()},
                                         {"tasks", text(tasks)},
                                         {"cores", text(cores)},
                                         {"memory_mb", text(memory)},
                                         {"accelerators", text(accelerators)},
                                         {"adjacent", adjacent.getValue() ? "true" : ""},
                                         {"run_time_ms", text(run_time)},
                                         {"deadline_ms", text(deadline)},
                                         {"idempotent", once.getValue() ? "false" : ""},
                                         {"wait_ms", std::to_string(wait.getValue())}});
  EntryClient client(options.Entries());
  return PrintAnswer(client.Call("POST", "/v1/jobs?" + query, ReadPayload(payload.getValue()),
                                 Duration(wait.getValue()) + kAnswerMargin));
}

int List(const Arguments& arguments) {
  TCLAP::CmdLine command_line("Lists the jobs that the entry knows", ' ', kVersion);
  const OperatorOptions options(command_line);
  TCLAP::ValueArg<std::string> workspace("w", "workspace", "Only of this workspace", false, "",
                                         "NAME", command_line);
  if (const int code = ParseArguments(command_line, arguments); code >= 0) return code;
  const std::string query = EncodeQuery({{"workspace", workspace.getValue()}});
  return CallAndPrint(options, "GET", "/v1/jobs?" + query, "", [](const json::value& body) {
    std::vector<std::vector<std::string>> rows = {
        {"JOB", "WORKSPACE", "CLASS", "STATE", "CELL", "ATTEMPTS"}};
    for (const json::value& job : body.at("jobs").as_array()) {
      rows.push_back({FieldText(job, "job"), FieldText(job, "workspace"), FieldText(job, "class"),
                      FieldText(job, "state"), FieldText(job, "cell"), FieldText(job, "attempts")});
    }
    PrintTable(rows);
  });
}

// Runs a command whose only argument is a job id.
int RunJobIdCommand(const Arguments& arguments, const char* description, const char* method,
                    const char* suffix, void (*print)(const json::value&)) {
  TCLAP::CmdLine command_line(description, ' ', kVersion);
  const OperatorOptions options(command_line);
  TCLAP::UnlabeledValueArg<std::string> job("job", "Job", true, "", "JOB", command_line);
  if (const int code = ParseArguments(command_line, arguments); code >= 0) return code;
  return CallAndPrint(options, method, fmt::format("/v1/jobs/{}{}", job.getValue(), suffix), "",
                      print);
}

void PrintFields(const json::value& body) {
  std::vector<std::vector<std::string>> rows;
  for (const auto& member : body.as_object()) {
    rows.push_back({std::string(member.key()), FieldText(body, member.key())});
  }
  PrintTable(rows);
}

void PrintReasons(const json::value& body) {
  fmt::print("state: {}\n", FieldText(body, "state"));
  for (const json::value& reason : body.at("reasons").as_array()) {
    fmt::print("  {}\n", std::string_view(reason.as_string()));
  }
}

int Show(const Arguments& arguments) {
  return RunJobIdCommand(arguments, "Shows the state of a job", "GET", "?answer=false",
                         &PrintFields);
}
int Cancel(const Arguments& arguments) {
  return RunJobIdCommand(arguments, "Cancels a job", "DELETE", "", &PrintFields);
}
int Explain(const Arguments& arguments) {
  return RunJobIdCommand(arguments, "Says for each candidate why the job did or did not go there",
                         "GET", "/explain", &PrintReasons);
}

}  // namespace

int RunJob(const Arguments& arguments) {
  return RunSubcommand("job",
                       {{"submit", &Submit, "submits a job and prints its answer"},
                        {"list", &List, "lists the jobs that the entry knows"},
                        {"show", &Show, "shows the state of a job"},
                        {"cancel", &Cancel, "cancels a job"},
                        {"explain", &Explain, "gives the reasons of the last placement decision"}},
                       arguments);
}

}  // namespace basilspring::internal
