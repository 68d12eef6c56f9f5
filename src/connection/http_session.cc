#include "connection/http_session.h"

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/verb.hpp>
#include <chrono>
#include <utility>

#include "basilspring/error.h"
#include "basilspring/process/log.h"
#include "connection/http_responder.h"

namespace basilspring::internal {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// Estimate of what an open connection holds besides its input and output: the session, the parser
/// and the registrations for events.
constexpr std::size_t kConnectionBytes = 2048;
/// Reads in a row from one connection before others get their turn.
constexpr int kReadsPerTurn = 4;
constexpr const char* kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

HttpSession::HttpSession(std::shared_ptr<HttpServerShared> server, tcp::socket socket)
    : server_(std::move(server)),
      socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      reader_(server_->limits) {}

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

void HttpSession::JoinBudget() {
  budget_id_ = server_->budget->Add(server_->listener, Clock::Now(), [session = weak_from_this()] {
    if (const auto self = session.lock()) self->Close();
  });
  UpdateBudget();
}

bool HttpSession::UpdateBudget() {
  if (closed_) return false;
  server_->budget->SetBytes(budget_id_, kConnectionBytes + reader_.held_bytes() + output_bytes_);
  // May close this connection.
  server_->budget->Enforce(Clock::Now());
  return !closed_;
}

void HttpSession::AwaitRequest() {
  if (closed_) return;
  reader_.BeginRequest();
  read_timed_out_ = false;
  if (reader_.has_input()) {
    BeginRequest();
    if (ParseInput()) AwaitInput();
    return;
  }
  idle_ = true;
  if (!UpdateBudget()) return;
  ArmTimer(server_->limits.idle_timeout, [this] { Close(); });
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode& error) {
    if (self->closed_) return;
    if (error) {
      self->Close();
    } else {
      self->BeginRequest();
      self->OnReadable();
    }
  });
}

void HttpSession::BeginRequest() {
  idle_ = false;
  server_->budget->SetProgress(budget_id_, Clock::Now());
  ArmTimer(server_->limits.read_timeout, [this] {
    read_timed_out_ = true;
    socket_.cancel();
  });
}

void HttpSession::AwaitInput() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode& error) {
    if (self->closed_) return;
    if (error) {
      self->OnReadError(error);
    } else {
      self->OnReadable();
    }
  });
}

void HttpSession::OnReadable() {
  for (int reads = 0; reads < kReadsPerTurn; ++reads) {
    ErrorCode error;
    // The timer may have expired while the socket was readable, when there was nothing to cancel.
    if (read_timed_out_) error = asio::error::operation_aborted;
    std::vector<char>& buffer = server_->read_buffer;
    const std::size_t bytes = error ? 0 : socket_.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block || error == asio::error::try_again) break;
    if (error == asio::error::eof) {
      OnReadStep(reader_.ParseEnd());
      return;
    }
    if (error) {
      OnReadError(error);
      return;
    }
    reader_.Append({buffer.data(), bytes});
    if (!UpdateBudget() || !ParseInput()) return;
  }
  AwaitInput();
}

bool HttpSession::ParseInput() { return OnReadStep(reader_.Parse()); }

bool HttpSession::OnReadStep(ReadStep step) {
  switch (step) {
    case ReadStep::kNeedsMore:
      return true;
    case ReadStep::kHeader:
      if (!reader_.expects_continue()) return ParseInput();
      SendContinue();
      return false;
    case ReadStep::kComplete:
      DisarmTimer();
      Dispatch();
      return false;
    case ReadStep::kFailed:
      break;
  }
  OnReadError(reader_.error());
  return false;
}

void HttpSession::SendContinue() {
  asio::async_write(socket_, asio::buffer(kContinue, std::char_traits<char>::length(kContinue)),
                    [self = shared_from_this()](const ErrorCode& error, std::size_t) {
                      if (self->closed_) return;
                      if (error) {
                        self->OnReadError(error);
                      } else if (self->ParseInput()) {
                        self->AwaitInput();
                      }
                    });
}

void HttpSession::OnReadError(const ErrorCode& error) {
  const auto refusal = reader_.RefusalFor(error);
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
  RequestParser& parser = reader_.parser();
  if (const auto refusal = MakeRequest(parser, request)) {
    Reject(refusal->status, refusal->kind, refusal->reason);
    return;
  }
  keep_alive_ = parser.keep_alive();
  head_only_ = parser.get().method() == http::verb::head;
  http_1_0_ = parser.get().version() == 10;
  const std::size_t request_bytes = reader_.held_request_bytes() + request.body.size();
  reader_.DropRequest();
  ConnectionBudget::Charge charge = server_->budget->TryHandle(request_bytes);
  if (!charge) {
    RejectOverload("too much memory is held by requests");
    return;
  }
  CallHandler(std::move(request), std::move(charge));
}

void HttpSession::CallHandler(HttpRequest request, ConnectionBudget::Charge charge) {
  ++exchange_;
  request_open_ = true;
  response_started_ = false;
  response_complete_ = false;
  server_->in_flight.fetch_add(1);
  server_->budget->SetProgress(budget_id_, Clock::Now());
  server_->budget->SetHandled(budget_id_, true);
  if (!UpdateBudget()) return;
  const std::uint64_t exchange = exchange_;
  {
    // Holds a reference, because the handler may destroy the server.
    const auto handler = server_->handler;
    auto responder = std::make_shared<SessionResponder>(server_->dispatcher, weak_from_this(),
                                                        exchange, std::move(charge));
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

void HttpSession::RejectOverload(const std::string& reason) {
  if (server_->limits.overload_outcome_unknown) {
    Reject(504, ErrorKind::kTimeout, reason);
  } else {
    Reject(503, ErrorKind::kOverloaded, reason);
  }
}

void HttpSession::Reject(int status, ErrorKind kind, const std::string& reason) {
  if (closed_) return;
  Log(EventId::kHttpRejected, "status={} reason=\"{}\"", status, reason);
  // The parsed part of the request must not be held until the connection is closed.
  reader_.DropRequest();
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
  server_->budget->Remove(budget_id_);
  if (request_open_) {
    std::function<void()> handler = std::move(on_disconnect_);
    EndExchange();
    if (handler) handler();
  }
}

void HttpSession::EndExchange() {
  if (!request_open_) return;
  request_open_ = false;
  server_->budget->SetHandled(budget_id_, false);
  on_disconnect_ = nullptr;
  server_->in_flight.fetch_sub(1);
}

}  // namespace basilspring::internal
