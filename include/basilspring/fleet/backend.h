#ifndef BASILSPRING_FLEET_BACKEND_H_
#define BASILSPRING_FLEET_BACKEND_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/address.h"
#include "basilspring/connection/serialize.h"
#include "basilspring/fleet/job_model.h"
#include "basilspring/ids.h"

/// What the product asks of a backend server, and what a backend server says of itself.
namespace basilspring::fleet {

/// A backend server's announcement of itself.
struct BackendAnnouncement {
  BackendId id;
  /// Start of this life of the backend server, in milliseconds since the Unix epoch. The id can be
  /// used again after a restart; id and birth together name a life.
  std::int64_t born_unix_ms = 0;
  /// Rises with each announcement of a life.
  std::int64_t sequence = 0;
  ServiceId service;
  Address address;
  DataCentreId data_centre;
  Resources capacity;
  std::vector<std::string> labels;
  /// The rack is one of the labels too.
  std::string rack;
  bool draining = false;
  /// While draining: the least time that is left.
  Duration drain_remaining;

  BASILSPRING_SERIALIZE(id, born_unix_ms, sequence, service, address, data_centre, capacity, labels,
                        rack, draining, drain_remaining)
};

/// A run that the backend server lists as running.
struct RunningRow {
  TaskId task;
  RunNumber run;
  std::string checkpoint;
  std::int32_t percent = 0;
  BASILSPRING_SERIALIZE(task, run, checkpoint, percent)
};

/// A run that has ended, until the end is acknowledged.
struct EndedRow {
  /// Rises by one with each end of a life of the backend server.
  std::int64_t number = 0;
  TaskId task;
  RunNumber run;
  std::uint8_t end = 0;
  std::string checkpoint;
  BASILSPRING_SERIALIZE(number, task, run, end, checkpoint)
};

enum class BackendStatus : std::uint8_t {
  kOk,
  /// A newer fencing token was seen.
  kStaleTerm,
  /// This run, or a later one, has been stopped or has ended there.
  kStaleRun,
  /// The order came after its time.
  kTooLate,
  /// It does not fit.
  kNoRoom,
  /// Another life of the backend server answered.
  kOtherLife,
  /// Refused for another reason; nothing was done.
  kRefused,
  /// Nothing listens at the backend server's address: it has ended.
  kGone,
  /// No answer: the order may be carried out later.
  kUnknown,
  /// Of a start: it brought no answer and was stopped. It may have begun, and then its end follows;
  /// it will not begin any more.
  kStopped,
};

std::string_view BackendStatusName(BackendStatus status);

struct BackendReply {
  BackendStatus status = BackendStatus::kUnknown;
  /// The backend server's own clock at its answer; 0 when it said nothing.
  std::int64_t clock_ms = 0;
  /// Only of a poll: which life answered, and its runs.
  std::int64_t born_unix_ms = 0;
  std::vector<RunningRow> running;
  std::vector<EndedRow> ended;
  std::string message;
};

struct StartRun {
  TaskId task;
  RunNumber run;
  std::string payload;
  std::string checkpoint;
  Term term;
  /// On the backend server's clock: what runs there is killed then, unless it is extended.
  std::int64_t lease_until_ms = 0;
};

struct StopRun {
  TaskId task;
  RunNumber run;
  Term term;
};

struct PollRuns {
  Term term;
  /// 0 leaves the lease as it is.
  std::int64_t lease_until_ms = 0;
  /// Ends up to this number are acknowledged and forgotten.
  std::int64_t acknowledged = 0;
  /// How long the answer may wait for an end.
  Duration wait;
};

using BackendHandler = std::function<void(BackendReply)>;

/// Carries orders to the backend server of this host. Thread-safe; each handler is called once, on
/// any thread.
class Backend {
 public:
  virtual ~Backend() = default;
  virtual void Start(const BackendAnnouncement& life, const StartRun& order,
                     BackendHandler handler) = 0;
  virtual void Stop(const BackendAnnouncement& life, const StopRun& order,
                    BackendHandler handler) = 0;
  virtual void Poll(const BackendAnnouncement& life, const PollRuns& order,
                    BackendHandler handler) = 0;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_BACKEND_H_
