#include "connection/http_responder.h"

#include <utility>

namespace basilspring::internal {

SessionResponder::SessionResponder(std::shared_ptr<IoGate> gate, std::weak_ptr<HttpSession> session,
                                   std::uint64_t exchange)
    : gate_(std::move(gate)), session_(std::move(session)), exchange_(exchange) {}

SessionResponder::~SessionResponder() {
  if (Advance(State::kNew, State::kDone)) {
    Call([](HttpSession& session, std::uint64_t exchange) {
      session.Respond(exchange,
                      ErrorResponse(500, ErrorKind::kInternal, "the request was not answered"));
    });
  } else if (Advance(State::kStreaming, State::kDone)) {
    Call([](HttpSession& session, std::uint64_t exchange) { session.AbortStream(exchange); });
  }
}

bool SessionResponder::Advance(State from, State to) {
  return state_.compare_exchange_strong(from, to);
}

template <typename Function>
void SessionResponder::Call(Function function) {
  gate_->Dispatch(
      [session = session_, exchange = exchange_, function = std::move(function)]() mutable {
        if (const auto locked = session.lock()) function(*locked, exchange);
      });
}

void SessionResponder::Respond(HttpResponse response) {
  if (!Advance(State::kNew, State::kDone)) return;
  Call([response = std::move(response)](HttpSession& session, std::uint64_t exchange) {
    session.Respond(exchange, response);
  });
}

void SessionResponder::StartStream(HttpResponse head) {
  if (!Advance(State::kNew, State::kStreaming)) return;
  Call([head = std::move(head)](HttpSession& session, std::uint64_t exchange) {
    session.StartStream(exchange, head);
  });
}

void SessionResponder::WriteChunk(std::string bytes) {
  Call([bytes = std::move(bytes)](HttpSession& session, std::uint64_t exchange) {
    session.WriteChunk(exchange, bytes);
  });
}

void SessionResponder::FinishStream() {
  if (!Advance(State::kStreaming, State::kDone)) return;
  Call([](HttpSession& session, std::uint64_t exchange) { session.FinishStream(exchange); });
}

void SessionResponder::OnDisconnect(std::function<void()> handler) {
  Call([handler = std::move(handler)](HttpSession& session, std::uint64_t exchange) mutable {
    session.OnDisconnect(exchange, std::move(handler));
  });
}

}  // namespace basilspring::internal
