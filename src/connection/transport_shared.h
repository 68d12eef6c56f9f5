#ifndef BASILSPRING_SRC_CONNECTION_TRANSPORT_SHARED_H_
#define BASILSPRING_SRC_CONNECTION_TRANSPORT_SHARED_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "basilspring/connection/frame.h"
#include "basilspring/connection/transport.h"
#include "basilspring/ids.h"
#include "connection/io_gate.h"

namespace basilspring::internal {

class IncomingConnection;
class OutgoingConnection;

/// What was received from one incarnation of a process; kept while it may still send something
/// again.
struct Sender {
  std::uint64_t last_sequence = 0;
  TimePoint last_heard;
  std::weak_ptr<IncomingConnection> connection;
};

/// What all connections of a transport share. It lives as long as the last of them. The I/O thread
/// owns it, but for the atomics, the gate and what `mutex` guards.
struct TransportShared {
  explicit TransportShared(boost::asio::io_context& io)
      : context(io), gate(std::make_shared<IoGate>(io)) {}

  /// Hands a message to the owner of the transport.
  void Deliver(const Address& from, Message message);
  /// Counts and logs bytes that are no valid frame.
  void RejectFrame(const std::string& from, const std::string& reason);
  /// A random share of a backoff, so that peers of a restarted process don't dial in step.
  Duration Jitter(Duration backoff);
  /// Removes an idle connection with an empty queue.
  void Retire(const Address& to, const OutgoingConnection* connection);

  boost::asio::io_context& context;
  const std::shared_ptr<IoGate> gate;
  TransportOptions options;
  ProcessId process;
  Incarnation incarnation;
  /// With the actual port.
  Address listen;
  std::shared_ptr<const MessageHandler> handler;
  bool closed = false;
  std::mt19937_64 random{std::random_device()()};
  TimePoint last_rejection_logged;

  std::mutex mutex;
  /// Guarded by `mutex`.
  std::map<Address, std::shared_ptr<OutgoingConnection>> outgoing;
  std::set<std::shared_ptr<IncomingConnection>> incoming;
  std::map<std::pair<ProcessId, Incarnation>, Sender> senders;

  /// One counter for all peers: the sequence numbers to one peer grow, also when its queue was
  /// forgotten in between, and the receiver needs no more than that to drop duplicates.
  std::atomic<std::uint64_t> next_sequence{1};
  /// Queued or unacknowledged messages to all peers.
  std::atomic<std::uint64_t> unacknowledged{0};

  std::atomic<std::uint64_t> bytes_sent{0};
  std::atomic<std::uint64_t> bytes_received{0};
  std::atomic<std::uint64_t> messages_sent{0};
  std::atomic<std::uint64_t> messages_received{0};
  std::atomic<std::uint64_t> messages_dropped{0};
  std::atomic<std::uint64_t> reconnects{0};
  std::atomic<std::uint64_t> duplicates_dropped{0};
  std::atomic<std::uint64_t> bad_frames{0};
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_TRANSPORT_SHARED_H_
