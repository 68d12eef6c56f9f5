#ifndef BASILSPRING_SRC_CONNECTION_DATAGRAM_SOCKET_H_
#define BASILSPRING_SRC_CONNECTION_DATAGRAM_SOCKET_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "connection/transport_shared.h"

namespace basilspring::internal {

/// The UDP socket of a transport. It is bound to the listen address, so a datagram's source address
/// is the address to which answers go.
class DatagramSocket : public std::enable_shared_from_this<DatagramSocket> {
 public:
  explicit DatagramSocket(std::shared_ptr<TransportShared> shared);

  /// Throws boost::system::system_error when the port is taken.
  void Bind(const Address& listen);
  void Receive();
  void Close();

  /// Sends at once, from any thread; a datagram that the socket does not take is lost.
  void Send(const Address& to, const std::string& frame);

 private:
  void Drain();
  void OnDatagram(std::size_t bytes);

  std::shared_ptr<TransportShared> shared_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer retry_timer_;
  boost::asio::ip::udp::endpoint source_;
  // One byte more than allowed shows that a datagram is too long.
  std::array<char, kMaxDatagramBytes + 1> buffer_{};
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_DATAGRAM_SOCKET_H_
