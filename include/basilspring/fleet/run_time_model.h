#ifndef BASILSPRING_FLEET_RUN_TIME_MODEL_H_
#define BASILSPRING_FLEET_RUN_TIME_MODEL_H_

#include <cstdint>
#include <map>
#include <utility>

#include "basilspring/clock.h"
#include "basilspring/fleet/job_model.h"

namespace basilspring::fleet {

/// Predicts how long a task runs. Callers' estimates are off by a large factor, so the mean of what
/// was observed for a queue and step counts more with each observation.
class RunTimeModel {
 public:
  /// `duration` is what the run would have taken on one healthy worker near its data.
  void Observe(const QueueId& queue, std::int32_t step, Duration duration);
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
