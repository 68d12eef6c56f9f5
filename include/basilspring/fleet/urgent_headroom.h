#ifndef BASILSPRING_FLEET_URGENT_HEADROOM_H_
#define BASILSPRING_FLEET_URGENT_HEADROOM_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/fleet/job_model.h"
#include "basilspring/fleet/scheduler_options.h"

namespace basilspring::fleet {

/// What one scheduling pass sees of the jobs of priority 0 of one service.
struct UrgentDemand {
  /// The accelerators that they use or wait for.
  std::int64_t accelerators = 0;
  /// The accelerators of the service's workers.
  std::int64_t capacity = 0;
  struct QueueSlack {
    /// The sum of the slack of its jobs, and their number.
    Duration total;
    std::int64_t jobs = 0;
  };
  /// For each queue of priority 0 that has jobs, how long these can wait and still be on time. Left
  /// empty with HeadroomPolicy::kPeak.
  std::map<QueueId, QueueSlack> slack;
};

/// Decides how many accelerators of each service other work leaves free for jobs of priority 0 that
/// have not arrived yet. Has no I/O and reads no clock.
///
/// Each service has a ceiling: the accelerators that urgent work uses, waits for, or finds free. It
/// follows a rise of the demand at once and decays exponentially. The difference between ceiling
/// and demand is kept free. With HeadroomPolicy::kForecast, ceiling and time constant grow with the
/// stop pressure, which is the time of a stop divided by the slack of an urgent job: if a stop
/// takes most of the slack, urgent jobs that find no free capacity are late.
class UrgentHeadroom {
 public:
  /// The state of one service as of the last pass.
  struct Service {
    double ceiling = 0;
    std::int64_t kept_free = 0;
    /// Mean and standard deviation of the demand over the last half minute.
    double level = 0;
    double swing = 0;
    /// 0 if unknown.
    double pressure = 0;
  };

  explicit UrgentHeadroom(const SchedulerOptions& options);

  /// Processes the demand of one pass. Services that it does not contain have none.
  void Update(TimePoint now, const std::map<ServiceId, UrgentDemand>& demand);
  const std::map<ServiceId, Service>& services() const { return services_; }
  /// Returns a line for each service whose state has changed since its last line, at most one every
  /// few seconds. Empty with HeadroomPolicy::kPeak.
  std::vector<std::string> TakeChanges(TimePoint now);

 private:
  struct QueueHistory {
    double slack_ms = 0;
    TimePoint last_jobs_at;
  };
  struct Logged {
    std::string text;
    TimePoint at;
  };
  /// Returns the stop pressure of the service from the smallest slack of its queues.
  double Pressure(TimePoint now, double elapsed_ms, const ServiceId& service,
                  const UrgentDemand& demand);
  void UpdateService(TimePoint now, double elapsed_ms, const ServiceId& service,
                     const UrgentDemand& demand);

  HeadroomPolicy policy_;
  double stop_time_ms_;
  double decay_time_ms_;
  TimePoint updated_at_;
  std::map<ServiceId, Service> services_;
  std::map<ServiceId, std::map<QueueId, QueueHistory>> queues_;
  std::map<ServiceId, Logged> logged_;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_URGENT_HEADROOM_H_
