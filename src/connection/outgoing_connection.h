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

/// Sends the queued messages to one peer over the connection that this process dials, and dials
/// again after the connection breaks or goes silent. The peer sends acknowledgements only.
class OutgoingConnection : public std::enable_shared_from_this<OutgoingConnection> {
 public:
  OutgoingConnection(std::shared_ptr<TransportShared> shared, Address to);

  /// Queues a frame, from any thread; false when the queue is full.
  bool Push(std::string frame);
  bool idle() const { return queue_.empty(); }

  // On the I/O thread.
  /// Drops the connection and the queue, for good.
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
  /// Handles the acknowledgements that have arrived; false when the bytes are not valid.
  bool ConsumeInput(Link& link);
  void Write(const LinkPointer& link);
  void Tick();
  void DropOldMessages();
  void Broken(const std::string& reason);
  void DropLink();
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
  bool ever_answered_ = false;
  bool broken_before_ = false;
  /// Frames sent on an earlier link wait for the first acknowledgement on the new one, which says
  /// which of them have arrived.
  bool await_first_answer_ = false;
  Duration backoff_;
  TimePoint last_message_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_OUTGOING_CONNECTION_H_
