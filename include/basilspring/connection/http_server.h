#ifndef BASILSPRING_CONNECTION_HTTP_SERVER_H_
#define BASILSPRING_CONNECTION_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "basilspring/clock.h"
#include "basilspring/connection/connection_budget.h"
#include "basilspring/connection/messages.h"

namespace basilspring {

class IoThread;

/// A complete HTTP request. Header names are in lower case; query values are percent-decoded.
struct HttpRequest {
  std::string method;
  /// Path without the query, percent-decoded.
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;

  /// Value of a header or query parameter, or "" if it is absent.
  std::string Header(const std::string& name) const;
  std::string Query(const std::string& name) const;
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Sends the response to one request. Thread-safe. The first response counts; later ones are
/// ignored. Destroying the responder without a response sends status 500.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;
  /// Sends a complete response with its Content-Length.
  virtual void Respond(HttpResponse response) = 0;
  /// Begins a chunked response, which WriteChunk continues and FinishStream ends. If the connection
  /// breaks before FinishStream, the last chunk is missing, which shows the caller that the
  /// response is truncated.
  virtual void StartStream(HttpResponse head) = 0;
  virtual void WriteChunk(std::string bytes) = 0;
  virtual void FinishStream() = 0;
  /// Calls the handler on the I/O thread if the caller disconnects before the response has been
  /// sent. A caller that has only closed its sending direction is still connected.
  virtual void OnDisconnect(std::function<void()> handler) = 0;
};

struct HttpLimits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 1024 * 1024;
  /// Chunk sizes, chunk extensions and trailers of one request with a chunked body, beyond 5 bytes
  /// for each byte of the body, which small chunks need.
  std::size_t max_framing_bytes = 16 * 1024;
  std::size_t max_connections = 4096;
  /// Whether an overloaded server answers 504 instead of 503. For listeners whose callers take 503
  /// for the promise that a job never runs: an earlier attempt may have been accepted.
  bool overload_outcome_unknown = false;
  /// Time limit for a request to arrive completely, counted from its first byte.
  Duration read_timeout = Duration(10000);
  /// Time limit for a connection to wait for its next request.
  Duration idle_timeout = Duration(60000);
  /// Time limit for each write of a response to the peer.
  Duration write_timeout = Duration(10000);
};

/// An HTTP/1.1 server. The handler runs on the I/O thread and must not block; it responds at once
/// or passes the responder on. The server itself answers invalid requests, with 400 for a malformed
/// request, 408 for a slow one, 413 for a large body, 431 for a large header or too much framing of
/// a chunked body, and 503 for too many connections or for
/// requests being handled that hold too much memory. An exception thrown by the handler gives 500.
class HttpServer {
 public:
  using Handler =
      std::function<void(HttpRequest request, std::shared_ptr<HttpResponder> responder)>;

  /// Starts to listen; port 0 selects a free port. Throws Error(kInternal) if the port is taken.
  /// `budget` is shared by all servers of a process, or nullptr for no common limit; log lines
  /// about it contain `listener`.
  HttpServer(IoThread& io, const Address& listen, Handler handler, const HttpLimits& limits = {},
             std::shared_ptr<ConnectionBudget> budget = nullptr, std::string listener = "http");
  /// Closes the listener and all connections.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Returns the listen address with the actual port.
  Address address() const;

  /// Stops accepting connections; each open connection is closed after its current or next
  /// response.
  void StopAccepting();

  /// Closes the connections on which no part of a request has arrived since the last response, and
  /// returns how many others remain. After StopAccepting, a server without connections receives no
  /// further request.
  std::size_t CloseIdleConnections();

  /// Returns the number of requests that were received and are not answered yet.
  std::size_t in_flight() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_HTTP_SERVER_H_
