#include "connection/send_queue.h"

#include <algorithm>
#include <utility>

#include "connection/frame_archive.h"

namespace basilspring::internal {
namespace {

/// Offset of the sequence number in a frame, in bytes.
constexpr std::size_t kSequenceOffset = 8;

void SetSequence(std::string& frame, std::uint64_t sequence) {
  std::string bytes;
  FrameWriter(bytes).WriteNumber(sequence);
  frame.replace(kSequenceOffset, bytes.size(), bytes);
}

}  // namespace

SendQueue::SendQueue(std::size_t max_messages, std::size_t max_bytes,
                     std::atomic<std::uint64_t>& total)
    : max_messages_(max_messages), max_bytes_(max_bytes), total_(total) {}

SendQueue::~SendQueue() { Clear(); }

bool SendQueue::Push(std::string frame, std::atomic<std::uint64_t>& next_sequence, TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (items_.size() >= max_messages_ || bytes_ + frame.size() > max_bytes_) return false;
  const std::uint64_t sequence = next_sequence.fetch_add(1);
  SetSequence(frame, sequence);
  bytes_ += frame.size();
  items_.push_back({sequence, std::make_shared<const std::string>(std::move(frame)), now});
  total_.fetch_add(1);
  return true;
}

std::vector<FrameBytes> SendQueue::TakeUntransmitted(std::size_t max_bytes) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<FrameBytes> frames;
  std::size_t bytes = 0;
  while (transmitted_ < items_.size() && bytes < max_bytes) {
    const Item& item = items_[transmitted_++];
    frames.push_back(item.bytes);
    bytes += item.bytes->size();
    highest_transmitted_ = std::max(highest_transmitted_, item.sequence);
  }
  return frames;
}

void SendQueue::RestartTransmission() {
  const std::lock_guard<std::mutex> lock(mutex_);
  transmitted_ = 0;
}

bool SendQueue::OldestWasTransmitted() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return !items_.empty() && items_.front().sequence <= highest_transmitted_;
}

void SendQueue::Acknowledge(std::uint64_t sequence) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::uint64_t last = std::min(sequence, highest_transmitted_);
  while (!items_.empty() && items_.front().sequence <= last) PopFront();
}

std::size_t SendQueue::DropOlderThan(TimePoint time) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::size_t dropped = 0;
  while (!items_.empty() && items_.front().queued_at < time) {
    PopFront();
    ++dropped;
  }
  return dropped;
}

std::size_t SendQueue::Clear() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::size_t count = items_.size();
  while (!items_.empty()) PopFront();
  return count;
}

bool SendQueue::empty() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return items_.empty();
}

void SendQueue::PopFront() {
  bytes_ -= items_.front().bytes->size();
  items_.pop_front();
  if (transmitted_ > 0) --transmitted_;
  total_.fetch_sub(1);
}

}  // namespace basilspring::internal
