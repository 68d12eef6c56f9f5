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

/// A number that only increases. Thread-safe and lock-free.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// A number that can increase and decrease. Thread-safe and lock-free.
class Gauge {
 public:
  void Set(std::int64_t value) { value_.store(value, std::memory_order_relaxed); }
  void Add(std::int64_t amount) { value_.fetch_add(amount, std::memory_order_relaxed); }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

/// Counts durations in fixed buckets, for latencies from one millisecond to ten seconds.
class Histogram {
 public:
  /// Inclusive upper bounds of the buckets in milliseconds. One further bucket counts longer
  /// durations.
  static constexpr std::array<std::int64_t, 13> kBucketBounds = {
      1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000};

  void Observe(Duration duration);
  /// Returns the number of observations up to the bound with this index. The index
  /// kBucketBounds.size() counts all observations.
  std::uint64_t CumulativeCount(std::size_t index) const;
  std::uint64_t count() const { return CumulativeCount(kBucketBounds.size()); }
  /// Sum of all observations, in milliseconds.
  std::int64_t sum() const { return sum_.load(std::memory_order_relaxed); }

 private:
  std::array<std::atomic<std::uint64_t>, kBucketBounds.size() + 1> counts_{};
  std::atomic<std::int64_t> sum_{0};
};

/// All metrics of a process. Returned references stay valid until the registry is destroyed.
/// Thread-safe.
class MetricRegistry {
 public:
  /// Returns the counter with this name and labels, and creates it on first use. `labels` has the
  /// text form, such as `class="urgent"`, or is empty.
  Counter& GetCounter(const std::string& name, const std::string& labels = "",
                      const std::string& help = "");
  Gauge& GetGauge(const std::string& name, const std::string& labels = "",
                  const std::string& help = "");

  /// The histogram reports milliseconds.
  Histogram& GetHistogram(const std::string& name, const std::string& labels = "",
                          const std::string& help = "");

  /// Returns all metrics in the Prometheus text exposition format, including the CPU time and
  /// memory of the process.
  std::string Render() const;

 private:
  /// One metric with a name and labels.
  template <typename Metric>
  struct Series {
    std::string name;
    std::string labels;
    std::string help;
    Metric metric;
  };
  template <typename Metric>
  Metric& GetOrCreate(std::deque<Series<Metric>>& all_series, const std::string& name,
                      const std::string& labels, const std::string& help);

  mutable std::mutex mutex_;
  std::deque<Series<Counter>> counters_;
  std::deque<Series<Gauge>> gauges_;
  std::deque<Series<Histogram>> histograms_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_METRICS_H_
