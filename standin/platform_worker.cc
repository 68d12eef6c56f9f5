#include "standin/platform_worker.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <functional>
#include <utility>

namespace basilspring::standin {
namespace {

namespace json = boost::json;

constexpr std::int64_t kStopDurationMs = 200;
// The longest lease that a backend server grants; a longer one is shortened to it.
constexpr std::int64_t kLongestLeaseMs = 10000;

HttpResponse Reply(int status, const json::value& body) {
  HttpResponse response;
  response.status = status;
  response.body = json::serialize(body);
  return response;
}

HttpResponse Refuse(const char* reason, std::int64_t now_ms) {
  return Reply(409, json::object{{"clock_ms", now_ms}, {"reason", reason}});
}

std::int64_t NumberOf(const json::object& body, const char* name) {
  const json::value* value = body.if_contains(name);
  return value == nullptr ? 0 : value->to_number<std::int64_t>();
}

std::int64_t WorkOf(const std::string& spec, const std::string& task) {
  const std::int64_t least = std::stoll(spec);
  const std::size_t dash = spec.find('-');
  if (dash == std::string::npos) return least;
  const auto span = static_cast<std::uint64_t>(std::stoll(spec.substr(dash + 1)) - least + 1);
  return least + static_cast<std::int64_t>(std::hash<std::string>()(task) % span);
}

}  // namespace

std::string PlatformWorkerStandin::Announcement(const std::string& address) {
  return json::serialize(json::object{
      {"service", "planner"},
      {"address", address},
      {"zone", zone_},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_remaining_ms", 0},
      {"capacity", json::object{{"cpu", 64000}, {"mem_mb", 131072}, {"gpu", kAccelerators}}},
      {"labels", json::array{"a", "r1-1"}},
      {"clock_ms", 0},
      {"seq", ++sequence_},
      {"born", started_unix_ms_}});
}

void PlatformWorkerStandin::Handle(const HttpRequest& request,
                                   const std::shared_ptr<HttpResponder>& responder,
                                   std::int64_t now_ms) {
  Tick(now_ms);
  if (request.path == "/history") {
    std::string text;
    for (const std::string& line : history_) text += line + "\n";
    HttpResponse response;
    response.body = text;
    responder->Respond(response);
  } else if (request.Header("target-instance") != id_) {
    responder->Respond(Reply(421, json::object()));
  } else if (order_status_ != 200 &&
             (request.path == "/run-start" || request.path == "/run-stop")) {
    responder->Respond(Reply(order_status_, json::object()));
  } else if (request.path == "/run-start") {
    responder->Respond(Start(request, now_ms));
  } else if (request.path == "/run-stop") {
    responder->Respond(Stop(request, now_ms));
  } else if (request.path == "/hold") {
    RenewLease(request, responder, now_ms);
  } else {
    responder->Respond(Reply(404, json::object()));
  }
}

HttpResponse PlatformWorkerStandin::Start(const HttpRequest& request, std::int64_t now_ms) {
  const json::object body = json::parse(request.body).as_object();
  const std::string task(body.at("task").as_string());
  const std::int64_t run = NumberOf(body, "run");
  const std::int64_t until = NumberOf(body, "deadline_ms");
  if (NumberOf(body, "fence_token") < fence_token_) return Refuse("fence", now_ms);
  fence_token_ = NumberOf(body, "fence_token");
  if (until < now_ms) return Refuse("late", now_ms);
  lease_until_ms_ = std::max(lease_until_ms_, std::min(until, now_ms + kLongestLeaseMs));
  const auto found = runs_.find(task);
  if (found != runs_.end() && found->second.run == run) {
    return Reply(200, json::object{{"clock_ms", now_ms}});
  }
  if (run <= highest_closed_run_[task] || found != runs_.end()) return Refuse("old", now_ms);
  if (runs_.size() >= static_cast<std::size_t>(kAccelerators)) return Refuse("room", now_ms);
  const std::int64_t work = WorkOf(std::string(body.at("spec").as_string()), task);
  runs_[task] = {run, now_ms + work, now_ms, -1};
  history_.push_back(fmt::format("{} start {} {}", now_ms, task, run));
  return Reply(200, json::object{{"clock_ms", now_ms}});
}

HttpResponse PlatformWorkerStandin::Stop(const HttpRequest& request, std::int64_t now_ms) {
  const json::object body = json::parse(request.body).as_object();
  const std::string task(body.at("task").as_string());
  const std::int64_t run = NumberOf(body, "run");
  if (NumberOf(body, "fence_token") < fence_token_) return Refuse("fence", now_ms);
  fence_token_ = NumberOf(body, "fence_token");
  highest_closed_run_[task] = std::max(highest_closed_run_[task], run);
  const auto found = runs_.find(task);
  if (found != runs_.end() && found->second.run == run && found->second.stop_due_ms < 0) {
    found->second.stop_due_ms = now_ms + kStopDurationMs;
  }
  return Reply(200, json::object{{"clock_ms", now_ms}});
}

void PlatformWorkerStandin::RenewLease(const HttpRequest& request,
                                       const std::shared_ptr<HttpResponder>& responder,
                                       std::int64_t now_ms) {
  const json::object body = json::parse(request.body).as_object();
  if (NumberOf(body, "fence_token") < fence_token_) {
    responder->Respond(Refuse("fence", now_ms));
    return;
  }
  fence_token_ = NumberOf(body, "fence_token");
  lease_until_ms_ =
      std::max(lease_until_ms_, std::min(NumberOf(body, "deadline_ms"), now_ms + kLongestLeaseMs));
  const std::int64_t seen = NumberOf(body, "last_seen");
  highest_acknowledged_ = std::max(highest_acknowledged_, seen);
  Acknowledge(seen, now_ms);
  const std::int64_t wait = NumberOf(body, "wait_ms");
  if (wait > 0 && unacknowledged_ends_.empty()) {
    polls_.push_back({now_ms + wait, responder});
  } else {
    responder->Respond(StatusReport(now_ms));
  }
}

void PlatformWorkerStandin::Acknowledge(std::int64_t number, std::int64_t now_ms) {
  std::erase_if(unacknowledged_ends_, [&](const End& end) {
    if (end.number > number) return false;
    acknowledged_.push_back(fmt::format("{} {} {} {}", now_ms, end.task, end.run,
                                        last_lapsed_ms_ >= end.ended_ms ? "lapsed" : "kept"));
    return true;
  });
}

HttpResponse PlatformWorkerStandin::StatusReport(std::int64_t now_ms) const {
  json::array running;
  for (const auto& [task, run] : runs_) {
    if (run.stop_due_ms >= 0) continue;
    const std::int64_t work = std::max<std::int64_t>(1, run.done_ms - run.started_ms);
    running.push_back(json::array{task, run.run, "", (now_ms - run.started_ms) * 100 / work});
  }
  json::array finished;
  for (const End& end : unacknowledged_ends_) {
    finished.push_back(json::array{end.number, end.task, end.run, end.outcome, ""});
  }
  return Reply(200, json::object{{"clock_ms", now_ms},
                                 {"born", started_unix_ms_},
                                 {"running", std::move(running)},
                                 {"finished", std::move(finished)}});
}

void PlatformWorkerStandin::Finish(const std::string& task, const Run& run,
                                   const std::string& outcome, std::int64_t now_ms) {
  highest_closed_run_[task] = std::max(highest_closed_run_[task], run.run);
  unacknowledged_ends_.push_back({next_end_++, task, run.run, outcome, now_ms});
  history_.push_back(fmt::format("{} {} {} {}", now_ms, outcome, task, run.run));
  if (acknowledges_ == Acknowledges::kAlsoLaterEnds) Acknowledge(highest_acknowledged_, now_ms);
}

void PlatformWorkerStandin::Tick(std::int64_t now_ms) {
  const bool lapsed = now_ms >= lease_until_ms_;
  if (lapsed) last_lapsed_ms_ = now_ms;
  for (auto it = runs_.begin(); it != runs_.end();) {
    const Run run = it->second;
    const char* outcome = nullptr;
    if (run.stop_due_ms >= 0 && now_ms >= run.stop_due_ms) outcome = "stopped";
    if (run.stop_due_ms < 0 && now_ms >= run.done_ms) outcome = "done";
    if (outcome == nullptr && lapsed) outcome = "lapsed";
    if (outcome == nullptr) {
      ++it;
      continue;
    }
    Finish(it->first, run, outcome, now_ms);
    it = runs_.erase(it);
  }
  std::erase_if(polls_, [&](const Poll& poll) {
    if (unacknowledged_ends_.empty() && now_ms < poll.until_ms) return false;
    poll.responder->Respond(StatusReport(now_ms));
    return true;
  });
}

}  // namespace basilspring::standin
