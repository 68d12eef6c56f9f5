#include "basilspring/fleet/run_time_model.h"

#include <algorithm>

namespace basilspring::fleet {
namespace {

// The weight of a caller's estimate, in observations.
constexpr double kDeclaredWeight = 1.0;
// The maximum weight of the mean, in observations. Bounds it so that older observations decay.
constexpr double kMaxWeight = 20.0;

}  // namespace

void RunTimeModel::Observe(const QueueId& queue, std::int32_t step, Duration duration) {
  Mean& mean = means_[{queue, step}];
  mean.weight = std::min(mean.weight + 1.0, kMaxWeight);
  const auto observed = static_cast<double>(duration.milliseconds());
  mean.milliseconds += (observed - mean.milliseconds) / mean.weight;
}

Duration RunTimeModel::Predict(const QueueId& queue, std::int32_t step, Duration declared) const {
  const auto found = means_.find({queue, step});
  if (found == means_.end()) return declared;
  const Mean& mean = found->second;
  const double sum = mean.milliseconds * mean.weight +
                     static_cast<double>(declared.milliseconds()) * kDeclaredWeight;
  return Duration(static_cast<std::int64_t>(sum / (mean.weight + kDeclaredWeight)));
}

}  // namespace basilspring::fleet
