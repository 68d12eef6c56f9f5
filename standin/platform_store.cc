#include "standin/platform_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "connection/base64.h"

namespace basilspring::standin {
namespace {

namespace json = boost::json;

constexpr std::size_t kPageItems = 500;
// Delay of the transactions in the mode "late"; longer than the timeout of the store's clients.
constexpr std::int64_t kLateWriteDelayMs = 2500;
// Delay of the responses in the mode "slow"; shorter than the timeout of the store's clients.
constexpr std::int64_t kSlowResponseDelayMs = 400;
// Delay of the late calls in the mode "uncertain". They are executed after newer calls, and also
// after a scheduler has been replaced.
constexpr std::int64_t kMinLateCallDelayMs = 1000;
constexpr std::int64_t kMaxLateCallDelayMs = 6000;
// Time after which a connection without the rest of its answer is closed; longer than any timeout
// of the store's clients.
constexpr std::int64_t kSilenceMs = 30000;
// Time for which the part of an answer is sent before its connection is closed.
constexpr std::int64_t kTornCloseDelayMs = 20;

HttpResponse Reply(int status, const json::value& body) {
  HttpResponse response;
  response.status = status;
  response.body = json::serialize(body);
  return response;
}

std::int64_t Number(const std::string& text) { return text.empty() ? 0 : std::stoll(text); }

std::string TextOf(const json::value& value) {
  return {value.as_string().data(), value.as_string().size()};
}

template <typename Item>
json::object ItemObject(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", basilspring::internal::EncodeBase64(item.value)},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

std::string LastSegment(const std::string& path) { return path.substr(path.rfind('/') + 1); }

}  // namespace

void PlatformStoreStandin::Write(const std::string& key, const std::string& value,
                                 std::int64_t lease) {
  Item& item = items_[key];
  item.value = value;
  item.revision = revision_;
  if (item.created == 0) item.created = revision_;
  item.lease = lease;
  history_.push_back({key, item, false});
}

void PlatformStoreStandin::Remove(const std::string& key) {
  const auto found = items_.find(key);
  if (found == items_.end()) return;
  Item item = found->second;
  items_.erase(found);
  item.revision = revision_;
  history_.push_back({key, item, true});
}

void PlatformStoreStandin::Put(const std::string& key, const std::string& value) {
  ++revision_;
  Write(key, value, 0);
  NotifyWatches();
}

void PlatformStoreStandin::Erase(const std::string& key) {
  ++revision_;
  Remove(key);
  NotifyWatches();
}

void PlatformStoreStandin::SetMode(const std::string& mode, int percent) {
  mode_ = mode;
  percent_ = percent;
  if (mode_ == "none") unanswered_.clear();
}

void PlatformStoreStandin::ForgetHistory() {
  history_.clear();
  compacted_revision_ = revision_;
}

std::string PlatformStoreStandin::Value(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? "" : found->second.value;
}

void PlatformStoreStandin::Handle(const HttpRequest& request,
                                  const std::shared_ptr<HttpResponder>& responder,
                                  std::int64_t now_ms) {
  if (request.path == "/fault") {
    const json::object body = json::parse(request.body).as_object();
    const json::value* percent = body.if_contains("percent");
    SetMode(TextOf(body.at("mode")), percent == nullptr ? 100 : percent->to_number<int>());
    responder->Respond(Reply(200, json::object()));
    return;
  }
  if (request.path == "/forget") {
    ForgetHistory();
    responder->Respond(Reply(200, json::object()));
    return;
  }
  if (request.path == "/put") {
    Put(request.Query("key"), request.body);
    responder->Respond(Reply(200, json::object()));
    return;
  }
  const bool write = request.path == "/kv-txn";
  if (mode_ == "busy") {
    responder->Respond(Reply(503, json::object()));
  } else if (mode_ == "silent" || (mode_ == "one_way" && request.path == "/kv-watch")) {
    unanswered_.push_back(responder);
  } else if (mode_ == "late" && write) {
    late_calls_.emplace_back(now_ms + kLateWriteDelayMs, request);
    unanswered_.push_back(responder);
  } else if (request.path == "/kv-watch") {
    StartWatch(request, responder, now_ms);
  } else if ((mode_ == "torn" || mode_ == "uncertain") && RandomBelow(100) < percent_) {
    Disturb(request, responder, now_ms);
    NotifyWatches();
  } else {
    const HttpResponse response = Execute(request, now_ms);
    if ((mode_ == "lost" && write) || mode_ == "one_way") {
      unanswered_.push_back(responder);
    } else if (mode_ == "slow") {
      delayed_responses_.push_back({now_ms + kSlowResponseDelayMs, responder, response});
    } else {
      responder->Respond(response);
    }
    NotifyWatches();
  }
}

std::int64_t PlatformStoreStandin::RandomBelow(std::int64_t below) {
  return static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(below));
}

void PlatformStoreStandin::Disturb(const HttpRequest& request,
                                   const std::shared_ptr<HttpResponder>& responder,
                                   std::int64_t now_ms) {
  std::int64_t silence_ms = kSilenceMs;
  if (mode_ == "torn") {
    HttpResponse response = Execute(request, now_ms);
    const std::string part = response.body.substr(
        0, static_cast<std::size_t>(RandomBelow(static_cast<std::int64_t>(response.body.size()))));
    responder->StartStream(std::move(response));
    responder->WriteChunk(part);
    if (RandomBelow(2) == 0) silence_ms = kTornCloseDelayMs;
  } else {
    const std::int64_t outcome = RandomBelow(3);
    if (outcome == 0) {
      Execute(request, now_ms);
    } else if (outcome == 1) {
      late_calls_.emplace_back(
          now_ms + kMinLateCallDelayMs + RandomBelow(kMaxLateCallDelayMs - kMinLateCallDelayMs),
          request);
    }
  }
  silent_until_.emplace_back(now_ms + silence_ms, responder);
}

HttpResponse PlatformStoreStandin::Execute(const HttpRequest& request, std::int64_t now_ms) {
  if (request.path == "/kv-key") {
    const std::string key = request.Query("key");
    const auto found = items_.find(key);
    if (found == items_.end()) return Reply(404, json::object{{"current_rev", revision_}});
    json::object body = ItemObject(key, found->second);
    body["current_rev"] = revision_;
    return Reply(200, body);
  }
  if (request.path == "/kv-range") return Range(request);
  if (request.path == "/kv-txn") return Transaction(request);
  if (request.path == "/kv-lease") {
    const std::int64_t time =
        json::parse(request.body).as_object().at("ttl_ms").to_number<std::int64_t>();
    leases_[next_lease_] = {time, now_ms + time};
    return Reply(200, json::object{{"lease", next_lease_++}, {"ttl_ms", time}});
  }
  return UpdateLease(request, now_ms);
}

HttpResponse PlatformStoreStandin::Range(const HttpRequest& request) const {
  const std::string prefix = request.Query("prefix");
  const std::string after = request.Query("after");
  json::array items;
  bool more = false;
  for (auto it = items_.lower_bound(prefix); it != items_.end(); ++it) {
    if (it->first.rfind(prefix, 0) != 0) break;
    if (it->first <= after && !after.empty()) continue;
    if (items.size() == kPageItems) {
      more = true;
      break;
    }
    items.push_back(ItemObject(it->first, it->second));
  }
  return Reply(
      200,
      json::object{{"items", std::move(items)}, {"has_more", more}, {"current_rev", revision_}});
}

HttpResponse PlatformStoreStandin::UpdateLease(const HttpRequest& request, std::int64_t now_ms) {
  const std::int64_t id = Number(LastSegment(request.path));
  const auto found = leases_.find(id);
  if (found == leases_.end()) return Reply(404, json::object());
  if (request.method == "DELETE") {
    found->second.expires_ms = now_ms;
    Tick(now_ms);
    return Reply(200, json::object());
  }
  found->second.expires_ms = now_ms + found->second.ttl_ms;
  return Reply(200, json::object{{"ttl_ms", found->second.ttl_ms}});
}

HttpResponse PlatformStoreStandin::Transaction(const HttpRequest& request) {
  const json::object body = json::parse(request.body).as_object();
  bool conditions_hold = true;
  json::array current_items;
  for (const json::value& row : body.at("expected_rev").as_array()) {
    const std::string key = TextOf(row.as_object().at("key"));
    const auto found = items_.find(key);
    const std::int64_t actual = found == items_.end() ? 0 : found->second.revision;
    conditions_hold =
        conditions_hold && actual == row.as_object().at("revision").to_number<std::int64_t>();
    if (found != items_.end()) current_items.push_back(ItemObject(key, found->second));
  }
  if (!conditions_hold) return Reply(412, json::object{{"items", std::move(current_items)}});
  for (const json::value& value : body.at("set_keys").as_array()) {
    const json::object& row = value.as_object();
    const json::value* lease = row.if_contains("lease");
    const std::int64_t id = lease == nullptr ? 0 : lease->to_number<std::int64_t>();
    if (id != 0 && leases_.count(id) == 0) return Reply(404, json::object());
  }
  // All changes of a transaction share one revision.
  ++revision_;
  for (const json::value& value : body.at("set_keys").as_array()) {
    const json::object& row = value.as_object();
    const json::value* lease = row.if_contains("lease");
    Write(TextOf(row.at("key")), basilspring::internal::DecodeBase64(TextOf(row.at("value"))),
          lease == nullptr ? 0 : lease->to_number<std::int64_t>());
  }
  for (const json::value& key : body.at("remove").as_array()) Remove(TextOf(key));
  return Reply(200, json::object{{"revision", revision_}});
}

void PlatformStoreStandin::StartWatch(const HttpRequest& request,
                                      const std::shared_ptr<HttpResponder>& responder,
                                      std::int64_t now_ms) {
  Watch watch{request.Query("prefix"), Number(request.Query("after")),
              now_ms + Number(request.Query("wait_ms")), responder};
  if (watch.after < compacted_revision_) {
    responder->Respond(Reply(410, json::object()));
  } else if (!AnswerWatch(watch, false)) {
    watches_.push_back(std::move(watch));
  }
}

bool PlatformStoreStandin::AnswerWatch(const Watch& watch, bool timed_out) const {
  json::array events;
  for (const Event& event : history_) {
    if (event.item.revision <= watch.after || event.key.rfind(watch.prefix, 0) != 0) continue;
    json::object row = ItemObject(event.key, event.item);
    if (event.removed) {
      row =
          json::object{{"key", event.key}, {"revision", event.item.revision}, {"tombstone", true}};
    }
    events.push_back(std::move(row));
  }
  if (events.empty() && !timed_out) return false;
  watch.responder->Respond(
      Reply(200, json::object{{"events", std::move(events)}, {"current_rev", revision_}}));
  return true;
}

void PlatformStoreStandin::NotifyWatches() {
  std::erase_if(watches_, [this](const Watch& watch) { return AnswerWatch(watch, false); });
}

void PlatformStoreStandin::Tick(std::int64_t now_ms) {
  std::vector<std::pair<std::int64_t, HttpRequest>> waiting;
  for (auto& [due_ms, request] : std::exchange(late_calls_, {})) {
    if (now_ms >= due_ms) {
      Execute(request, now_ms);
    } else {
      waiting.emplace_back(due_ms, std::move(request));
    }
  }
  late_calls_ = std::move(waiting);
  std::erase_if(silent_until_, [now_ms](const auto& row) { return now_ms >= row.first; });
  std::erase_if(delayed_responses_, [now_ms](const DelayedResponse& delayed) {
    if (now_ms < delayed.due_ms) return false;
    delayed.responder->Respond(delayed.response);
    return true;
  });
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (now_ms < it->second.expires_ms) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == it->first) keys.push_back(key);
    }
    if (!keys.empty()) ++revision_;
    for (const std::string& key : keys) Remove(key);
    it = leases_.erase(it);
  }
  NotifyWatches();
  std::erase_if(watches_, [&](const Watch& watch) {
    return now_ms >= watch.until_ms && AnswerWatch(watch, true);
  });
}

}  // namespace basilspring::standin
