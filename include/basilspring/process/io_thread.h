#ifndef BASILSPRING_PROCESS_IO_THREAD_H_
#define BASILSPRING_PROCESS_IO_THREAD_H_

#include <functional>
#include <memory>

#include "basilspring/clock.h"

namespace basilspring {

/// The thread that runs all sockets and timers of a process. The members that hold Asio types are
/// reached through `internal::IoContextOf` in src/process/io_thread_internal.h, so that this header
/// stays light.
class IoThread {
 public:
  IoThread();
  /// Stops the thread; handlers that have not run are dropped.
  ~IoThread();
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  /// Runs the function on the I/O thread, later.
  void Post(std::function<void()> function);
  /// Runs the function on the I/O thread after a delay.
  void PostAfter(Duration delay, std::function<void()> function);
  /// Calls the handler on the I/O thread for the first SIGTERM or SIGINT.
  void OnStopSignal(std::function<void()> handler);
  /// Calls the handler on the I/O thread for each SIGHUP, which then no longer ends the process.
  void OnReloadSignal(std::function<void()> handler);

  struct Impl;
  Impl& impl() { return *impl_; }

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_IO_THREAD_H_
