#ifndef BASILSPRING_SRC_CONNECTION_HTTP_RESPONDER_H_
#define BASILSPRING_SRC_CONNECTION_HTTP_RESPONDER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "connection/http_session.h"

namespace basilspring::internal {

/// Responder of one request of a session. It holds the session by a weak pointer that is locked
/// only on the I/O thread, so it may outlive the server and the I/O thread.
class SessionResponder : public HttpResponder {
 public:
  SessionResponder(std::shared_ptr<IoDispatcher> dispatcher, std::weak_ptr<HttpSession> session,
                   std::uint64_t exchange, ConnectionBudget::Charge charge);
  /// Sends status 500 if there was no response, so that no caller waits forever; closes the
  /// connection if a stream is unfinished.
  ~SessionResponder() override;

  void Respond(HttpResponse response) override;
  void StartStream(HttpResponse head) override;
  void WriteChunk(std::string bytes) override;
  void FinishStream() override;
  void OnDisconnect(std::function<void()> handler) override;

 private:
  enum class State { kNew, kStreaming, kDone };

  /// Changes the state from `from` to `to`; returns false if another call has changed it before.
  bool Transition(State from, State to);
  /// Calls the function with the session on the I/O thread, unless the session has been destroyed.
  template <typename Function>
  void CallSession(Function function);

  std::shared_ptr<IoDispatcher> dispatcher_;
  std::weak_ptr<HttpSession> session_;
  std::uint64_t exchange_;
  /// Held until the handler drops the responder, also if the connection is closed before.
  ConnectionBudget::Charge charge_;
  std::atomic<State> state_{State::kNew};
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_HTTP_RESPONDER_H_
