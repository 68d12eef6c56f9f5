#ifndef BASILSPRING_PROCESS_METRICS_H_
#define BASILSPRING_PROCESS_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

#include "basilspring/clock.h"

namespace basilspring {

/// A number that only grows. Thread-safe, without locks.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// A number that goes up and down.
class Gauge {
 public:
  void Set(std::int64_t value) { value_.store(value, std::memory_order_relaxed); }
  void Add(std::int64_t amount) { value_.fetch_add(amount, std::memory_order_relaxed); }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

/// Counts durations in fixed ranges, for latencies from one millisecond to ten seconds.
class Histogram {
 public:
  /// Upper ends of the ranges, in milliseconds; one more range takes what is longer.
  static constexpr std::array<std::int64_t, 13> kBounds = {1,   2,   5,    10,   20,   50,   100,
                                                           200, 500, 1000, 2000, 5000, 10000};

  void Observe(Duration duration);
  /// Observations up to the bound with this index; the last index counts all.
  std::uint64_t CountUpTo(std::size_t index) const;
  std::uint64_t count() const { return CountUpTo(kBounds.size()); }
  /// Sum of all observations, in milliseconds.
  std::int64_t sum() const { return sum_.load(std::memory_order_relaxed); }

 private:
  std::array<std::atomic<std::uint64_t>, kBounds.size() + 1> counts_{};
  std::atomic<std::int64_t> sum_{0};
};

/// All counters of a process. References stay valid as long as the registry lives.
class MetricRegistry {
 public:
  /// The counter with this name and labels, made on first use. Labels are in the text form, such as
  /// `class="urgent"`, or empty.
  Counter& GetCounter(const std::string& name, const std::string& labels = "",
                      const std::string& help = "");
  Gauge& GetGauge(const std::string& name, const std::string& labels = "",
                  const std::string& help = "");

  /// A histogram of milliseconds.
  Histogram& GetHistogram(const std::string& name, const std::string& labels = "",
                          const std::string& help = "");

  /// All metrics in the Prometheus text exposition format, with the process's own processor time
  /// and memory.
  std::string Render() const;

 private:
  template <typename Metric>
  struct Entry {
    std::string name;
    std::string labels;
    std::string help;
    Metric metric;
  };
  template <typename Metric>
  Metric& Get(std::deque<Entry<Metric>>& entries, const std::string& name,
              const std::string& labels, const std::string& help);

  mutable std::mutex mutex_;
  std::deque<Entry<Counter>> counters_;
  std::deque<Entry<Gauge>> gauges_;
  std::deque<Entry<Histogram>> histograms_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_METRICS_H_
