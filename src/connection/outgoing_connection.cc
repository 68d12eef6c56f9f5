#include "connection/outgoing_connection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "basilspring/process/log.h"

namespace basilspring::internal {
namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

constexpr Duration kFirstBackoff = Duration(50);
constexpr Duration kMaxBackoff = Duration(1000);
/// Number of bytes after which a batch of frames is written to the socket.
constexpr std::size_t kWriteBatchBytes = 256 * 1024;

}  // namespace

OutgoingConnection::OutgoingConnection(std::shared_ptr<TransportShared> shared, Address to)
    : shared_(std::move(shared)),
      to_(std::move(to)),
      queue_(shared_->options.max_queued_messages, shared_->options.max_queued_bytes,
             shared_->unacknowledged),
      timer_(shared_->context),
      backoff_(kFirstBackoff),
      last_message_(Clock::Now()) {}

bool OutgoingConnection::Push(std::string frame) {
  if (!queue_.Push(std::move(frame), shared_->next_sequence, Clock::Now())) return false;
  if (!wake_posted_.exchange(true)) {
    shared_->dispatcher->Post([self = shared_from_this()] { self->OnQueued(); });
  }
  return true;
}

void OutgoingConnection::OnQueued() {
  wake_posted_ = false;
  if (closed_) return;
  last_message_ = Clock::Now();
  if (link_ != nullptr && !connecting_) {
    Write(link_);
  } else if (link_ == nullptr && !waiting_to_dial_) {
    Dial();
  }
}

void OutgoingConnection::ArmTimer(Duration after, void (OutgoingConnection::*action)()) {
  const std::uint64_t generation = ++timer_generation_;
  timer_.expires_after(std::chrono::milliseconds(std::max<std::int64_t>(1, after.milliseconds())));
  timer_.async_wait([self = shared_from_this(), generation, action](const ErrorCode& error) {
    if (!error && generation == self->timer_generation_ && !self->closed_) (*self.*action)();
  });
}

void OutgoingConnection::Dial() {
  waiting_to_dial_ = false;
  DropOldMessages();
  if (queue_.empty()) {
    shared_->RemoveIfIdle(to_, this);
    return;
  }
  ErrorCode error;
  const auto ip = asio::ip::make_address(to_.ip, error);
  if (error) {
    OnConnectionFailed("not an IP address");
    return;
  }
  connecting_ = true;
  link_ = std::make_shared<Link>(shared_->context);
  link_->socket.async_connect(
      tcp::endpoint(ip, to_.port),
      [self = shared_from_this(), link = link_](const ErrorCode& connect_error) {
        if (self->closed_ || link != self->link_) return;
        if (connect_error) {
          self->OnConnectionFailed(connect_error.message());
        } else {
          self->OnConnected(link);
        }
      });
  ArmTimer(shared_->options.connect_timeout, &OutgoingConnection::OnTimer);
}

void OutgoingConnection::OnConnected(const LinkPointer& link) {
  connecting_ = false;
  ErrorCode ignored;
  link->socket.set_option(tcp::no_delay(true), ignored);
  link->last_received = link->last_sent = last_message_ = Clock::Now();
  link->control = EncodeFrame({0, Hello{shared_->process, shared_->incarnation, shared_->listen}});
  await_first_acknowledgement_ = queue_.OldestWasTransmitted();
  if (failed_before_) shared_->reconnects.fetch_add(1);
  Log(EventId::kConnectionOpened, "peer={} attempt={}", to_.ToString(),
      failed_before_ ? "again" : "first");
  Read(link);
  Write(link);
  OnTimer();
}

void OutgoingConnection::Read(const LinkPointer& link) {
  link->socket.async_read_some(
      asio::buffer(link->chunk),
      [self = shared_from_this(), link](const ErrorCode& error, std::size_t bytes) {
        if (self->closed_ || link != self->link_) return;
        if (error) {
          self->OnConnectionFailed(error.message());
          return;
        }
        self->shared_->bytes_received.fetch_add(bytes);
        link->last_received = Clock::Now();
        link->input.append(link->chunk.data(), bytes);
        if (!self->ConsumeInput(*link)) {
          self->OnConnectionFailed("invalid acknowledgement");
          return;
        }
        self->Read(link);
        self->Write(link);
      });
}

bool OutgoingConnection::ConsumeInput(Link& link) {
  std::string_view rest = link.input;
  try {
    for (;;) {
      const auto length = FrameLength(rest);
      if (!length) break;
      // An acknowledgement is only a header, so a longer frame is refused before its body arrives.
      if (*length != kFrameHeaderBytes) throw Error(ErrorKind::kBadFrame, "not an acknowledgement");
      const Frame frame = DecodeFrame(rest.substr(0, *length));
      rest.remove_prefix(*length);
      if (frame.message || frame.sequence >= shared_->next_sequence.load()) {
        throw Error(ErrorKind::kBadFrame, "acknowledges a message that was not sent");
      }
      queue_.Acknowledge(frame.sequence);
      ever_acknowledged_ = true;
      await_first_acknowledgement_ = false;
      backoff_ = kFirstBackoff;
    }
  } catch (const Error& error) {
    shared_->RejectFrame(to_.ToString(), error.what());
    return false;
  }
  link.input.erase(0, link.input.size() - rest.size());
  return true;
}

void OutgoingConnection::Write(const LinkPointer& link) {
  if (link->writing) return;
  std::vector<asio::const_buffer> buffers;
  if (!await_first_acknowledgement_) link->frames = queue_.TakeUntransmitted(kWriteBatchBytes);
  if (link->control.empty() && link->frames.empty()) return;
  auto control = std::make_shared<const std::string>(std::exchange(link->control, {}));
  shared_->messages_sent.fetch_add(link->frames.size());
  link->frames.insert(link->frames.begin(), std::move(control));
  buffers.reserve(link->frames.size());
  for (const FrameBytes& frame : link->frames) buffers.emplace_back(asio::buffer(*frame));
  link->writing = true;
  asio::async_write(link->socket, buffers,
                    [self = shared_from_this(), link](const ErrorCode& error, std::size_t bytes) {
                      link->writing = false;
                      link->frames.clear();
                      self->shared_->bytes_sent.fetch_add(bytes);
                      if (self->closed_ || link != self->link_) return;
                      link->last_sent = Clock::Now();
                      if (error) {
                        self->OnConnectionFailed(error.message());
                      } else {
                        self->Write(link);
                      }
                    });
}

void OutgoingConnection::OnTimer() {
  if (connecting_) {
    OnConnectionFailed("no answer to the connection request");
    return;
  }
  if (link_ == nullptr) return;
  const TimePoint now = Clock::Now();
  const TransportOptions& options = shared_->options;
  if (now - link_->last_received >= options.silence_limit) {
    OnConnectionFailed("silent");
    return;
  }
  DropOldMessages();
  if (!queue_.empty()) last_message_ = now;
  if (now - last_message_ >= options.idle_close) {
    Log(EventId::kConnectionClosed, "peer={} reason=idle", to_.ToString());
    CloseLink();
    shared_->RemoveIfIdle(to_, this);
    return;
  }
  if (!link_->writing && now - link_->last_sent >= options.heartbeat_interval) {
    link_->control += EncodeFrame({0, std::nullopt});
    Write(link_);
  }
  ArmTimer(std::min(options.heartbeat_interval, options.silence_limit) / 2,
           &OutgoingConnection::OnTimer);
}

void OutgoingConnection::DropOldMessages() {
  const Duration limit =
      ever_acknowledged_ ? shared_->options.outage_drop : shared_->options.unanswered_drop;
  const std::size_t dropped = queue_.DropOlderThan(Clock::Now() - limit);
  if (dropped == 0) return;
  shared_->messages_dropped.fetch_add(dropped);
  Log(EventId::kConnectionClosed, "peer={} reason=unreachable dropped={}", to_.ToString(), dropped);
}

void OutgoingConnection::OnConnectionFailed(const std::string& reason) {
  const bool was_open = link_ != nullptr && !connecting_;
  CloseLink();
  DropOldMessages();
  if (queue_.empty()) {
    Log(EventId::kConnectionClosed, "peer={} reason=\"{}\"", to_.ToString(), reason);
    shared_->RemoveIfIdle(to_, this);
    return;
  }
  if (was_open) {
    failed_before_ = true;
    Log(EventId::kConnectionReplaced, "peer={} reason=\"{}\"", to_.ToString(), reason);
  }
  waiting_to_dial_ = true;
  ArmTimer(shared_->Jitter(backoff_), &OutgoingConnection::Dial);
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
}

void OutgoingConnection::CloseLink() {
  ++timer_generation_;
  timer_.cancel();
  connecting_ = false;
  if (link_ == nullptr) return;
  ErrorCode ignored;
  link_->socket.close(ignored);
  link_.reset();
  queue_.RestartTransmission();
}

void OutgoingConnection::Close() {
  closed_ = true;
  CloseLink();
  queue_.Clear();
}

}  // namespace basilspring::internal
