#include "standin/backend_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "basilspring/connection/http_client.h"
#include "basilspring/connection/http_server.h"
#include "basilspring/process/io_thread.h"
#include "standin/backend_tasks.h"

namespace basilspring::standin {
namespace {

constexpr std::string_view kTasksPath = "/v1/tasks/";

std::int64_t QueryNumber(const HttpRequest& request, const std::string& name) {
  const std::string text = request.Query(name);
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw Error(ErrorKind::kInvalidArgument,
                fmt::format("query parameter {} is \"{}\"; expected a number", name, text));
  }
  return number;
}

HttpResponse TextResponse(int status, std::string text) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain";
  response.body = std::move(text);
  return response;
}

HttpResponse ResponseFor(const BackendTask& task) {
  switch (task.state) {
    case BackendTaskState::kRunning:
      return TextResponse(202, "");
    case BackendTaskState::kDone:
      return TextResponse(200, task.text);
    case BackendTaskState::kFailed:
      return TextResponse(500, task.text);
    case BackendTaskState::kStopped:
      break;
  }
  return TextResponse(409, "stopped: " + task.text);
}

}  // namespace

/// Handlers and timers run on the I/O thread; the mutex guards the state against other threads that
/// set faults or read the statistics.
class BackendServer::Impl {
 public:
  explicit Impl(const BackendOptions& options)
      : options_(options),
        tasks_(options.capacity.slots.value()),
        client_(io_),
        server_(io_, options.listen,
                [this](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
                  Handle(std::move(request), responder);
                }) {
    if (!options.record_path.empty()) record_.open(options.record_path, std::ios::app);
  }
  ~Impl() {
    // io_ is destroyed after client_ and server_, so timers may still fire; closed_ makes them
    // return.
    const std::lock_guard<std::mutex> lock(mutex_);
    closed_ = true;
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Address address() const { return server_.address(); }

  void Announce() {
    if (options_.agent.empty()) return;
    const std::lock_guard<std::mutex> lock(mutex_);
    if (closed_) return;
    if (!fault_.freeze) client_.Send(Announcement(), [](const HttpResult&) {});
    io_.PostAfter(options_.announce_interval, [this] { Announce(); });
  }

  void SetFault(const BackendFault& fault) {
    std::vector<std::function<void()>> deferred;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const bool announce = fault.leaving != fault_.leaving && !options_.agent.empty();
      fault_ = fault;
      if (announce && !fault_.freeze) client_.Send(Announcement(), [](const HttpResult&) {});
      if (!fault_.freeze) deferred = std::exchange(deferred_, {});
    }
    for (const auto& function : deferred) io_.Post(function);
  }

  std::string StatsJson() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return tasks_.StatsJson();
  }

 private:
  /// A long-polling call that waits for the end of a task.
  struct Waiter {
    std::shared_ptr<HttpResponder> responder;
    TimePoint until;
  };

  HttpClientRequest Announcement() const;
  void Handle(HttpRequest request, const std::shared_ptr<HttpResponder>& responder);
  void HandleLocked(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void StartTask(const HttpRequest& request, const std::string& id,
                 const std::shared_ptr<HttpResponder>& responder);
  void TaskAction(const std::string& id, const std::string& action,
                  const std::shared_ptr<HttpResponder>& responder);
  /// Responds immediately if the task has ended, otherwise at its end or when `wait` has passed.
  void AnswerWhenDone(const BackendTask& task, Duration wait,
                      const std::shared_ptr<HttpResponder>& responder);
  void Respond(const std::shared_ptr<HttpResponder>& responder, HttpResponse response);
  void AdvanceAt(TimePoint time, const std::string& id);
  void Advance(const std::string& id);
  void FlushRecords();

  BackendOptions options_;
  mutable std::mutex mutex_;
  BackendTasks tasks_;
  BackendFault fault_;
  bool closed_ = false;
  std::map<std::string, std::vector<Waiter>> waiters_;
  /// Calls and timers that became due during a freeze.
  std::vector<std::function<void()>> deferred_;
  /// Calls that are never answered. Their responders are kept because destroying one could close
  /// its connection.
  std::vector<std::shared_ptr<HttpResponder>> unanswered_;
  std::ofstream record_;
  // Declared last so that handlers stop before the state that they use is destroyed.
  IoThread io_;
  HttpClient client_;
  HttpServer server_;
};

HttpClientRequest BackendServer::Impl::Announcement() const {
  const WorkerCapacity& capacity = options_.capacity;
  HttpClientRequest request;
  request.server = options_.agent;
  request.method = "POST";
  request.target = "/v1/backend/announce";
  request.timeout = Duration(1000);
  request.body =
      boost::json::serialize(boost::json::object{{"address", server_.address().ToString()},
                                                 {"cores", capacity.cores.value()},
                                                 {"memory_mb", capacity.memory.value()},
                                                 {"accelerators", capacity.accelerators.value()},
                                                 {"slots", capacity.slots.value()},
                                                 {"connections", capacity.connections.value()},
                                                 {"leaving", fault_.leaving}});
  return request;
}

void BackendServer::Impl::Handle(HttpRequest request,
                                 const std::shared_ptr<HttpResponder>& responder) {
  if (request.path == "/stats") {
    HttpResponse response;
    response.body = StatsJson();
    responder->Respond(std::move(response));
    return;
  }
  try {
    if (request.path == "/fault") {
      BackendFault fault;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        fault = ParseBackendFault(request.body, fault_);
      }
      SetFault(fault);
      responder->Respond(HttpResponse{200, "application/json", {}, "{}"});
      return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (fault_.freeze) {
      deferred_.emplace_back(
          [this, request = std::move(request), responder] { Handle(request, responder); });
    } else if (fault_.hang) {
      unanswered_.push_back(responder);
    } else {
      HandleLocked(request, responder);
      FlushRecords();
    }
  } catch (const Error& error) {
    responder->Respond(TextResponse(400, error.what()));
  }
}

void BackendServer::Impl::HandleLocked(const HttpRequest& request,
                                       const std::shared_ptr<HttpResponder>& responder) {
  if (request.path.rfind(kTasksPath, 0) != 0) {
    Respond(responder, TextResponse(404, "no such path"));
    return;
  }
  std::string id = request.path.substr(kTasksPath.size());
  if (request.method == "PUT") {
    StartTask(request, id, responder);
    return;
  }
  if (request.method == "POST") {
    const std::size_t slash = id.rfind('/');
    const std::string action = slash == std::string::npos ? "" : id.substr(slash + 1);
    if (slash != std::string::npos) id.resize(slash);
    TaskAction(id, action, responder);
    return;
  }
  BackendTask* task = tasks_.Find(id);
  if (task == nullptr) {
    Respond(responder, TextResponse(404, "no such task"));
    return;
  }
  const Duration wait(QueryNumber(request, "wait_ms"));
  task->lease_until = Clock::Now() + Duration(QueryNumber(request, "lease_ms"));
  AdvanceAt(task->lease_until, id);
  AnswerWhenDone(*task, wait, responder);
}

void BackendServer::Impl::StartTask(const HttpRequest& request, const std::string& id,
                                    const std::shared_ptr<HttpResponder>& responder) {
  BackendTasks::StartRequest start;
  start.id = id;
  start.rank = static_cast<std::uint32_t>(QueryNumber(request, "rank"));
  start.lease = Duration(QueryNumber(request, "lease_ms"));
  start.not_after = TimePoint(QueryNumber(request, "not_after_ms"));
  start.payload = request.body;
  const Duration wait(QueryNumber(request, "wait_ms"));
  const BackendTasks::StartOutcome outcome = tasks_.Start(Clock::Now(), start, fault_);
  if (outcome.task == nullptr) {
    Respond(responder, TextResponse(outcome.status, outcome.reason));
    return;
  }
  if (outcome.is_new) {
    AdvanceAt(outcome.task->ends_at, id);
    AdvanceAt(outcome.task->lease_until, id);
  }
  AnswerWhenDone(*outcome.task, wait, responder);
}

void BackendServer::Impl::TaskAction(const std::string& id, const std::string& action,
                                     const std::shared_ptr<HttpResponder>& responder) {
  BackendTask* task = tasks_.Find(id);
  if (task == nullptr) {
    Respond(responder, TextResponse(404, "no such task"));
    return;
  }
  HttpResponse response;
  response.body = "{}";
  if (action == "checkpoint") {
    const std::int64_t progress = tasks_.Checkpoint(Clock::Now(), *task);
    response.body = fmt::format("{{\"progress_ms\":{}}}", progress);
  } else if (action == "stop") {
    tasks_.Stop(Clock::Now(), *task, "on request");
    Advance(id);
  } else if (action != "throttle") {
    response = TextResponse(404, "no such action");
  }
  Respond(responder, std::move(response));
}

void BackendServer::Impl::AnswerWhenDone(const BackendTask& task, Duration wait,
                                         const std::shared_ptr<HttpResponder>& responder) {
  if (task.state != BackendTaskState::kRunning || wait <= Duration(0)) {
    Respond(responder, ResponseFor(task));
    return;
  }
  const TimePoint until = Clock::Now() + wait;
  waiters_[task.id].push_back({responder, until});
  AdvanceAt(until, task.id);
}

void BackendServer::Impl::Respond(const std::shared_ptr<HttpResponder>& responder,
                                  HttpResponse response) {
  if (fault_.late_answer <= Duration(0)) {
    responder->Respond(std::move(response));
    return;
  }
  io_.PostAfter(fault_.late_answer,
                [responder, response = std::move(response)] { responder->Respond(response); });
}

void BackendServer::Impl::AdvanceAt(TimePoint time, const std::string& id) {
  const Duration delay = std::max(time - Clock::Now(), Duration(0));
  io_.PostAfter(delay, [this, id] {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (closed_) return;
    if (fault_.freeze) {
      deferred_.emplace_back([this, id] { AdvanceAt(Clock::Now(), id); });
      return;
    }
    Advance(id);
    FlushRecords();
  });
}

// Ends the task if it is due, and responds to the waiters whose task has ended or whose wait time
// has passed.
void BackendServer::Impl::Advance(const std::string& id) {
  BackendTask* task = tasks_.Find(id);
  if (task == nullptr) return;
  const TimePoint now = Clock::Now();
  tasks_.Advance(now, *task);
  const auto waiting = waiters_.find(id);
  if (waiting == waiters_.end()) return;
  std::vector<Waiter> remaining;
  for (Waiter& waiter : waiting->second) {
    if (task->state != BackendTaskState::kRunning || now >= waiter.until) {
      Respond(waiter.responder, ResponseFor(*task));
    } else {
      remaining.push_back(std::move(waiter));
    }
  }
  waiting->second = std::move(remaining);
  if (waiting->second.empty()) waiters_.erase(waiting);
}

void BackendServer::Impl::FlushRecords() {
  for (const std::string& line : tasks_.TakeRecords()) {
    if (record_.is_open()) record_ << line << "\n" << std::flush;
  }
}

BackendServer::BackendServer(const BackendOptions& options)
    : impl_(std::make_unique<Impl>(options)) {
  impl_->Announce();
}

BackendServer::~BackendServer() = default;

Address BackendServer::address() const { return impl_->address(); }

void BackendServer::SetFault(const BackendFault& fault) { impl_->SetFault(fault); }

std::string BackendServer::StatsJson() const { return impl_->StatsJson(); }

BackendFault ParseBackendFault(const std::string& body, BackendFault current) {
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(body, error);
  if (error || !value.is_object()) {
    throw Error(ErrorKind::kInvalidArgument, "the body is not a JSON object");
  }
  const std::map<std::string_view, bool BackendFault::*> switches = {
      {"fail_all", &BackendFault::fail_all},
      {"hang", &BackendFault::hang},
      {"freeze", &BackendFault::freeze},
      {"leaving", &BackendFault::leaving}};
  for (const auto& [key, field] : value.get_object()) {
    const auto known = switches.find(std::string_view(key));
    if (known != switches.end() && field.is_bool()) {
      current.*(known->second) = field.get_bool();
    } else if (key == "slow_ms" && field.is_int64()) {
      current.slow = Duration(field.get_int64());
    } else if (key == "late_answer_ms" && field.is_int64()) {
      current.late_answer = Duration(field.get_int64());
    } else {
      throw Error(ErrorKind::kInvalidArgument,
                  fmt::format("\"{}\" is not a fault or has the wrong type", std::string(key)));
    }
  }
  return current;
}

}  // namespace basilspring::standin
