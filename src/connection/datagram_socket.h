#ifndef BASILSPRING_SRC_CONNECTION_DATAGRAM_SOCKET_H_
#define BASILSPRING_SRC_CONNECTION_DATAGRAM_SOCKET_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "connection/transport_shared.h"

namespace basilspring::internal {

/// The UDP socket of a transport. It is bound to the listen address, so the source address of a
/// datagram is the address to which answers are sent.
class DatagramSocket : public std::enable_shared_from_this<DatagramSocket> {
 public:
  explicit DatagramSocket(std::shared_ptr<TransportShared> shared);

  /// Throws boost::system::system_error if the port is taken.
  void Bind(const Address& listen);
  void Receive();
  void Close();

  /// Sends without waiting, from any thread. If the socket does not accept the datagram, it is
  /// lost.
  void Send(const Address& to, const std::string& frame);

 private:
  void ReceivePending();
  void OnDatagram(std::size_t bytes);

  std::shared_ptr<TransportShared> shared_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer retry_timer_;
  boost::asio::ip::udp::endpoint source_;
  // One byte larger than the limit, so that a datagram over the limit is detected.
  std::array<char, kMaxDatagramBytes + 1> buffer_{};
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_DATAGRAM_SOCKET_H_
