#include "standin/store_server.h"

#include <boost/json.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "basilspring/connection/http_server.h"
#include "basilspring/error.h"
#include "basilspring/process/io_thread.h"
#include "standin/store_api.h"
#include "standin/store_state.h"

namespace basilspring::standin {
namespace {

namespace json = boost::json;

constexpr Duration kLeaseCheck(50);
// Interval of progress notifications, by which a client can tell an idle watch from a dead one.
constexpr Duration kProgressInterval(1000);
constexpr std::size_t kMaxUnansweredCalls = 2000;

struct OpenWatch {
  WatchRequest request;
  std::shared_ptr<HttpResponder> responder;
  std::int64_t next_revision = 0;
  bool closed = false;
};

}  // namespace

struct StoreServer::Impl {
  explicit Impl(const Address& listen) : address(listen) {}

  void StartServer();
  void Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void StartWatch(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void NotifyWatches(bool progress);
  void OnTimer();
  bool FaultApplies(StoreFault kind);
  // Keeps the responder of a call that is not to be answered; destroying it would send status 500.
  void KeepUnanswered(const std::shared_ptr<HttpResponder>& responder);

  mutable std::mutex mutex;
  Address address;
  StoreState state;
  StoreFaultSettings fault;
  std::mt19937_64 random{1};
  std::map<std::string, std::uint64_t> calls;
  std::vector<std::shared_ptr<OpenWatch>> watches;
  TimePoint next_progress;
  std::deque<std::shared_ptr<HttpResponder>> unanswered;
  // Declared last so that no handler runs while the other members are destroyed.
  IoThread io;
  std::unique_ptr<HttpServer> server;
};

void StoreServer::Impl::StartServer() {
  server = std::make_unique<HttpServer>(
      io, address,
      [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
        Handle(request, responder);
      });
  address = server->address();
}

bool StoreServer::Impl::FaultApplies(StoreFault kind) {
  return fault.fault == kind && std::uniform_int_distribution<int>(1, 100)(random) <= fault.percent;
}

void StoreServer::Impl::Handle(const HttpRequest& request,
                               const std::shared_ptr<HttpResponder>& responder) {
  const std::lock_guard<std::mutex> lock(mutex);
  ++calls[request.path];
  if (FaultApplies(StoreFault::kHang)) {
    KeepUnanswered(responder);
    return;
  }
  if (request.path == "/v3/watch") {
    StartWatch(request, responder);
    return;
  }
  const ApiResponse answer = ExecuteCall(state, request.path, request.body, Clock::Now());
  NotifyWatches(false);
  if (FaultApplies(StoreFault::kLoseAnswers)) {
    KeepUnanswered(responder);
    return;
  }
  HttpResponse response;
  response.status = answer.status;
  response.body = answer.body;
  if (FaultApplies(StoreFault::kSlow)) {
    io.PostAfter(fault.delay, [responder, response] { responder->Respond(response); });
  } else {
    responder->Respond(std::move(response));
  }
}

void StoreServer::Impl::KeepUnanswered(const std::shared_ptr<HttpResponder>& responder) {
  unanswered.push_back(responder);
  if (unanswered.size() > kMaxUnansweredCalls) unanswered.pop_front();
}

void StoreServer::Impl::StartWatch(const HttpRequest& request,
                                   const std::shared_ptr<HttpResponder>& responder) {
  auto watch = std::make_shared<OpenWatch>();
  try {
    watch->request = ParseWatchRequest(request.body);
  } catch (const Error& error) {
    HttpResponse response;
    response.status = 400;
    response.body = json::serialize(json::object{{"error", error.what()}});
    responder->Respond(std::move(response));
    return;
  }
  watch->responder = responder;
  watch->next_revision = watch->request.start_revision;
  if (watch->next_revision == 0) watch->next_revision = state.revision() + 1;
  responder->StartStream({});
  responder->WriteChunk(WatchCreatedLine(state.revision()));
  responder->OnDisconnect([watch] { watch->closed = true; });
  watches.push_back(std::move(watch));
  NotifyWatches(false);
}

void StoreServer::Impl::NotifyWatches(bool progress) {
  std::erase_if(watches, [](const auto& watch) { return watch->closed; });
  for (const auto& watch : watches) {
    const auto events = state.EventsSince(watch->next_revision);
    if (!events.has_value()) {
      watch->responder->WriteChunk(WatchCanceledLine(state.revision(), state.revision()));
      watch->responder->FinishStream();
      watch->closed = true;
      continue;
    }
    if (events->empty() && !progress) continue;
    watch->responder->WriteChunk(WatchLine(watch->request, state.revision(), *events));
    watch->next_revision = state.revision() + 1;
  }
}

void StoreServer::Impl::OnTimer() {
  {
    const std::lock_guard<std::mutex> lock(mutex);
    const TimePoint now = Clock::Now();
    // While the store is down, no leases expire; they expire when it is up again, as after a leader
    // change.
    if (fault.fault != StoreFault::kDown) state.ExpireLeases(now);
    const bool progress = now >= next_progress;
    if (progress) next_progress = now + kProgressInterval;
    const bool silent = fault.fault == StoreFault::kDown || fault.fault == StoreFault::kHang;
    if (!silent) NotifyWatches(progress);
  }
  io.PostAfter(kLeaseCheck, [this] { OnTimer(); });
}

StoreServer::StoreServer(const Address& listen) : impl_(std::make_unique<Impl>(listen)) {
  impl_->StartServer();
  impl_->io.Post([impl = impl_.get()] { impl->OnTimer(); });
}

StoreServer::~StoreServer() { impl_->server.reset(); }

Address StoreServer::address() const { return impl_->address; }

void StoreServer::SetFault(const StoreFaultSettings& fault) {
  bool close = false;
  bool open = false;
  std::deque<std::shared_ptr<HttpResponder>> released;
  {
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->fault = fault;
    impl_->random.seed(fault.seed);
    close = fault.fault == StoreFault::kDown && impl_->server != nullptr;
    open = fault.fault != StoreFault::kDown && impl_->server == nullptr;
    if (close) impl_->watches.clear();
    released.swap(impl_->unanswered);
  }
  // Without the mutex, because handlers on the I/O thread lock it.
  if (close) impl_->server.reset();
  if (open) impl_->StartServer();
}

std::string StoreServer::StatsJson() const {
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  json::object stats;
  for (const auto& [path, count] : impl_->calls) stats[path] = count;
  stats["watches"] = impl_->watches.size();
  stats["revision"] = impl_->state.revision();
  return json::serialize(stats);
}

std::string StoreServer::Peek(const std::string& key) const {
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  const auto found = impl_->state.values().find(key);
  return found == impl_->state.values().end() ? "" : found->second.value;
}

StoreFaultSettings ParseStoreFault(const std::string& body) {
  static const std::map<std::string, StoreFault> modes = {
      {"none", StoreFault::kNone},
      {"down", StoreFault::kDown},
      {"hang", StoreFault::kHang},
      {"slow", StoreFault::kSlow},
      {"lose_answers", StoreFault::kLoseAnswers}};
  try {
    const json::value parsed = json::parse(body);
    const json::object& object = parsed.as_object();
    StoreFaultSettings settings;
    settings.fault = modes.at(std::string(object.at("mode").as_string()));
    if (const auto* const delay = object.if_contains("delay_ms")) {
      settings.delay = Duration(delay->to_number<std::int64_t>());
    }
    if (const auto* const percent = object.if_contains("percent")) {
      settings.percent = percent->to_number<int>();
    }
    if (const auto* const seed = object.if_contains("seed")) {
      settings.seed = seed->to_number<std::uint64_t>();
    }
    return settings;
  } catch (const std::exception& error) {
    throw Error(ErrorKind::kInvalidArgument, error.what());
  }
}

}  // namespace basilspring::standin
