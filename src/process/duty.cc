#include "basilspring/process/duty.h"

#include <pthread.h>

namespace basilspring {

Duty::Duty(std::string name, Duration tick_interval, std::function<void()> on_tick)
    : name_(std::move(name)), tick_interval_(tick_interval), on_tick_(std::move(on_tick)) {
  thread_ = std::thread([this] { Run(); });
}

Duty::~Duty() { Stop(); }

bool Duty::TryPost(std::function<void()> work) {
  if (queue_.try_push(std::move(work)) == boost::fibers::channel_op_status::success) return true;
  dropped_.fetch_add(1);
  return false;
}

void Duty::Spawn(std::function<void()> body) {
  ++live_fibers_;
  boost::fibers::fiber([this, body = std::move(body)] {
    body();
    --live_fibers_;
  }).detach();
}

void Duty::Stop() {
  queue_.close();
  if (thread_.joinable()) thread_.join();
}

void Duty::Run() {
  // Linux limits thread names to 15 characters.
  pthread_setname_np(pthread_self(), name_.substr(0, 15).c_str());
  TimePoint next_tick = Clock::Now() + tick_interval_;
  while (true) {
    const Duration wait = next_tick - Clock::Now();
    std::function<void()> work;
    auto status = boost::fibers::channel_op_status::timeout;
    if (wait > Duration(0)) {
      status = queue_.pop_wait_for(work, std::chrono::milliseconds(wait.milliseconds()));
    }
    if (status == boost::fibers::channel_op_status::success) {
      work();
    } else if (status == boost::fibers::channel_op_status::closed) {
      break;
    }
    if (Clock::Now() >= next_tick) {
      on_tick_();
      // Counts from now, so that ticks missed while the process was suspended are not made up for.
      next_tick = Clock::Now() + tick_interval_;
    }
  }
  while (live_fibers_ > 0) boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
}

}  // namespace basilspring
