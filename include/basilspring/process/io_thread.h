#ifndef BASILSPRING_PROCESS_IO_THREAD_H_
#define BASILSPRING_PROCESS_IO_THREAD_H_

#include <functional>
#include <memory>

#include "basilspring/clock.h"

namespace basilspring {

/// The thread that runs all sockets and timers of a process. The Asio types are defined in
/// src/process/io_thread_internal.h and accessed through `internal::IoContextOf`, so that this
/// header doesn't include Asio.
class IoThread {
 public:
  IoThread();
  /// Stops the thread and discards the handlers that have not run.
  ~IoThread();
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  /// Queues the function to run on the I/O thread, and returns without waiting for it.
  void Post(std::function<void()> function);
  /// Runs the function on the I/O thread after a delay.
  void PostAfter(Duration delay, std::function<void()> function);
  /// Calls the handler on the I/O thread when the first SIGTERM or SIGINT arrives.
  void OnStopSignal(std::function<void()> handler);
  /// Calls the handler on the I/O thread for each SIGHUP. From then on, SIGHUP no longer terminates
  /// the process.
  void OnReloadSignal(std::function<void()> handler);

  struct Impl;
  Impl& impl() { return *impl_; }

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_IO_THREAD_H_
