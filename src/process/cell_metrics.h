#ifndef BASILSPRING_SRC_PROCESS_CELL_METRICS_H_
#define BASILSPRING_SRC_PROCESS_CELL_METRICS_H_

#include <string_view>

#include "basilspring/process/cell_core.h"
#include "basilspring/process/metrics.h"

namespace basilspring::internal {

/// Publishes the counters of a CellCore in the metrics of the process.
class CellMetrics {
 public:
  explicit CellMetrics(MetricRegistry& metrics) : metrics_(metrics) {}

  /// Adds the increase of the totals since the last call, and sets the gauges.
  void Update(const CellCounters& counters);
  void CountStoreCall(std::string_view operation, StoreOutcome outcome);
  /// Sets the gauges to zero, when the cell is no longer held.
  void ResetGauges();

 private:
  void SetGauges(const CellCounters& counters);

  MetricRegistry& metrics_;
  /// The totals that have been added to the metrics already.
  CellCounters published_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_PROCESS_CELL_METRICS_H_
