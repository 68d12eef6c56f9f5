#ifndef BASILSPRING_SRC_PROCESS_COMMAND_SUPPORT_H_
#define BASILSPRING_SRC_PROCESS_COMMAND_SUPPORT_H_

#include <tclap/CmdLine.h>

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "basilspring/connection/http_client.h"
#include "basilspring/connection/messages.h"
#include "basilspring/process/io_thread.h"

namespace basilspring::internal {

inline constexpr const char* kVersion = "0.1.0";

/// Arguments of one command, the name of the command first.
using Arguments = std::vector<std::string>;

/// Runs a TCLAP command line without letting it end the process. Returns an exit code when the
/// command is over (help, version, wrong usage), or -1 when it shall run.
int ParseArguments(TCLAP::CmdLine& command_line, Arguments arguments);

/// Options that each operator command has: the entries to ask and the output form.
class OperatorOptions {
 public:
  explicit OperatorOptions(TCLAP::CmdLine& command_line);

  /// From --entry, else from BASILSPRING_ENTRY, else 127.0.0.1:8080. Throws
  /// Error(kInvalidArgument).
  std::vector<Address> Entries() const;
  bool json() const { return json_.getValue(); }

 private:
  TCLAP::ValueArg<std::string> entry_;
  TCLAP::SwitchArg json_;
};

/// Calls of the operators' and callers' HTTP interface.
class EntryClient {
 public:
  explicit EntryClient(std::vector<Address> entries) : entries_(std::move(entries)), http_(io_) {}

  /// Asks the entries in turn until one takes the call. Only a call that can't have reached an
  /// entry is repeated.
  HttpResult Call(const std::string& method, const std::string& target,
                  const std::string& body = "", Duration timeout = Duration(15000));

 private:
  std::vector<Address> entries_;
  IoThread io_;
  HttpClient http_;
};

/// Whether the call brought an answer with a 2xx status.
bool Succeeded(const HttpResult& result);

/// Prints the reason why a call failed to standard error, and returns the exit code of its error
/// kind.
int ReportFailure(const HttpResult& result);

/// The body of an answer as JSON. Throws Error(kBadFrame).
boost::json::value ParseBody(const HttpResult& result);

/// Makes the call and hands its JSON to `print`; with --json the JSON itself is printed.
int CallAndPrint(const OperatorOptions& options, const std::string& method,
                 const std::string& target, const std::string& body,
                 const std::function<void(const boost::json::value&)>& print);

/// Prints a table with aligned columns; the first row is the header.
void PrintTable(const std::vector<std::vector<std::string>>& rows);

/// Text form of a scalar JSON value, "" for a missing member.
std::string Field(const boost::json::value& object, std::string_view name);

/// "a=1&b=x%2Fy" of the parameters that are not empty.
std::string EncodeQuery(const std::map<std::string, std::string>& parameters);

/// Name of the user who runs the command, for the history of changes.
std::string OperatorName();

/// Prints the answer to a change: its revision and whether it is in force everywhere.
void PrintChange(const boost::json::value& body);

/// Sends assignments {"path", "key", "value"} that take effect together, and prints the answer.
int SendChange(const OperatorOptions& options, boost::json::array changes);

/// Runs the subcommand named by arguments[1]; prints the allowed ones otherwise.
struct Subcommand {
  std::string_view name;
  int (*run)(const Arguments& arguments);
  std::string_view description;
};
int RunSubcommand(std::string_view command, const std::vector<Subcommand>& subcommands,
                  const Arguments& arguments);

int RunStatus(const Arguments& arguments);
int RunWorkspace(const Arguments& arguments);
int RunGuarantee(const Arguments& arguments);
int RunDataCentre(const Arguments& arguments);
int RunSettings(const Arguments& arguments);
int RunJob(const Arguments& arguments);

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_PROCESS_COMMAND_SUPPORT_H_
