#ifndef BASILSPRING_SRC_CONNECTION_IO_DISPATCHER_H_
#define BASILSPRING_SRC_CONNECTION_IO_DISPATCHER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <memory>
#include <mutex>
#include <utility>

namespace basilspring::internal {

/// Runs functions on the I/O thread for objects that may outlive it, such as responders and
/// streams. Once the dispatcher is closed, functions are dropped instead of being posted to a
/// context that may have been destroyed.
class IoDispatcher {
 public:
  explicit IoDispatcher(boost::asio::io_context& context) : context_(&context) {}

  /// Runs the function at once if called on the I/O thread, and posts it if called on another one.
  template <typename Function>
  void Dispatch(Function function) {
    std::unique_lock<std::mutex> lock(mutex_);
    if (context_ == nullptr) return;
    if (context_->get_executor().running_in_this_thread()) {
      lock.unlock();
      function();
      return;
    }
    boost::asio::post(*context_, std::move(function));
  }

  /// Posts the function to the I/O thread, even if called there.
  template <typename Function>
  void Post(Function function) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (context_ != nullptr) boost::asio::post(*context_, std::move(function));
  }

  /// Dispatches the function and waits until it has run. If the context is destroyed first, the
  /// wait ends, because the promise is destroyed with the posted function.
  template <typename Function>
  void DispatchAndWait(Function function) {
    auto done = std::make_shared<std::promise<void>>();
    std::future<void> future = done->get_future();
    Dispatch([done = std::move(done), function = std::move(function)]() mutable {
      function();
      done->set_value();
    });
    future.wait();
  }

  void Close() {
    const std::lock_guard<std::mutex> lock(mutex_);
    context_ = nullptr;
  }

 private:
  std::mutex mutex_;
  boost::asio::io_context* context_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_IO_DISPATCHER_H_
