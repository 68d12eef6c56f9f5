#ifndef BASILSPRING_SRC_CONNECTION_HTTP_RESPONDER_H_
#define BASILSPRING_SRC_CONNECTION_HTTP_RESPONDER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "connection/http_session.h"

namespace basilspring::internal {

/// Answers one request of a session. It keeps the session by a weak pointer, which only the I/O
/// thread locks, so a responder may outlive the server and its I/O thread.
class SessionResponder : public HttpResponder {
 public:
  SessionResponder(std::shared_ptr<IoGate> gate, std::weak_ptr<HttpSession> session,
                   std::uint64_t exchange);
  /// A responder that is dropped without an answer gives 500, so that no caller waits for ever; an
  /// unfinished stream closes the connection.
  ~SessionResponder() override;

  void Respond(HttpResponse response) override;
  void StartStream(HttpResponse head) override;
  void WriteChunk(std::string bytes) override;
  void FinishStream() override;
  void OnDisconnect(std::function<void()> handler) override;

 private:
  enum class State { kNew, kStreaming, kDone };

  /// Takes the state from one value to the next; false when another call was first.
  bool Advance(State from, State to);
  template <typename Function>
  void Call(Function function);

  std::shared_ptr<IoGate> gate_;
  std::weak_ptr<HttpSession> session_;
  std::uint64_t exchange_;
  std::atomic<State> state_{State::kNew};
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_HTTP_RESPONDER_H_
