#ifndef BASILSPRING_FLEET_CALLER_FORMAT_H_
#define BASILSPRING_FLEET_CALLER_FORMAT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/http_server.h"
#include "basilspring/error.h"
#include "basilspring/fleet/backend.h"
#include "basilspring/fleet/fleet_config.h"
#include "basilspring/fleet/job_model.h"
#include "basilspring/fleet/store.h"

/// Interfaces that translate requests of callers, announcements of backend servers, and what
/// operators write to the store. The implementations in platform/ define the names on the wire.
namespace basilspring::fleet {

/// What a caller asks for. kQuery is a query for the phase of a job, or for the number of pending
/// jobs if the path names only a queue.
enum class CallerAction : std::uint8_t { kSubmit, kQuery, kCancel, kOther };

/// A caller's request; its body is not decoded yet (see CallerFormat::DecodeJob).
struct CallerRequest {
  CallerAction action = CallerAction::kOther;
  std::string host;
  std::string path;
  std::string api_key;
  /// How long the caller waits for an answer; 0 if the request does not state it.
  Duration timeout;
  std::string body;
};

struct JobAcceptedAnswer {};
struct JobPhaseAnswer {
  JobPhase phase = JobPhase::kQueued;
};
/// Number of a queue's jobs that have not started any task.
struct PendingAnswer {
  std::int64_t pending = 0;
  /// How old the count is. Not sent to the caller.
  Duration age;
};
/// The request was refused, or it is unknown whether it was carried out; `kind` says which, and
/// determines the HTTP status.
struct RefusalAnswer {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  /// Time after which the caller should retry; 0 if none is suggested.
  Duration retry_after;
};

using CallerAnswer = std::variant<JobAcceptedAnswer, JobPhaseAnswer, PendingAnswer, RefusalAnswer>;

/// Decodes the requests of callers and encodes the answers.
class CallerFormat {
 public:
  virtual ~CallerFormat() = default;
  virtual CallerRequest DecodeRequest(HttpRequest request) const = 0;
  /// Decodes the payload and the steps of a submitted job. Throws Error(kInvalidArgument).
  virtual JobSpec DecodeJob(const std::string& body) const = 0;
  virtual HttpResponse Encode(const CallerAnswer& answer) const = 0;
};

/// A backend server's notice that it leaves permanently.
struct BackendLeave {
  BackendId id;
};
/// The request can't be decoded as an announcement or a notice of leaving. `status` is the HTTP
/// status of the answer, `reason` its text.
struct InvalidAnnouncement {
  int status = 404;
  std::string reason;
};
using DecodedAnnouncement = std::variant<BackendAnnouncement, BackendLeave, InvalidAnnouncement>;

/// Decodes the requests that backend servers send to their agents.
class AnnouncementFormat {
 public:
  virtual ~AnnouncementFormat() = default;
  virtual DecodedAnnouncement Decode(const HttpRequest& request) const = 0;
};

/// Decodes what operators write to the store.
class OperatorFormat {
 public:
  virtual ~OperatorFormat() = default;
  /// Returns the prefix of all keys that operators write.
  virtual std::string Prefix() const = 0;
  /// Applies one item, which may be a removal, to the state. If the item can't be decoded, returns
  /// a description of the fault and leaves the state unchanged; otherwise returns std::nullopt.
  virtual std::optional<std::string> Apply(const StoreItem& item, OperatorState& state) const = 0;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_CALLER_FORMAT_H_
