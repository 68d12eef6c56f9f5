#include "process/cell_metrics.h"

#include <fmt/format.h>

#include <array>

namespace basilspring::internal {
namespace {

// Label values by StoreOutcome, in the order of its enumerators.
constexpr std::array<std::string_view, 4> kOutcomeNames = {"done", "refused", "unavailable",
                                                           "unknown"};

std::string ClassLabel(std::size_t index) {
  return fmt::format("class=\"{}\"", JobClassName(static_cast<JobClass>(index)));
}

}  // namespace

void CellMetrics::Update(const CellCounters& counters) {
  for (const auto& [key, total] : counters.finished) {
    const std::uint64_t before = published_.finished[key];
    if (total == before) continue;
    metrics_
        .GetCounter("basilspring_cell_jobs_finished_total",
                    fmt::format("class=\"{}\",outcome=\"{}\"", JobClassName(key.first),
                                ErrorInfo(key.second).name),
                    "Jobs that ended in this cell")
        .Add(total - before);
  }
  for (std::size_t i = 0; i < kJobClassCount; ++i) {
    metrics_
        .GetCounter("basilspring_cell_jobs_submitted_total", ClassLabel(i),
                    "Jobs handed to this cell scheduler")
        .Add(counters.submitted[i] - published_.submitted[i]);
  }
  const auto add = [&](const char* name, const char* help, std::uint64_t CellCounters::*field) {
    metrics_.GetCounter(name, "", help).Add(counters.*field - published_.*field);
  };
  add("basilspring_cell_placed_total", "Placement decisions that found room",
      &CellCounters::placed);
  add("basilspring_cell_not_placed_total", "Placement decisions that found no room",
      &CellCounters::not_placed);
  add("basilspring_cell_preempted_total", "Gangs stopped to make room", &CellCounters::preempted);
  add("basilspring_cell_requeued_total", "Jobs queued again", &CellCounters::requeued);
  add("basilspring_cell_lost_workers_total", "Workers that fell silent",
      &CellCounters::lost_workers);
  published_ = counters;
  SetGauges(counters);
}

void CellMetrics::SetGauges(const CellCounters& counters) {
  for (std::size_t i = 0; i < kJobClassCount; ++i) {
    metrics_.GetGauge("basilspring_cell_queue_length", ClassLabel(i), "Waiting jobs")
        .Set(static_cast<std::int64_t>(counters.queued[i]));
  }
  metrics_.GetGauge("basilspring_cell_attempts", "", "Attempts between placement and end")
      .Set(static_cast<std::int64_t>(counters.running_attempts));
  metrics_.GetGauge("basilspring_cell_quarantined_workers", "", "Workers that get no work")
      .Set(static_cast<std::int64_t>(counters.quarantined_workers));
}

void CellMetrics::CountStoreCall(std::string_view operation, StoreOutcome outcome) {
  metrics_
      .GetCounter("basilspring_cell_store_operations_total",
                  fmt::format("operation=\"{}\",outcome=\"{}\"", operation,
                              kOutcomeNames[static_cast<std::size_t>(outcome)]),
                  "Store operations of the cell scheduler")
      .Add();
}

void CellMetrics::ResetGauges() { SetGauges(CellCounters{}); }

}  // namespace basilspring::internal
