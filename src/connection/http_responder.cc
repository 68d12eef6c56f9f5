#include "connection/http_responder.h"

#include <utility>

namespace basilspring::internal {

SessionResponder::SessionResponder(std::shared_ptr<IoDispatcher> dispatcher,
                                   std::weak_ptr<HttpSession> session, std::uint64_t exchange,
                                   ConnectionBudget::Charge charge)
    : dispatcher_(std::move(dispatcher)),
      session_(std::move(session)),
      exchange_(exchange),
      charge_(std::move(charge)) {}

SessionResponder::~SessionResponder() {
  if (Transition(State::kNew, State::kDone)) {
    CallSession([](HttpSession& session, std::uint64_t exchange) {
      session.Respond(exchange,
                      ErrorResponse(500, ErrorKind::kInternal, "the request was not answered"));
    });
  } else if (Transition(State::kStreaming, State::kDone)) {
    CallSession(
        [](HttpSession& session, std::uint64_t exchange) { session.AbortStream(exchange); });
  }
}

bool SessionResponder::Transition(State from, State to) {
  return state_.compare_exchange_strong(from, to);
}

template <typename Function>
void SessionResponder::CallSession(Function function) {
  dispatcher_->Dispatch(
      [session = session_, exchange = exchange_, function = std::move(function)]() mutable {
        if (const auto locked = session.lock()) function(*locked, exchange);
      });
}

void SessionResponder::Respond(HttpResponse response) {
  if (!Transition(State::kNew, State::kDone)) return;
  CallSession([response = std::move(response)](HttpSession& session, std::uint64_t exchange) {
    session.Respond(exchange, response);
  });
}

void SessionResponder::StartStream(HttpResponse head) {
  if (!Transition(State::kNew, State::kStreaming)) return;
  CallSession([head = std::move(head)](HttpSession& session, std::uint64_t exchange) {
    session.StartStream(exchange, head);
  });
}

void SessionResponder::WriteChunk(std::string bytes) {
  CallSession([bytes = std::move(bytes)](HttpSession& session, std::uint64_t exchange) {
    session.WriteChunk(exchange, bytes);
  });
}

void SessionResponder::FinishStream() {
  if (!Transition(State::kStreaming, State::kDone)) return;
  CallSession([](HttpSession& session, std::uint64_t exchange) { session.FinishStream(exchange); });
}

void SessionResponder::OnDisconnect(std::function<void()> handler) {
  dispatcher_->Dispatch(
      [session = session_, exchange = exchange_, handler = std::move(handler)]() mutable {
        if (const auto locked = session.lock()) {
          locked->OnDisconnect(exchange, std::move(handler));
        } else {
          handler();
        }
      });
}

}  // namespace basilspring::internal
