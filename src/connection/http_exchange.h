#ifndef BASILSPRING_SRC_CONNECTION_HTTP_EXCHANGE_H_
#define BASILSPRING_SRC_CONNECTION_HTTP_EXCHANGE_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "basilspring/connection/http_client.h"
#include "connection/http_pool.h"

namespace basilspring::internal {

/// One call of the client: reuses or opens a connection, writes the request and reads the response.
/// Runs on the I/O thread.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  /// `on_data` is empty if the body of the response is to be collected and passed to `on_end`.
  HttpExchange(std::shared_ptr<HttpPool> pool, HttpClientRequest request,
               std::function<void(std::string)> on_data, std::function<void(HttpResult)> on_end);

  void Start();
  /// Ends the call with an error, because the client is destroyed.
  void Cancel();
  /// Ends the call without calling a handler, because its stream is destroyed.
  void Abandon();

 private:
  using ErrorCode = boost::system::error_code;
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void AcquireConnection();
  void Connect();
  void Write();
  void OnWritten(const ErrorCode& error, std::size_t bytes);
  void ReadHeader();
  void OnHeader(const ErrorCode& error);
  void ReadBody();
  /// Fails the exchange after this time. Replaces the former deadline.
  void SetDeadline(Duration time);
  void OnBody(const ErrorCode& error);
  void ReadStreamData();
  void OnStreamData(const ErrorCode& error);
  /// Sends a GET request again if its pooled connection was closed before any byte of the response
  /// arrived. Returns false if the request must not be sent again.
  bool RetryOnNewConnection();
  /// Closes the socket but keeps the connection, which pending operations still refer to.
  void CloseConnection();
  void Fail(const std::string& message);
  void Finish(HttpResult result);
  HttpResult ResultFromHead() const;
  HttpPool::Destination destination() const { return {request_.server, request_.connection_group}; }
  bool streaming() const;
  /// Size of the part of the answer's body that has arrived.
  std::size_t ReceivedBytes() const;

  std::shared_ptr<HttpPool> pool_;
  HttpClientRequest request_;
  std::function<void(std::string)> on_data_;
  std::function<void(HttpResult)> on_end_;
  boost::asio::steady_timer deadline_;
  TimePoint began_at_;
  std::unique_ptr<HttpConnection> connection_;
  std::optional<Parser> parser_;
  std::string head_;
  /// When the whole body must have arrived, if the request has a transfer timeout.
  std::optional<TimePoint> transfer_until_;
  bool pooled_ = false;
  bool retried_ = false;
  /// Whether the host refused the connection.
  bool refused_ = false;
  /// Whether bytes of the request may have reached the server.
  bool sent_ = false;
  bool done_ = false;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_HTTP_EXCHANGE_H_
