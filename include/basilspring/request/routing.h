#ifndef BASILSPRING_REQUEST_ROUTING_H_
#define BASILSPRING_REQUEST_ROUTING_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"
#include "basilspring/ids.h"
#include "basilspring/request/job.h"

namespace basilspring {

/// Token bucket for the bytes that an entry sends over the link to other regions.
class LinkBudget {
 public:
  explicit LinkBudget(std::uint32_t kilobits_per_second) : rate_(kilobits_per_second) {}

  void SetRate(TimePoint now, std::uint32_t kilobits_per_second);
  std::uint32_t rate() const { return rate_; }
  /// Whether the bytes can be sent now.
  bool Has(TimePoint now, std::uint64_t bytes) const;
  /// Consumes the bytes. Returns false without a change if the bucket holds fewer.
  bool TryTake(TimePoint now, std::uint64_t bytes);

 private:
  std::uint64_t AvailableBits(TimePoint now) const;
  std::uint64_t CapacityBits() const;

  /// Rate in kbit/s, which equals bits per millisecond.
  std::uint32_t rate_;
  std::uint64_t bits_at_last_update_ = 0;
  std::optional<TimePoint> last_update_;
};

/// A cell as the entry knows it, which jobs may be routed to.
struct CellCandidate {
  CellSummary summary;
  /// Whether the operators have set the data centre in service.
  bool in_service = true;
  /// Whether the summary is recent and its sender is the current scheduler of the cell.
  bool current = true;
  /// Number of tasks that this entry has sent to the cell since its last summary, which doesn't
  /// include them.
  std::uint32_t tasks_sent = 0;
};

struct RoutingInput {
  const JobSpec* job = nullptr;
  TimePoint now;
  /// Region of the entry.
  RegionId region;
  const std::vector<CellCandidate>* cells = nullptr;
  /// Budget of the link between regions; it is not changed. If null, cells of other regions are not
  /// used.
  const LinkBudget* link = nullptr;
  /// Cells that refused or lost the job; they are excluded.
  std::set<CellId> avoid;
};

struct Routed {
  CellId cell;
  Address scheduler;
  Epoch epoch;
  /// Bytes to consume from the link budget; zero within the region.
  std::uint64_t link_bytes = 0;
  std::string reason;
  /// One line per cell, with its wait and free resources or why it was excluded.
  std::vector<std::string> candidates;
};

struct NotRouted {
  /// kNoScheduler, kNeverFits, kDataCentreOut, kNoCapacity, or kOverloaded if the link budget is
  /// exhausted.
  ErrorKind kind = ErrorKind::kNoScheduler;
  std::string reason;
  std::vector<std::string> candidates;
};

using RoutingResult = std::variant<Routed, NotRouted>;

/// Chooses a cell for the job. The entry's own region is preferred; a cell of another region is
/// chosen only if the reduction of the estimated wait justifies the bytes on the link. The function
/// has no side effects; its cost is O(cells).
RoutingResult RouteJob(const RoutingInput& input);

/// Whether the workers of the cell could not hold the shape even if all were empty. Returns false
/// if the summary doesn't settle this, because the cell scheduler knows its workers exactly.
bool CellNeverFits(const CellSummary& summary, const GangShape& shape);

/// Estimated bytes of a job on the link: payload, assumed answer size and framing.
std::uint64_t EstimatedLinkBytes(const JobSpec& job);

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_ROUTING_H_
