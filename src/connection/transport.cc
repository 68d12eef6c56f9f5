#include "basilspring/connection/transport.h"

#include <fmt/format.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <random>
#include <utility>

#include "basilspring/connection/frame.h"
#include "basilspring/process/log.h"
#include "connection/datagram_socket.h"
#include "connection/incoming_connection.h"
#include "connection/outgoing_connection.h"
#include "connection/transport_shared.h"
#include "process/io_thread_internal.h"

namespace basilspring {
namespace internal {
namespace {

constexpr Duration kRejectionLogInterval = Duration(1000);

}  // namespace

void TransportShared::Deliver(const Address& from, Message message) {
  messages_received.fetch_add(1);
  // Holds a reference, because the handler may destroy the transport.
  const auto current_handler = handler;
  if (closed || current_handler == nullptr) return;
  try {
    (*current_handler)(from, std::move(message));
  } catch (const std::exception& error) {
    Log(EventId::kInternalError, "message handler threw on a message from {}: {}", from.ToString(),
        error.what());
  }
}

void TransportShared::RejectFrame(const std::string& from, const std::string& reason) {
  bad_frames.fetch_add(1);
  const TimePoint now = Clock::Now();
  // A peer that sends only invalid frames must not fill the log.
  if (last_rejection_logged != TimePoint() && now - last_rejection_logged < kRejectionLogInterval) {
    return;
  }
  last_rejection_logged = now;
  Log(EventId::kFrameRejected, "peer={} reason=\"{}\"", from, reason);
}

Duration TransportShared::Jitter(Duration backoff) {
  std::uniform_int_distribution<std::int64_t> share(backoff.milliseconds() / 2,
                                                    backoff.milliseconds());
  return Duration(share(random));
}

void TransportShared::RemoveIfIdle(const Address& to, const OutgoingConnection* connection) {
  const std::lock_guard<std::mutex> lock(mutex);
  const auto found = outgoing.find(to);
  if (found == outgoing.end() || found->second.get() != connection) return;
  if (found->second->idle()) outgoing.erase(found);
}

}  // namespace internal

namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Limit above the number of connections that a process needs in a deployment of the target size;
/// further connections are closed at once.
constexpr std::size_t kMaxIncomingConnections = 4096;
/// Number of attempts to find a port that is free for both TCP and UDP if the caller doesn't choose
/// one.
constexpr int kMaxPortAttempts = 20;
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

}  // namespace

class Transport::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, const ProcessId& process, MessageHandler handler,
       const TransportOptions& options)
      : shared_(std::make_shared<internal::TransportShared>(context)),
        acceptor_(context),
        retry_timer_(context) {
    shared_->process = process;
    std::random_device entropy;
    shared_->incarnation = Incarnation((std::uint64_t{entropy()} << 32) | entropy() | 1);
    shared_->handler = std::make_shared<const MessageHandler>(std::move(handler));
    shared_->options = options;
  }

  void Listen(const Address& listen);
  void Start() {
    Accept();
    datagrams_->Receive();
  }
  bool Send(const Address& to, std::string frame);
  void DropPeer(const Address& to);
  void Close();
  internal::TransportShared& shared() { return *shared_; }
  internal::DatagramSocket& datagrams() { return *datagrams_; }

 private:
  void Bind(const Address& listen);
  void Accept();
  void AddIncoming(tcp::socket socket);

  std::shared_ptr<internal::TransportShared> shared_;
  tcp::acceptor acceptor_;
  std::shared_ptr<internal::DatagramSocket> datagrams_;
  asio::steady_timer retry_timer_;
};

void Transport::Impl::Listen(const Address& listen) {
  for (int attempt = 1;; ++attempt) {
    try {
      Bind(listen);
      return;
    } catch (const boost::system::system_error& error) {
      acceptor_.close();
      if (listen.port == 0 && attempt < kMaxPortAttempts) continue;
      throw Error(ErrorKind::kInternal,
                  fmt::format("can't listen on {}: {}", listen.ToString(), error.what()));
    }
  }
}

void Transport::Impl::Bind(const Address& listen) {
  const tcp::endpoint endpoint(asio::ip::make_address(listen.ip), listen.port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  shared_->listen = Address{listen.ip, acceptor_.local_endpoint().port()};
  datagrams_ = std::make_shared<internal::DatagramSocket>(shared_);
  datagrams_->Bind(shared_->listen);
  acceptor_.listen();
}

void Transport::Impl::Accept() {
  acceptor_.async_accept([self = shared_from_this()](const error_code& error, tcp::socket socket) {
    if (!self->acceptor_.is_open()) return;
    if (!error) {
      self->AddIncoming(std::move(socket));
      self->Accept();
      return;
    }
    self->retry_timer_.expires_after(kAcceptRetryDelay);
    self->retry_timer_.async_wait([self](const error_code& cancelled) {
      if (!cancelled && self->acceptor_.is_open()) self->Accept();
    });
  });
}

void Transport::Impl::AddIncoming(tcp::socket socket) {
  if (shared_->incoming.size() >= kMaxIncomingConnections) return;
  const auto connection =
      std::make_shared<internal::IncomingConnection>(shared_, std::move(socket));
  shared_->incoming.insert(connection);
  connection->Start();
}

bool Transport::Impl::Send(const Address& to, std::string frame) {
  // Pushes under the lock, so that RemoveIfIdle can't remove the connection in between.
  const std::lock_guard<std::mutex> lock(shared_->mutex);
  auto& connection = shared_->outgoing[to];
  if (connection == nullptr) {
    connection = std::make_shared<internal::OutgoingConnection>(shared_, to);
  }
  return connection->Push(std::move(frame));
}

void Transport::Impl::DropPeer(const Address& to) {
  const std::lock_guard<std::mutex> lock(shared_->mutex);
  const auto found = shared_->outgoing.find(to);
  if (found == shared_->outgoing.end()) return;
  shared_->dispatcher->Post([connection = found->second] { connection->Close(); });
  shared_->outgoing.erase(found);
}

void Transport::Impl::Close() {
  shared_->closed = true;
  error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
  datagrams_->Close();
  while (!shared_->incoming.empty()) {
    const std::shared_ptr<internal::IncomingConnection> connection = *shared_->incoming.begin();
    connection->Close("the process stops");
  }
  const std::lock_guard<std::mutex> lock(shared_->mutex);
  for (const auto& [to, connection] : shared_->outgoing) connection->Close();
  shared_->outgoing.clear();
}

Transport::Transport(IoThread& io, const ProcessId& process, const Address& listen,
                     MessageHandler handler, const TransportOptions& options)
    : impl_(
          std::make_shared<Impl>(internal::IoContextOf(io), process, std::move(handler), options)) {
  impl_->Listen(listen);
  impl_->shared().dispatcher->Post([impl = impl_] { impl->Start(); });
}

Transport::~Transport() {
  impl_->shared().dispatcher->DispatchAndWait([impl = impl_] { impl->Close(); });
  impl_->shared().dispatcher->Close();
}

bool Transport::Send(const Address& to, const Message& message) {
  try {
    return impl_->Send(to, EncodeFrame({0, message}));
  } catch (const Error& error) {
    Log(EventId::kInternalError, "message to {} not sent: {}", to.ToString(), error.what());
    return false;
  }
}

bool Transport::SendDatagram(const Address& to, const Message& message) {
  try {
    const std::string frame = EncodeFrame({0, message});
    if (frame.size() > kMaxDatagramBytes) return false;
    impl_->datagrams().Send(to, frame);
    return true;
  } catch (const Error&) {
    return false;
  }
}

void Transport::DropPeer(const Address& to) { impl_->DropPeer(to); }

bool Transport::Drained() const { return impl_->shared().unacknowledged.load() == 0; }

Address Transport::address() const { return impl_->shared().listen; }

TransportCounters Transport::counters() const {
  const internal::TransportShared& shared = impl_->shared();
  TransportCounters counters;
  counters.bytes_sent = shared.bytes_sent.load();
  counters.bytes_received = shared.bytes_received.load();
  counters.messages_sent = shared.messages_sent.load();
  counters.messages_received = shared.messages_received.load();
  counters.messages_dropped = shared.messages_dropped.load();
  counters.reconnects = shared.reconnects.load();
  counters.duplicates_dropped = shared.duplicates_dropped.load();
  counters.bad_frames = shared.bad_frames.load();
  return counters;
}

}  // namespace basilspring
