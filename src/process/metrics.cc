#include "basilspring/process/metrics.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <iterator>
#include <map>
#include <string_view>
#include <vector>

namespace basilspring {
namespace {

// All samples of one name have to stand together under one TYPE line.
struct Family {
  std::string_view type;
  std::string_view help;
  std::vector<std::string> samples;
};

template <typename Entries>
void Collect(const Entries& entries, std::string_view type,
             std::map<std::string, Family>& families) {
  for (const auto& entry : entries) {
    Family& family = families[entry.name];
    family.type = type;
    if (!entry.help.empty()) family.help = entry.help;
    const std::string labels = entry.labels.empty() ? "" : fmt::format("{{{}}}", entry.labels);
    family.samples.push_back(fmt::format("{}{} {}\n", entry.name, labels, entry.metric.value()));
  }
}

template <typename Entries>
void CollectHistograms(const Entries& entries, std::map<std::string, Family>& families) {
  for (const auto& entry : entries) {
    Family& family = families[entry.name];
    family.type = "histogram";
    if (!entry.help.empty()) family.help = entry.help;
    const std::string prefix = entry.labels.empty() ? "" : entry.labels + ",";
    for (std::size_t i = 0; i <= Histogram::kBounds.size(); ++i) {
      const std::string bound =
          i < Histogram::kBounds.size() ? std::to_string(Histogram::kBounds[i]) : "+Inf";
      family.samples.push_back(fmt::format("{}_bucket{{{}le=\"{}\"}} {}\n", entry.name, prefix,
                                           bound, entry.metric.CountUpTo(i)));
    }
    const std::string labels = entry.labels.empty() ? "" : fmt::format("{{{}}}", entry.labels);
    family.samples.push_back(fmt::format("{}_sum{} {}\n", entry.name, labels, entry.metric.sum()));
    family.samples.push_back(
        fmt::format("{}_count{} {}\n", entry.name, labels, entry.metric.count()));
  }
}

std::string ProcessUsage() {
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
  while (index < kBounds.size() && duration.milliseconds() > kBounds[index]) ++index;
  counts_[index].fetch_add(1, std::memory_order_relaxed);
  sum_.fetch_add(duration.milliseconds(), std::memory_order_relaxed);
}

std::uint64_t Histogram::CountUpTo(std::size_t index) const {
  std::uint64_t count = 0;
  for (std::size_t i = 0; i <= index; ++i) count += counts_[i].load(std::memory_order_relaxed);
  return count;
}

template <typename Metric>
Metric& MetricRegistry::Get(std::deque<Entry<Metric>>& entries, const std::string& name,
                            const std::string& labels, const std::string& help) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (Entry<Metric>& entry : entries) {
    if (entry.name == name && entry.labels == labels) return entry.metric;
  }
  Entry<Metric>& entry = entries.emplace_back();
  entry.name = name;
  entry.labels = labels;
  entry.help = help;
  return entry.metric;
}

Counter& MetricRegistry::GetCounter(const std::string& name, const std::string& labels,
                                    const std::string& help) {
  return Get(counters_, name, labels, help);
}

Gauge& MetricRegistry::GetGauge(const std::string& name, const std::string& labels,
                                const std::string& help) {
  return Get(gauges_, name, labels, help);
}

Histogram& MetricRegistry::GetHistogram(const std::string& name, const std::string& labels,
                                        const std::string& help) {
  return Get(histograms_, name, labels, help);
}

std::string MetricRegistry::Render() const {
  std::map<std::string, Family> families;
  std::string text = ProcessUsage();
  const std::lock_guard<std::mutex> lock(mutex_);
  Collect(counters_, "counter", families);
  Collect(gauges_, "gauge", families);
  CollectHistograms(histograms_, families);
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
