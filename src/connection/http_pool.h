#ifndef BASILSPRING_SRC_CONNECTION_HTTP_POOL_H_
#define BASILSPRING_SRC_CONNECTION_HTTP_POOL_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"
#include "connection/io_gate.h"

namespace basilspring::internal {

class HttpExchange;

struct HttpConnection {
  explicit HttpConnection(boost::asio::io_context& context) : socket(context) {}

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  TimePoint idle_since;
};

/// Idle connections and running exchanges of a client. Only the I/O thread touches it, but for the
/// gate.
class HttpPool {
 public:
  HttpPool(boost::asio::io_context& io, std::size_t max_idle_per_server);

  /// An idle connection that is still open, or null. The most recently used comes first.
  std::unique_ptr<HttpConnection> Take(const Address& server);
  void Put(const Address& server, std::unique_ptr<HttpConnection> connection);
  /// Closes the idle connections to a server.
  void Drop(const Address& server) { idle_.erase(server); }
  /// Cancels all exchanges and closes all connections.
  void Close();

  boost::asio::io_context& context;
  const std::shared_ptr<IoGate> gate;
  std::set<std::shared_ptr<HttpExchange>> exchanges;

 private:
  void DropOld(std::vector<std::unique_ptr<HttpConnection>>& connections);

  std::size_t max_idle_per_server_;
  bool closed_ = false;
  std::map<Address, std::vector<std::unique_ptr<HttpConnection>>> idle_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_HTTP_POOL_H_
