#include <sys/socket.h>

#include <array>
#include <boost/asio/write.hpp>
#include <utility>

#include "basilspring/process/log.h"
#include "connection/http_session.h"

namespace basilspring::internal {
namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

/// Maximum number of bytes queued for a peer. The connection is closed if a stream exceeds it,
/// because the peer reads more slowly than the stream is produced.
constexpr std::size_t kMaxOutputBytes = 16 * 1024 * 1024;
/// Time and bytes for which the input of a refused request is still read before the connection is
/// closed, so that its sender receives the response.
constexpr Duration kLingerTimeout = Duration(1000);
constexpr std::size_t kMaxDiscardedBytes = 4 * 1024 * 1024;

}  // namespace

void HttpSession::Respond(std::uint64_t exchange, const HttpResponse& response) {
  if (!IsCurrent(exchange) || response_started_) return;
  response_started_ = true;
  response_complete_ = true;
  keep_alive_ = keep_alive_ && !server_->stopping;
  std::string bytes = FormatResponseHead(response, BodyFraming::kLength, keep_alive_);
  if (!head_only_ && !StatusHasNoBody(response.status)) bytes += response.body;
  QueueOutput(std::move(bytes));
}

void HttpSession::StartStream(std::uint64_t exchange, const HttpResponse& head) {
  if (!IsCurrent(exchange) || response_started_) return;
  response_started_ = true;
  framing_ = http_1_0_ ? BodyFraming::kUntilClose : BodyFraming::kChunked;
  keep_alive_ = keep_alive_ && !server_->stopping && !http_1_0_;
  QueueOutput(FormatResponseHead(head, framing_, keep_alive_));
}

void HttpSession::WriteChunk(std::uint64_t exchange, const std::string& bytes) {
  // An empty chunk would end the body.
  if (!IsCurrent(exchange) || response_complete_ || head_only_ || bytes.empty()) return;
  if (output_bytes_ + bytes.size() > kMaxOutputBytes) {
    Close();
    return;
  }
  QueueOutput(framing_ == BodyFraming::kChunked ? FormatChunk(bytes) : bytes);
}

void HttpSession::FinishStream(std::uint64_t exchange) {
  if (!IsCurrent(exchange) || !response_started_ || response_complete_) return;
  response_complete_ = true;
  if (framing_ == BodyFraming::kChunked && !head_only_) {
    QueueOutput("0\r\n\r\n");
  } else if (!writing_) {
    FinishResponse();
  }
}

void HttpSession::AbortStream(std::uint64_t exchange) {
  if (IsCurrent(exchange) && !response_complete_) Close();
}

void HttpSession::OnDisconnect(std::uint64_t exchange, std::function<void()> handler) {
  if (IsCurrent(exchange)) {
    on_disconnect_ = std::move(handler);
  } else if (closed_ && exchange == exchange_) {
    handler();
  }
}

void HttpSession::QueueOutput(std::string bytes) {
  if (closed_) return;
  output_bytes_ += bytes.size();
  output_.push_back(std::move(bytes));
  if (UpdateBudget() && !writing_) WriteNext();
}

void HttpSession::WriteNext() {
  writing_ = true;
  ArmTimer(server_->limits.write_timeout, [this] { Close(); });
  asio::async_write(
      socket_, asio::buffer(output_.front()),
      [self = shared_from_this()](const ErrorCode& error, std::size_t) { self->OnWritten(error); });
}

void HttpSession::OnWritten(const ErrorCode& error) {
  writing_ = false;
  if (closed_) return;
  if (error) {
    Close();
    return;
  }
  output_bytes_ -= output_.front().size();
  output_.pop_front();
  DisarmTimer();
  server_->budget->SetProgress(budget_id_, Clock::Now());
  if (!UpdateBudget()) return;
  if (!output_.empty()) {
    WriteNext();
  } else if (response_complete_) {
    FinishResponse();
  }
}

void HttpSession::FinishResponse() {
  EndExchange();
  if (!keep_alive_) {
    LingeringClose();
    return;
  }
  // Ends the detection of a disconnect; no other operation is pending.
  ErrorCode ignored;
  socket_.cancel(ignored);
  AwaitRequest();
}

void HttpSession::LingeringClose() {
  ErrorCode ignored;
  socket_.cancel(ignored);
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  reader_.Clear();
  ArmTimer(kLingerTimeout, [this] { Close(); });
  DiscardInput();
}

void HttpSession::DiscardInput() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode& waited) {
    if (self->closed_) return;
    ErrorCode error = waited;
    if (!error) {
      self->discarded_bytes_ +=
          self->socket_.read_some(asio::buffer(self->server_->read_buffer), error);
    }
    const bool go_on = !error || error == asio::error::would_block;
    if (go_on && self->discarded_bytes_ <= kMaxDiscardedBytes) {
      self->DiscardInput();
    } else {
      self->Close();
    }
  });
}

void HttpSession::WatchForDisconnect() {
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this(), exchange = exchange_](const ErrorCode& error) {
                       if (!error && self->IsCurrent(exchange) && !self->closed_) {
                         self->OnPeerReadable();
                       }
                     });
}

void HttpSession::OnPeerReadable() {
  char byte = 0;
  const ssize_t got = ::recv(socket_.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
    Close();
    return;
  }
  // The input ends if the peer has closed the connection, and also if it has closed only its
  // sending direction. An interim response distinguishes the two: in the first case the peer's host
  // resets the connection, in the second the peer skips the interim response (RFC 9110, 15.2) and
  // gets the final one.
  if (got == 0 && !response_started_ && !http_1_0_) QueueOutput("HTTP/1.1 100 Continue\r\n\r\n");
  AwaitPeerError();
}

void HttpSession::AwaitPeerError() {
  socket_.async_wait(tcp::socket::wait_error,
                     [self = shared_from_this(), exchange = exchange_](const ErrorCode& error) {
                       if (!error && self->IsCurrent(exchange) && !self->closed_) {
                         self->Close();
                       }
                     });
}

}  // namespace basilspring::internal
