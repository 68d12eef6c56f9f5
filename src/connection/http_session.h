#ifndef BASILSPRING_SRC_CONNECTION_HTTP_SESSION_H_
#define BASILSPRING_SRC_CONNECTION_HTTP_SESSION_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilspring/connection/http_server.h"
#include "connection/http_text.h"
#include "connection/io_dispatcher.h"
#include "connection/request_reader.h"

namespace basilspring::internal {

class HttpSession;

/// State shared by all sessions of a server; it lives as long as the last of them. Used only on the
/// I/O thread, except for the atomics and `dispatcher`.
struct HttpServerShared {
  explicit HttpServerShared(boost::asio::io_context& context)
      : dispatcher(std::make_shared<IoDispatcher>(context)) {}

  std::shared_ptr<const HttpServer::Handler> handler;
  HttpLimits limits;
  std::shared_ptr<ConnectionBudget> budget;
  std::string listener;
  std::shared_ptr<IoDispatcher> dispatcher;
  std::set<std::shared_ptr<HttpSession>> sessions;
  /// Receives the bytes of one read call; no session keeps it beyond that.
  std::vector<char> read_buffer;
  /// Set by StopAccepting; from then on, each connection is closed after its response.
  bool stopping = false;
  std::atomic<std::size_t> in_flight{0};
};

/// One connection of a caller: reads one request at a time, passes it to the handler and writes the
/// response. Runs on the I/O thread.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(std::shared_ptr<HttpServerShared> server, boost::asio::ip::tcp::socket socket);

  /// Counts the connection in the budget; to be called once, before any other function.
  void JoinBudget();
  /// Waits for the next request.
  void AwaitRequest();
  /// Sends an error response that no handler has produced, then closes the connection.
  void Reject(int status, ErrorKind kind, const std::string& reason);
  /// The same because the server is overloaded.
  void RejectOverload(const std::string& reason);
  /// Closes the connection if no part of the next request has arrived.
  void CloseIfIdle();
  /// Closes the connection at once; the caller of an open request counts as disconnected.
  void Close();

  // Called by responders. Calls that belong to an earlier request are ignored.
  void Respond(std::uint64_t exchange, const HttpResponse& response);
  void StartStream(std::uint64_t exchange, const HttpResponse& head);
  void WriteChunk(std::uint64_t exchange, const std::string& bytes);
  void FinishStream(std::uint64_t exchange);
  void AbortStream(std::uint64_t exchange);
  void OnDisconnect(std::uint64_t exchange, std::function<void()> handler);

 private:
  using ErrorCode = boost::system::error_code;

  void BeginRequest();
  void AwaitInput();
  void OnReadable();
  /// Parses what has been read. Returns whether the request needs further bytes.
  bool ParseInput();
  /// Handles the result of parsing; see ParseInput().
  bool OnReadStep(ReadStep step);
  void SendContinue();
  /// Sends an error response to a request that could not be read, or closes the connection.
  void OnReadError(const ErrorCode& error);
  void Dispatch();
  void CallHandler(HttpRequest request, ConnectionBudget::Charge charge);

  /// Detects a disconnect of the peer while the response is being produced.
  void WatchForDisconnect();
  void OnPeerReadable();
  void AwaitPeerError();

  void QueueOutput(std::string bytes);
  void WriteNext();
  void OnWritten(const ErrorCode& error);
  void EndExchange();
  void FinishResponse();
  /// Reads what the peer still sends before closing, because closing a socket with unread bytes
  /// resets the connection, and the peer can lose the response.
  void LingeringClose();
  void DiscardInput();

  /// Tells the budget what the connection holds. Returns whether the connection is still open.
  bool UpdateBudget();
  void ArmTimer(Duration after, std::function<void()> action);
  void DisarmTimer();
  bool IsCurrent(std::uint64_t exchange) const { return request_open_ && exchange == exchange_; }

  std::shared_ptr<HttpServerShared> server_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::uint64_t timer_generation_ = 0;
  ConnectionBudget::Id budget_id_ = 0;
  RequestReader reader_;

  /// Number of the current request of this connection.
  std::uint64_t exchange_ = 0;
  /// Whether a request was passed to the handler and its response is not fully written yet.
  bool request_open_ = false;
  bool response_started_ = false;
  bool response_complete_ = false;
  bool keep_alive_ = false;
  bool head_only_ = false;
  bool http_1_0_ = false;
  bool read_timed_out_ = false;
  bool closed_ = false;
  /// Whether the next request is awaited and no byte of it has been read.
  bool idle_ = false;
  BodyFraming framing_ = BodyFraming::kLength;
  std::deque<std::string> output_;
  std::size_t output_bytes_ = 0;
  bool writing_ = false;
  std::size_t discarded_bytes_ = 0;
  std::function<void()> on_disconnect_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_HTTP_SESSION_H_
