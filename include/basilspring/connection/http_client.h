#ifndef BASILSPRING_CONNECTION_HTTP_CLIENT_H_
#define BASILSPRING_CONNECTION_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"
#include "basilspring/error.h"

namespace basilspring {

class IoThread;

struct HttpClientRequest {
  Address server;
  std::string method = "GET";
  std::string target = "/";
  std::map<std::string, std::string> headers;
  std::string body;
  /// Time limit for the exchange, including the time to connect. If `transfer_timeout` is set, it
  /// only covers the time until the body of the answer begins.
  Duration timeout = Duration(5000);
  /// Time limit for receiving the body, for answers whose size the caller does not know; 0 if
  /// `timeout` covers the whole exchange.
  Duration transfer_timeout;
  /// With `transfer_timeout`: longest time between two parts of the body, after which the
  /// connection is considered dead.
  Duration stall_timeout = Duration(500);
  std::size_t max_response_bytes = 8 * 1024 * 1024;
  /// Opens a new connection instead of reusing one from the pool; meant for a call that follows a
  /// timeout.
  bool fresh_connection = false;
  /// Fails with kConnectionLost if the pool has no open connection to the server.
  bool open_connection_only = false;
  /// Requests of different groups share no connections.
  int connection_group = 0;
};

struct HttpResult {
  /// kNone on success; kConnectionLost if no part of the request can have reached the server;
  /// kTimeout on any other failure, after which the server may have acted on the request.
  ErrorKind error = ErrorKind::kNone;
  std::string message;
  /// Whether the host refused the connection, because nothing listens on the port.
  bool refused = false;
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// A response that is received as a stream. Destroying it closes the connection. No handler runs
/// after the destructor, which waits for the I/O thread; the caller must not hold a lock there that
/// a handler takes.
class HttpStream {
 public:
  virtual ~HttpStream() = default;
};

/// An HTTP/1.1 client with a pool of idle connections for each server. Thread-safe.
class HttpClient {
 public:
  explicit HttpClient(IoThread& io, std::size_t max_idle_connections_per_server = 16);
  /// Ends open calls with an error as described at HttpResult::error.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends the request and calls the handler once, on the I/O thread. A truncated response is an
  /// error, never a shorter body. A response with neither a Content-Length nor chunked encoding is
  /// an error too.
  void Send(HttpClientRequest request, std::function<void(HttpResult)> handler);

  /// Like Send, but blocks the calling fiber or thread until the result is available. Must not be
  /// called on the I/O thread.
  HttpResult Fetch(HttpClientRequest request);

  /// Receives a response of unbounded length, such as a watch. `on_data` gets the parts of the body
  /// as they arrive, and `on_end` the reason why the stream ended. If the status is not 2xx,
  /// `on_end` gets the body. `request.timeout` limits the time until the header has arrived; the
  /// caller has to detect a stream that is silent after that.
  std::unique_ptr<HttpStream> OpenStream(HttpClientRequest request,
                                         std::function<void(std::string)> on_data,
                                         std::function<void(HttpResult)> on_end);

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_HTTP_CLIENT_H_
