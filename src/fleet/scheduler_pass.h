#ifndef BASILSPRING_SRC_FLEET_SCHEDULER_PASS_H_
#define BASILSPRING_SRC_FLEET_SCHEDULER_PASS_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "basilspring/fleet/placement.h"
#include "basilspring/fleet/scheduler_core.h"

/// What the parts of the scheduler's queue share during one pass.
namespace basilspring::fleet {

/// Classes of ready steps, served in this order.
inline constexpr std::int32_t kTierGuaranteed = 0;
inline constexpr std::int32_t kTierUrgent = 1;
inline constexpr std::int32_t kTierOther = 2;
inline constexpr std::int32_t kTierTooLate = 3;

/// What one pass over the queue knows of the workers that can take work; kept current while steps
/// are started and others stopped.
struct SchedulerCore::Pass {
  struct Row {
    Worker* worker = nullptr;
    Resources free;
    /// Of what runs here, the part that is being stopped and should end soon.
    Resources stopping;
    /// Held for steps that wait for that.
    Resources reserved;
    /// Left to waiting gangs by other work that is not urgent.
    Resources awaited;
  };
  std::vector<Row> rows;
  std::map<NodeId, std::size_t> index;
  std::set<JobId> guaranteed;
  /// Less than half of all accelerators and cores are in use.
  bool mostly_idle = false;
  /// Accelerators that other work leaves free for the first priority.
  std::int64_t headroom = 0;
  /// Gangs for which workers are awaited.
  std::int32_t awaited_gangs = 0;
};

/// The workers that could take a step, and what placement may stop there.
struct SchedulerCore::View {
  std::vector<Candidate> candidates;
  /// For each candidate its row of the pass.
  std::vector<std::size_t> rows;
  /// For each candidate what is unclaimed once the stops under way have taken effect.
  std::vector<Resources> room_after_stops;
  /// For each victim handle one of its runs.
  std::vector<std::pair<NodeId, RunKey>> victims;
};

inline Resources Times(const Resources& one, std::int64_t count) {
  return {one.milli_cores * count, one.memory_mb * count, one.accelerators * count};
}

}  // namespace basilspring::fleet

#endif  // BASILSPRING_SRC_FLEET_SCHEDULER_PASS_H_
