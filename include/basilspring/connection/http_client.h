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
  /// For the whole exchange, connecting included.
  Duration timeout = Duration(5000);
  std::size_t max_response_bytes = 8 * 1024 * 1024;
  /// Opens a new connection instead of taking one from the pool, for a call that follows a timeout.
  bool fresh_connection = false;
};

struct HttpResult {
  /// kNone; kConnectionLost when nothing of the request can have reached the server; kTimeout
  /// otherwise, in which case the server may have acted on the request.
  ErrorKind error = ErrorKind::kNone;
  std::string message;
  /// The host answered that nothing listens on the port.
  bool refused = false;
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// A running streamed answer; destroying it closes the connection. No handler runs after the
/// destructor, which waits for the I/O thread; so hold no lock there that a handler takes.
class HttpStream {
 public:
  virtual ~HttpStream() = default;
};

/// An HTTP/1.1 client with a pool of idle connections for each server. Thread-safe.
class HttpClient {
 public:
  explicit HttpClient(IoThread& io, std::size_t max_idle_connections_per_server = 16);
  /// Open calls end with an error, by the rule of HttpResult::error.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Calls the handler once, on the I/O thread. A truncated answer is an error, never a shorter
  /// body; so is one with neither a length nor chunks.
  void Send(HttpClientRequest request, std::function<void(HttpResult)> handler);

  /// The same, but waits in the calling fiber or thread. Not to be called on the I/O thread.
  HttpResult Fetch(HttpClientRequest request);

  /// For an answer without an end, such as a watch: on_data gets each piece as it arrives and
  /// on_end the reason why the stream ended; the body of a status other than 2xx goes to on_end.
  /// `request.timeout` bounds the time until the header has arrived; silence is the caller's to
  /// detect.
  std::unique_ptr<HttpStream> OpenStream(HttpClientRequest request,
                                         std::function<void(std::string)> on_data,
                                         std::function<void(HttpResult)> on_end);

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_HTTP_CLIENT_H_
