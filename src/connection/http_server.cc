#include "basilspring/connection/http_server.h"

#include <fmt/format.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <limits>
#include <utility>

#include "basilspring/error.h"
#include "connection/http_session.h"
#include "process/io_thread_internal.h"

namespace basilspring {
namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Number of connections over the limit that are kept open to receive a 503 response; further ones
/// are closed without a response.
constexpr std::size_t kMaxRefusedConnections = 64;
/// Size of one read call.
constexpr std::size_t kReadBytes = 16 * 1024;
/// Delay after a failed accept, for example when the process has no file descriptors left.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};
/// Delay if a connection was closed to free a descriptor.
constexpr std::chrono::milliseconds kAcceptRetryAfterClose{1};

}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(asio::io_context& io, Handler handler, const HttpLimits& limits,
       std::shared_ptr<ConnectionBudget> budget, std::string listener)
      : context(io),
        acceptor(io),
        retry_timer(io),
        shared(std::make_shared<internal::HttpServerShared>(io)) {
    shared->handler = std::make_shared<const Handler>(std::move(handler));
    shared->limits = limits;
    shared->budget = std::move(budget);
    shared->listener = std::move(listener);
    if (!shared->budget) {
      constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
      shared->budget = std::make_shared<ConnectionBudget>(ConnectionLimits{kUnlimited, kUnlimited});
    }
    shared->read_buffer.resize(kReadBytes);
  }

  void Listen(const Address& listen);
  void Accept();
  void AddSession(tcp::socket socket);
  void StopAccepting();
  std::size_t CloseIdleConnections();
  void Close();

  asio::io_context& context;
  tcp::acceptor acceptor;
  asio::steady_timer retry_timer;
  std::shared_ptr<internal::HttpServerShared> shared;
  Address address;
};

void HttpServer::Impl::Listen(const Address& listen) {
  try {
    const tcp::endpoint endpoint(asio::ip::make_address(listen.ip), listen.port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    acceptor.non_blocking(true);
    address = Address{listen.ip, acceptor.local_endpoint().port()};
  } catch (const boost::system::system_error& error) {
    throw Error(ErrorKind::kInternal,
                fmt::format("can't listen on {}: {}", listen.ToString(), error.what()));
  }
}

void HttpServer::Impl::Accept() {
  acceptor.async_accept([self = shared_from_this()](const error_code& error, tcp::socket socket) {
    if (!self->acceptor.is_open()) return;
    if (error) {
      const bool no_descriptors = error == asio::error::no_descriptors ||
                                  error == boost::system::errc::too_many_files_open_in_system;
      const bool freed = no_descriptors && self->shared->budget->CloseForDescriptor(Clock::Now());
      self->retry_timer.expires_after(freed ? kAcceptRetryAfterClose : kAcceptRetryDelay);
      self->retry_timer.async_wait([self](const error_code& cancelled) {
        if (!cancelled && self->acceptor.is_open()) self->Accept();
      });
      return;
    }
    self->AddSession(std::move(socket));
    self->Accept();
  });
}

void HttpServer::Impl::AddSession(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const std::size_t limit = shared->limits.max_connections;
  if (shared->sessions.size() >= limit + kMaxRefusedConnections) return;
  const bool refused = shared->sessions.size() >= limit;
  const auto session = std::make_shared<internal::HttpSession>(shared, std::move(socket));
  shared->sessions.insert(session);
  session->JoinBudget();
  if (refused) {
    session->RejectOverload("too many connections");
  } else {
    session->AwaitRequest();
  }
}

void HttpServer::Impl::StopAccepting() {
  shared->stopping = true;
  if (!acceptor.is_open()) return;
  // Connections in the listen queue are already established for their callers, so they are served.
  for (;;) {
    error_code error;
    tcp::socket socket = acceptor.accept(error);
    if (error) break;
    AddSession(std::move(socket));
  }
  error_code ignored;
  acceptor.close(ignored);
  retry_timer.cancel();
}

std::size_t HttpServer::Impl::CloseIdleConnections() {
  // A copy, because a session that closes removes itself from the set.
  const auto sessions = shared->sessions;
  for (const auto& session : sessions) session->CloseIfIdle();
  return shared->sessions.size();
}

void HttpServer::Impl::Close() {
  error_code ignored;
  acceptor.close(ignored);
  retry_timer.cancel();
  while (!shared->sessions.empty()) {
    const std::shared_ptr<internal::HttpSession> session = *shared->sessions.begin();
    session->Close();
  }
  shared->handler = nullptr;
}

HttpServer::HttpServer(IoThread& io, const Address& listen, Handler handler,
                       const HttpLimits& limits, std::shared_ptr<ConnectionBudget> budget,
                       std::string listener)
    : impl_(std::make_shared<Impl>(internal::IoContextOf(io), std::move(handler), limits,
                                   std::move(budget), std::move(listener))) {
  impl_->Listen(listen);
  impl_->shared->dispatcher->Dispatch([impl = impl_] { impl->Accept(); });
}

HttpServer::~HttpServer() {
  impl_->shared->dispatcher->DispatchAndWait([impl = impl_] { impl->Close(); });
  impl_->shared->dispatcher->Close();
}

Address HttpServer::address() const { return impl_->address; }

void HttpServer::StopAccepting() {
  impl_->shared->dispatcher->DispatchAndWait([impl = impl_] { impl->StopAccepting(); });
}

std::size_t HttpServer::CloseIdleConnections() {
  std::size_t remaining = 0;
  impl_->shared->dispatcher->DispatchAndWait(
      [impl = impl_, &remaining] { remaining = impl->CloseIdleConnections(); });
  return remaining;
}

std::size_t HttpServer::in_flight() const { return impl_->shared->in_flight.load(); }

}  // namespace basilspring
