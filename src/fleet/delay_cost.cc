#include "basilspring/fleet/delay_cost.h"

#include <algorithm>
#include <cmath>

namespace basilspring::fleet {
namespace {

// Time constant of the urgency: work with this slack counts about a third of work without slack.
constexpr double kUrgencyMs = 3000.0;

/// Returns how urgent a start is that is possible for another `slack`, between 0 and 1.
double Urgency(Duration slack) {
  if (slack < Duration(0)) return 0;
  return std::exp(-static_cast<double>(slack.milliseconds()) / kUrgencyMs);
}

}  // namespace

double WeightOfPriority(std::int32_t priority) { return std::ldexp(1.0, -priority); }

double ValueOfEnd(const JobValue& value, TimePoint end) {
  if (end > value.useless_after) return 0;
  return value.weight * value.work * (end <= value.due ? 1.0 : value.late_share);
}

double DelayCost(const JobValue& value, TimePoint end, Duration delay) {
  return ValueOfEnd(value, end) - ValueOfEnd(value, end + delay);
}

double OrderIndex(const JobValue& value, Duration remaining, TimePoint now) {
  const TimePoint end = now + remaining;
  const double urgency = (1.0 - value.late_share) * Urgency(value.due - end) +
                         value.late_share * Urgency(value.useless_after - end);
  // The square root favours small jobs less than the work itself would.
  return value.weight * urgency / std::sqrt(std::max(1.0, value.work));
}

}  // namespace basilspring::fleet
