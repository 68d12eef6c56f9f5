#ifndef BASILSPRING_PROCESS_CALLER_API_H_
#define BASILSPRING_PROCESS_CALLER_API_H_

#include <string>

#include "basilspring/connection/http_server.h"
#include "basilspring/process/entry_core.h"

namespace basilspring {

/// How a reply of the core is formatted as an HTTP response.
enum class ReplyStyle {
  /// The answer as raw bytes; a refusal or the state as JSON.
  kAnswer,
  /// The state as JSON, also after the end of the job.
  kState,
  /// The result of a cancelled job as JSON.
  kCancellation,
  /// Server-sent events.
  kEvents,
};

/// A caller's HTTP request, translated to an event of the core and the format of its response.
struct ParsedCallerRequest {
  EntryEvent event;
  ReplyStyle style = ReplyStyle::kAnswer;
};

/// Parses a request whose path starts with /v1/jobs. `new_job` becomes the id of a submitted job.
/// Throws Error(kInvalidArgument) with the parameter, its value and the allowed values;
/// Error(kPayloadTooLarge); and Error(kNotFound) if the path or the method does not exist.
ParsedCallerRequest ParseCallerRequest(const HttpRequest& request, CallerId caller,
                                       const JobId& new_job);

/// Formats the last reply to a request as an HTTP response. Not for ReplyStyle::kEvents.
HttpResponse FormatReply(ReplyStyle style, const CallerReply& reply);

/// Formats a reply as one server-sent event; empty if the reply is neither a state nor a result.
std::string FormatProgressEvent(const CallerReply& reply);

/// Formats a refusal: {"error","message","outcome","retryable","retry_after_ms","job"} with the
/// HTTP status of the error table.
HttpResponse FormatError(ErrorKind kind, const std::string& message, const JobId& job,
                         Duration retry_after);

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_CALLER_API_H_
