#ifndef BASILSPRING_FLEET_BACKEND_H_
#define BASILSPRING_FLEET_BACKEND_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/address.h"
#include "basilspring/connection/serialize.h"
#include "basilspring/fleet/job_model.h"
#include "basilspring/ids.h"

/// Interface to backend servers: their announcements, the calls made to them, and the answers.
namespace basilspring::fleet {

/// A backend server's announcement of itself.
struct BackendAnnouncement {
  BackendId id;
  /// Start time of the backend server, in milliseconds since the Unix epoch. The id can be used
  /// again after a restart, so id and start time together identify an incarnation.
  std::int64_t started_unix_ms = 0;
  /// Increases with each announcement of an incarnation.
  std::int64_t sequence = 0;
  ServiceId service;
  Address address;
  DataCentreId data_centre;
  Resources capacity;
  std::vector<std::string> labels;
  /// The rack is one of the labels too.
  std::string rack;
  bool draining = false;
  /// While draining: the shortest time until the backend server leaves.
  Duration drain_remaining;

  BASILSPRING_SERIALIZE(id, started_unix_ms, sequence, service, address, data_centre, capacity,
                        labels, rack, draining, drain_remaining)
};

/// A run that the backend server lists as running.
struct RunningRow {
  TaskId task;
  RunNumber run;
  std::string checkpoint;
  std::int32_t percent = 0;
  BASILSPRING_SERIALIZE(task, run, checkpoint, percent)
};

/// A run that has ended. The backend server lists it until the end is acknowledged.
struct EndedRow {
  /// Increases by one with each end in an incarnation of the backend server.
  std::int64_t number = 0;
  TaskId task;
  RunNumber run;
  /// A RunEnd.
  std::uint8_t end = 0;
  std::string checkpoint;
  BASILSPRING_SERIALIZE(number, task, run, end, checkpoint)
};

/// Outcome of a call to the backend server, or of an order.
enum class BackendStatus : std::uint8_t {
  kOk,
  /// Refused, because an order with a newer fencing token (term) was seen.
  kStaleTerm,
  /// Refused, because this run of the task, or a later one, has been stopped or has ended.
  kStaleRun,
  /// Refused, because the order arrived after its deadline.
  kTooLate,
  /// Refused, because the run does not fit into the free capacity.
  kNoCapacity,
  /// Refused, because the order is for another incarnation of the backend server.
  kOtherIncarnation,
  /// Refused for another reason; nothing was done.
  kRefused,
  /// The connection was refused: nothing listens at the backend server's address.
  kGone,
  /// No answer came; the order may still be carried out.
  kUnknown,
  /// Only for a start: it was not answered, and the run was then stopped. If the run had started,
  /// its end is listed later; it will not start any more.
  kStopped,
  /// Only for a start: refused by the agent, which has read from the backend server that a run of
  /// the task, or of its gang, has ended as done. See RepeatRule.
  kAlreadyDone,
};

/// Returns the status that a peer has sent; kUnknown for one of a later version.
BackendStatus BackendStatusFromWire(std::uint8_t status);
std::string_view BackendStatusName(BackendStatus status);

struct BackendReply {
  BackendStatus status = BackendStatus::kUnknown;
  /// The backend server's clock when it answered, in milliseconds; 0 if the answer has none.
  std::int64_t clock_ms = 0;
  /// Only for a poll: start time of the incarnation that answered, and its runs.
  std::int64_t started_unix_ms = 0;
  std::vector<RunningRow> running;
  std::vector<EndedRow> ended;
  /// Whether the backend server may have more runs or ends than the rows above show. Its answer
  /// lists only some ends until they are acknowledged, and a row that can't be decoded is left out.
  bool more_ends = false;
  /// Number of the first end that is listed but can't be decoded; 0 if that includes its number,
  /// and std::nullopt if there is none.
  std::optional<std::int64_t> unreadable_end;
  std::string message;
};

/// Position of a call in the order in which a backend server may carry calls out: it refuses one
/// with a lower fence than the highest that its incarnation has seen. Ordered by term, then by
/// epoch.
struct Fence {
  Term term;
  /// Increases when calls that were sent before must not be carried out any more, although the term
  /// is the same.
  std::uint32_t epoch = 0;
  auto operator<=>(const Fence&) const = default;
};

struct StartRun {
  TaskId task;
  RunNumber run;
  std::string payload;
  std::string checkpoint;
  Fence fence;
  /// End of the lease on the backend server's clock, at which it kills its runs unless the lease
  /// was extended.
  std::int64_t lease_until_ms = 0;
  /// The answer is awaited for a short time only, because the call is repeated without one.
  bool brief = false;
};

struct StopRun {
  TaskId task;
  RunNumber run;
  Fence fence;
  /// See StartRun::brief.
  bool brief = false;
};

/// Lists the runs of a backend server and extends its lease.
struct PollRuns {
  Fence fence;
  /// End of the lease on the backend server's clock; 0 leaves the lease unchanged.
  std::int64_t lease_until_ms = 0;
  /// Ends up to this number are acknowledged, and the backend server stops listing them.
  std::int64_t acknowledged = 0;
  /// How long the backend server may hold back the answer until a run ends.
  Duration wait;
  /// If true, the poll is sent only on a connection that an earlier poll has opened, and fails if
  /// there is none. A connection ends with the process that accepted it, whereas a new one may
  /// reach another incarnation with the same id.
  bool open_connection_only = false;
  /// See StartRun::brief; only without a wait.
  bool brief = false;
};

using BackendHandler = std::function<void(BackendReply)>;

/// Sends calls to the backend server of this host. Thread-safe; each handler is called once, on any
/// thread.
class Backend {
 public:
  virtual ~Backend() = default;
  virtual void Start(const BackendAnnouncement& backend, const StartRun& order,
                     BackendHandler handler) = 0;
  virtual void Stop(const BackendAnnouncement& backend, const StopRun& order,
                    BackendHandler handler) = 0;
  virtual void Poll(const BackendAnnouncement& backend, const PollRuns& order,
                    BackendHandler handler) = 0;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_BACKEND_H_
