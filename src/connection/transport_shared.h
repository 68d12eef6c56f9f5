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
#include "connection/io_dispatcher.h"

namespace basilspring::internal {

class IncomingConnection;
class OutgoingConnection;

/// Receive state for one incarnation of a process, kept while that may still send a message again.
struct SenderState {
  std::uint64_t last_sequence = 0;
  TimePoint last_heard;
  std::weak_ptr<IncomingConnection> connection;
};

/// State shared by all connections of a transport; it lives as long as the last of them. Used only
/// on the I/O thread, except for the atomics, `dispatcher` and the members that `mutex` guards.
struct TransportShared {
  explicit TransportShared(boost::asio::io_context& io)
      : context(io), dispatcher(std::make_shared<IoDispatcher>(io)) {}

  /// Passes a received message to the handler of the transport.
  void Deliver(const Address& from, Message message);
  /// Counts and logs an invalid frame.
  void RejectFrame(const std::string& from, const std::string& reason);
  /// Returns a random duration from half of the backoff to all of it, so that the peers of a
  /// restarted process don't reconnect at the same time.
  Duration Jitter(Duration backoff);
  /// Removes the connection to a peer if its queue is empty.
  void RemoveIfIdle(const Address& to, const OutgoingConnection* connection);

  boost::asio::io_context& context;
  const std::shared_ptr<IoDispatcher> dispatcher;
  TransportOptions options;
  ProcessId process;
  Incarnation incarnation;
  /// Listen address with the actual port.
  Address listen;
  std::shared_ptr<const MessageHandler> handler;
  bool closed = false;
  std::mt19937_64 random{std::random_device()()};
  TimePoint last_rejection_logged;

  std::mutex mutex;
  /// Guarded by `mutex`.
  std::map<Address, std::shared_ptr<OutgoingConnection>> outgoing;
  std::set<std::shared_ptr<IncomingConnection>> incoming;
  std::map<std::pair<ProcessId, Incarnation>, SenderState> senders;

  /// One counter for all peers. The sequence numbers to one peer increase even if its queue was
  /// dropped in between, and the receiver needs no more than that to drop duplicates.
  std::atomic<std::uint64_t> next_sequence{1};
  /// Number of queued or unacknowledged messages to all peers.
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
