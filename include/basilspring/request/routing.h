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

/// Token bucket for the bytes that an entry sends over the link between regions.
class LinkBudget {
 public:
  explicit LinkBudget(std::uint32_t kilobits_per_second) : rate_(kilobits_per_second) {}

  void SetRate(TimePoint now, std::uint32_t kilobits_per_second);
  std::uint32_t rate() const { return rate_; }
  /// Whether the bytes can be sent now.
  bool Has(TimePoint now, std::uint64_t bytes) const;
  /// Takes the bytes out of the bucket; false, without a change, when it holds fewer.
  bool TryTake(TimePoint now, std::uint64_t bytes);

 private:
  std::uint64_t Level(TimePoint now) const;
  std::uint64_t Capacity() const;

  /// 1 kbit/s is one bit a millisecond.
  std::uint32_t rate_;
  std::uint64_t bits_ = 0;
  std::optional<TimePoint> filled_;
};

/// A cell as the entry knows it.
struct CellCandidate {
  CellSummary summary;
  /// Whether the operators have the data centre in service.
  bool in_service = true;
  /// Whether the summary is recent and its sender holds the cell.
  bool current = true;
  /// Tasks that this entry has sent to the cell since its last summary, which doesn't count them.
  std::uint32_t tasks_sent = 0;
};

struct RoutingInput {
  const JobSpec* job = nullptr;
  TimePoint now;
  /// Region of the entry.
  RegionId region;
  const std::vector<CellCandidate>* cells = nullptr;
  /// Budget of the link between regions; not changed. Without one, cells of other regions are not
  /// used.
  const LinkBudget* link = nullptr;
  /// Cells that refused the job or lost it.
  std::set<CellId> avoid;
};

struct Routed {
  CellId cell;
  Address scheduler;
  Epoch epoch;
  /// Bytes to take out of the link budget; zero within the region.
  std::uint64_t link_bytes = 0;
  std::string reason;
  /// One line for each cell.
  std::vector<std::string> candidates;
};

struct NotRouted {
  /// kNoScheduler, kNeverFits, kDataCentreOut, kNoCapacity, or kOverloaded when the link budget is
  /// used up.
  ErrorKind kind = ErrorKind::kNoScheduler;
  std::string reason;
  std::vector<std::string> candidates;
};

using RoutingResult = std::variant<Routed, NotRouted>;

/// Chooses a cell. The entry's own region comes first; another region is chosen only when the gain
/// in estimated wait pays for the bytes. Pure; the cost is O(cells).
RoutingResult RouteJob(const RoutingInput& input);

/// Whether the workers of the cell could not hold the shape even if all were empty. Errs on the
/// side of false: the cell scheduler knows its workers exactly.
bool CellNeverFits(const CellSummary& summary, const GangShape& shape);

/// Bytes that a job costs on the link: payload, answer (assumed) and framing.
std::uint64_t EstimatedLinkBytes(const JobSpec& job);

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_ROUTING_H_
