#ifndef BASILSPRING_REQUEST_RUN_TIME_ESTIMATE_H_
#define BASILSPRING_REQUEST_RUN_TIME_ESTIMATE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "basilspring/clock.h"
#include "basilspring/ids.h"
#include "basilspring/request/job.h"

namespace basilspring {

/// A fixed histogram of observed over declared run time, on a logarithmic scale. Old samples fade:
/// all counts are halved when they reach a limit, so that a changed workload shows soon.
class RatioHistogram {
 public:
  void Add(double ratio);
  /// The ratio that a share of `quantile` (0 to 1) of the runs doesn't exceed. A prior that takes
  /// declared run times as right counts as a few samples, so that the first ones don't decide
  /// alone.
  double Quantile(double quantile) const;
  std::uint32_t samples() const { return samples_; }

 private:
  /// Two buckets for each doubling, from 1/256 to 256.
  static constexpr std::size_t kBuckets = 33;
  std::array<std::uint16_t, kBuckets> counts_ = {};
  std::uint32_t samples_ = 0;
};

/// Corrected run times by workspace and class.
class RunTimeEstimate {
 public:
  /// What a job with no declared run time counts as.
  explicit RunTimeEstimate(Duration default_run_time) : default_run_time_(default_run_time) {}
  void SetDefault(Duration default_run_time) { default_run_time_ = default_run_time; }

  /// Notes that a job ran to its end. Runs that were stopped or failed must not be noted.
  void Observe(const WorkspaceId& workspace, JobClass job_class, Duration declared,
               Duration observed);
  /// The run time that a share of `quantile` of such jobs doesn't exceed. The median is the value
  /// for waits; a high quantile suits promises to others, such as backfilling.
  Duration Correct(const WorkspaceId& workspace, JobClass job_class, Duration declared,
                   double quantile = 0.5) const;
  /// Forgets a workspace that no longer exists.
  void Forget(const WorkspaceId& workspace);

 private:
  Duration Declared(Duration declared) const;

  Duration default_run_time_;
  std::map<std::pair<WorkspaceId, JobClass>, RatioHistogram> histograms_;
};

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_RUN_TIME_ESTIMATE_H_
