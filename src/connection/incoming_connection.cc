#include "connection/incoming_connection.h"

#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "basilspring/process/log.h"

namespace basilspring::internal {
namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

}  // namespace

IncomingConnection::IncomingConnection(std::shared_ptr<TransportShared> shared, tcp::socket socket)
    : shared_(std::move(shared)),
      socket_(std::move(socket)),
      timer_(shared_->context),
      last_received_(Clock::Now()) {
  ErrorCode ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  const tcp::endpoint remote = socket_.remote_endpoint(ignored);
  remote_ = Address{remote.address().to_string(), remote.port()}.ToString();
}

void IncomingConnection::Start() {
  ArmSilenceTimer(shared_->options.silence_limit);
  Read();
}

void IncomingConnection::ArmSilenceTimer(Duration after) {
  timer_.expires_after(std::chrono::milliseconds(after.milliseconds()));
  timer_.async_wait([self = shared_from_this()](const ErrorCode& error) {
    if (error || self->closed_) return;
    const Duration left =
        self->last_received_ + self->shared_->options.silence_limit - Clock::Now();
    if (left <= Duration(0)) {
      self->Close("silent");
    } else {
      self->ArmSilenceTimer(left);
    }
  });
}

void IncomingConnection::Read() {
  socket_.async_read_some(asio::buffer(chunk_),
                          [self = shared_from_this()](const ErrorCode& error, std::size_t bytes) {
                            if (self->closed_) return;
                            if (error) {
                              self->Close(error.message());
                            } else {
                              self->OnRead(bytes);
                            }
                          });
}

void IncomingConnection::OnRead(std::size_t bytes) {
  last_received_ = Clock::Now();
  shared_->bytes_received.fetch_add(bytes);
  input_.append(chunk_.data(), bytes);
  try {
    ConsumeInput();
  } catch (const Error& error) {
    shared_->RejectFrame(remote_, error.what());
    Close("bad frame");
  }
  if (closed_) return;
  Read();
}

void IncomingConnection::ConsumeInput() {
  std::string_view rest = input_;
  bool any = false;
  while (!closed_) {
    const auto length = FrameLength(rest);
    if (!length || rest.size() < *length) break;
    Frame frame = DecodeFrame(rest.substr(0, *length));
    rest.remove_prefix(*length);
    any = true;
    const bool is_hello = frame.message && std::holds_alternative<Hello>(*frame.message);
    if (is_hello == hello_received_) {
      throw Error(ErrorKind::kBadFrame,
                  hello_received_ ? "second Hello" : "the first frame is not Hello");
    }
    if (is_hello) {
      OnHello(std::get<Hello>(*frame.message));
    } else if (frame.message) {
      OnMessage(frame.sequence, std::move(*frame.message));
    }
  }
  input_.erase(0, input_.size() - rest.size());
  // One acknowledgement for all frames that were read together; it answers heartbeats as well.
  if (any && !closed_) Acknowledge();
}

void IncomingConnection::OnHello(const Hello& hello) {
  ErrorCode error;
  asio::ip::make_address(hello.listen.ip, error);
  if (error || hello.listen.port == 0 || hello.process.empty()) {
    throw Error(ErrorKind::kBadFrame, "Hello without a process or a listen address");
  }
  hello_received_ = true;
  sender_key_ = {hello.process, hello.incarnation};
  from_ = hello.listen;
  // A sender keeps messages no longer than outage_drop, so its state is not needed after that.
  const TimePoint oldest = last_received_ - shared_->options.outage_drop * 2;
  std::erase_if(shared_->senders, [oldest](const auto& entry) {
    return entry.second.last_heard < oldest && entry.second.connection.expired();
  });
  SenderState& record = sender();
  record.last_heard = last_received_;
  const auto earlier = std::exchange(record.connection, weak_from_this()).lock();
  if (earlier != nullptr) earlier->Close("replaced by its peer");
  Log(EventId::kConnectionOpened, "peer={} process={} incarnation={}", from_.ToString(),
      hello.process.value(), hello.incarnation.value());
}

void IncomingConnection::OnMessage(std::uint64_t sequence, Message message) {
  SenderState& record = sender();
  record.last_heard = last_received_;
  if (sequence <= record.last_sequence) {
    shared_->duplicates_dropped.fetch_add(1);
    return;
  }
  record.last_sequence = sequence;
  shared_->Deliver(from_, std::move(message));
}

void IncomingConnection::Acknowledge() {
  if (writing_) {
    acknowledgement_due_ = true;
    return;
  }
  writing_ = true;
  acknowledgement_due_ = false;
  output_ = EncodeFrame({sender().last_sequence, std::nullopt});
  asio::async_write(socket_, asio::buffer(output_),
                    [self = shared_from_this()](const ErrorCode& error, std::size_t bytes) {
                      self->writing_ = false;
                      self->shared_->bytes_sent.fetch_add(bytes);
                      if (self->closed_) return;
                      if (error) {
                        self->Close(error.message());
                      } else if (self->acknowledgement_due_) {
                        self->Acknowledge();
                      }
                    });
}

void IncomingConnection::Close(const std::string& reason) {
  if (closed_) return;
  closed_ = true;
  timer_.cancel();
  ErrorCode ignored;
  socket_.close(ignored);
  Log(EventId::kConnectionClosed, "peer={} reason=\"{}\"",
      hello_received_ ? from_.ToString() : remote_, reason);
  shared_->incoming.erase(shared_from_this());
}

}  // namespace basilspring::internal
