#ifndef BASILSPRING_SRC_CONNECTION_HTTP_SESSION_H_
#define BASILSPRING_SRC_CONNECTION_HTTP_SESSION_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "basilspring/connection/http_server.h"
#include "connection/http_request.h"
#include "connection/http_text.h"
#include "connection/io_gate.h"

namespace basilspring::internal {

class HttpSession;

/// What all sessions of a server share. Lives as long as the last session. Only the I/O thread
/// touches it, but for the atomics and the gate.
struct HttpServerShared {
  explicit HttpServerShared(boost::asio::io_context& context)
      : gate(std::make_shared<IoGate>(context)) {}

  std::shared_ptr<const HttpServer::Handler> handler;
  HttpLimits limits;
  std::shared_ptr<IoGate> gate;
  std::set<std::shared_ptr<HttpSession>> sessions;
  /// Set by StopAccepting: each answer from then on closes its connection.
  bool stopping = false;
  std::atomic<std::size_t> in_flight{0};
};

/// One connection of a caller: reads one request at a time, hands it to the handler and writes the
/// answer. Runs on the I/O thread.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(std::shared_ptr<HttpServerShared> server, boost::asio::ip::tcp::socket socket);

  /// Waits for the next request.
  void AwaitRequest();
  /// Answers without reading a request, then closes.
  void Reject(int status, ErrorKind kind, const std::string& reason);
  /// Closes the connection at once; an open request counts as disconnected.
  void Close();

  // Calls of responders; those that belong to an earlier request are ignored.
  void Respond(std::uint64_t exchange, const HttpResponse& response);
  void StartStream(std::uint64_t exchange, const HttpResponse& head);
  void WriteChunk(std::uint64_t exchange, const std::string& bytes);
  void FinishStream(std::uint64_t exchange);
  void AbortStream(std::uint64_t exchange);
  void OnDisconnect(std::uint64_t exchange, std::function<void()> handler);

 private:
  using ErrorCode = boost::system::error_code;

  void ReadHeader();
  void OnHeader(const ErrorCode& error);
  void ReadBody();
  void OnBody(const ErrorCode& error);
  /// Closes, or answers a request that could not be read.
  void OnReadError(const ErrorCode& error);
  void Dispatch();
  void CallHandler(HttpRequest request);

  /// Watches for the peer going away while the answer is being made.
  void WatchPeer();
  void OnPeerReadable();
  void AwaitPeerError();

  void Queue(std::string bytes);
  void WriteNext();
  void OnWritten(const ErrorCode& error);
  void EndExchange();
  void FinishAnswer();
  /// Reads what the peer still sends before closing, because closing a socket with unread bytes
  /// resets the connection and can destroy the answer on its way.
  void CloseAfterPeer();
  void DiscardInput();

  void ArmTimer(Duration after, std::function<void()> action);
  void DisarmTimer();
  bool Current(std::uint64_t exchange) const { return open_ && exchange == exchange_; }

  std::shared_ptr<HttpServerShared> server_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::uint64_t timer_generation_ = 0;
  boost::beast::flat_buffer buffer_;
  std::optional<RequestParser> parser_;

  /// Number of the current request of this connection.
  std::uint64_t exchange_ = 0;
  /// Whether a request was handed to the handler and its answer is not out yet.
  bool open_ = false;
  bool answer_started_ = false;
  bool answer_complete_ = false;
  bool keep_alive_ = false;
  bool head_only_ = false;
  bool http_1_0_ = false;
  bool read_timed_out_ = false;
  bool closed_ = false;
  BodyFraming framing_ = BodyFraming::kLength;
  std::deque<std::string> output_;
  std::size_t output_bytes_ = 0;
  bool writing_ = false;
  std::size_t discarded_bytes_ = 0;
  std::function<void()> on_disconnect_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_HTTP_SESSION_H_
