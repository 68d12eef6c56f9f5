#ifndef BASILSPRING_CONNECTION_HTTP_SERVER_H_
#define BASILSPRING_CONNECTION_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"

namespace basilspring {

class IoThread;

/// One whole HTTP request. Header names are in lower case; query values are percent-decoded.
struct HttpRequest {
  std::string method;
  /// Path without the query, percent-decoded.
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;

  /// Value of a header or query parameter, or "" when it is absent.
  std::string Header(const std::string& name) const;
  std::string Query(const std::string& name) const;
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Answers one request, from any thread. The first answer counts; later ones are ignored. Dropping
/// the responder without an answer gives 500.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;
  /// Sends the whole answer with its Content-Length.
  virtual void Respond(HttpResponse response) = 0;
  /// Begins a chunked answer; WriteChunk and FinishStream follow. A connection that breaks before
  /// FinishStream lacks the last chunk, so that the caller sees the truncation.
  virtual void StartStream(HttpResponse head) = 0;
  virtual void WriteChunk(std::string bytes) = 0;
  virtual void FinishStream() = 0;
  /// Calls the handler on the I/O thread when the caller goes away before the answer is out. A
  /// caller that has only finished sending is still there.
  virtual void OnDisconnect(std::function<void()> handler) = 0;
};

struct HttpLimits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 1024 * 1024;
  std::size_t max_connections = 4096;
  /// Time for a request to arrive whole, counted from its first byte.
  Duration read_timeout = Duration(10000);
  /// Time that a connection may wait for its next request.
  Duration idle_timeout = Duration(60000);
  /// Time for the peer to take an answer.
  Duration write_timeout = Duration(10000);
};

/// An HTTP/1.1 server. The handler runs on the I/O thread and must not block; it answers at once or
/// hands the responder on. Requests that break a limit are answered here: 400 malformed, 408 slow,
/// 413 large body, 431 large header, 503 too many connections. An exception of the handler becomes
/// 500.
class HttpServer {
 public:
  using Handler =
      std::function<void(HttpRequest request, std::shared_ptr<HttpResponder> responder)>;

  /// Listens at once; port 0 takes a free one. Throws Error(kInternal) when the port is taken.
  HttpServer(IoThread& io, const Address& listen, Handler handler, const HttpLimits& limits = {});
  /// Closes the listener and all connections.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The address in use, with the actual port.
  Address address() const;

  /// Takes no new connections; each open one is closed after its current answer.
  void StopAccepting();

  /// Requests that were read and are not answered yet.
  std::size_t in_flight() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_HTTP_SERVER_H_
