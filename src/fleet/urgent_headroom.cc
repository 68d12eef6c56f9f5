#include "basilspring/fleet/urgent_headroom.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace basilspring::fleet {
namespace {

// From this stop pressure on, the largest factor and time constant apply. Urgent jobs that find no
// free capacity stop running work, and its loss costs more than the delay by the stop. Below it the
// two grow linearly.
constexpr double kFullPressure = 0.1;
// Covers bursts that exceed the recent peak.
constexpr double kMaxFactor = 1.3;
// Lasts through a period of 13 s, in which 6 s let the ceiling decay to an eighth.
constexpr double kMaxDecayTimeMs = 15000;
// The ceiling exceeds the demand by at most this many standard deviations. A demand that does not
// vary, or of which the variation is not known yet, needs no more than its peak.
constexpr double kMaxSwings = 2.0;
// Time constant of level and swing. Covers two periods of the demand of 13 s.
constexpr double kLevelTimeMs = 30000;
// Time constant of the slack of a queue. Single jobs with unusual run times must not change the
// factor.
constexpr double kSlackTimeMs = 60000;
// After a pause of the passes, the next one counts for this long at most: nothing is known about
// the demand in between.
constexpr double kMaxObservationMs = 1000;
// A queue without jobs for this long no longer determines the pressure.
constexpr Duration kQueueRetention = Duration::Seconds(600);
constexpr Duration kLogInterval = Duration::Seconds(5);

/// Returns 0 without stop pressure, 1 from kFullPressure on, and interpolates in between.
double Weight(double pressure) { return std::clamp(pressure / kFullPressure, 0.0, 1.0); }

/// Returns the share of a new value in an average after `elapsed_ms`.
double ShareAfter(double elapsed_ms, double time_constant_ms) {
  return 1.0 - std::exp(-std::min(elapsed_ms, kMaxObservationMs) / time_constant_ms);
}

}  // namespace

UrgentHeadroom::UrgentHeadroom(const SchedulerOptions& options)
    : policy_(options.headroom),
      stop_time_ms_(static_cast<double>(options.stop_time.milliseconds())),
      decay_time_ms_(static_cast<double>(options.headroom_decay_time.milliseconds())) {}

double UrgentHeadroom::Pressure(TimePoint now, double elapsed_ms, const ServiceId& service,
                                const UrgentDemand& demand) {
  auto& queues = queues_[service];
  for (const auto& [id, slack] : demand.slack) {
    if (slack.jobs <= 0) continue;
    const double mean =
        static_cast<double>(slack.total.milliseconds()) / static_cast<double>(slack.jobs);
    const auto [row, is_new] = queues.try_emplace(id, QueueHistory{mean, now});
    if (!is_new) {
      row->second.slack_ms += (mean - row->second.slack_ms) * ShareAfter(elapsed_ms, kSlackTimeMs);
    }
    row->second.last_jobs_at = now;
  }
  std::erase_if(queues,
                [&](const auto& row) { return now - row.second.last_jobs_at > kQueueRetention; });
  if (queues.empty()) {
    queues_.erase(service);
    return 0;
  }
  const auto smallest =
      std::min_element(queues.begin(), queues.end(), [](const auto& left, const auto& right) {
        return left.second.slack_ms < right.second.slack_ms;
      });
  return stop_time_ms_ / std::max(1.0, smallest->second.slack_ms);
}

void UrgentHeadroom::UpdateService(TimePoint now, double elapsed_ms, const ServiceId& service,
                                   const UrgentDemand& demand) {
  const auto needed = static_cast<double>(demand.accelerators);
  const auto [row, is_new] = services_.try_emplace(service);
  Service& state = row->second;
  if (is_new) state.level = needed;
  const double share = ShareAfter(elapsed_ms, kLevelTimeMs);
  const double difference = needed - state.level;
  state.level += difference * share;
  state.swing =
      std::sqrt((1.0 - share) * (state.swing * state.swing + difference * difference * share));
  double weight = 0;
  if (policy_ == HeadroomPolicy::kForecast) {
    state.pressure = Pressure(now, elapsed_ms, service, demand);
    weight = Weight(state.pressure);
  }
  const double decay_time_ms =
      decay_time_ms_ + std::max(0.0, kMaxDecayTimeMs - decay_time_ms_) * weight;
  state.ceiling *= std::exp(-elapsed_ms / decay_time_ms);
  // A smaller ceiling keeps nothing free.
  if (state.ceiling < 1.0) state.ceiling = 0;
  const double surplus = std::min(needed * (kMaxFactor - 1.0) * weight, state.swing * kMaxSwings);
  state.ceiling = std::max(state.ceiling, needed + surplus);
  state.kept_free = static_cast<std::int64_t>(state.ceiling - needed);
  if (weight > 0) state.kept_free = std::min(state.kept_free, demand.capacity / 2);
}

void UrgentHeadroom::Update(TimePoint now, const std::map<ServiceId, UrgentDemand>& demand) {
  const auto elapsed_ms = static_cast<double>((now - updated_at_).milliseconds());
  updated_at_ = now;
  for (const auto& [service, state] : services_) {
    if (demand.count(service) == 0) UpdateService(now, elapsed_ms, service, UrgentDemand());
  }
  for (const auto& [service, row] : demand) UpdateService(now, elapsed_ms, service, row);
  std::erase_if(services_, [&](const auto& row) {
    const Service& state = row.second;
    return state.ceiling < 1.0 && state.level < 0.5 && queues_.count(row.first) == 0;
  });
}

std::vector<std::string> UrgentHeadroom::TakeChanges(TimePoint now) {
  std::vector<std::string> lines;
  if (policy_ == HeadroomPolicy::kPeak) return lines;
  for (const auto& [service, state] : services_) {
    const auto [row, is_new] = logged_.try_emplace(service);
    if (!is_new && now - row->second.at < kLogInterval) continue;
    std::string text = fmt::format(
        "service={} kept_free={} ceiling={:.0f} level={:.0f} swing={:.0f} pressure={:.2f}",
        service.value(), state.kept_free, state.ceiling, state.level, state.swing, state.pressure);
    if (text == row->second.text) continue;
    lines.push_back(text);
    row->second = {std::move(text), now};
  }
  std::erase_if(logged_, [&](const auto& row) { return services_.count(row.first) == 0; });
  return lines;
}

}  // namespace basilspring::fleet
