#ifndef BASILSPRING_SRC_CONNECTION_OUTGOING_CONNECTION_H_
#define BASILSPRING_SRC_CONNECTION_OUTGOING_CONNECTION_H_

#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

#include "connection/send_queue.h"
#include "connection/transport_shared.h"

namespace basilspring::internal {

/// Sends the queued messages to one peer over a connection that this process opens, and reconnects
/// after the connection breaks or becomes silent. The peer sends only acknowledgements on it.
class OutgoingConnection : public std::enable_shared_from_this<OutgoingConnection> {
 public:
  OutgoingConnection(std::shared_ptr<TransportShared> shared, Address to);

  /// Queues a frame. Thread-safe. Returns false if the queue is full.
  bool Push(std::string frame);
  bool idle() const { return queue_.empty(); }

  /// Closes the connection permanently and clears the queue. Called only on the I/O thread.
  void Close();

 private:
  using ErrorCode = boost::system::error_code;

  /// One TCP connection with its buffers; pending operations keep it alive.
  struct Link {
    explicit Link(boost::asio::io_context& context) : socket(context) {}
    boost::asio::ip::tcp::socket socket;
    std::array<char, 4096> chunk{};
    std::string input;
    std::string control;
    std::vector<FrameBytes> frames;
    bool writing = false;
    TimePoint last_received;
    TimePoint last_sent;
  };
  using LinkPointer = std::shared_ptr<Link>;

  void OnQueued();
  void Dial();
  void OnConnected(const LinkPointer& link);
  void Read(const LinkPointer& link);
  /// Handles the acknowledgements that have arrived; returns false if the bytes are invalid.
  bool ConsumeInput(Link& link);
  void Write(const LinkPointer& link);
  /// Fails a connection attempt that took too long. On an open link, checks for silence and
  /// idleness and sends a heartbeat when it is due.
  void OnTimer();
  void DropOldMessages();
  void OnConnectionFailed(const std::string& reason);
  void CloseLink();
  void ArmTimer(Duration after, void (OutgoingConnection::*action)());

  std::shared_ptr<TransportShared> shared_;
  const Address to_;
  SendQueue queue_;
  std::atomic<bool> wake_posted_{false};

  boost::asio::steady_timer timer_;
  std::uint64_t timer_generation_ = 0;
  LinkPointer link_;
  bool connecting_ = false;
  bool waiting_to_dial_ = false;
  bool closed_ = false;
  /// Whether this peer has ever acknowledged anything.
  bool ever_acknowledged_ = false;
  bool failed_before_ = false;
  /// Whether frames that were sent on an earlier link are held until the first acknowledgement on
  /// the new one, which shows which of them have arrived.
  bool await_first_acknowledgement_ = false;
  Duration backoff_;
  TimePoint last_message_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_OUTGOING_CONNECTION_H_
