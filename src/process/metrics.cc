#include "basilspring/process/metrics.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <iterator>
#include <map>
#include <string_view>
#include <vector>

namespace basilspring {
namespace {

// All samples of one name. The exposition format requires them in one group below one TYPE line.
struct Family {
  std::string_view type;
  std::string_view help;
  std::vector<std::string> samples;
};

template <typename SeriesList>
void CollectSamples(const SeriesList& all_series, std::string_view type,
                    std::map<std::string, Family>& families) {
  for (const auto& series : all_series) {
    Family& family = families[series.name];
    family.type = type;
    if (!series.help.empty()) family.help = series.help;
    const std::string labels = series.labels.empty() ? "" : fmt::format("{{{}}}", series.labels);
    family.samples.push_back(fmt::format("{}{} {}\n", series.name, labels, series.metric.value()));
  }
}

template <typename SeriesList>
void CollectHistogramSamples(const SeriesList& all_series,
                             std::map<std::string, Family>& families) {
  for (const auto& series : all_series) {
    Family& family = families[series.name];
    family.type = "histogram";
    if (!series.help.empty()) family.help = series.help;
    const std::string prefix = series.labels.empty() ? "" : series.labels + ",";
    for (std::size_t i = 0; i <= Histogram::kBucketBounds.size(); ++i) {
      const std::string bound = i < Histogram::kBucketBounds.size()
                                    ? std::to_string(Histogram::kBucketBounds[i])
                                    : "+Inf";
      family.samples.push_back(fmt::format("{}_bucket{{{}le=\"{}\"}} {}\n", series.name, prefix,
                                           bound, series.metric.CumulativeCount(i)));
    }
    const std::string labels = series.labels.empty() ? "" : fmt::format("{{{}}}", series.labels);
    family.samples.push_back(
        fmt::format("{}_sum{} {}\n", series.name, labels, series.metric.sum()));
    family.samples.push_back(
        fmt::format("{}_count{} {}\n", series.name, labels, series.metric.count()));
  }
}

std::string RenderProcessUsage() {
  struct rusage usage {};
  getrusage(RUSAGE_SELF, &usage);
  const double seconds = static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
                         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
  return fmt::format(
      "# TYPE process_cpu_seconds_total counter\nprocess_cpu_seconds_total {:.3f}\n"
      "# TYPE process_max_resident_memory_bytes gauge\nprocess_max_resident_memory_bytes {}\n",
      seconds, usage.ru_maxrss * 1024);
}

}  // namespace

void Histogram::Observe(Duration duration) {
  std::size_t index = 0;
  while (index < kBucketBounds.size() && duration.milliseconds() > kBucketBounds[index]) ++index;
  counts_[index].fetch_add(1, std::memory_order_relaxed);
  sum_.fetch_add(duration.milliseconds(), std::memory_order_relaxed);
}

std::uint64_t Histogram::CumulativeCount(std::size_t index) const {
  std::uint64_t count = 0;
  for (std::size_t i = 0; i <= index; ++i) count += counts_[i].load(std::memory_order_relaxed);
  return count;
}

template <typename Metric>
Metric& MetricRegistry::GetOrCreate(std::deque<Series<Metric>>& all_series, const std::string& name,
                                    const std::string& labels, const std::string& help) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (Series<Metric>& series : all_series) {
    if (series.name == name && series.labels == labels) return series.metric;
  }
  Series<Metric>& series = all_series.emplace_back();
  series.name = name;
  series.labels = labels;
  series.help = help;
  return series.metric;
}

Counter& MetricRegistry::GetCounter(const std::string& name, const std::string& labels,
                                    const std::string& help) {
  return GetOrCreate(counters_, name, labels, help);
}

Gauge& MetricRegistry::GetGauge(const std::string& name, const std::string& labels,
                                const std::string& help) {
  return GetOrCreate(gauges_, name, labels, help);
}

Histogram& MetricRegistry::GetHistogram(const std::string& name, const std::string& labels,
                                        const std::string& help) {
  return GetOrCreate(histograms_, name, labels, help);
}

std::string MetricRegistry::Render() const {
  std::map<std::string, Family> families;
  std::string text = RenderProcessUsage();
  const std::lock_guard<std::mutex> lock(mutex_);
  CollectSamples(counters_, "counter", families);
  CollectSamples(gauges_, "gauge", families);
  CollectHistogramSamples(histograms_, families);
  for (const auto& [name, family] : families) {
    if (!family.help.empty()) {
      fmt::format_to(std::back_inserter(text), "# HELP {} {}\n", name, family.help);
    }
    fmt::format_to(std::back_inserter(text), "# TYPE {} {}\n", name, family.type);
    for (const std::string& sample : family.samples) text += sample;
  }
  return text;
}

}  // namespace basilspring
