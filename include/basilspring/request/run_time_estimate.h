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

/// A fixed-size histogram of the ratio of observed to declared run time, on a logarithmic scale.
/// Old samples decay: all counts are halved when the number of samples reaches a limit, so that the
/// histogram adapts to a changed workload.
class RatioHistogram {
 public:
  void Add(double ratio);
  /// The ratio that the share `quantile` (0 to 1) of the runs doesn't exceed. A prior with ratio 1
  /// counts as a few samples, so that the first observed samples don't determine the result alone.
  double Quantile(double quantile) const;
  std::uint32_t samples() const { return samples_; }

 private:
  /// Two buckets per doubling, from 1/256 to 256.
  static constexpr std::size_t kBuckets = 33;
  std::array<std::uint16_t, kBuckets> counts_ = {};
  std::uint32_t samples_ = 0;
};

/// Corrected run times by workspace and class.
class RunTimeEstimate {
 public:
  /// `default_run_time` stands for the declared run time of jobs that declare none.
  explicit RunTimeEstimate(Duration default_run_time) : default_run_time_(default_run_time) {}
  void SetDefault(Duration default_run_time) { default_run_time_ = default_run_time; }

  /// Records the run time of a completed job. Runs that were stopped or failed must not be
  /// recorded.
  void Observe(const WorkspaceId& workspace, JobClass job_class, Duration declared,
               Duration observed);
  /// The run time that the share `quantile` of such jobs doesn't exceed. The median is meant for
  /// wait estimates; a high quantile is meant for commitments to other jobs, such as backfilling.
  Duration Correct(const WorkspaceId& workspace, JobClass job_class, Duration declared,
                   double quantile = 0.5) const;
  /// Removes the histograms of a workspace that no longer exists.
  void Forget(const WorkspaceId& workspace);

 private:
  Duration DeclaredOrDefault(Duration declared) const;

  Duration default_run_time_;
  std::map<std::pair<WorkspaceId, JobClass>, RatioHistogram> histograms_;
};

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_RUN_TIME_ESTIMATE_H_
