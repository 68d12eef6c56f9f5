#ifndef BASILSPRING_SRC_CONNECTION_INCOMING_CONNECTION_H_
#define BASILSPRING_SRC_CONNECTION_INCOMING_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "connection/transport_shared.h"

namespace basilspring::internal {

/// A connection that was opened by a peer: receives the messages of the peer and acknowledges them.
/// Runs on the I/O thread.
class IncomingConnection : public std::enable_shared_from_this<IncomingConnection> {
 public:
  IncomingConnection(std::shared_ptr<TransportShared> shared, boost::asio::ip::tcp::socket socket);

  void Start();
  void Close(const std::string& reason);

 private:
  using ErrorCode = boost::system::error_code;

  void Read();
  void OnRead(std::size_t bytes);
  /// Handles all complete frames that have arrived. Throws Error(kBadFrame) if one is invalid.
  void ConsumeInput();
  void OnHello(const Hello& hello);
  void OnMessage(std::uint64_t sequence, Message message);
  void Acknowledge();
  void ArmSilenceTimer(Duration after);
  SenderState& sender() { return shared_->senders[sender_key_]; }

  std::shared_ptr<TransportShared> shared_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string remote_;
  std::array<char, 64 * 1024> chunk_{};
  std::string input_;
  std::string output_;
  bool writing_ = false;
  bool acknowledgement_due_ = false;
  bool closed_ = false;
  TimePoint last_received_;

  /// Whether the first frame, which is Hello, has arrived.
  bool hello_received_ = false;
  std::pair<ProcessId, Incarnation> sender_key_;
  Address from_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_INCOMING_CONNECTION_H_
