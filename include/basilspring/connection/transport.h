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

/// Where a message came from: the listen address of the sender, to which answers are sent. For a
/// datagram it is the UDP source address, which is the same.
using MessageHandler = std::function<void(const Address& from, Message message)>;

struct TransportOptions {
  Duration heartbeat_interval = Duration(2000);
  /// A connection on which nothing was received for this long is replaced.
  Duration silence_limit = Duration(5000);
  Duration connect_timeout = Duration(1000);
  Duration idle_close = Duration(60000);
  /// Messages to a peer that has never answered are dropped after this time.
  Duration unanswered_drop = Duration::Seconds(30);
  /// Messages to a peer that has answered before are kept through an outage of this length.
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
  /// Messages that were given up because their peer was unreachable for too long.
  std::uint64_t messages_dropped = 0;
  std::uint64_t reconnects = 0;
  std::uint64_t duplicates_dropped = 0;
  std::uint64_t bad_frames = 0;
};

/// Messages between the processes of the system: TCP for what must arrive, UDP for what is repeated
/// anyway.
///
/// Each process dials its peers. Messages on the way to one peer are numbered; unacknowledged ones
/// are sent again on a new connection and the receiver drops those it has seen. So a message
/// arrives once and in order as long as both processes live. A message to a process that was
/// restarted can be lost: the cores repeat what matters.
///
/// Thread-safe. The handler runs on the I/O thread and must not block: it pushes into a duty's
/// ring.
class Transport {
 public:
  /// Listens at once; port 0 takes one that is free for TCP and UDP. Throws Error(kInternal) when
  /// the port is taken.
  Transport(IoThread& io, const ProcessId& process, const Address& listen, MessageHandler handler,
            const TransportOptions& options = {});
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  /// The listen address, with the actual port.
  Address address() const;

  /// Queues the message for the peer; false when the queue of this peer is full or the message
  /// exceeds a frame.
  bool Send(const Address& to, const Message& message);

  /// Sends one datagram; lost without notice. False when the message does not fit one.
  bool SendDatagram(const Address& to, const Message& message);

  /// Drops the connection to a peer and what is queued for it.
  void Forget(const Address& to);

  /// Whether everything queued has been acknowledged; a graceful stop waits for it.
  bool Drained() const;

  TransportCounters counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_TRANSPORT_H_
