#ifndef BASILSPRING_FLEET_SCHEDULER_OPTIONS_H_
#define BASILSPRING_FLEET_SCHEDULER_OPTIONS_H_

#include <cstdint>

#include "basilspring/clock.h"

namespace basilspring::fleet {

/// How work is chosen when there is too little capacity for all of it.
enum class ShortagePolicy : std::uint8_t {
  /// By tier, and by the latest start within a tier.
  kTiers,
  /// By what a delay costs callers; see delay_cost.h.
  kCost,
};

/// How much capacity is kept free for jobs of priority 0 that have not arrived yet.
enum class HeadroomPolicy : std::uint8_t {
  /// The decaying peak of their demand.
  kPeak,
  /// A forecast of their demand, weighed by what a stop costs them; see urgent_headroom.h.
  kForecast,
};

/// Timeouts and limits of the scheduler. Those that the platform guarantees are read from the
/// settings file.
struct SchedulerOptions {
  /// How long the runs of a backend server may continue after the last answered report of its
  /// agent. Longer than a failover of the scheduler takes, so that a failover loses no work.
  Duration lease = Duration(5000);
  /// The longest lease that a backend server grants, however late the end that a call names.
  Duration longest_lease = Duration(10000);
  /// The longest time that a backend server takes to stop a run.
  Duration stop_time = Duration(900);
  /// A worker is assigned no new work if its agent has not reported for this long.
  Duration silence_limit = Duration(1500);
  /// The interval after which an unanswered stop is sent again.
  Duration stop_retry_interval = Duration(500);
  /// Added to `stop_time` before the scheduler stops expecting the capacity of a stopped run and
  /// plans the waiting work elsewhere. Covers one poll and one report of the agent on a busy host.
  Duration stop_grace = Duration(600);
  /// A run whose progress has not changed for this long is stopped and restarted elsewhere. It gets
  /// more time if one percent of its task takes longer.
  Duration stall_limit = Duration(3000);
  /// How long a worker on which runs keep failing is first put on probation, which means that it is
  /// assigned new work only as a last resort. The time doubles with each further probation.
  Duration first_probation = Duration(4000);
  /// If less than half of the service's capacity is in use, a job without live runs waits no longer
  /// than this for a worker that is not on probation. Longer than the wait for a rack, because a
  /// run that fails uses up one of the job's attempts.
  Duration max_probation_wait = Duration(2000);
  /// A task of priority 0 within its workspace's guarantee waits no longer than this for a worker
  /// that is not on probation, or for the rack of its data, however busy the fleet is. Leaves time
  /// to stop the borrowed runs elsewhere before the guarantee is due.
  Duration max_guaranteed_wait = Duration(1000);
  /// Runs on a draining backend server are stopped, to save their state, this long before the last
  /// moment at which a stop could still complete.
  Duration drain_margin = Duration(600);
  /// On a draining backend server, a run that cannot continue elsewhere keeps running if it is
  /// predicted to end at least this long before the server shuts down. Covers small prediction
  /// errors.
  Duration finish_margin = Duration(200);
  /// How long a finished job stays available to its callers before it is deleted. A new scheduler
  /// counts this time again from its beginning.
  Duration keep_finished = Duration(120000);
  /// If less than half of the service's capacity is in use, a job without live runs waits no longer
  /// than this for the rack of its data.
  Duration max_rack_wait = Duration(1000);
  /// The same for capacity that is held back for waiting gangs.
  Duration max_held_back_wait = Duration(1000);
  /// A job of priority 0 beyond its workspace's guarantee (borrowed) preempts other work only after
  /// it has waited this long.
  Duration borrowed_preemption_delay = Duration(100);
  /// After its start, a scheduler waits up to this long until nearly all known agents have listed
  /// their runs before it preempts, or places a step away from its rack: until then it takes
  /// capacity that it does not know yet for missing.
  Duration fleet_listing_time = Duration(1000);
  /// Time constant of the exponential decay of the recorded peak demand of priority 0: after this
  /// time the peak has decayed to about a third.
  Duration headroom_decay_time = Duration(6000);
  /// The number of waiting gangs, the most urgent ones, for which capacity is held back: freed
  /// capacity on the chosen workers is not given to other work that is not urgent.
  std::int32_t max_gangs_holding_capacity = 2;
  /// A step whose latest start is less than this away may use the headroom.
  Duration headroom_slack = Duration(2000);

  ShortagePolicy shortage = ShortagePolicy::kTiers;
  HeadroomPolicy headroom = HeadroomPolicy::kPeak;

  /// Returns how long after the end of their lease runs have certainly ended. Covers a slow clock
  /// of the backend server, the stop of the runs and the transit time of the last poll.
  Duration LeaseExpiryMargin() const;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_SCHEDULER_OPTIONS_H_
