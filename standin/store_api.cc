#include "standin/store_api.h"

#include <boost/json.hpp>
#include <string_view>
#include <utility>

#include "basilspring/error.h"
#include "connection/base64.h"

namespace basilspring::standin {
namespace {

namespace json = boost::json;
using internal::DecodeBase64;
using internal::EncodeBase64;

std::string BytesField(const json::object& object, std::string_view name) {
  const json::value* const value = object.if_contains(name);
  return value == nullptr ? "" : DecodeBase64(std::string_view(value->as_string()));
}

std::int64_t NumberField(const json::object& object, std::string_view name) {
  const json::value* const value = object.if_contains(name);
  if (value == nullptr) return 0;
  return value->is_int64() ? value->as_int64() : std::stoll(std::string(value->as_string()));
}

json::object Header(const StoreState& state) {
  return {{"revision", std::to_string(state.revision())}};
}

json::object PairJson(const std::string& key, const StoredValue& value) {
  json::object pair{{"key", EncodeBase64(key)},
                    {"create_revision", std::to_string(value.create_revision)},
                    {"mod_revision", std::to_string(value.mod_revision)},
                    {"version", std::to_string(value.version)},
                    {"value", EncodeBase64(value.value)}};
  if (value.lease != 0) pair["lease"] = std::to_string(value.lease);
  return pair;
}

json::object Range(const StoreState& state, const json::object& request) {
  const std::string key = BytesField(request, "key");
  const std::string end = BytesField(request, "range_end");
  const std::int64_t limit = NumberField(request, "limit");
  json::array pairs;
  json::object response{{"header", Header(state)}};
  for (auto value = state.values().lower_bound(key); value != state.values().end(); ++value) {
    if (end.empty() ? value->first != key : value->first >= end) break;
    if (limit > 0 && static_cast<std::int64_t>(pairs.size()) == limit) {
      response["more"] = true;
      break;
    }
    pairs.emplace_back(PairJson(value->first, value->second));
  }
  response["count"] = std::to_string(pairs.size());
  response["kvs"] = std::move(pairs);
  return response;
}

bool ConditionHolds(const StoreState& state, const json::object& condition) {
  const auto found = state.values().find(BytesField(condition, "key"));
  const StoredValue value = found == state.values().end() ? StoredValue() : found->second;
  const std::string_view target = condition.at("target").as_string();
  if (target == "CREATE") return value.create_revision == NumberField(condition, "create_revision");
  if (target == "MOD") return value.mod_revision == NumberField(condition, "mod_revision");
  if (target == "VALUE") {
    return value.version > 0 && value.value == BytesField(condition, "value");
  }
  throw Error(ErrorKind::kInvalidArgument, "unknown compare target");
}

void Put(StoreState& state, const json::object& request) {
  if (!state.Put(BytesField(request, "key"), BytesField(request, "value"),
                 NumberField(request, "lease"))) {
    throw Error(ErrorKind::kNotFound, "etcdserver: requested lease not found");
  }
}

json::object ExecuteOperation(StoreState& state, const json::object& operation) {
  if (const auto* const put = operation.if_contains("request_put"); put != nullptr) {
    Put(state, put->as_object());
    return {{"response_put", json::object{{"header", Header(state)}}}};
  }
  if (const auto* const deletion = operation.if_contains("request_delete_range");
      deletion != nullptr) {
    const json::object& request = deletion->as_object();
    const std::int64_t count =
        state.Delete(BytesField(request, "key"), BytesField(request, "range_end"));
    return {{"response_delete_range", json::object{{"deleted", std::to_string(count)}}}};
  }
  return {{"response_range", Range(state, operation.at("request_range").as_object())}};
}

bool Writes(const json::array& operations) {
  for (const json::value& operation : operations) {
    if (!operation.as_object().contains("request_range")) return true;
  }
  return false;
}

json::array ArrayField(const json::object& request, std::string_view name) {
  const json::value* const value = request.if_contains(name);
  return value == nullptr ? json::array() : value->as_array();
}

json::object Txn(StoreState& state, const json::object& request) {
  bool succeeded = true;
  for (const json::value& condition : ArrayField(request, "compare")) {
    succeeded = succeeded && ConditionHolds(state, condition.as_object());
  }
  const json::array operations = ArrayField(request, succeeded ? "success" : "failure");
  if (Writes(operations)) state.BeginWrite();
  json::array responses;
  for (const json::value& operation : operations) {
    responses.emplace_back(ExecuteOperation(state, operation.as_object()));
  }
  json::object response{{"header", Header(state)}, {"responses", std::move(responses)}};
  if (succeeded) response["succeeded"] = true;
  return response;
}

json::object Execute(StoreState& state, const std::string& path, const json::object& request,
                     TimePoint now) {
  if (path == "/v3/kv/range") return Range(state, request);
  if (path == "/v3/kv/txn") return Txn(state, request);
  if (path == "/v3/kv/put") {
    state.BeginWrite();
    Put(state, request);
    return {{"header", Header(state)}};
  }
  if (path == "/v3/kv/deleterange") {
    state.BeginWrite();
    const std::int64_t count =
        state.Delete(BytesField(request, "key"), BytesField(request, "range_end"));
    return {{"header", Header(state)}, {"deleted", std::to_string(count)}};
  }
  if (path == "/v3/lease/grant") {
    const std::int64_t seconds = NumberField(request, "TTL");
    const std::int64_t id = state.Grant(seconds, now);
    return {
        {"header", Header(state)}, {"ID", std::to_string(id)}, {"TTL", std::to_string(seconds)}};
  }
  if (path == "/v3/lease/keepalive") {
    const std::int64_t id = NumberField(request, "ID");
    json::object result{{"header", Header(state)}, {"ID", std::to_string(id)}};
    if (const std::int64_t seconds = state.KeepAlive(id, now); seconds > 0) {
      result["TTL"] = std::to_string(seconds);
    }
    return {{"result", std::move(result)}};
  }
  if (path == "/v3/lease/revoke") {
    state.Revoke(NumberField(request, "ID"));
    return {{"header", Header(state)}};
  }
  throw Error(ErrorKind::kNotFound, "unknown path");
}

ApiResponse ErrorResponse(int status, std::string_view message) {
  return {status, json::serialize(json::object{{"error", message}, {"message", message}})};
}

std::string ResultLine(json::object result) {
  return json::serialize(json::object{{"result", std::move(result)}}) + "\n";
}

json::object RevisionHeader(std::int64_t revision) {
  return {{"revision", std::to_string(revision)}};
}

}  // namespace

ApiResponse ExecuteCall(StoreState& state, const std::string& path, const std::string& body,
                        TimePoint now) {
  try {
    const json::value request = json::parse(body.empty() ? "{}" : body);
    return {200, json::serialize(Execute(state, path, request.as_object(), now))};
  } catch (const Error& error) {
    return ErrorResponse(error.kind() == ErrorKind::kNotFound ? 404 : 400, error.what());
  } catch (const std::exception& error) {
    return ErrorResponse(400, error.what());
  }
}

WatchRequest ParseWatchRequest(const std::string& body) {
  try {
    const json::value parsed = json::parse(body);
    const json::object& request = parsed.as_object().at("create_request").as_object();
    return {BytesField(request, "key"), BytesField(request, "range_end"),
            NumberField(request, "start_revision")};
  } catch (const std::exception& error) {
    throw Error(ErrorKind::kInvalidArgument, error.what());
  }
}

std::string WatchLine(const WatchRequest& watch, std::int64_t revision,
                      const std::vector<StoredEvent>& events) {
  json::array list;
  for (const StoredEvent& event : events) {
    const bool inside = watch.range_end.empty()
                            ? event.key == watch.key
                            : event.key >= watch.key && event.key < watch.range_end;
    if (!inside) continue;
    json::object entry{{"kv", PairJson(event.key, event.value)}};
    if (event.deleted) entry["type"] = "DELETE";
    list.emplace_back(std::move(entry));
  }
  json::object result{{"header", RevisionHeader(revision)}};
  // A message without events is a progress notification.
  if (!list.empty()) result["events"] = std::move(list);
  return ResultLine(std::move(result));
}

std::string WatchCreatedLine(std::int64_t revision) {
  return ResultLine({{"header", RevisionHeader(revision)}, {"created", true}});
}

std::string WatchCanceledLine(std::int64_t revision, std::int64_t compact_revision) {
  return ResultLine({{"header", RevisionHeader(revision)},
                     {"canceled", true},
                     {"compact_revision", std::to_string(compact_revision)}});
}

}  // namespace basilspring::standin
