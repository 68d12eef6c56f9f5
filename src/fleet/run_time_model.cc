#include "basilspring/fleet/run_time_model.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace basilspring::fleet {
namespace {

// The maximum weight of an average, in observations. Bounds it so that older observations decay.
constexpr double kMaxWeight = 30.0;
// Assumed variance of a logarithm, and its weight in observations, until enough have been made.
constexpr double kAssumedVariance = 0.2;
constexpr double kAssumedWeight = 2.0;
// Expected maximum of 1, 2, 4, ... 512 standard normal variables, in standard deviations.
constexpr std::array<double, 10> kExpectedMaximum = {0,    0.56, 1.03, 1.42, 1.77,
                                                     2.07, 2.34, 2.59, 2.82, 3.04};

double Logarithm(Duration duration) {
  return std::log(static_cast<double>(std::max<std::int64_t>(1, duration.milliseconds())));
}

Duration FromLogarithm(double value) {
  return Duration(static_cast<std::int64_t>(std::llround(std::exp(value))));
}

/// Interpolates kExpectedMaximum.
double ExpectedMaximum(std::int32_t count) {
  const double position =
      std::min(std::log2(std::max(1, count)), static_cast<double>(kExpectedMaximum.size() - 1));
  const auto below = static_cast<std::size_t>(position);
  const std::size_t above = std::min(below + 1, kExpectedMaximum.size() - 1);
  const double part = position - static_cast<double>(below);
  return kExpectedMaximum.at(below) * (1 - part) + kExpectedMaximum.at(above) * part;
}

}  // namespace

void RunTimeModel::Average::Add(double value) {
  weight = std::min(weight + 1.0, kMaxWeight);
  const double share = 1.0 / weight;
  const double difference = value - mean;
  mean += difference * share;
  variance += (difference * (value - mean) - variance) * share;
}

void RunTimeModel::Observe(const QueueId& queue, std::int32_t step, const JobId& job,
                           Duration declared, Duration duration) {
  History& history = histories_[{queue, step}];
  const double value = Logarithm(duration);
  history.run_time.Add(value);
  history.ratio.Add(value - Logarithm(declared));
  if (history.last_job == job) {
    const double difference = value - history.last_value;
    history.within_job.Add(difference * difference / 2);
  }
  history.last_job = job;
  history.last_value = value;
}

const RunTimeModel::History* RunTimeModel::Find(const QueueId& queue, std::int32_t step) const {
  const auto found = histories_.find({queue, step});
  return found == histories_.end() ? nullptr : &found->second;
}

Duration RunTimeModel::Predict(const QueueId& queue, std::int32_t step, Duration declared) const {
  const History* history = Find(queue, step);
  if (history == nullptr || declared <= Duration(0)) return declared;
  const auto variance_of = [](const Average& average) {
    return (average.variance * average.weight + kAssumedVariance * kAssumedWeight) /
           (average.weight + kAssumedWeight);
  };
  // Each way counts by how little it varies. A declared time counts as one observation of a ratio
  // of one, so that the first observations do not replace it.
  const double observations = history->run_time.weight;
  const double by_run_time = observations / variance_of(history->run_time);
  const double by_ratio = (observations + 1) / variance_of(history->ratio);
  const double mean_ratio = history->ratio.mean * observations / (observations + 1);
  return FromLogarithm(
      (history->run_time.mean * by_run_time + (Logarithm(declared) + mean_ratio) * by_ratio) /
      (by_run_time + by_ratio));
}

Duration RunTimeModel::PredictLongest(const QueueId& queue, std::int32_t step, Duration declared,
                                      std::int32_t count) const {
  const Duration one = Predict(queue, step, declared);
  const History* history = Find(queue, step);
  if (history == nullptr || one <= Duration(0)) return one;
  const double deviation = std::sqrt(std::max(0.0, history->within_job.mean));
  return FromLogarithm(Logarithm(one) + deviation * ExpectedMaximum(count));
}

}  // namespace basilspring::fleet
