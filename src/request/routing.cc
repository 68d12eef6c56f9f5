#include "basilspring/request/routing.h"

#include <fmt/format.h>

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace basilspring {
namespace {

// The size of an answer is not known in advance; most outputs of the target deployments have a few
// KiB.
constexpr std::uint64_t kAssumedAnswerBytes = 8 * 1024;
constexpr std::uint64_t kFramingBytes = 1024;
// Minimum reduction of the estimated wait that justifies another region: a round trip over the link
// takes about 20 ms, and the estimates are uncertain by about the interval of the summaries.
constexpr Duration kMinimumWaitGain = Duration(1000);
// The wait must also shrink by this multiple of the transfer time of the job's bytes, so that the
// billed link is used only where it clearly shortens the wait.
constexpr std::int64_t kTransferTimeFactor = 10;
// Estimated waits in the same interval of this length count as equal, so that the fit decides.
constexpr std::int64_t kWaitStepMilliseconds = 250;

enum class Exclusion {
  kNone,
  kAvoided,
  kOutOfService,
  kNotReady,
  kNeverFits,
  kLinkBudgetUsedUp,
  kGainTooSmall
};

// Index of the smallest run size (1, 2, 4, 8 and so on) that holds a task's accelerators.
std::size_t RunLevel(std::uint32_t accelerators) {
  return static_cast<std::size_t>(std::bit_width(std::bit_ceil(std::max(accelerators, 1U))) - 1);
}

std::uint32_t FreeRuns(const CellSummary& summary, std::size_t level) {
  return level < summary.free_runs.size() ? summary.free_runs[level] : 0;
}

struct ScoredCell {
  const CellCandidate* candidate = nullptr;
  Exclusion exclusion = Exclusion::kNone;
  bool local = false;
  bool fits_now = false;
  Duration wait;
  // Number of levels between the largest free run and the required one: a small job in a cell with
  // large free runs may split a run that large jobs need.
  std::size_t excess_run_levels = 0;

  auto Rank() const {
    const CellSummary& summary = candidate->summary;
    return std::make_tuple(wait.milliseconds() / kWaitStepMilliseconds, !fits_now,
                           excess_run_levels, candidate->tasks_sent, ~summary.free_slots,
                           summary.cell);
  }
};

bool FitsNow(const CellCandidate& candidate, const GangShape& shape) {
  const CellSummary& summary = candidate.summary;
  const std::uint32_t tasks = shape.tasks + candidate.tasks_sent;
  if (summary.free_slots < tasks) return false;
  if (shape.accelerators.value() == 0) return true;
  if (summary.free_accelerators / shape.accelerators.value() < tasks) return false;
  // The highest level of the summary stands for all runs of 8 or more accelerators.
  const std::size_t level = std::min<std::size_t>(RunLevel(shape.accelerators.value()), 3);
  return !shape.adjacent || FreeRuns(summary, level) >= tasks;
}

std::size_t ExcessRunLevels(const CellSummary& summary, const GangShape& shape) {
  const std::size_t needed =
      shape.accelerators.value() == 0 ? 0 : RunLevel(shape.accelerators.value());
  std::size_t largest = 0;
  for (std::size_t level = 0; level < summary.free_runs.size(); ++level) {
    if (summary.free_runs[level] > 0) largest = level;
  }
  return largest > needed ? largest - needed : 0;
}

Duration EstimatedWait(const CellSummary& summary, JobClass job_class) {
  const auto index = static_cast<std::size_t>(job_class);
  return index < summary.estimated_wait.size() ? summary.estimated_wait[index] : Duration(0);
}

ScoredCell ScoreCell(const RoutingInput& input, const CellCandidate& candidate) {
  const CellSummary& summary = candidate.summary;
  ScoredCell scored;
  scored.candidate = &candidate;
  scored.local = summary.region == input.region;
  scored.fits_now = FitsNow(candidate, input.job->shape);
  scored.wait = EstimatedWait(summary, input.job->job_class);
  scored.excess_run_levels = ExcessRunLevels(summary, input.job->shape);
  if (CellNeverFits(summary, input.job->shape)) {
    scored.exclusion = Exclusion::kNeverFits;
  } else if (!candidate.in_service) {
    scored.exclusion = Exclusion::kOutOfService;
  } else if (!candidate.current || !summary.ready || summary.scheduler.empty()) {
    scored.exclusion = Exclusion::kNotReady;
  } else if (input.avoid.count(summary.cell) > 0) {
    scored.exclusion = Exclusion::kAvoided;
  }
  return scored;
}

const ScoredCell* BestCell(const std::vector<ScoredCell>& cells, bool local) {
  const ScoredCell* best = nullptr;
  for (const ScoredCell& cell : cells) {
    if (cell.local != local || cell.exclusion != Exclusion::kNone) continue;
    if (best == nullptr || cell.Rank() < best->Rank()) best = &cell;
  }
  return best;
}

// Excludes the cells of other regions whose gain in wait doesn't justify the bytes on the link.
void ExcludeUnprofitableRemoteCells(const RoutingInput& input, const ScoredCell* best_local,
                                    std::vector<ScoredCell>& cells) {
  const std::uint64_t bytes = EstimatedLinkBytes(*input.job);
  const bool link_has_budget = input.link != nullptr && input.link->Has(input.now, bytes);
  Duration required_gain = kMinimumWaitGain;
  if (input.link != nullptr && input.link->rate() > 0) {
    required_gain =
        required_gain +
        Duration(static_cast<std::int64_t>(bytes * 8 / input.link->rate())) * kTransferTimeFactor;
  }
  for (ScoredCell& cell : cells) {
    if (cell.local || cell.exclusion != Exclusion::kNone) continue;
    if (best_local != nullptr && best_local->wait - cell.wait <= required_gain) {
      cell.exclusion = Exclusion::kGainTooSmall;
    } else if (!link_has_budget) {
      cell.exclusion = Exclusion::kLinkBudgetUsedUp;
    }
  }
}

std::string Describe(const ScoredCell& cell) {
  const CellSummary& summary = cell.candidate->summary;
  std::string facts = fmt::format(
      "{}: {}, wait {} ms, {} of {} accelerators free, {} slots free", summary.cell.value(),
      cell.local ? "local" : fmt::format("region {}", summary.region.value()),
      cell.wait.milliseconds(), summary.free_accelerators, summary.total_accelerators,
      summary.free_slots);
  switch (cell.exclusion) {
    case Exclusion::kNone:
      return facts + (cell.fits_now ? ", has room now" : ", job has to wait");
    case Exclusion::kAvoided:
      return facts + "; excluded: refused or lost this job before";
    case Exclusion::kOutOfService:
      return facts + "; excluded: data centre out of service";
    case Exclusion::kNotReady:
      return facts + "; excluded: no ready scheduler";
    case Exclusion::kNeverFits:
      return facts + "; excluded: its workers can never hold the shape";
    case Exclusion::kLinkBudgetUsedUp:
      return facts + "; excluded: the link budget is used up";
    case Exclusion::kGainTooSmall:
      return facts + "; excluded: the gain in wait does not pay for the bytes over the link";
  }
  return facts;
}

NotRouted MakeRefusal(const std::vector<ScoredCell>& cells) {
  const auto count = [&cells](Exclusion exclusion) {
    return std::count_if(cells.begin(), cells.end(), [exclusion](const ScoredCell& cell) {
      return cell.exclusion == exclusion;
    });
  };
  NotRouted refusal;
  if (cells.empty()) {
    refusal.reason = "no cell scheduler is known";
  } else if (count(Exclusion::kNeverFits) == static_cast<std::ptrdiff_t>(cells.size())) {
    refusal.kind = ErrorKind::kNeverFits;
    refusal.reason = "no cell can ever hold the shape";
  } else if (count(Exclusion::kLinkBudgetUsedUp) > 0) {
    refusal.kind = ErrorKind::kOverloaded;
    refusal.reason = "only other regions have room, and the link budget is used up";
  } else if (count(Exclusion::kAvoided) > 0) {
    refusal.kind = ErrorKind::kNoCapacity;
    refusal.reason = "every cell that could hold the job has refused it";
  } else if (count(Exclusion::kNotReady) > 0) {
    refusal.reason = "no cell that could hold the job has a ready scheduler";
  } else {
    refusal.kind = ErrorKind::kDataCentreOut;
    refusal.reason = "the data centres that could hold the job are out of service";
  }
  return refusal;
}

}  // namespace

bool CellNeverFits(const CellSummary& summary, const GangShape& shape) {
  const std::uint32_t needed = shape.accelerators.value();
  // A cell without workers may get workers of any size later.
  if (needed == 0 || summary.workers == 0) return false;
  const std::uint64_t all = std::uint64_t{needed} * shape.tasks;
  if (summary.total_accelerators < all) return true;
  if (summary.racks.empty()) return false;
  // The summary describes each rack by its smallest worker; the remaining accelerators of the cell
  // may belong to one worker of any rack.
  std::uint64_t described = 0;
  std::uint64_t tasks = 0;
  std::uint32_t largest = 0;
  for (const RackCapacity& rack : summary.racks) {
    const std::uint64_t workers = std::uint64_t{rack.racks} * rack.workers;
    described += workers * rack.accelerators_per_worker;
    tasks += workers * (rack.accelerators_per_worker / needed);
    largest = std::max(largest, rack.accelerators_per_worker);
  }
  if (described >= summary.total_accelerators) return tasks < shape.tasks;
  const std::uint64_t surplus = summary.total_accelerators - described;
  return largest + surplus < needed;
}

std::uint64_t EstimatedLinkBytes(const JobSpec& job) {
  return job.payload.size() + kAssumedAnswerBytes * job.shape.tasks + kFramingBytes;
}

RoutingResult RouteJob(const RoutingInput& input) {
  std::vector<ScoredCell> cells;
  cells.reserve(input.cells->size());
  for (const CellCandidate& candidate : *input.cells) {
    cells.push_back(ScoreCell(input, candidate));
  }
  const ScoredCell* const best_local = BestCell(cells, true);
  ExcludeUnprofitableRemoteCells(input, best_local, cells);
  const ScoredCell* const best_remote = BestCell(cells, false);
  // A remote cell that was not excluded either gains enough wait or has no local alternative.
  const ScoredCell* const best = best_remote != nullptr ? best_remote : best_local;
  std::vector<std::string> lines;
  lines.reserve(cells.size());
  for (const ScoredCell& cell : cells) lines.push_back(Describe(cell));
  if (best == nullptr) {
    NotRouted refusal = MakeRefusal(cells);
    refusal.candidates = std::move(lines);
    return refusal;
  }
  const CellSummary& summary = best->candidate->summary;
  Routed routed{summary.cell, summary.scheduler, summary.epoch};
  routed.link_bytes = best->local ? 0 : EstimatedLinkBytes(*input.job);
  routed.reason = fmt::format(
      "{} cell, wait {} ms, {}",
      best->local ? "local" : (best_local == nullptr ? "no local cell; remote" : "faster remote"),
      best->wait.milliseconds(), best->fits_now ? "has room now" : "least wait");
  routed.candidates = std::move(lines);
  return routed;
}

}  // namespace basilspring
