#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "review/standin/fleet.h"

namespace basilspring::review {
namespace {

namespace json = boost::json;

// At most this many ends are listed in one answer (PROTOCOL.md, "500 at a time").
constexpr std::size_t kEndsAtATime = 500;
// What the steady clock of a new life shows at its start.
constexpr std::int64_t kFirstClockMs = 1000;
constexpr std::int64_t kCheckpointMs = 1000;
constexpr std::int64_t kRestoreMs = 600;

HttpResponse Reply(int status, const json::value& body) {
  HttpResponse response;
  response.status = status;
  response.body = json::serialize(body);
  return response;
}

std::int64_t NumberOf(const json::object& body, const char* name) {
  const json::value* value = body.if_contains(name);
  return value == nullptr ? 0 : value->to_number<std::int64_t>();
}

/// Returns the number after "NAME=" in the spec, or 0.
std::int64_t FromSpec(const std::string& spec, const std::string& name) {
  const std::size_t at = (" " + spec).find(" " + name + "=");
  return at == std::string::npos ? 0 : std::stoll(spec.substr(at + name.size() + 1));
}

}  // namespace

Worker::Worker(Platform& platform, Options options)
    : platform_(platform), options_(std::move(options)) {}

Worker::~Worker() = default;

std::int64_t Worker::ClockMs() const {
  return kFirstClockMs + (Clock::Now() - began_).milliseconds();
}

void Worker::Begin() {
  born_ = Clock::WallMilliseconds();
  began_ = Clock::Now();
  sequence_ = 0;
  draining_ = false;
  left_at_ = -1;
  fence_ = 0;
  lease_until_ = 0;
  last_end_ = 0;
  closed_.clear();
  HttpLimits limits;
  server_ = std::make_unique<HttpServer>(
      platform_.io(), platform_.AppOf(options_.ip),
      [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
        Handle(request, responder);
      },
      limits);
  platform_.record().Line(fmt::format("worker {} up, born {}", options_.id, born_));
  Announce();
}

void Worker::EndLife() {
  for (auto& [task, run] : runs_) {
    RunSeen& seen = platform_.seen()[run.seen];
    seen.ended = platform_.record().Now();
    seen.how = "lost";
  }
  runs_.clear();
  ends_.clear();
  polls_.clear();
  server_.reset();
}

void Worker::Crash() {
  platform_.record().Line(fmt::format("worker {} crashes, {} runs", options_.id, runs_.size()));
  EndLife();
}

void Worker::Drain() {
  draining_ = true;
  leaves_at_ = Clock::Now() + Duration(kDrainMs);
  platform_.record().Line(fmt::format("worker {} drains, {} runs", options_.id, runs_.size()));
  Announce();
}

void Worker::Announce() {
  next_announcement_ = Clock::Now() + Duration(kHeartbeatMs);
  json::object body{
      {"service", "planner"},
      {"address", platform_.AppOf(options_.ip).ToString()},
      {"zone", options_.zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", draining_ ? "draining" : "ready"},
      {"cold_remaining_ms", 0},
      {"capacity",
       json::object{{"cpu", options_.cpu}, {"mem_mb", options_.mem_mb}, {"gpu", options_.gpu}}},
      {"labels", json::array{options_.kind, options_.rack}},
      {"clock_ms", ClockMs()},
      {"seq", ++sequence_},
      {"born", born_}};
  if (draining_) {
    body["remaining_ms"] = std::max<std::int64_t>(0, (leaves_at_ - Clock::Now()).milliseconds());
  }
  HttpClientRequest request;
  request.server = platform_.ControlOf(options_.ip);
  request.method = "PUT";
  request.target = "/instances/" + options_.id;
  request.headers["content-type"] = "application/json";
  request.body = json::serialize(body);
  request.timeout = Duration(1000);
  platform_.http().Send(std::move(request), [](const HttpResult&) {});
}

void Worker::Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  if (!up()) return;
  if (request.Header("target-instance") != options_.id) {
    responder->Respond(Reply(421, json::object{{"clock_ms", ClockMs()}}));
  } else if (request.path == "/run-start") {
    responder->Respond(StartRun(request.body));
  } else if (request.path == "/run-stop") {
    responder->Respond(StopRun(request.body));
  } else if (request.path == "/hold") {
    Hold(request.body, responder);
  } else {
    responder->Respond(Reply(404, json::object()));
  }
}

HttpResponse Worker::StartRun(const std::string& text) {
  const json::object body = json::parse(text).as_object();
  const std::int64_t clock = ClockMs();
  const auto refuse = [&](const char* reason) {
    return Reply(409, json::object{{"clock_ms", clock}, {"reason", reason}});
  };
  const std::string task(body.at("task").as_string());
  const std::string spec(body.at("spec").as_string());
  const std::int64_t number = NumberOf(body, "run");
  if (NumberOf(body, "fence_token") < fence_) return refuse("fence");
  fence_ = NumberOf(body, "fence_token");
  const std::int64_t deadline = NumberOf(body, "deadline_ms");
  if (deadline <= clock) return refuse("late");
  lease_until_ = std::max(lease_until_, std::min(deadline, clock + kHoldMaxMs));
  const auto found = runs_.find(task);
  if (found != runs_.end() && found->second.run == number) {
    return Reply(200, json::object{{"clock_ms", clock}});
  }
  if (found != runs_.end() || number <= closed_[task]) return refuse("old");
  Run run;
  run.run = number;
  run.cpu = FromSpec(spec, "cpu");
  run.mem = FromSpec(spec, "mem");
  run.gpu = FromSpec(spec, "gpu");
  const std::int64_t index = std::stoll(task.substr(task.rfind('.') + 1));
  run.work = FromSpec(spec, "work") + index * FromSpec(spec, "more");
  run.began = clock;
  run.saves = FromSpec(spec, "saves") != 0;
  if (const json::value* saved = body.if_contains("checkpoint_data"); saved != nullptr) {
    const std::string text_of_checkpoint(saved->as_string());
    if (!text_of_checkpoint.empty()) {
      run.resumed = std::stoll(text_of_checkpoint);
      run.began += kRestoreMs;
    }
  }
  std::int64_t cpu = run.cpu;
  std::int64_t mem = run.mem;
  std::int64_t gpu = run.gpu;
  for (const auto& [other, row] : runs_) {
    cpu += row.cpu;
    mem += row.mem;
    gpu += row.gpu;
  }
  if (cpu > options_.cpu || mem > options_.mem_mb || gpu > options_.gpu) return refuse("room");
  run.seen = platform_.seen().size();
  RunSeen seen;
  seen.task = task;
  seen.run = number;
  seen.worker = options_.id;
  seen.started = platform_.record().Now();
  platform_.seen().push_back(seen);
  runs_[task] = run;
  return Reply(200, json::object{{"clock_ms", clock}});
}

HttpResponse Worker::StopRun(const std::string& text) {
  const json::object body = json::parse(text).as_object();
  const std::string task(body.at("task").as_string());
  const std::int64_t number = NumberOf(body, "run");
  if (NumberOf(body, "fence_token") < fence_) {
    return Reply(409, json::object{{"clock_ms", ClockMs()}, {"reason", "fence"}});
  }
  fence_ = NumberOf(body, "fence_token");
  closed_[task] = std::max(closed_[task], number);
  const auto found = runs_.find(task);
  if (found != runs_.end() && found->second.run == number && found->second.stop_due < 0) {
    found->second.stop_due = ClockMs() + kStopMs / 4;
  }
  return Reply(200, json::object{{"clock_ms", ClockMs()}});
}

void Worker::Hold(const std::string& text, const std::shared_ptr<HttpResponder>& responder) {
  const json::object body = json::parse(text).as_object();
  const std::int64_t clock = ClockMs();
  if (NumberOf(body, "fence_token") < fence_) {
    responder->Respond(Reply(409, json::object{{"clock_ms", clock}, {"reason", "fence"}}));
    return;
  }
  fence_ = NumberOf(body, "fence_token");
  if (body.contains("deadline_ms")) {
    lease_until_ =
        std::max(lease_until_, std::min(NumberOf(body, "deadline_ms"), clock + kHoldMaxMs));
  }
  const std::int64_t last_seen = NumberOf(body, "last_seen");
  std::erase_if(ends_, [&](const End& end) {
    if (end.number > last_seen) return false;
    platform_.seen()[end.seen].taken_note = platform_.record().Now();
    return true;
  });
  const std::int64_t wait = std::min<std::int64_t>(2000, NumberOf(body, "wait_ms"));
  if (wait > 0 && ends_.empty()) {
    polls_.push_back({clock + wait, responder});
  } else {
    responder->Respond(Lists());
  }
}

std::int64_t Worker::Progress(const Run& run) const {
  return run.resumed + std::max<std::int64_t>(0, ClockMs() - run.began);
}

HttpResponse Worker::Lists() {
  const std::int64_t clock = ClockMs();
  json::array running;
  for (const auto& [task, run] : runs_) {
    if (run.stop_due >= 0) continue;
    const std::int64_t progress = Progress(run);
    const std::int64_t percent = progress * 100 / std::max<std::int64_t>(1, run.work);
    const std::int64_t saved = progress / kCheckpointMs * kCheckpointMs;
    running.push_back(json::array{task, run.run,
                                  run.saves && saved > 0 ? std::to_string(saved) : std::string(),
                                  std::min<std::int64_t>(100, percent), run.cpu});
  }
  json::array finished;
  for (const End& end : ends_) {
    if (finished.size() == kEndsAtATime) break;
    finished.push_back(json::array{end.number, end.task, end.run, end.how, end.saved});
    RunSeen& seen = platform_.seen()[end.seen];
    if (seen.listed < 0) seen.listed = platform_.record().Now();
  }
  return Reply(200, json::object{{"clock_ms", clock},
                                 {"born", born_},
                                 {"running", std::move(running)},
                                 {"finished", std::move(finished)}});
}

void Worker::Finish(const std::string& task, const Run& run, const std::string& how) {
  closed_[task] = std::max(closed_[task], run.run);
  RunSeen& seen = platform_.seen()[run.seen];
  seen.ended = platform_.record().Now();
  seen.how = how;
  const bool saved = run.saves && how == "stopped";
  ends_.push_back({++last_end_, task, run.run, how,
                   saved ? std::to_string(Progress(run)) : std::string(), run.seen});
}

void Worker::Tick() {
  if (!up()) return;
  if (draining_ && Clock::Now() >= leaves_at_) {
    left_at_ = platform_.record().Now();
    platform_.record().Line(fmt::format("worker {} leaves, {} runs", options_.id, runs_.size()));
    HttpClientRequest request;
    request.server = platform_.ControlOf(options_.ip);
    request.method = "DELETE";
    request.target = "/instances/" + options_.id;
    request.timeout = Duration(1000);
    platform_.http().Send(std::move(request), [](const HttpResult&) {});
    EndLife();
    return;
  }
  if (Clock::Now() >= next_announcement_) Announce();
  const std::int64_t clock = ClockMs();
  const bool lapsed = clock >= lease_until_;
  if (lapsed) {
    for (const End& end : ends_) platform_.seen()[end.seen].lapsed_between = true;
  }
  for (auto it = runs_.begin(); it != runs_.end();) {
    const Run run = it->second;
    const char* how = nullptr;
    if (run.stop_due >= 0 && clock >= run.stop_due) how = "stopped";
    if (run.stop_due < 0 && Progress(run) >= run.work) how = "done";
    if (how == nullptr && lapsed) how = "lapsed";
    if (how == nullptr) {
      ++it;
      continue;
    }
    Finish(it->first, run, how);
    it = runs_.erase(it);
  }
  std::erase_if(polls_, [&](const Poll& poll) {
    if (ends_.empty() && clock < poll.until) return false;
    poll.responder->Respond(Lists());
    return true;
  });
}

}  // namespace basilspring::review
