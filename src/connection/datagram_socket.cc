#include "connection/datagram_socket.h"

#include <sys/socket.h>

#include <chrono>
#include <utility>

#include "basilspring/process/log.h"

namespace basilspring::internal {
namespace {

namespace asio = boost::asio;
using boost::asio::ip::udp;
using boost::system::error_code;

/// Holds the heartbeats of an entire cell that arrive while the I/O thread is busy.
constexpr int kReceiveBufferBytes = 1024 * 1024;
/// Maximum number of datagrams handled in a row, so that other sockets are served in between.
constexpr int kMaxDatagramsPerRead = 64;
constexpr std::chrono::milliseconds kReceiveRetryDelay{100};

}  // namespace

DatagramSocket::DatagramSocket(std::shared_ptr<TransportShared> shared)
    : shared_(std::move(shared)), socket_(shared_->context), retry_timer_(shared_->context) {}

void DatagramSocket::Bind(const Address& listen) {
  const udp::endpoint endpoint(asio::ip::make_address(listen.ip), listen.port);
  socket_.open(endpoint.protocol());
  socket_.bind(endpoint);
  socket_.non_blocking(true);
  error_code ignored;  // The system may limit the buffer; the socket works with less.
  socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
}

void DatagramSocket::Receive() {
  socket_.async_wait(udp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
    if (!self->socket_.is_open()) return;
    if (!error) {
      self->ReceivePending();
      return;
    }
    self->retry_timer_.expires_after(kReceiveRetryDelay);
    self->retry_timer_.async_wait([self](const error_code& cancelled) {
      if (!cancelled && self->socket_.is_open()) self->Receive();
    });
  });
}

void DatagramSocket::ReceivePending() {
  for (int i = 0; i < kMaxDatagramsPerRead && socket_.is_open(); ++i) {
    error_code error;
    const std::size_t bytes = socket_.receive_from(asio::buffer(buffer_), source_, 0, error);
    if (error == asio::error::would_block) break;
    // Other errors report that an earlier datagram was not delivered.
    if (!error) OnDatagram(bytes);
  }
  if (socket_.is_open()) Receive();
}

void DatagramSocket::OnDatagram(std::size_t bytes) {
  shared_->bytes_received.fetch_add(bytes);
  const Address from{source_.address().to_string(), source_.port()};
  try {
    if (bytes > kMaxDatagramBytes) throw Error(ErrorKind::kBadFrame, "the datagram is too long");
    Frame frame = DecodeFrame(std::string_view(buffer_.data(), bytes));
    if (!frame.message) throw Error(ErrorKind::kBadFrame, "a datagram without a message");
    shared_->Deliver(from, std::move(*frame.message));
  } catch (const Error& error) {
    shared_->RejectFrame(from.ToString(), error.what());
  }
}

void DatagramSocket::Send(const Address& to, const std::string& frame) {
  error_code error;
  const auto ip = asio::ip::make_address(to.ip, error);
  if (error) return;
  const udp::endpoint endpoint(ip, to.port);
  // The system call is thread-safe, unlike the Asio socket.
  const ssize_t sent =
      ::sendto(socket_.native_handle(), frame.data(), frame.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
               endpoint.data(), static_cast<socklen_t>(endpoint.size()));
  if (sent < 0) return;
  shared_->bytes_sent.fetch_add(static_cast<std::uint64_t>(sent));
  shared_->messages_sent.fetch_add(1);
}

void DatagramSocket::Close() {
  error_code ignored;
  retry_timer_.cancel();
  socket_.close(ignored);
}

}  // namespace basilspring::internal
