#include "basilspring/process/io_thread.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <utility>

#include "basilspring/process/log.h"
#include "process/io_thread_internal.h"

namespace basilspring {

IoThread::IoThread() : impl_(std::make_unique<Impl>()) {
  impl_->thread = std::thread([this] { impl_->Run(); });
}

IoThread::~IoThread() {
  impl_->context.stop();
  impl_->thread.join();
}

void IoThread::Post(std::function<void()> function) {
  boost::asio::post(impl_->context, std::move(function));
}

void IoThread::PostAfter(Duration delay, std::function<void()> function) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      impl_->context, std::chrono::milliseconds(delay.milliseconds()));
  timer->async_wait(
      [timer, function = std::move(function)](const boost::system::error_code& error) {
        if (!error) function();
      });
}

void IoThread::OnStopSignal(std::function<void()> handler) {
  // Registered at once; a signal that comes before the wait begins is queued.
  impl_->stop_signals = std::make_unique<boost::asio::signal_set>(impl_->context, SIGTERM, SIGINT);
  Post([this, handler = std::move(handler)] {
    impl_->stop_signals->async_wait(
        [handler](const boost::system::error_code& error, int /*signal*/) {
          if (!error) handler();
        });
  });
}

void IoThread::OnReloadSignal(std::function<void()> handler) {
  // Registered at once, because the signal would end the process until then.
  impl_->reload_signals = std::make_unique<boost::asio::signal_set>(impl_->context, SIGHUP);
  Post([this, handler = std::move(handler)] { impl_->WaitForReloadSignal(handler); });
}

void IoThread::Impl::Run() {
  // An exception that leaves a handler must not end the process: the handler of one connection
  // failed, and all others can go on.
  while (!context.stopped()) {
    try {
      context.run();
    } catch (const std::exception& error) {
      Log(EventId::kInternalError, "a handler of the I/O thread threw: {}", error.what());
    }
  }
}

void IoThread::Impl::WaitForReloadSignal(const std::function<void()>& handler) {
  reload_signals->async_wait([this, handler](const boost::system::error_code& error, int) {
    if (error) return;
    handler();
    WaitForReloadSignal(handler);
  });
}

}  // namespace basilspring
