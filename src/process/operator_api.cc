#include "basilspring/process/operator_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "basilspring/connection/store_client.h"
#include "basilspring/error.h"
#include "basilspring/process/log.h"
#include "basilspring/process/permit_authority.h"
#include "basilspring/version/config_change.h"

namespace basilspring {
namespace {

namespace json = boost::json;

constexpr Duration kPollInterval(20);
/// How long a change waits for the cells to report it; the promise is 5 s.
constexpr Duration kInForceWait(5000);
/// How long an unknown outcome is pursued before the entry gives up and stays without vouching.
constexpr Duration kResolveLimit(60000);
constexpr std::size_t kMaxAssignments = 1000;

void Sleep(Duration span) {
  boost::this_fiber::sleep_for(std::chrono::milliseconds(span.milliseconds()));
}

std::string NewToken() {
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

std::string TextMember(const json::object& object, std::string_view name, bool required) {
  const json::value* const value = object.if_contains(name);
  if (value != nullptr && value->is_string()) return std::string(value->as_string());
  if (value == nullptr && !required) return "";
  throw Error(ErrorKind::kInvalidArgument, fmt::format("member \"{}\" is not a text", name));
}

json::value ValueJson(const SettingValue& value) {
  return std::visit([](const auto& typed) { return json::value(typed); }, value);
}

std::optional<SettingValue> ParseValue(const std::string& key, const json::value& value) {
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
    assignment.path = TextMember(object, "path", true);
    assignment.key = TextMember(object, "key", true);
    const json::value* const value = object.if_contains("value");
    if (value != nullptr) assignment.value = ParseValue(assignment.key, *value);
    assignments.push_back(std::move(assignment));
  }
  return assignments;
}

// Racks of each data centre, as the cell schedulers last reported them.
std::map<DataCentreId, std::vector<RackInventory>> Inventory(const OperatorContext& context) {
  std::map<DataCentreId, std::vector<RackInventory>> inventory;
  for (const CellSummary& summary : context.summaries()) {
    std::vector<RackInventory>& racks = inventory[summary.data_centre];
    for (const RackCapacity& capacity : summary.racks) {
      RackInventory rack;
      rack.rack = capacity.rack;
      for (std::uint32_t i = 0; i < capacity.workers; ++i) {
        rack.workers.push_back({WorkerId(fmt::format("{}/{}", capacity.rack.value(), i)),
                                capacity.accelerators_per_worker});
      }
      racks.push_back(std::move(rack));
    }
  }
  return inventory;
}

// Whether a node stands at or above a data centre.
bool Covers(const std::string& path, const SettingScope& scope) {
  const std::string region = "/" + scope.region.value();
  return path == "/" || path == region || path == region + "/" + scope.data_centre.value();
}

// Data centres that the change may take out of service. A change to the value that already stands
// counts too: an earlier attempt may have written it without the wait for the permits.
std::set<DataCentreId> TakenOut(const OperatorContext& context,
                                const std::vector<SettingAssignment>& assignments) {
  SettingsTree tree = SettingsTree::FromNodes(context.nodes());
  std::vector<SettingAssignment> states;
  for (const SettingAssignment& assignment : assignments) {
    if (assignment.key != "state") continue;
    tree.Set(assignment.path, assignment.key, assignment.value);
    states.push_back(assignment);
  }
  std::vector<SettingScope> scopes = tree.DataCentres();
  for (const CellSummary& summary : context.summaries()) {
    scopes.push_back({summary.region, summary.data_centre, {}});
  }
  std::set<DataCentreId> taken;
  for (const SettingScope& scope : scopes) {
    const bool covered = std::any_of(states.begin(), states.end(), [&scope](const auto& state) {
      return Covers(state.path, scope);
    });
    if (covered && tree.ResolveText("state", scope) == "out") taken.insert(scope.data_centre);
  }
  return taken;
}

// Stops vouching for data centres as long as it lives, unless the outcome of the change stays
// unknown.
class VouchingPause {
 public:
  VouchingPause(OperatorContext& context, std::set<DataCentreId> data_centres)
      : context_(context), data_centres_(std::move(data_centres)) {
    std::string reason;
    if (data_centres_.empty()) return;
    if (!context_.permits().MayChange(context_.now(), &reason)) {
      throw Error(ErrorKind::kConflict, reason);
    }
    TimePoint allowed;
    for (const DataCentreId& data_centre : data_centres_) {
      allowed = std::max(allowed, context_.permits().BeginChange(context_.now(), data_centre));
    }
    while (context_.now() < allowed) Sleep(kPollInterval);
  }
  ~VouchingPause() {
    if (outcome_unknown_) return;
    for (const DataCentreId& data_centre : data_centres_) context_.permits().EndChange(data_centre);
  }
  VouchingPause(const VouchingPause&) = delete;
  VouchingPause& operator=(const VouchingPause&) = delete;

  void SetOutcomeUnknown() { outcome_unknown_ = true; }

 private:
  OperatorContext& context_;
  std::set<DataCentreId> data_centres_;
  bool outcome_unknown_ = false;
};

// Waits until this entry has applied the revision, so that its vouches carry it.
void WaitUntilApplied(OperatorContext& context, ConfigRevision revision) {
  const TimePoint limit = context.now() + kResolveLimit;
  while (context.revision() < revision) {
    if (context.now() >= limit) {
      throw Error(ErrorKind::kStoreOutcomeUnknown,
                  "the change was written, but this entry can't read it back");
    }
    try {
      context.Refresh();
    } catch (const Error&) {
      Sleep(Duration(500));
    }
  }
}

// After a lost answer: true when the change took effect, false when it never will.
bool PursueOutcome(OperatorContext& context, const ConfigChange& change) {
  const TimePoint limit = context.now() + kResolveLimit;
  while (context.now() < limit) {
    try {
      const bool took_effect = ResolveConfigChange(context.store(), change);
      context.Refresh();
      return took_effect;
    } catch (const Error&) {
      Sleep(Duration(500));
    }
  }
  throw Error(ErrorKind::kStoreOutcomeUnknown,
              "the store does not say whether the change took effect");
}

ConfigRevision WriteChange(OperatorContext& context, const ConfigChange& change) {
  VouchingPause pause(context, TakenOut(context, change.assignments));
  const SettingsTree current = SettingsTree::FromNodes(context.nodes());
  const auto inventory = Inventory(context);
  const auto check = [&current, &inventory](const SettingsTree& candidate) {
    CheckGuarantees(current, candidate, inventory);
  };
  try {
    ConfigRevision revision;
    try {
      revision = ApplyConfigChange(context.store(), change, check);
    } catch (const Error& error) {
      if (error.kind() != ErrorKind::kStoreOutcomeUnknown) throw;
      if (!PursueOutcome(context, change)) {
        throw Error(ErrorKind::kStoreUnavailable, "the store did not take the change");
      }
      revision = context.revision();
    }
    WaitUntilApplied(context, revision);
    return revision;
  } catch (const Error& error) {
    if (error.kind() == ErrorKind::kStoreOutcomeUnknown) pause.SetOutcomeUnknown();
    throw;
  }
}

bool InForceEverywhere(const OperatorContext& context, ConfigRevision revision) {
  const auto in_force = context.in_force();
  return std::all_of(in_force.begin(), in_force.end(),
                     [revision](const auto& cell) { return cell.second >= revision; });
}

HttpResponse Change(OperatorContext& context, const std::vector<SettingAssignment>& assignments,
                    const std::string& author) {
  ConfigChange change;
  change.assignments = assignments;
  change.author = author.empty() ? "operator" : author;
  change.token = NewToken();
  const ConfigRevision revision = WriteChange(context, change);
  for (const SettingAssignment& assignment : assignments) {
    Log(EventId::kOperatorChange, "author={} node={} key={} value={} revision={}", change.author,
        assignment.path, assignment.key,
        assignment.value.has_value() ? SettingValueText(*assignment.value) : "(removed)",
        revision.value());
  }
  const TimePoint limit = context.now() + kInForceWait;
  while (!InForceEverywhere(context, revision) && context.now() < limit) Sleep(kPollInterval);
  json::object cells;
  for (const auto& [cell, applied] : context.in_force()) cells[cell.value()] = applied.value();
  return JsonResponse({{"revision", revision.value()},
                       {"in_force", InForceEverywhere(context, revision)},
                       {"cells", std::move(cells)}});
}

HttpResponse ChangeSettings(OperatorContext& context, const HttpRequest& request) {
  const json::object body = ParseBody(request);
  return Change(context, ParseAssignments(body), TextMember(body, "author", false));
}

HttpResponse ChangeDataCentre(OperatorContext& context, const HttpRequest& request) {
  const json::object body = ParseBody(request);
  const std::string path = TextMember(body, "path", true);
  if (std::count(path.begin(), path.end(), '/') != 2 || path.find('*') != std::string::npos) {
    throw Error(ErrorKind::kInvalidArgument,
                fmt::format("\"{}\" is not a data centre; allowed: /REGION/DATA-CENTRE", path));
  }
  const std::string state = TextMember(body, "state", true);
  return Change(context, {{path, "state", ParseSetting("state", state)}},
                TextMember(body, "author", false));
}

HttpResponse GetSettings(OperatorContext& context, const HttpRequest& /*request*/) {
  json::object nodes;
  for (const ConfigNode& node : context.nodes()) nodes[node.path] = json::parse(node.json);
  return JsonResponse({{"revision", context.revision().value()}, {"nodes", std::move(nodes)}});
}

SettingScope ScopeOfPath(const std::string& path) {
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
  const SettingScope scope = ScopeOfPath(request.Query("path"));
  const SettingsTree tree = SettingsTree::FromNodes(context.nodes());
  json::array settings;
  for (const SettingDefinition& definition : SettingDefinitions()) {
    const ResolvedSetting resolved = tree.Resolve(definition.key, scope);
    settings.emplace_back(json::object{
        {"key", definition.key}, {"value", ValueJson(resolved.value)}, {"node", resolved.node}});
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

json::object CellJson(const CellSummary& summary, const SettingsTree& tree) {
  json::array queued;
  for (const std::uint32_t count : summary.queued) queued.emplace_back(count);
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
          {"running_tasks", summary.running_tasks},
          {"queued", std::move(queued)},
          {"config_revision", summary.config_revision.value()}};
}

HttpResponse GetStatus(OperatorContext& context, const HttpRequest& /*request*/) {
  const SettingsTree tree = SettingsTree::FromNodes(context.nodes());
  json::array cells;
  for (const CellSummary& summary : context.summaries()) {
    cells.emplace_back(CellJson(summary, tree));
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
