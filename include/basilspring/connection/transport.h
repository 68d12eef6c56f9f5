#ifndef BASILSPRING_CONNECTION_TRANSPORT_H_
#define BASILSPRING_CONNECTION_TRANSPORT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"

namespace basilspring {

class IoThread;

/// Handles a received message. `from` is the listen address of the sender, to which answers are
/// sent. For a datagram it is the UDP source address, which is the same.
using MessageHandler = std::function<void(const Address& from, Message message)>;

struct TransportOptions {
  Duration heartbeat_interval = Duration(2000);
  /// A connection on which nothing was received for this long is replaced.
  Duration silence_limit = Duration(5000);
  Duration connect_timeout = Duration(1000);
  Duration idle_close = Duration(60000);
  /// Messages to a peer that has never answered are dropped after this time.
  Duration unanswered_drop = Duration::Seconds(30);
  /// Messages to a peer that has answered before are dropped after this time, so that they are kept
  /// through a shorter outage.
  Duration outage_drop = Duration::Seconds(600);
  std::size_t max_queued_messages = 4096;
  std::size_t max_queued_bytes = 16 * 1024 * 1024;
};

/// Bytes and messages since the start.
struct TransportCounters {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  /// Messages that were dropped because their peer was unreachable for too long.
  std::uint64_t messages_dropped = 0;
  std::uint64_t reconnects = 0;
  std::uint64_t duplicates_dropped = 0;
  std::uint64_t bad_frames = 0;
};

/// Sends messages between the processes of the system: over TCP if they must arrive, over UDP if
/// the sender repeats them anyway.
///
/// Each process connects to its peers. Messages to a peer are numbered; unacknowledged ones are
/// sent again on a new connection, and the receiver drops those that it has already received. A
/// message therefore arrives once and in order as long as both processes run. A message to a
/// process that was restarted can be lost, so the callers of the transport repeat the messages that
/// matter.
///
/// Thread-safe. The handler runs on the I/O thread and must not block; it hands the message to a
/// Duty, which handles it on its own thread.
class Transport {
 public:
  /// Starts to listen; port 0 selects a port that is free for both TCP and UDP. Throws
  /// Error(kInternal) if the port is taken.
  Transport(IoThread& io, const ProcessId& process, const Address& listen, MessageHandler handler,
            const TransportOptions& options = {});
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  /// Returns the listen address with the actual port.
  Address address() const;

  /// Queues the message for the peer. Returns false if the queue of this peer is full or the
  /// message exceeds kMaxFrameBytes.
  bool Send(const Address& to, const Message& message);

  /// Sends the message as one datagram, which can be lost without notice. Returns false if it
  /// exceeds kMaxDatagramBytes.
  bool SendDatagram(const Address& to, const Message& message);

  /// Closes the connection to a peer and drops the messages that are queued for it.
  void DropPeer(const Address& to);

  /// Whether no message is queued or unacknowledged; a graceful stop waits for this.
  bool Drained() const;

  TransportCounters counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_TRANSPORT_H_
