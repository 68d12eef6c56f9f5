#include "basilspring/process/operator_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "basilspring/connection/store_client.h"
#include "basilspring/error.h"
#include "basilspring/process/log.h"
#include "basilspring/process/permit_authority.h"
#include "basilspring/version/config_change.h"
#include "process/operator_change.h"

namespace basilspring {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxAssignments = 1000;

std::string NewChangeToken() {
  std::random_device random;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", random(), random(), random(), random());
}

HttpResponse JsonResponse(const json::object& body) {
  HttpResponse response;
  response.body = json::serialize(body);
  return response;
}

json::object ParseBody(const HttpRequest& request) {
  boost::system::error_code error;
  json::value value = json::parse(request.body, error);
  if (error || !value.is_object()) {
    throw Error(ErrorKind::kInvalidArgument, "the body is not a JSON object");
  }
  return std::move(value.as_object());
}

std::string StringMember(const json::object& object, std::string_view name, bool required) {
  const json::value* const value = object.if_contains(name);
  if (value != nullptr && value->is_string()) return std::string(value->as_string());
  if (value == nullptr && !required) return "";
  throw Error(ErrorKind::kInvalidArgument, fmt::format("member \"{}\" is not a text", name));
}

json::value SettingValueToJson(const SettingValue& value) {
  return std::visit([](const auto& typed) { return json::value(typed); }, value);
}

std::optional<SettingValue> ParseSettingValue(const std::string& key, const json::value& value) {
  if (value.is_null()) return std::nullopt;
  if (value.is_bool()) return value.as_bool();
  if (value.is_int64()) return value.as_int64();
  if (value.is_string()) return std::string(value.as_string());
  throw Error(ErrorKind::kInvalidArgument,
              fmt::format("setting {} is {}; allowed: true or false, a whole number or a text", key,
                          json::serialize(value)));
}

std::vector<SettingAssignment> ParseAssignments(const json::object& body) {
  const json::value* const list = body.if_contains("changes");
  if (list == nullptr || !list->is_array() || list->as_array().empty() ||
      list->as_array().size() > kMaxAssignments) {
    throw Error(
        ErrorKind::kInvalidArgument,
        fmt::format("member \"changes\" is not a list of 1 to {} changes", kMaxAssignments));
  }
  std::vector<SettingAssignment> assignments;
  for (const json::value& element : list->as_array()) {
    if (!element.is_object()) throw Error(ErrorKind::kInvalidArgument, "a change is not an object");
    const json::object& object = element.as_object();
    SettingAssignment assignment;
    assignment.path = StringMember(object, "path", true);
    assignment.key = StringMember(object, "key", true);
    const json::value* const value = object.if_contains("value");
    if (value != nullptr) assignment.value = ParseSettingValue(assignment.key, *value);
    assignments.push_back(std::move(assignment));
  }
  return assignments;
}

// Writes a change and waits until the cells have applied it. The response states its revision and
// whether all cells have.
HttpResponse MakeChange(OperatorContext& context, const std::vector<SettingAssignment>& assignments,
                        const std::string& author) {
  ConfigChange change;
  change.assignments = assignments;
  change.author = author.empty() ? "operator" : author;
  change.token = NewChangeToken();
  change.conditions = {context.registration()};
  const ConfigRevision revision = internal::WriteChange(context, change);
  for (const SettingAssignment& assignment : assignments) {
    Log(EventId::kOperatorChange, "author={} node={} key={} value={} revision={}", change.author,
        assignment.path, assignment.key,
        assignment.value.has_value() ? SettingValueText(*assignment.value) : "(removed)",
        revision.value());
  }
  const bool in_force = internal::WaitUntilInForce(context, revision);
  json::object cells;
  for (const auto& [cell, applied] : context.in_force()) cells[cell.value()] = applied.value();
  return JsonResponse(
      {{"revision", revision.value()}, {"in_force", in_force}, {"cells", std::move(cells)}});
}

HttpResponse ChangeSettings(OperatorContext& context, const HttpRequest& request) {
  const json::object body = ParseBody(request);
  return MakeChange(context, ParseAssignments(body), StringMember(body, "author", false));
}

HttpResponse ChangeDataCentre(OperatorContext& context, const HttpRequest& request) {
  const json::object body = ParseBody(request);
  const std::string path = StringMember(body, "path", true);
  if (std::count(path.begin(), path.end(), '/') != 2 || path.find('*') != std::string::npos) {
    throw Error(ErrorKind::kInvalidArgument,
                fmt::format("\"{}\" is not a data centre; allowed: /REGION/DATA-CENTRE", path));
  }
  const std::string state = StringMember(body, "state", true);
  return MakeChange(context, {{path, "state", ParseSetting("state", state)}},
                    StringMember(body, "author", false));
}

HttpResponse GetSettings(OperatorContext& context, const HttpRequest& /*request*/) {
  json::object nodes;
  for (const ConfigNode& node : context.nodes()) nodes[node.path] = json::parse(node.json);
  return JsonResponse({{"revision", context.revision().value()}, {"nodes", std::move(nodes)}});
}

SettingScope ScopeFromPath(const std::string& path) {
  CheckNodePath(path);
  std::vector<std::string> parts;
  for (std::size_t begin = 1; begin < path.size();) {
    const std::size_t end = std::min(path.find('/', begin), path.size());
    const std::string part = path.substr(begin, end - begin);
    parts.push_back(part == "*" ? "" : part);
    begin = end + 1;
  }
  parts.resize(3);
  return {RegionId(parts[0]), DataCentreId(parts[1]), WorkspaceId(parts[2])};
}

HttpResponse ResolveSettings(OperatorContext& context, const HttpRequest& request) {
  const SettingScope scope = ScopeFromPath(request.Query("path"));
  const SettingsTree tree = SettingsTree::FromNodes(context.nodes());
  json::array settings;
  for (const SettingDefinition& definition : SettingDefinitions()) {
    const ResolvedSetting resolved = tree.Resolve(definition.key, scope);
    settings.emplace_back(json::object{{"key", definition.key},
                                       {"value", SettingValueToJson(resolved.value)},
                                       {"node", resolved.node}});
  }
  return JsonResponse(
      {{"revision", context.revision().value()}, {"settings", std::move(settings)}});
}

HttpResponse GetHistory(OperatorContext& context, const HttpRequest& request) {
  const std::string text = request.Query("limit");
  const int limit = text.empty() ? 20 : std::atoi(text.c_str());
  if (limit < 1 || limit > kConfigHistoryLength) {
    throw Error(ErrorKind::kInvalidArgument,
                fmt::format("limit is \"{}\"; allowed: 1 to {}", text, kConfigHistoryLength));
  }
  json::array changes;
  for (const ConfigHistoryEntry& entry :
       ReadConfigHistory(context.store(), static_cast<std::size_t>(limit))) {
    json::object change = json::parse(entry.json).as_object();
    change["revision"] = entry.revision.value();
    change.erase("token");
    changes.emplace_back(std::move(change));
  }
  return JsonResponse({{"changes", std::move(changes)}});
}

json::object CellToJson(const CellSummary& summary, const SettingsTree& tree) {
  json::array queued;
  for (const std::uint32_t count : summary.queued) queued.emplace_back(count);
  json::array free_runs;
  for (const std::uint32_t count : summary.free_runs) free_runs.emplace_back(count);
  return {{"cell", summary.cell.value()},
          {"region", summary.region.value()},
          {"data_centre", summary.data_centre.value()},
          {"state", tree.ResolveText("state", {summary.region, summary.data_centre, {}})},
          {"scheduler", summary.scheduler.ToString()},
          {"epoch", summary.epoch.value()},
          {"ready", summary.ready},
          {"workers", summary.workers},
          {"free_accelerators", summary.free_accelerators},
          {"total_accelerators", summary.total_accelerators},
          {"free_runs", std::move(free_runs)},
          {"running_tasks", summary.running_tasks},
          {"queued", std::move(queued)},
          {"config_revision", summary.config_revision.value()}};
}

HttpResponse GetStatus(OperatorContext& context, const HttpRequest& /*request*/) {
  const SettingsTree tree = SettingsTree::FromNodes(context.nodes());
  json::array cells;
  for (const CellSummary& summary : context.summaries()) {
    cells.emplace_back(CellToJson(summary, tree));
  }
  json::array entries;
  for (const auto& [id, address] : context.entries()) {
    entries.emplace_back(json::object{{"entry", id.value()}, {"address", address.ToString()}});
  }
  return JsonResponse({{"revision", context.revision().value()},
                       {"store_reachable", !context.permits().vouching(context.now())},
                       {"cells", std::move(cells)},
                       {"entries", std::move(entries)}});
}

struct Route {
  std::string_view method;
  std::string_view path;
  HttpResponse (*handle)(OperatorContext& context, const HttpRequest& request);
};

constexpr std::array<Route, 6> kRoutes = {{
    {"GET", "/v1/operator/status", &GetStatus},
    {"GET", "/v1/operator/settings", &GetSettings},
    {"GET", "/v1/operator/settings/resolve", &ResolveSettings},
    {"GET", "/v1/operator/history", &GetHistory},
    {"POST", "/v1/operator/settings", &ChangeSettings},
    {"POST", "/v1/operator/datacentre", &ChangeDataCentre},
}};

}  // namespace

HttpResponse HandleOperatorRequest(OperatorContext& context, const HttpRequest& request) {
  if (!context.has_configuration()) {
    throw Error(ErrorKind::kStoreUnavailable, "the configuration has not been read yet");
  }
  for (const Route& route : kRoutes) {
    if (route.method == request.method && route.path == request.path) {
      return route.handle(context, request);
    }
  }
  throw Error(ErrorKind::kNotFound,
              fmt::format("there is no call {} {}", request.method, request.path));
}

}  // namespace basilspring
