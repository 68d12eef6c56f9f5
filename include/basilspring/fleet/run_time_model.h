#ifndef BASILSPRING_FLEET_RUN_TIME_MODEL_H_
#define BASILSPRING_FLEET_RUN_TIME_MODEL_H_

#include <cstdint>
#include <map>
#include <utility>

#include "basilspring/clock.h"
#include "basilspring/fleet/job_model.h"

namespace basilspring::fleet {

/// Predicts run times of tasks from the run times of earlier tasks of the same queue and step, and
/// from what callers declare. Callers' estimates are wrong by a factor that is nearly the same for
/// all jobs of some queues and differs much in others, so each queue and step learns which of the
/// two predicts better. Works with logarithms, because run times vary by factors.
class RunTimeModel {
 public:
  /// Adds an observed run time. `duration` is the time of a complete run, from the beginning, on a
  /// healthy worker in the rack of its data, and `declared` the caller's estimate of it.
  void Observe(const QueueId& queue, std::int32_t step, const JobId& job, Duration declared,
               Duration duration);
  /// Returns the predicted run time of one task.
  Duration Predict(const QueueId& queue, std::int32_t step, Duration declared) const;
  /// Returns the predicted run time of the longest of `count` tasks of one job's step. Their run
  /// times vary less than those of different jobs.
  Duration PredictLongest(const QueueId& queue, std::int32_t step, Duration declared,
                          std::int32_t count) const;

 private:
  /// Mean and variance in which older observations decay.
  struct Average {
    double mean = 0;
    double variance = 0;
    double weight = 0;
    void Add(double value);
  };
  struct History {
    /// Of the logarithm of the run time in milliseconds.
    Average run_time;
    /// Of the logarithm of the run time divided by the caller's estimate.
    Average ratio;
    /// Of half the squared difference of two logarithms of the same job.
    Average within_job;
    JobId last_job;
    double last_value = 0;
  };
  const History* Find(const QueueId& queue, std::int32_t step) const;

  std::map<std::pair<QueueId, std::int32_t>, History> histories_;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_RUN_TIME_MODEL_H_
