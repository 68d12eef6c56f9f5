#ifndef BASILSPRING_PROCESS_CALLER_API_H_
#define BASILSPRING_PROCESS_CALLER_API_H_

#include <string>

#include "basilspring/connection/http_server.h"
#include "basilspring/process/entry_core.h"

namespace basilspring {

/// How the reply of the core becomes an HTTP answer.
enum class ReplyStyle {
  /// The answer as raw bytes, a refusal or the state as JSON.
  kAnswer,
  /// The state as JSON, also after the end.
  kState,
  /// The end of a cancelled job as JSON.
  kCancellation,
  /// Server-sent events.
  kEvents,
};

/// A caller's HTTP request as an event of the core.
struct CallerCall {
  EntryEvent event;
  ReplyStyle style = ReplyStyle::kAnswer;
};

/// Reads a request below /v1/jobs. `new_job` becomes the id of a submitted job. Throws
/// Error(kInvalidArgument) that names parameter, value and what is allowed,
/// Error(kPayloadTooLarge), and Error(kNotFound) for a path or method that does not exist.
CallerCall ParseCallerRequest(const HttpRequest& request, CallerId caller, const JobId& new_job);

/// The whole HTTP answer for the last reply of a call. Not for ReplyStyle::kEvents.
HttpResponse FormatReply(ReplyStyle style, const CallerReply& reply);

/// One server-sent event.
std::string FormatProgressEvent(const CallerReply& reply);

/// A refusal: {"error","message","outcome","retryable","retry_after_ms","job"} with the status of
/// the error table.
HttpResponse FormatError(ErrorKind kind, const std::string& message, const JobId& job,
                         Duration retry_after);

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_CALLER_API_H_
