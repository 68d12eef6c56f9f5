#include "connection/store_json.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>
#include <type_traits>
#include <variant>

#include "basilspring/error.h"
#include "connection/base64.h"

namespace basilspring::internal {
namespace {

namespace json = boost::json;

[[noreturn]] void ThrowBadResponse(std::string_view what) {
  throw Error(ErrorKind::kBadFrame, fmt::format("answer of the store: {}", what));
}

json::object ParseObject(const std::string& body) {
  boost::system::error_code error;
  json::value value = json::parse(body, error);
  if (error || !value.is_object()) ThrowBadResponse("not a JSON object");
  return std::move(value.as_object());
}

// The API encodes 64-bit numbers as strings and omits zero.
std::int64_t GetInt64(const json::object& object, std::string_view name) {
  const json::value* const value = object.if_contains(name);
  if (value == nullptr) return 0;
  if (value->is_int64()) return value->as_int64();
  if (!value->is_string()) ThrowBadResponse(fmt::format("{} is not a number", name));
  const json::string& text = value->as_string();
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    ThrowBadResponse(fmt::format("{} is not a number", name));
  }
  return number;
}

std::string GetBytes(const json::object& object, std::string_view name) {
  const json::value* const value = object.if_contains(name);
  if (value == nullptr) return "";
  if (!value->is_string()) ThrowBadResponse(fmt::format("{} is not a string", name));
  return DecodeBase64(std::string_view(value->as_string()));
}

bool GetBool(const json::object& object, std::string_view name) {
  const json::value* const value = object.if_contains(name);
  return value != nullptr && value->is_bool() && value->as_bool();
}

const json::object* GetObject(const json::object& object, std::string_view name) {
  const json::value* const value = object.if_contains(name);
  if (value == nullptr) return nullptr;
  if (!value->is_object()) ThrowBadResponse(fmt::format("{} is not an object", name));
  return &value->as_object();
}

const json::array* GetArray(const json::object& object, std::string_view name) {
  const json::value* const value = object.if_contains(name);
  if (value == nullptr) return nullptr;
  if (!value->is_array()) ThrowBadResponse(fmt::format("{} is not an array", name));
  return &value->as_array();
}

const json::object& AsObject(const json::value& value) {
  if (!value.is_object()) ThrowBadResponse("an element is not an object");
  return value.as_object();
}

std::int64_t HeaderRevision(const json::object& object) {
  const json::object* const header = GetObject(object, "header");
  return header == nullptr ? 0 : GetInt64(*header, "revision");
}

/// Returns the revision that an answer with keys must have. Without it, members that are missing
/// don't have their default values.
std::int64_t RequiredRevision(const json::object& object) {
  const std::int64_t revision = HeaderRevision(object);
  if (revision <= 0) ThrowBadResponse("an answer has no revision");
  return revision;
}

StoreKeyValue ParsePair(const json::object& object) {
  StoreKeyValue pair;
  pair.key = GetBytes(object, "key");
  pair.value = GetBytes(object, "value");
  pair.create_revision = GetInt64(object, "create_revision");
  pair.mod_revision = GetInt64(object, "mod_revision");
  pair.lease = GetInt64(object, "lease");
  return pair;
}

std::vector<StoreKeyValue> ParsePairs(const json::object& range) {
  std::vector<StoreKeyValue> pairs;
  if (const json::array* const kvs = GetArray(range, "kvs"); kvs != nullptr) {
    for (const json::value& kv : *kvs) pairs.push_back(ParsePair(AsObject(kv)));
  }
  return pairs;
}

struct ConditionToJson {
  json::object operator()(const KeyAbsent& condition) const {
    return {{"key", EncodeBase64(condition.key)},
            {"target", "CREATE"},
            {"result", "EQUAL"},
            {"create_revision", "0"}};
  }
  json::object operator()(const ModRevisionIs& condition) const {
    return {{"key", EncodeBase64(condition.key)},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"mod_revision", std::to_string(condition.revision)}};
  }
  json::object operator()(const ValueIs& condition) const {
    return {{"key", EncodeBase64(condition.key)},
            {"target", "VALUE"},
            {"result", "EQUAL"},
            {"value", EncodeBase64(condition.value)}};
  }
};

struct WriteToJson {
  json::object operator()(const PutKey& write) const {
    return {{"request_put", json::object{{"key", EncodeBase64(write.key)},
                                         {"value", EncodeBase64(write.value)},
                                         {"lease", std::to_string(write.lease)}}}};
  }
  json::object operator()(const DeleteKey& write) const {
    return {{"request_delete_range", json::object{{"key", EncodeBase64(write.key)}}}};
  }
};

}  // namespace

std::string PrefixEnd(std::string_view prefix) {
  std::string end(prefix);
  while (!end.empty()) {
    const auto last = static_cast<unsigned char>(end.back());
    if (last < 0xff) {
      end.back() = static_cast<char>(last + 1);
      return end;
    }
    end.pop_back();
  }
  // In the API a range end of one zero byte means "to the last key".
  return std::string(1, '\0');
}

std::string RangeRequestJson(const std::string& key, const std::string& range_end,
                             std::size_t limit) {
  json::object request{{"key", EncodeBase64(key)}};
  if (!range_end.empty()) {
    request["range_end"] = EncodeBase64(range_end);
    request["limit"] = std::to_string(limit);
  }
  return json::serialize(request);
}

RangeResult ParseRangeResponse(const std::string& body) {
  const json::object object = ParseObject(body);
  RangeResult result;
  result.revision = RequiredRevision(object);
  result.pairs = ParsePairs(object);
  result.more = GetBool(object, "more");
  return result;
}

std::string TxnRequestJson(const std::vector<StoreCondition>& conditions,
                           const std::vector<StoreWrite>& writes,
                           const std::vector<std::string>& read_on_failure) {
  json::array compare;
  for (const StoreCondition& condition : conditions) {
    compare.emplace_back(std::visit(ConditionToJson(), condition));
  }
  json::array success;
  for (const StoreWrite& write : writes) success.emplace_back(std::visit(WriteToJson(), write));
  json::array failure;
  for (const std::string& key : read_on_failure) {
    failure.emplace_back(json::object{{"request_range", json::object{{"key", EncodeBase64(key)}}}});
  }
  return json::serialize(json::object{{"compare", std::move(compare)},
                                      {"success", std::move(success)},
                                      {"failure", std::move(failure)}});
}

TxnResult ParseTxnResponse(const std::string& body) {
  const json::object object = ParseObject(body);
  TxnResult result;
  result.succeeded = GetBool(object, "succeeded");
  result.revision = RequiredRevision(object);
  if (const json::array* const responses = GetArray(object, "responses"); responses != nullptr) {
    for (const json::value& response : *responses) {
      const json::object* const range = GetObject(AsObject(response), "response_range");
      if (range == nullptr) continue;
      for (StoreKeyValue& pair : ParsePairs(*range)) result.found.push_back(std::move(pair));
    }
  }
  return result;
}

std::string LeaseGrantJson(std::int64_t seconds) {
  return json::serialize(json::object{{"TTL", std::to_string(seconds)}});
}

std::string LeaseIdJson(std::int64_t lease) {
  return json::serialize(json::object{{"ID", std::to_string(lease)}});
}

std::int64_t ParseLeaseGrant(const std::string& body) {
  const std::int64_t lease = GetInt64(ParseObject(body), "ID");
  if (lease == 0) ThrowBadResponse("a granted lease has no id");
  return lease;
}

std::int64_t ParseKeepAlive(const std::string& body) {
  const json::object object = ParseObject(body);
  const json::object* const result = GetObject(object, "result");
  return GetInt64(result == nullptr ? object : *result, "TTL");
}

std::string WatchRequestJson(const std::string& prefix, std::int64_t from_revision) {
  return json::serialize(json::object{
      {"create_request", json::object{{"key", EncodeBase64(prefix)},
                                      {"range_end", EncodeBase64(PrefixEnd(prefix))},
                                      {"start_revision", std::to_string(from_revision)},
                                      {"progress_notify", true}}}});
}

WatchMessage ParseWatchMessage(const std::string& line) {
  const json::object object = ParseObject(line);
  const json::object* const result = GetObject(object, "result");
  if (result == nullptr) ThrowBadResponse("a watch message has no result");
  WatchMessage message;
  message.revision = HeaderRevision(*result);
  message.canceled = GetBool(*result, "canceled");
  const json::array* const events = GetArray(*result, "events");
  if (events == nullptr) return message;
  for (const json::value& value : *events) {
    const json::object& event = AsObject(value);
    const json::value* const type = event.if_contains("type");
    StoreEvent parsed;
    parsed.deleted = type != nullptr && type->is_string() && type->as_string() == "DELETE";
    const json::object* const kv = GetObject(event, "kv");
    if (kv == nullptr) ThrowBadResponse("an event has no key");
    parsed.pair = ParsePair(*kv);
    message.events.push_back(std::move(parsed));
  }
  if (!message.events.empty()) message.revision = message.events.back().pair.mod_revision;
  return message;
}

}  // namespace basilspring::internal
