#include "basilspring/request/run_time_estimate.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace basilspring {
namespace {

constexpr double kBucketsPerDoubling = 2.0;
// The bucket of ratio 1.
constexpr std::size_t kUnityBucket = 16;
constexpr std::uint32_t kPriorSamples = 4;
// Halving the counts at 256 samples lets the last few hundred runs determine the quantiles.
constexpr std::uint32_t kMaxSamples = 256;

std::size_t BucketOf(double ratio) {
  if (!(ratio > 0)) return 0;
  const double position = std::round(std::log2(ratio) * kBucketsPerDoubling) + kUnityBucket;
  return static_cast<std::size_t>(std::clamp(position, 0.0, 2.0 * kUnityBucket));
}

double RatioOf(std::size_t bucket) {
  return std::exp2((static_cast<double>(bucket) - kUnityBucket) / kBucketsPerDoubling);
}

}  // namespace

void RatioHistogram::Add(double ratio) {
  ++counts_[BucketOf(ratio)];
  ++samples_;
  if (samples_ < kMaxSamples) return;
  for (std::uint16_t& count : counts_) count /= 2;
  samples_ = std::accumulate(counts_.begin(), counts_.end(), 0U);
}

double RatioHistogram::Quantile(double quantile) const {
  const double wanted = std::clamp(quantile, 0.0, 1.0) * (samples_ + kPriorSamples);
  double seen = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += counts_[bucket] + (bucket == kUnityBucket ? kPriorSamples : 0);
    if (seen > 0 && seen >= wanted) return RatioOf(bucket);
  }
  return RatioOf(kBuckets - 1);
}

void RunTimeEstimate::Observe(const WorkspaceId& workspace, JobClass job_class, Duration declared,
                              Duration observed) {
  const auto declared_ms = static_cast<double>(DeclaredOrDefault(declared).milliseconds());
  const auto observed_ms = static_cast<double>(std::max<std::int64_t>(observed.milliseconds(), 1));
  histograms_[{workspace, job_class}].Add(observed_ms / declared_ms);
}

Duration RunTimeEstimate::Correct(const WorkspaceId& workspace, JobClass job_class,
                                  Duration declared, double quantile) const {
  const auto declared_ms = static_cast<double>(DeclaredOrDefault(declared).milliseconds());
  const auto it = histograms_.find({workspace, job_class});
  const double ratio = it == histograms_.end() ? 1.0 : it->second.Quantile(quantile);
  return Duration(std::max<std::int64_t>(std::llround(declared_ms * ratio), 1));
}

void RunTimeEstimate::Forget(const WorkspaceId& workspace) {
  std::erase_if(histograms_, [&](const auto& entry) { return entry.first.first == workspace; });
}

Duration RunTimeEstimate::DeclaredOrDefault(Duration declared) const {
  const Duration used = declared > Duration() ? declared : default_run_time_;
  return std::max(used, Duration(1));
}

}  // namespace basilspring
