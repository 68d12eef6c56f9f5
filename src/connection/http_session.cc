#include "connection/http_session.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
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
  parser_->header_limit(static_cast<std::uint32_t>(server_->limits.max_header_bytes));
  parser_->body_limit(server_->limits.max_body_bytes);
  read_timed_out_ = false;
  if (buffer_.size() > 0) {
    ReadHeader();
    return;
  }
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
  const bool malformed =
      error != http::error::end_of_stream &&
      error.category() == http::make_error_code(http::error::bad_method).category();
  if (read_timed_out_) {
    Reject(408, ErrorKind::kTimeout, "the request did not arrive whole in time");
  } else if (!malformed) {
    Close();
  } else if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    Reject(431, ErrorKind::kPayloadTooLarge,
           fmt::format("the header is larger than {} bytes", server_->limits.max_header_bytes));
  } else if (error == http::error::body_limit) {
    Reject(413, ErrorKind::kPayloadTooLarge,
           fmt::format("the body is larger than {} bytes", server_->limits.max_body_bytes));
  } else {
    Reject(400, ErrorKind::kInvalidArgument, "malformed request: " + error.message());
  }
}

void HttpSession::Dispatch() {
  const auto& head = parser_->get();
  HttpRequest request;
  const auto method = head.method_string();
  request.method.assign(method.data(), method.size());
  for (const auto& field : head) {
    std::string name = LowerCase({field.name_string().data(), field.name_string().size()});
    const std::string value(field.value().data(), field.value().size());
    const auto [entry, added] = request.headers.emplace(std::move(name), value);
    if (!added) entry->second += ", " + value;
  }
  const std::string_view target(head.target().data(), head.target().size());
  const bool version_ok = head.version() == 10 || head.version() == 11;
  const bool host_ok = head.version() == 10 || head.count(http::field::host) == 1;
  if (!version_ok || !host_ok || !ParseTarget(target, request)) {
    Reject(400, ErrorKind::kInvalidArgument,
           "the version, the Host header or the target of the request is invalid");
    return;
  }
  keep_alive_ = parser_->keep_alive();
  head_only_ = head.method() == http::verb::head;
  http_1_0_ = head.version() == 10;
  request.body = std::move(parser_->get().body());
  CallHandler(std::move(request));
}

void HttpSession::CallHandler(HttpRequest request) {
  ++exchange_;
  open_ = true;
  answer_started_ = false;
  answer_complete_ = false;
  server_->in_flight.fetch_add(1);
  const std::uint64_t exchange = exchange_;
  {
    // Kept here, because the handler may destroy the server.
    const auto handler = server_->handler;
    auto responder = std::make_shared<SessionResponder>(server_->gate, weak_from_this(), exchange);
    try {
      if (handler) (*handler)(std::move(request), responder);
    } catch (const std::exception& error) {
      Log(EventId::kInternalError, "HTTP handler threw: {}", error.what());
      responder->Respond(ErrorResponse(500, ErrorKind::kInternal, "internal error"));
    }
  }
  // An answer given inside the handler needs no watch for a peer that goes away.
  if (Current(exchange) && !answer_complete_) WatchPeer();
}

void HttpSession::Reject(int status, ErrorKind kind, const std::string& reason) {
  if (closed_) return;
  Log(EventId::kHttpRejected, "status={} reason=\"{}\"", status, reason);
  keep_alive_ = false;
  answer_complete_ = true;
  HttpResponse response = ErrorResponse(status, kind, reason);
  Queue(FormatResponseHead(response, BodyFraming::kLength, false) + response.body);
}

void HttpSession::Close() {
  if (closed_) return;
  closed_ = true;
  DisarmTimer();
  ErrorCode ignored;
  socket_.close(ignored);
  const auto self = shared_from_this();
  server_->sessions.erase(self);
  if (open_) {
    std::function<void()> handler = std::move(on_disconnect_);
    EndExchange();
    if (handler) handler();
  }
}

void HttpSession::EndExchange() {
  if (!open_) return;
  open_ = false;
  on_disconnect_ = nullptr;
  server_->in_flight.fetch_sub(1);
}

}  // namespace basilspring::internal
