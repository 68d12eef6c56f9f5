#include <utility>

#include "basilspring/fleet/entry_server.h"
#include "fleet/entry_timing.h"

// Calls to the store for callers. Bounded together, because each takes a connection until it is
// answered or its time is over: while the store is silent, callers that repeat requests would
// otherwise use up the descriptors of the process. Calls of the process itself, such as the
// renewal of a lease, are not counted and do not wait.
namespace basilspring::fleet {

using internal::kMaxStoreTimeout;
using internal::kStoreRetryDelay;
using internal::StoreTimeout;

namespace {

// At 30 ms an answer, which a store in another region needs, this serves 1,600 calls a second.
constexpr std::size_t kMaxCallsInFlight = 48;

}  // namespace

void EntryServer::CallStore(const ExchangePtr& exchange, StoreCall call, StoreHandler handler) {
  if (store_calls_ >= kMaxCallsInFlight) {
    WatchCaller(exchange);
    waiting_calls_.push_back({exchange, std::move(call), std::move(handler)});
    return;
  }
  call.timeout = StoreTimeout(TimeLeft(*exchange));
  ++store_calls_;
  context_.store.Call(
      call, [this, alive = alive_, handler = std::move(handler)](const StoreReply& reply) {
        if (!*alive) return;
        --store_calls_;
        handler(reply);
        if (*alive) StartWaitingCalls();
      });
}

void EntryServer::StartWaitingCalls() {
  while (store_calls_ < kMaxCallsInFlight && !waiting_calls_.empty()) {
    WaitingCall next = std::move(waiting_calls_.front());
    waiting_calls_.pop_front();
    if (!*next.exchange->disconnected && TimeLeft(*next.exchange) > Duration(0)) {
      CallStore(next.exchange, std::move(next.call), std::move(next.handler));
      continue;
    }
    Refuse(next.exchange, ErrorKind::kTimeout, "the store has not answered earlier calls in time");
  }
}

void EntryServer::WatchCaller(const ExchangePtr& exchange) {
  if (exchange->watched || exchange->responder == nullptr) return;
  exchange->watched = true;
  exchange->responder->OnDisconnect([flag = exchange->disconnected] { *flag = true; });
}

void EntryServer::RetryOrGiveUp(const ExchangePtr& exchange,
                                void (EntryServer::*retry)(const ExchangePtr&),
                                const std::string& reason) {
  if (*exchange->disconnected || TimeLeft(*exchange) <= kMaxStoreTimeout / 2) {
    Refuse(exchange, ErrorKind::kTimeout, reason);
    return;
  }
  WatchCaller(exchange);
  context_.run_later(kStoreRetryDelay, [this, alive = alive_, exchange, retry] {
    if (*alive) (this->*retry)(exchange);
  });
}

}  // namespace basilspring::fleet
