#ifndef BASILSPRING_PROCESS_DUTY_H_
#define BASILSPRING_PROCESS_DUTY_H_

#include <atomic>
#include <boost/fiber/buffered_channel.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "basilspring/clock.h"

namespace basilspring {

/// A thread that owns the state of one duty, such as the entry or a cell scheduler. Other threads
/// post functions to a bounded queue, and the thread's main fiber runs them one at a time. Work
/// that waits, such as a store call, runs in a further fiber of the same thread, so the state needs
/// no locks.
class Duty {
 public:
  /// Capacity of the queue. Boost.Fiber requires a power of two.
  static constexpr std::size_t kQueueCapacity = 8192;

  /// Starts the thread, which calls `on_tick` about every `tick_interval`.
  Duty(std::string name, Duration tick_interval, std::function<void()> on_tick);
  /// Calls Stop().
  ~Duty();
  Duty(const Duty&) = delete;
  Duty& operator=(const Duty&) = delete;

  /// Queues a function without waiting; callable from any thread. Returns false if the queue is
  /// full or closed.
  bool TryPost(std::function<void()> work);

  /// Starts a fiber on the duty's thread. Must be called on that thread.
  void Spawn(std::function<void()> body);

  /// Closes the queue, runs the functions that are still in it, and joins the thread once its
  /// fibers have ended.
  void Stop();

  /// Returns how many functions TryPost has rejected.
  std::uint64_t dropped() const { return dropped_.load(); }

 private:
  void Run();

  std::string name_;
  Duration tick_interval_;
  std::function<void()> on_tick_;
  boost::fibers::buffered_channel<std::function<void()>> queue_{kQueueCapacity};
  std::atomic<std::uint64_t> dropped_{0};
  std::size_t live_fibers_ = 0;
  std::thread thread_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_DUTY_H_
