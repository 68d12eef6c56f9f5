#ifndef BASILSPRING_SRC_CONNECTION_SEND_QUEUE_H_
#define BASILSPRING_SRC_CONNECTION_SEND_QUEUE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "basilspring/clock.h"

namespace basilspring::internal {

using FrameBytes = std::shared_ptr<const std::string>;

/// Frames to one peer, oldest first, until the peer has acknowledged them. Duties call Push on
/// their threads; the other functions are called on the I/O thread.
class SendQueue {
 public:
  /// `total` counts the frames of all queues of a transport.
  SendQueue(std::size_t max_messages, std::size_t max_bytes, std::atomic<std::uint64_t>& total);
  ~SendQueue();
  SendQueue(const SendQueue&) = delete;
  SendQueue& operator=(const SendQueue&) = delete;

  /// Sets the sequence number of the frame to the next value of the counter and appends the frame.
  /// Returns false if the queue is full.
  bool Push(std::string frame, std::atomic<std::uint64_t>& next_sequence, TimePoint now);

  /// Returns the next frames to transmit on the current connection, about `max_bytes` in total.
  std::vector<FrameBytes> TakeUntransmitted(std::size_t max_bytes);
  /// Restarts the transmission with the oldest frame, on a new connection.
  void RestartTransmission();
  /// Whether the oldest frame was transmitted on any connection and may have arrived.
  bool OldestWasTransmitted() const;

  /// Removes all transmitted frames up to the sequence number.
  void Acknowledge(std::uint64_t sequence);
  /// Removes frames that were queued before the given time; returns their number.
  std::size_t DropOlderThan(TimePoint time);
  std::size_t Clear();
  bool empty() const;

 private:
  struct Item {
    std::uint64_t sequence = 0;
    FrameBytes bytes;
    TimePoint queued_at;
  };

  void PopFront();

  const std::size_t max_messages_;
  const std::size_t max_bytes_;
  std::atomic<std::uint64_t>& total_;
  mutable std::mutex mutex_;
  std::deque<Item> items_;
  std::size_t bytes_ = 0;
  /// Number of items that were transmitted on the current connection.
  std::size_t transmitted_ = 0;
  std::uint64_t highest_transmitted_ = 0;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_SEND_QUEUE_H_
