#include "connection/http_exchange.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <chrono>
#include <utility>

#include "basilspring/process/log.h"
#include "connection/http_text.h"

namespace basilspring::internal {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;

}  // namespace

HttpExchange::HttpExchange(std::shared_ptr<HttpPool> pool, HttpClientRequest request,
                           std::function<void(std::string)> on_data,
                           std::function<void(HttpResult)> on_end)
    : pool_(std::move(pool)),
      request_(std::move(request)),
      on_data_(std::move(on_data)),
      on_end_(std::move(on_end)),
      deadline_(pool_->context) {}

void HttpExchange::Start() {
  if (done_) return;
  pool_->exchanges.insert(shared_from_this());
  auto head = FormatRequestHead(request_);
  if (!head) {
    Fail("the request line or a header contains bytes that HTTP does not allow");
    return;
  }
  head_ = std::move(*head);
  began_at_ = Clock::Now();
  SetDeadline(request_.timeout);
  AcquireConnection();
}

void HttpExchange::SetDeadline(Duration time) {
  deadline_.expires_after(std::chrono::milliseconds(time.milliseconds()));
  deadline_.async_wait([self = shared_from_this()](const ErrorCode& error) {
    if (error || self->done_) return;
    // The idle connections to a server that doesn't answer may be dead as well.
    self->pool_->CloseIdle(self->destination());
    self->Fail(fmt::format("no whole answer from {} within {} ms; {} bytes have arrived",
                           self->request_.server.ToString(),
                           (Clock::Now() - self->began_at_).milliseconds(), self->ReceivedBytes()));
  });
}

void HttpExchange::AcquireConnection() {
  if (!request_.fresh_connection && !retried_) connection_ = pool_->Acquire(destination());
  pooled_ = connection_ != nullptr;
  if (pooled_) {
    Write();
  } else if (request_.open_connection_only) {
    Fail("no connection to the server is open");
  } else {
    Connect();
  }
}

void HttpExchange::Connect() {
  ErrorCode error;
  const auto ip = asio::ip::make_address(request_.server.ip, error);
  if (error) {
    Fail(fmt::format("\"{}\" is not an IP address", request_.server.ip));
    return;
  }
  connection_ = std::make_unique<HttpConnection>(pool_->context);
  connection_->socket.async_connect(
      tcp::endpoint(ip, request_.server.port),
      [self = shared_from_this()](const ErrorCode& connect_error) {
        if (self->done_) return;
        if (connect_error) {
          self->refused_ = connect_error == boost::asio::error::connection_refused;
          self->Fail(fmt::format("can't connect to {}: {}", self->request_.server.ToString(),
                                 connect_error.message()));
          return;
        }
        ErrorCode ignored;
        self->connection_->socket.set_option(tcp::no_delay(true), ignored);
        self->Write();
      });
}

void HttpExchange::Write() {
  sent_ = true;
  const std::array<asio::const_buffer, 2> parts = {asio::buffer(head_),
                                                   asio::buffer(request_.body)};
  asio::async_write(connection_->socket, parts,
                    [self = shared_from_this()](const ErrorCode& error, std::size_t bytes) {
                      if (!self->done_) self->OnWritten(error, bytes);
                    });
}

void HttpExchange::OnWritten(const ErrorCode& error, std::size_t bytes) {
  if (error && bytes == 0) {
    sent_ = false;
    if (!RetryOnNewConnection()) Fail("the connection broke: " + error.message());
    return;
  }
  // A server that refuses a large body responds and closes the connection while the request is
  // still being written, so the response is read even if the write failed.
  parser_.emplace();
  ReadHeader();
}

void HttpExchange::ReadHeader() {
  parser_->header_limit(kMaxHeaderBytes);
  if (on_data_) {
    parser_->body_limit(boost::none);
  } else {
    parser_->body_limit(request_.max_response_bytes);
  }
  if (request_.method == "HEAD") parser_->skip(true);
  http::async_read_header(connection_->socket, connection_->buffer, *parser_,
                          [self = shared_from_this()](const ErrorCode& error, std::size_t) {
                            if (!self->done_) self->OnHeader(error);
                          });
}

void HttpExchange::OnHeader(const ErrorCode& error) {
  if (error) {
    const bool response_begun = parser_->got_some() || connection_->buffer.size() > 0;
    if (response_begun || !RetryOnNewConnection()) {
      Fail("the connection broke before the answer: " + error.message());
    }
    return;
  }
  const int status = static_cast<int>(parser_->get().result_int());
  if (status / 100 == 1) {
    parser_.emplace();
    ReadHeader();
    return;
  }
  // Without a Content-Length or chunked encoding, the end of the connection would mark the end of
  // the body, and a truncated body could not be distinguished from a complete one.
  if (!parser_->is_done() && parser_->need_eof()) {
    Fail("the answer has neither a length nor chunks");
    return;
  }
  if (streaming()) {
    deadline_.cancel();
    ReadStreamData();
  } else {
    if (request_.transfer_timeout > Duration(0)) {
      transfer_until_ = Clock::Now() + request_.transfer_timeout;
    }
    ReadBody();
  }
}

std::size_t HttpExchange::ReceivedBytes() const {
  if (!parser_) return 0;
  return connection_->buffer.size() +
         (parser_->is_header_done() ? parser_->get().body().size() : 0);
}

bool HttpExchange::streaming() const { return on_data_ && parser_->get().result_int() / 100 == 2; }

void HttpExchange::ReadBody() {
  if (parser_->is_done()) {
    OnBody(ErrorCode());
    return;
  }
  if (transfer_until_) {
    SetDeadline(std::min(request_.stall_timeout, *transfer_until_ - Clock::Now()));
  }
  http::async_read_some(connection_->socket, connection_->buffer, *parser_,
                        [self = shared_from_this()](const ErrorCode& error, std::size_t) {
                          if (!self->done_) self->OnBody(error);
                        });
}

void HttpExchange::OnBody(const ErrorCode& error) {
  if (error) {
    Fail("the answer was truncated: " + error.message());
    return;
  }
  if (!parser_->is_done()) {
    ReadBody();
    return;
  }
  HttpResult result = ResultFromHead();
  result.body = std::move(parser_->get().body());
  Finish(std::move(result));
}

void HttpExchange::ReadStreamData() {
  if (parser_->is_done()) {
    Finish(ResultFromHead());
    return;
  }
  http::async_read_some(connection_->socket, connection_->buffer, *parser_,
                        [self = shared_from_this()](const ErrorCode& error, std::size_t) {
                          if (!self->done_) self->OnStreamData(error);
                        });
}

void HttpExchange::OnStreamData(const ErrorCode& error) {
  std::string piece = std::exchange(parser_->get().body(), {});
  if (!piece.empty()) on_data_(std::move(piece));
  if (done_) return;
  if (error) {
    Fail("the stream broke: " + error.message());
  } else {
    ReadStreamData();
  }
}

bool HttpExchange::RetryOnNewConnection() {
  if (!pooled_ || retried_ || request_.method != "GET") return false;
  retried_ = true;
  connection_.reset();
  AcquireConnection();
  return true;
}

HttpResult HttpExchange::ResultFromHead() const {
  HttpResult result;
  result.status = static_cast<int>(parser_->get().result_int());
  for (const auto& field : parser_->get()) {
    std::string name = LowerCase({field.name_string().data(), field.name_string().size()});
    result.headers.emplace(std::move(name),
                           std::string(field.value().data(), field.value().size()));
  }
  return result;
}

void HttpExchange::Fail(const std::string& message) {
  HttpResult result;
  result.error = sent_ ? ErrorKind::kTimeout : ErrorKind::kConnectionLost;
  result.message = message;
  result.refused = refused_;
  Finish(std::move(result));
}

void HttpExchange::Cancel() { Fail("the client was closed"); }

void HttpExchange::CloseConnection() {
  ErrorCode ignored;
  if (connection_ != nullptr) connection_->socket.close(ignored);
}

void HttpExchange::Abandon() {
  if (done_) return;
  done_ = true;
  deadline_.cancel();
  CloseConnection();
  pool_->exchanges.erase(shared_from_this());
}

void HttpExchange::Finish(HttpResult result) {
  if (done_) return;
  done_ = true;
  deadline_.cancel();
  const auto self = shared_from_this();
  pool_->exchanges.erase(self);
  const bool reusable = result.error == ErrorKind::kNone && parser_->keep_alive() &&
                        parser_->is_done() && connection_->buffer.size() == 0;
  if (reusable) {
    pool_->Release(destination(), std::move(connection_));
  } else {
    CloseConnection();
  }
  try {
    on_end_(std::move(result));
  } catch (const std::exception& error) {
    Log(EventId::kInternalError, "HTTP response handler threw: {}", error.what());
  }
}

}  // namespace basilspring::internal
