#ifndef BASILSPRING_SRC_CONNECTION_HTTP_POOL_H_
#define BASILSPRING_SRC_CONNECTION_HTTP_POOL_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"
#include "connection/io_dispatcher.h"

namespace basilspring::internal {

class HttpExchange;

struct HttpConnection {
  explicit HttpConnection(boost::asio::io_context& context) : socket(context) {}

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  TimePoint idle_since;
};

/// Idle connections and running exchanges of a client. Used only on the I/O thread, except for
/// `dispatcher`.
class HttpPool {
 public:
  /// A server, and the connection group of a request to it.
  using Destination = std::pair<Address, int>;

  HttpPool(boost::asio::io_context& io, std::size_t max_idle_per_server);

  /// Returns the most recently used idle connection that is still open, or null.
  std::unique_ptr<HttpConnection> Acquire(const Destination& destination);
  /// Returns a connection to the pool. If the pool is full, the oldest idle connection to the
  /// destination is closed.
  void Release(const Destination& destination, std::unique_ptr<HttpConnection> connection);
  /// Closes the idle connections to a destination.
  void CloseIdle(const Destination& destination) { idle_.erase(destination); }
  /// Cancels all exchanges and closes all connections.
  void Close();

  boost::asio::io_context& context;
  const std::shared_ptr<IoDispatcher> dispatcher;
  std::set<std::shared_ptr<HttpExchange>> exchanges;

 private:
  void RemoveExpired(std::vector<std::unique_ptr<HttpConnection>>& connections);

  std::size_t max_idle_per_server_;
  bool closed_ = false;
  std::map<Destination, std::vector<std::unique_ptr<HttpConnection>>> idle_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_HTTP_POOL_H_
