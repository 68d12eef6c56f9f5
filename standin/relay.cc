#include "standin/relay.h"

#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include "connection/io_dispatcher.h"
#include "process/io_thread_internal.h"

namespace basilspring::standin {
namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using boost::system::error_code;

constexpr std::size_t kBufferBytes = 64 * 1024;

/// The directions that are cut.
struct Cuts {
  bool towards_target = false;
  bool towards_clients = false;
};

/// One TCP connection of a client and the corresponding connection to the target.
class RelayedConnection : public std::enable_shared_from_this<RelayedConnection> {
 public:
  RelayedConnection(asio::io_context& context, tcp::socket client, std::shared_ptr<Cuts> cuts,
                    std::function<void(const std::shared_ptr<RelayedConnection>&)> on_closed)
      : cuts_(std::move(cuts)),
        on_closed_(std::move(on_closed)),
        client_(std::move(client)),
        target_(context) {}

  void Start(const tcp::endpoint& target) {
    target_.async_connect(target, [self = shared_from_this()](const error_code& error) {
      if (error) {
        self->Close();
        return;
      }
      error_code ignored;
      self->client_.set_option(tcp::no_delay(true), ignored);
      self->target_.set_option(tcp::no_delay(true), ignored);
      self->Read(self->to_target_);
      self->Read(self->to_client_);
    });
  }
  void Silence() { silent_ = true; }
  void Hold(bool hold) {
    held_ = hold;
    Resume();
  }
  /// Delivers the data that was held back in the directions that are no longer cut.
  void Resume() {
    Forward(to_target_);
    Forward(to_client_);
  }
  void Close() {
    if (closed_) return;
    closed_ = true;
    error_code ignored;
    client_.close(ignored);
    target_.close(ignored);
    on_closed_(shared_from_this());
  }

 private:
  /// One direction of the connection. At most one buffer of data is held back; TCP flow control
  /// stops the sender.
  struct Direction {
    tcp::socket& from;
    tcp::socket& to;
    const bool& cut;
    std::array<char, kBufferBytes> buffer{};
    std::size_t pending_bytes = 0;
    bool pending_end = false;
    bool finished = false;
  };

  bool Blocked(const Direction& direction) const { return silent_ || held_ || direction.cut; }

  void Read(Direction& direction) {
    direction.from.async_read_some(
        asio::buffer(direction.buffer),
        [self = shared_from_this(), &direction](const error_code& error, std::size_t bytes) {
          if (self->closed_) return;
          direction.pending_bytes = bytes;
          direction.pending_end = static_cast<bool>(error);
          self->Forward(direction);
        });
  }
  void Forward(Direction& direction) {
    if (closed_ || Blocked(direction)) return;
    if (direction.pending_end) {
      Finish(direction);
    } else if (direction.pending_bytes > 0) {
      asio::async_write(
          direction.to, asio::buffer(direction.buffer.data(), direction.pending_bytes),
          [self = shared_from_this(), &direction](const error_code& error, std::size_t) {
            if (self->closed_) return;
            if (error) {
              self->Close();
            } else {
              self->Read(direction);
            }
          });
      direction.pending_bytes = 0;
    }
  }
  void Finish(Direction& direction) {
    direction.pending_end = false;
    direction.finished = true;
    error_code ignored;
    direction.to.shutdown(tcp::socket::shutdown_send, ignored);
    if (to_target_.finished && to_client_.finished) Close();
  }

  std::shared_ptr<Cuts> cuts_;
  std::function<void(const std::shared_ptr<RelayedConnection>&)> on_closed_;
  tcp::socket client_;
  tcp::socket target_;
  bool silent_ = false;
  bool held_ = false;
  bool closed_ = false;
  Direction to_target_{client_, target_, cuts_->towards_target};
  Direction to_client_{target_, client_, cuts_->towards_clients};
};

}  // namespace

struct Relay::Impl : std::enable_shared_from_this<Relay::Impl> {
  Impl(asio::io_context& io, const Address& to)
      : context(io),
        dispatcher(std::make_shared<internal::IoDispatcher>(io)),
        target_ip(asio::ip::make_address(to.ip)),
        target_port(to.port),
        acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        endpoint(acceptor.local_endpoint()),
        datagrams(io, udp::endpoint(endpoint.address(), endpoint.port())) {}

  void Accept();
  void ReceiveFromClients();
  void ReceiveFromTarget(const udp::endpoint& client, const std::shared_ptr<udp::socket>& socket);
  void ForEachConnection(const std::function<void(RelayedConnection&)>& action) const {
    // Iterates over a copy, because an action that closes a connection removes it from the set.
    const auto open = connections;
    for (const auto& connection : open) action(*connection);
  }
  void Close();

  asio::io_context& context;
  const std::shared_ptr<internal::IoDispatcher> dispatcher;
  const asio::ip::address target_ip;
  const std::uint16_t target_port;
  tcp::acceptor acceptor;
  const tcp::endpoint endpoint;
  bool refusing = false;
  udp::socket datagrams;
  const std::shared_ptr<Cuts> cuts = std::make_shared<Cuts>();
  std::set<std::shared_ptr<RelayedConnection>> connections;
  /// One socket towards the target for each client, so that replies can be returned to that client.
  std::map<udp::endpoint, std::shared_ptr<udp::socket>> client_sockets;
  udp::endpoint source;
  std::array<char, kBufferBytes> buffer{};
  std::array<char, kBufferBytes> reply_buffer{};
  std::atomic<int> accepted{0};
};

void Relay::Impl::Accept() {
  acceptor.async_accept([self = shared_from_this()](const error_code& error, tcp::socket socket) {
    if (error || self->refusing || !self->acceptor.is_open()) return;
    self->accepted.fetch_add(1);
    const auto connection = std::make_shared<RelayedConnection>(
        self->context, std::move(socket), self->cuts,
        [weak = self->weak_from_this()](const std::shared_ptr<RelayedConnection>& closed) {
          if (const auto relay = weak.lock()) relay->connections.erase(closed);
        });
    self->connections.insert(connection);
    connection->Start(tcp::endpoint(self->target_ip, self->target_port));
    self->Accept();
  });
}

void Relay::Impl::ReceiveFromClients() {
  datagrams.async_receive_from(
      asio::buffer(buffer), source,
      [self = shared_from_this()](const error_code& error, std::size_t bytes) {
        if (!self->datagrams.is_open()) return;
        if (!error && !self->cuts->towards_target) {
          auto& socket = self->client_sockets[self->source];
          if (socket == nullptr) {
            socket = std::make_shared<udp::socket>(
                self->context, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            self->ReceiveFromTarget(self->source, socket);
          }
          error_code ignored;
          socket->send_to(asio::buffer(self->buffer.data(), bytes),
                          udp::endpoint(self->target_ip, self->target_port), 0, ignored);
        }
        self->ReceiveFromClients();
      });
}

void Relay::Impl::ReceiveFromTarget(const udp::endpoint& client,
                                    const std::shared_ptr<udp::socket>& socket) {
  socket->async_wait(udp::socket::wait_read, [self = shared_from_this(), client,
                                              socket](const error_code& error) {
    if (error || !socket->is_open()) return;
    error_code failed;
    udp::endpoint sender;
    const std::size_t bytes =
        socket->receive_from(asio::buffer(self->reply_buffer), sender, 0, failed);
    if (!failed && !self->cuts->towards_clients) {
      self->datagrams.send_to(asio::buffer(self->reply_buffer.data(), bytes), client, 0, failed);
    }
    self->ReceiveFromTarget(client, socket);
  });
}

void Relay::Impl::Close() {
  error_code ignored;
  acceptor.close(ignored);
  datagrams.close(ignored);
  for (const auto& [client, socket] : client_sockets) socket->close(ignored);
  ForEachConnection([](RelayedConnection& connection) { connection.Close(); });
}

Relay::Relay(IoThread& io, const Address& target)
    : impl_(std::make_shared<Impl>(internal::IoContextOf(io), target)) {
  impl_->dispatcher->Post([impl = impl_] {
    impl->Accept();
    impl->ReceiveFromClients();
  });
}

Relay::~Relay() {
  impl_->dispatcher->DispatchAndWait([impl = impl_] { impl->Close(); });
  impl_->dispatcher->Close();
}

Address Relay::address() const { return Address{"127.0.0.1", impl_->endpoint.port()}; }

void Relay::CutTowardsTarget(bool cut) {
  impl_->dispatcher->DispatchAndWait([impl = impl_, cut] {
    impl->cuts->towards_target = cut;
    impl->ForEachConnection([](RelayedConnection& connection) { connection.Resume(); });
  });
}

void Relay::CutTowardsClients(bool cut) {
  impl_->dispatcher->DispatchAndWait([impl = impl_, cut] {
    impl->cuts->towards_clients = cut;
    impl->ForEachConnection([](RelayedConnection& connection) { connection.Resume(); });
  });
}

void Relay::CutBoth(bool cut) {
  CutTowardsTarget(cut);
  CutTowardsClients(cut);
}

void Relay::SilenceOpenConnections() {
  impl_->dispatcher->DispatchAndWait([impl = impl_] {
    impl->ForEachConnection([](RelayedConnection& connection) { connection.Silence(); });
  });
}

void Relay::HoldOpenConnections() {
  impl_->dispatcher->DispatchAndWait([impl = impl_] {
    impl->ForEachConnection([](RelayedConnection& connection) { connection.Hold(true); });
  });
}

void Relay::ReleaseHeldConnections() {
  impl_->dispatcher->DispatchAndWait([impl = impl_] {
    impl->ForEachConnection([](RelayedConnection& connection) { connection.Hold(false); });
  });
}

void Relay::CloseOpenConnections() {
  impl_->dispatcher->DispatchAndWait([impl = impl_] {
    impl->ForEachConnection([](RelayedConnection& connection) { connection.Close(); });
  });
}

void Relay::RefuseConnections(bool refuse) {
  impl_->dispatcher->DispatchAndWait([impl = impl_, refuse] {
    if (refuse == impl->refusing) return;
    impl->refusing = refuse;
    if (!refuse) {
      impl->acceptor.listen();
      impl->Accept();
      return;
    }
    // The port stays bound, so that no other socket takes it meanwhile.
    impl->acceptor.close();
    impl->acceptor.open(impl->endpoint.protocol());
    impl->acceptor.set_option(tcp::acceptor::reuse_address(true));
    impl->acceptor.bind(impl->endpoint);
    impl->ForEachConnection([](RelayedConnection& connection) { connection.Close(); });
  });
}

int Relay::accepted() const { return impl_->accepted.load(); }

}  // namespace basilspring::standin
