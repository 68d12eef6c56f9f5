#include <algorithm>
#include <bit>
#include <map>
#include <utility>

#include "process/cell_core_internal.h"

namespace basilspring {
namespace {

constexpr std::array<std::uint32_t, 4> kRunLevels = {1, 2, 4, 8};

// Counts the aligned accelerator runs of this length that are entirely free.
std::uint32_t FreeRuns(AcceleratorMask free, std::uint32_t length) {
  const AcceleratorMask run = (AcceleratorMask{1} << length) - 1;
  std::uint32_t count = 0;
  for (std::uint32_t start = 0; start + length <= kMaxAcceleratorsPerWorker; start += length) {
    if (((free >> start) & run) == run) ++count;
  }
  return count;
}

std::vector<RackCapacity> MergeEqualRacks(const std::map<RackId, RackCapacity>& racks) {
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint32_t> counts;
  for (const auto& [id, rack] : racks) ++counts[{rack.workers, rack.accelerators_per_worker}];
  std::vector<RackCapacity> merged;
  merged.reserve(counts.size());
  for (const auto& [shape, count] : counts) merged.push_back({count, shape.first, shape.second});
  return merged;
}

}  // namespace

void CellCore::Impl::OnEntryHello(const EntryHello& hello) {
  const bool known = hello_entries_.contains(hello.address);
  hello_entries_[hello.address] = now_;
  if (!known) SendDatagram(hello.address, Summary());
}

std::vector<Address> CellCore::Impl::Entries() const {
  std::vector<Address> entries = known_entries_;
  for (const auto& [address, heard] : hello_entries_) {
    if (std::find(entries.begin(), entries.end(), address) == entries.end()) {
      entries.push_back(address);
    }
  }
  return entries;
}

void CellCore::Impl::TickSummary() {
  if (now_ < next_summary_) return;
  next_summary_ = now_ + timings_.summary_interval;
  std::erase_if(hello_entries_,
                [this](const auto& entry) { return now_ - entry.second > internal::kEntryExpiry; });
  const CellSummary summary = Summary();
  for (const Address& entry : Entries()) SendDatagram(entry, summary);
}

CellSummary CellCore::Impl::Summary() const {
  CellSummary summary;
  summary.cell = identity_.cell;
  summary.region = identity_.region;
  summary.data_centre = identity_.data_centre;
  summary.epoch = identity_.epoch;
  summary.scheduler = identity_.address;
  summary.config_revision = revision_;
  summary.ready = ready_ && !handing_over_;
  summary.free_runs.assign(kRunLevels.size(), 0);
  std::map<RackId, RackCapacity> racks;
  for (const auto& [id, worker] : cell_.workers()) {
    const std::uint32_t accelerators = worker.capacity.accelerators.value();
    RackCapacity& rack = racks[worker.rack];
    rack.accelerators_per_worker =
        rack.workers == 0 ? accelerators : std::min(rack.accelerators_per_worker, accelerators);
    ++rack.workers;
    ++summary.workers;
    summary.total_accelerators += accelerators;
    summary.running_tasks += static_cast<std::uint32_t>(worker.tasks.size());
    if (!worker.accepting || worker.quarantined) continue;
    summary.free_accelerators +=
        static_cast<std::uint32_t>(std::popcount(worker.free_accelerators));
    summary.free_slots += worker.free_slots.value();
    for (std::size_t i = 0; i < kRunLevels.size(); ++i) {
      summary.free_runs[i] += FreeRuns(worker.free_accelerators, kRunLevels[i]);
    }
  }
  summary.racks = MergeEqualRacks(racks);
  for (std::size_t i = 0; i < kJobClassCount; ++i) {
    summary.queued.push_back(static_cast<std::uint32_t>(queue_.Count(static_cast<JobClass>(i))));
  }
  summary.estimated_wait = EstimatedWaits();
  return summary;
}

std::vector<Duration> CellCore::Impl::EstimatedWaits() const {
  std::vector<Duration> waits;
  for (std::size_t i = 0; i < kJobClassCount; ++i) {
    waits.push_back(queue_.EstimateWait(static_cast<JobClass>(i)));
  }
  return waits;
}

Duration CellCore::Impl::RetryAfter(JobClass job_class) const {
  return std::clamp(EstimatedWaits()[static_cast<std::size_t>(job_class)], Duration::Seconds(1),
                    Duration::Seconds(60));
}

}  // namespace basilspring
