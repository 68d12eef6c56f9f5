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

/// Arguments of one command. The first element is the name of the command.
using Arguments = std::vector<std::string>;

/// Parses the arguments without letting TCLAP exit the process. Returns the exit code if the
/// command must not run (help, version or wrong usage), or -1 if it must.
int ParseArguments(TCLAP::CmdLine& command_line, Arguments arguments);

/// Options of every operator command: the entries to contact and the output format.
class OperatorOptions {
 public:
  explicit OperatorOptions(TCLAP::CmdLine& command_line);

  /// Returns the addresses given by --entry, else by BASILSPRING_ENTRY, else 127.0.0.1:8080. Throws
  /// Error(kInvalidArgument) if one is malformed.
  std::vector<Address> Entries() const;
  bool json() const { return json_.getValue(); }

 private:
  TCLAP::ValueArg<std::string> entry_;
  TCLAP::SwitchArg json_;
};

/// Client of the entries' HTTP interface for operators and callers.
class EntryClient {
 public:
  explicit EntryClient(std::vector<Address> entries) : entries_(std::move(entries)), http_(io_) {}

  /// Sends the request to the entries in turn until one can be reached. Never resends a
  /// request that may have reached an entry.
  HttpResult Call(const std::string& method, const std::string& target,
                  const std::string& body = "", Duration timeout = Duration(15000));

 private:
  std::vector<Address> entries_;
  IoThread io_;
  HttpClient http_;
};

/// Whether the request was answered with a 2xx status.
bool Succeeded(const HttpResult& result);

/// Prints the reason for a failed request to standard error, and returns the exit code of its error
/// kind.
int ReportFailure(const HttpResult& result);

/// Returns the body of a response as JSON. Throws Error(kBadFrame) if it is malformed.
boost::json::value ParseBody(const HttpResult& result);

/// Sends a request and passes the JSON of the response to `print`, or prints that JSON as it is if
/// --json is given. Returns the exit code.
int CallAndPrint(const OperatorOptions& options, const std::string& method,
                 const std::string& target, const std::string& body,
                 const std::function<void(const boost::json::value&)>& print);

/// Prints a table with aligned columns; the first row is the header.
void PrintTable(const std::vector<std::vector<std::string>>& rows);

/// Returns the named member of a JSON object as text: a string without quotes, any other value as
/// JSON, and "" if the member is missing or null.
std::string FieldText(const boost::json::value& object, std::string_view name);

/// Returns a URL query such as "a=1&b=x%2Fy". Leaves out parameters with an empty value.
std::string EncodeQuery(const std::map<std::string, std::string>& parameters);

/// Returns the name of the user who runs the command, which the history of changes records.
std::string OperatorName();

/// Prints the response to a change: its revision and whether all cells have applied it.
void PrintChange(const boost::json::value& body);

/// Sends assignments {"path", "key", "value"} that take effect as one change, and prints the
/// response. Returns the exit code.
int SendChange(const OperatorOptions& options, boost::json::array changes);

struct Subcommand {
  std::string_view name;
  int (*run)(const Arguments& arguments);
  std::string_view description;
};
/// Runs the subcommand named by arguments[1], or prints the list of subcommands if there is none of
/// that name. Returns the exit code.
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
