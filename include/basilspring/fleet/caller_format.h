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

/// How callers, backend servers and operators are understood: implemented by the folder that knows
/// the names on the wire.
namespace basilspring::fleet {

enum class CallerAction : std::uint8_t { kSubmit, kLook, kCancel, kOther };

/// What a caller's request says before its queue is known.
struct CallerRequest {
  CallerAction action = CallerAction::kOther;
  std::string host;
  std::string path;
  std::string api_key;
  /// How long the caller waits for an answer; 0 when it does not say.
  Duration patience;
  std::string body;
};

struct JobAcceptedAnswer {};
struct JobPhaseAnswer {
  JobPhase phase = JobPhase::kQueued;
};
struct PendingAnswer {
  std::int64_t pending = 0;
};
/// The request was not carried out; the reason decides the status.
struct RefusalAnswer {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  /// When the caller should come back; 0 when coming back does not help.
  Duration retry_after;
};

using CallerAnswer = std::variant<JobAcceptedAnswer, JobPhaseAnswer, PendingAnswer, RefusalAnswer>;

class CallerFormat {
 public:
  virtual ~CallerFormat() = default;
  virtual CallerRequest DecodeRequest(HttpRequest request) const = 0;
  /// The payload and steps of a submitted job. Throws Error(kInvalidArgument).
  virtual JobSpec DecodeJob(const std::string& body) const = 0;
  virtual HttpResponse Encode(const CallerAnswer& answer) const = 0;
};

struct BackendLeave {
  BackendId id;
};
/// Neither: the text says why.
struct NotAnAnnouncement {
  int status = 404;
  std::string reason;
};
using AnnouncementCall = std::variant<BackendAnnouncement, BackendLeave, NotAnAnnouncement>;

class AnnouncementFormat {
 public:
  virtual ~AnnouncementFormat() = default;
  virtual AnnouncementCall Decode(const HttpRequest& request) const = 0;
};

/// Where operators write, and how.
class OperatorFormat {
 public:
  virtual ~OperatorFormat() = default;
  /// Prefix of all keys that operators write.
  virtual std::string Prefix() const = 0;
  /// Changes the state by one item, which may be a removal. Returns a fault when the item can't be
  /// read, and leaves the state as it was.
  virtual std::optional<std::string> Apply(const StoreItem& item, OperatorState& state) const = 0;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_CALLER_FORMAT_H_
