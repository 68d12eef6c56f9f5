#include "process/command_support.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "basilspring/error.h"
#include "basilspring/process/command_line.h"

namespace basilspring::internal {
namespace {

namespace json = boost::json;

constexpr const char* kDefaultEntry = "127.0.0.1:8080";

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_' || c == '.' || c == '~';
}

std::string PercentEncode(const std::string& text) {
  std::string encoded;
  for (const char c : text) {
    if (IsUnreserved(c)) {
      encoded += c;
    } else {
      encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
  }
  return encoded;
}

}  // namespace

int ParseArguments(TCLAP::CmdLine& command_line, Arguments arguments) {
  command_line.setExceptionHandling(false);
  try {
    command_line.parse(arguments);
  } catch (const TCLAP::ArgException& error) {
    fmt::print(stderr, "basilspring {}: {} {}\n", arguments.front(), error.error(), error.argId());
    return kExitUsage;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? kExitDone : kExitUsage;
  }
  return -1;
}

OperatorOptions::OperatorOptions(TCLAP::CmdLine& command_line)
    : entry_("e", "entry", "Entries to ask, separated by commas", false, "", "IP:PORT,...",
             command_line),
      json_("", "json", "Print JSON", command_line) {}

std::vector<Address> OperatorOptions::Entries() const {
  std::string text = entry_.getValue();
  const char* const environment = std::getenv("BASILSPRING_ENTRY");
  if (text.empty() && environment != nullptr) text = environment;
  if (text.empty()) text = kDefaultEntry;
  std::vector<Address> entries;
  for (std::size_t begin = 0; begin <= text.size();) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    entries.push_back(Address::Parse(text.substr(begin, end - begin)));
    begin = end + 1;
  }
  return entries;
}

HttpResult EntryClient::Call(const std::string& method, const std::string& target,
                             const std::string& body, Duration timeout) {
  HttpResult result;
  for (const Address& entry : entries_) {
    HttpClientRequest request;
    request.server = entry;
    request.method = method;
    request.target = target;
    request.body = body;
    request.timeout = timeout;
    result = http_.Fetch(std::move(request));
    if (result.error != ErrorKind::kConnectionLost) break;
  }
  return result;
}

bool Succeeded(const HttpResult& result) {
  return result.error == ErrorKind::kNone && result.status >= 200 && result.status < 300;
}

int ReportFailure(const HttpResult& result) {
  if (result.error != ErrorKind::kNone) {
    fmt::print(stderr, "basilspring: {}: {}\n", ErrorInfo(result.error).name, result.message);
    return ErrorInfo(result.error).exit_code;
  }
  boost::system::error_code error;
  const json::value body = json::parse(result.body, error);
  if (error || !body.is_object()) {
    fmt::print(stderr, "basilspring: status {}: {}\n", result.status, result.body);
    return kExitRefused;
  }
  const std::string name = FieldText(body, "error");
  const std::string outcome = FieldText(body, "outcome");
  fmt::print(stderr, "basilspring: {}: {}{}\n", name, FieldText(body, "message"),
             outcome.empty() ? "" : fmt::format(" ({})", outcome));
  return ErrorInfo(ErrorKindFromName(name)).exit_code;
}

json::value ParseBody(const HttpResult& result) {
  boost::system::error_code error;
  json::value body = json::parse(result.body, error);
  if (error) throw Error(ErrorKind::kBadFrame, "the entry's response is not valid JSON");
  return body;
}

int CallAndPrint(const OperatorOptions& options, const std::string& method,
                 const std::string& target, const std::string& body,
                 const std::function<void(const json::value&)>& print) {
  EntryClient client(options.Entries());
  const HttpResult result = client.Call(method, target, body);
  if (!Succeeded(result)) return ReportFailure(result);
  if (options.json()) {
    fmt::print("{}\n", result.body);
  } else {
    print(ParseBody(result));
  }
  return kExitDone;
}

void PrintTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += i + 1 < row.size() ? fmt::format("{:<{}}  ", row[i], widths[i]) : row[i];
    }
    fmt::print("{}\n", line);
  }
}

std::string FieldText(const json::value& object, std::string_view name) {
  if (!object.is_object()) return "";
  const json::value* const value = object.as_object().if_contains(name);
  if (value == nullptr || value->is_null()) return "";
  if (value->is_string()) return std::string(value->as_string());
  return json::serialize(*value);
}

std::string EncodeQuery(const std::map<std::string, std::string>& parameters) {
  std::string query;
  for (const auto& [name, value] : parameters) {
    if (value.empty()) continue;
    query += query.empty() ? "" : "&";
    query += name + "=" + PercentEncode(value);
  }
  return query;
}

std::string OperatorName() {
  const char* const user = std::getenv("USER");
  return user == nullptr ? "operator" : user;
}

void PrintChange(const json::value& body) {
  fmt::print("revision {}{}\n", FieldText(body, "revision"),
             FieldText(body, "in_force") == "true" ? ", in force everywhere"
                                                   : ", not in force everywhere yet");
}

int SendChange(const OperatorOptions& options, json::array changes) {
  const json::object body{{"changes", std::move(changes)}, {"author", OperatorName()}};
  return CallAndPrint(options, "POST", "/v1/operator/settings", json::serialize(body),
                      &PrintChange);
}

int RunSubcommand(std::string_view command, const std::vector<Subcommand>& subcommands,
                  const Arguments& arguments) {
  const std::string name = arguments.size() > 1 ? arguments[1] : "";
  for (const Subcommand& subcommand : subcommands) {
    if (subcommand.name != name) continue;
    Arguments rest(arguments.begin() + 1, arguments.end());
    rest.front() = fmt::format("{} {}", command, name);
    return subcommand.run(rest);
  }
  const bool help = name == "--help" || name == "-h";
  std::FILE* const out = help ? stdout : stderr;
  fmt::print(out, "usage: basilspring {} SUBCOMMAND ...\n", command);
  for (const Subcommand& subcommand : subcommands) {
    fmt::print(out, "  {:<10} {}\n", subcommand.name, subcommand.description);
  }
  return help ? kExitDone : kExitUsage;
}

}  // namespace basilspring::internal
