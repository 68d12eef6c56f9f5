#include "connection/http_session.h"

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>
#include <chrono>
#include <utility>

#include "basilspring/error.h"
#include "basilspring/process/log.h"
#include "connection/http_responder.h"

namespace basilspring::internal {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr const char* kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

HttpSession::HttpSession(std::shared_ptr<HttpServerShared> server, tcp::socket socket)
    : server_(std::move(server)), socket_(std::move(socket)), timer_(socket_.get_executor()) {}

void HttpSession::ArmTimer(Duration after, std::function<void()> action) {
  const std::uint64_t generation = ++timer_generation_;
  timer_.expires_after(std::chrono::milliseconds(after.milliseconds()));
  timer_.async_wait(
      [self = shared_from_this(), generation, action = std::move(action)](const ErrorCode& error) {
        if (!error && generation == self->timer_generation_ && !self->closed_) action();
      });
}

void HttpSession::DisarmTimer() {
  ++timer_generation_;
  timer_.cancel();
}

void HttpSession::AwaitRequest() {
  if (closed_) return;
  parser_.emplace();
  SetParserLimits(*parser_, server_->limits);
  read_timed_out_ = false;
  if (buffer_.size() > 0) {
    ReadHeader();
    return;
  }
  idle_ = true;
  ArmTimer(server_->limits.idle_timeout, [this] { Close(); });
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode& error) {
    if (self->closed_) return;
    if (error) {
      self->Close();
    } else {
      self->ReadHeader();
    }
  });
}

void HttpSession::ReadHeader() {
  idle_ = false;
  ArmTimer(server_->limits.read_timeout, [this] {
    read_timed_out_ = true;
    socket_.cancel();
  });
  http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const ErrorCode& error, std::size_t) { self->OnHeader(error); });
}

void HttpSession::OnHeader(const ErrorCode& error) {
  if (closed_) return;
  if (error) {
    OnReadError(error);
    return;
  }
  const auto& head = parser_->get();
  if (parser_->is_done() || !beast::iequals(head[http::field::expect], "100-continue")) {
    ReadBody();
    return;
  }
  asio::async_write(socket_, asio::buffer(kContinue, std::char_traits<char>::length(kContinue)),
                    [self = shared_from_this()](const ErrorCode& write_error, std::size_t) {
                      if (self->closed_) return;
                      if (write_error) {
                        self->OnReadError(write_error);
                      } else {
                        self->ReadBody();
                      }
                    });
}

void HttpSession::ReadBody() {
  http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const ErrorCode& error, std::size_t) { self->OnBody(error); });
}

void HttpSession::OnBody(const ErrorCode& error) {
  if (closed_) return;
  if (error) {
    OnReadError(error);
    return;
  }
  DisarmTimer();
  Dispatch();
}

void HttpSession::OnReadError(const ErrorCode& error) {
  const auto refusal = RefusalForError(error, server_->limits);
  if (read_timed_out_) {
    Reject(408, ErrorKind::kTimeout, "the request did not arrive whole in time");
  } else if (refusal) {
    Reject(refusal->status, refusal->kind, refusal->reason);
  } else {
    Close();
  }
}

void HttpSession::Dispatch() {
  HttpRequest request;
  if (const auto refusal = MakeRequest(*parser_, request)) {
    Reject(refusal->status, refusal->kind, refusal->reason);
    return;
  }
  keep_alive_ = parser_->keep_alive();
  head_only_ = parser_->get().method() == http::verb::head;
  http_1_0_ = parser_->get().version() == 10;
  CallHandler(std::move(request));
}

void HttpSession::CallHandler(HttpRequest request) {
  ++exchange_;
  request_open_ = true;
  response_started_ = false;
  response_complete_ = false;
  server_->in_flight.fetch_add(1);
  const std::uint64_t exchange = exchange_;
  {
    // Holds a reference, because the handler may destroy the server.
    const auto handler = server_->handler;
    auto responder =
        std::make_shared<SessionResponder>(server_->dispatcher, weak_from_this(), exchange);
    try {
      if (handler) (*handler)(std::move(request), responder);
    } catch (const std::exception& error) {
      Log(EventId::kInternalError, "HTTP request handler threw: {}", error.what());
      responder->Respond(ErrorResponse(500, ErrorKind::kInternal, "internal error"));
    }
  }
  // If the handler has already responded, a disconnect needs no detection.
  if (IsCurrent(exchange) && !response_complete_) WatchForDisconnect();
}

void HttpSession::Reject(int status, ErrorKind kind, const std::string& reason) {
  if (closed_) return;
  Log(EventId::kHttpRejected, "status={} reason=\"{}\"", status, reason);
  keep_alive_ = false;
  response_complete_ = true;
  HttpResponse response = ErrorResponse(status, kind, reason);
  QueueOutput(FormatResponseHead(response, BodyFraming::kLength, false) + response.body);
}

void HttpSession::CloseIfIdle() {
  if (!idle_) return;
  // A request that has arrived and has not been read yet is still answered.
  char byte = 0;
  if (::recv(socket_.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0) return;
  Close();
}

void HttpSession::Close() {
  if (closed_) return;
  closed_ = true;
  DisarmTimer();
  ErrorCode ignored;
  socket_.close(ignored);
  const auto self = shared_from_this();
  server_->sessions.erase(self);
  if (request_open_) {
    std::function<void()> handler = std::move(on_disconnect_);
    EndExchange();
    if (handler) handler();
  }
}

void HttpSession::EndExchange() {
  if (!request_open_) return;
  request_open_ = false;
  on_disconnect_ = nullptr;
  server_->in_flight.fetch_sub(1);
}

}  // namespace basilspring::internal
