#ifndef BASILSPRING_SRC_PROCESS_IO_THREAD_INTERNAL_H_
#define BASILSPRING_SRC_PROCESS_IO_THREAD_INTERNAL_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <thread>

#include "basilspring/process/io_thread.h"

namespace basilspring {

struct IoThread::Impl {
  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
      context.get_executor()};
  /// SIGTERM and SIGINT.
  std::unique_ptr<boost::asio::signal_set> stop_signals;
  /// SIGHUP.
  std::unique_ptr<boost::asio::signal_set> reload_signals;
  /// Runs the handlers until the context is stopped.
  void Run();
  void WaitForReloadSignal(const std::function<void()>& handler);
  std::thread thread;
};

namespace internal {

inline boost::asio::io_context& IoContextOf(IoThread& io) { return io.impl().context; }

}  // namespace internal
}  // namespace basilspring

#endif  // BASILSPRING_SRC_PROCESS_IO_THREAD_INTERNAL_H_
