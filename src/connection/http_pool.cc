#include "connection/http_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "connection/http_exchange.h"

namespace basilspring::internal {
namespace {

/// Half of the server's idle timeout, so that a request rarely uses a connection that the server is
/// closing.
constexpr Duration kMaxIdle = Duration::Seconds(30);

/// Whether the socket is open and has nothing to read. An idle connection that is readable was
/// either closed by the server or has received bytes that belong to no request.
bool IsReusable(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t got = ::recv(socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

HttpPool::HttpPool(boost::asio::io_context& io, std::size_t max_idle_per_server)
    : context(io),
      dispatcher(std::make_shared<IoDispatcher>(io)),
      max_idle_per_server_(max_idle_per_server) {}

std::unique_ptr<HttpConnection> HttpPool::Acquire(const Destination& destination) {
  const auto found = idle_.find(destination);
  if (found == idle_.end()) return nullptr;
  auto& connections = found->second;
  RemoveExpired(connections);
  std::unique_ptr<HttpConnection> taken;
  while (!connections.empty() && taken == nullptr) {
    std::unique_ptr<HttpConnection> candidate = std::move(connections.back());
    connections.pop_back();
    if (IsReusable(candidate->socket)) taken = std::move(candidate);
  }
  if (connections.empty()) idle_.erase(found);
  return taken;
}

void HttpPool::Release(const Destination& destination, std::unique_ptr<HttpConnection> connection) {
  if (closed_ || max_idle_per_server_ == 0) return;
  connection->idle_since = Clock::Now();
  auto& connections = idle_[destination];
  RemoveExpired(connections);
  if (connections.size() >= max_idle_per_server_) connections.erase(connections.begin());
  connections.push_back(std::move(connection));
}

void HttpPool::RemoveExpired(std::vector<std::unique_ptr<HttpConnection>>& connections) {
  const TimePoint oldest = Clock::Now() - kMaxIdle;
  std::erase_if(connections,
                [oldest](const auto& connection) { return connection->idle_since < oldest; });
}

void HttpPool::Close() {
  closed_ = true;
  while (!exchanges.empty()) {
    const std::shared_ptr<HttpExchange> exchange = *exchanges.begin();
    exchange->Cancel();
  }
  idle_.clear();
}

}  // namespace basilspring::internal
