#ifndef BASILSPRING_SRC_PROCESS_CELL_METRICS_H_
#define BASILSPRING_SRC_PROCESS_CELL_METRICS_H_

#include <string_view>

#include "basilspring/process/cell_core.h"
#include "basilspring/process/metrics.h"

namespace basilspring::internal {

/// Carries the totals of a core over into the metrics of the process.
class CellMetrics {
 public:
  explicit CellMetrics(MetricRegistry& metrics) : metrics_(metrics) {}

  void Update(const CellCounters& counters);
  void CountStoreCall(std::string_view operation, StoreOutcome outcome);
  /// The cell is no longer held: its gauges go to zero.
  void Clear();

 private:
  void SetGauges(const CellCounters& counters);

  MetricRegistry& metrics_;
  /// What has been added already.
  CellCounters last_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_PROCESS_CELL_METRICS_H_
