#ifndef BASILSPRING_FLEET_RUN_TIME_MODEL_H_
#define BASILSPRING_FLEET_RUN_TIME_MODEL_H_

#include <cstdint>
#include <map>
#include <utility>

#include "basilspring/clock.h"
#include "basilspring/fleet/job_model.h"

namespace basilspring::fleet {

/// Predicts the run time of a task. Callers' estimates are wrong by a large factor, so the mean of
/// the observed run times of a queue and step gets more weight with each observation.
class RunTimeModel {
 public:
  /// Adds an observed run time. `duration` is the time of a complete run, from the beginning, on a
  /// healthy worker in the rack of its data.
  void Observe(const QueueId& queue, std::int32_t step, Duration duration);
  /// Returns the weighted mean of the observed run times and the caller's estimate `declared`.
  Duration Predict(const QueueId& queue, std::int32_t step, Duration declared) const;

 private:
  struct Mean {
    double milliseconds = 0;
    double weight = 0;
  };
  std::map<std::pair<QueueId, std::int32_t>, Mean> means_;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_RUN_TIME_MODEL_H_
