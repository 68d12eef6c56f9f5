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

/// A stream whose peer takes bytes more slowly than they come is cut off here.
constexpr std::size_t kMaxOutputBytes = 16 * 1024 * 1024;
/// How long and how many bytes of a refused request are still read, so that its sender gets the
/// answer.
constexpr Duration kLingerTime = Duration(1000);
constexpr std::size_t kMaxDiscardedBytes = 4 * 1024 * 1024;

}  // namespace

void HttpSession::Respond(std::uint64_t exchange, const HttpResponse& response) {
  if (!Current(exchange) || answer_started_) return;
  answer_started_ = true;
  answer_complete_ = true;
  keep_alive_ = keep_alive_ && !server_->stopping;
  std::string bytes = FormatResponseHead(response, BodyFraming::kLength, keep_alive_);
  if (!head_only_ && !StatusHasNoBody(response.status)) bytes += response.body;
  Queue(std::move(bytes));
}

void HttpSession::StartStream(std::uint64_t exchange, const HttpResponse& head) {
  if (!Current(exchange) || answer_started_) return;
  answer_started_ = true;
  framing_ = http_1_0_ ? BodyFraming::kUntilClose : BodyFraming::kChunked;
  keep_alive_ = keep_alive_ && !server_->stopping && !http_1_0_;
  Queue(FormatResponseHead(head, framing_, keep_alive_));
}

void HttpSession::WriteChunk(std::uint64_t exchange, const std::string& bytes) {
  // An empty chunk would end the body.
  if (!Current(exchange) || answer_complete_ || head_only_ || bytes.empty()) return;
  if (output_bytes_ + bytes.size() > kMaxOutputBytes) {
    Close();
    return;
  }
  Queue(framing_ == BodyFraming::kChunked ? FormatChunk(bytes) : bytes);
}

void HttpSession::FinishStream(std::uint64_t exchange) {
  if (!Current(exchange) || !answer_started_ || answer_complete_) return;
  answer_complete_ = true;
  if (framing_ == BodyFraming::kChunked && !head_only_) {
    Queue("0\r\n\r\n");
  } else if (!writing_) {
    FinishAnswer();
  }
}

void HttpSession::AbortStream(std::uint64_t exchange) {
  if (Current(exchange) && !answer_complete_) Close();
}

void HttpSession::OnDisconnect(std::uint64_t exchange, std::function<void()> handler) {
  if (Current(exchange)) {
    on_disconnect_ = std::move(handler);
  } else if (closed_ && exchange == exchange_) {
    handler();
  }
}

void HttpSession::Queue(std::string bytes) {
  if (closed_) return;
  output_bytes_ += bytes.size();
  output_.push_back(std::move(bytes));
  if (!writing_) WriteNext();
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
  if (!output_.empty()) {
    WriteNext();
  } else if (answer_complete_) {
    FinishAnswer();
  }
}

void HttpSession::FinishAnswer() {
  EndExchange();
  if (!keep_alive_) {
    CloseAfterPeer();
    return;
  }
  // Ends the watch for the peer; no other operation is under way.
  ErrorCode ignored;
  socket_.cancel(ignored);
  AwaitRequest();
}

void HttpSession::CloseAfterPeer() {
  ErrorCode ignored;
  socket_.cancel(ignored);
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  buffer_.clear();
  ArmTimer(kLingerTime, [this] { Close(); });
  DiscardInput();
}

void HttpSession::DiscardInput() {
  constexpr std::size_t kPiece = 16 * 1024;
  socket_.async_read_some(buffer_.prepare(kPiece),
                          [self = shared_from_this()](const ErrorCode& error, std::size_t bytes) {
                            if (self->closed_) return;
                            self->discarded_bytes_ += bytes;
                            if (error || self->discarded_bytes_ > kMaxDiscardedBytes) {
                              self->Close();
                            } else {
                              self->DiscardInput();
                            }
                          });
}

void HttpSession::WatchPeer() {
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this(), exchange = exchange_](const ErrorCode& error) {
                       if (!error && self->Current(exchange) && !self->closed_) {
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
  // A peer that has closed and one that has only finished sending both show the end of input. An
  // interim answer tells them apart: the first one's host resets the connection, the second one
  // skips it (RFC 9110, 15.2) and gets its answer.
  if (got == 0 && !answer_started_ && !http_1_0_) Queue("HTTP/1.1 100 Continue\r\n\r\n");
  AwaitPeerError();
}

void HttpSession::AwaitPeerError() {
  socket_.async_wait(tcp::socket::wait_error,
                     [self = shared_from_this(), exchange = exchange_](const ErrorCode& error) {
                       if (!error && self->Current(exchange) && !self->closed_) {
                         self->Close();
                       }
                     });
}

}  // namespace basilspring::internal
