#ifndef BASILSPRING_FUZZ_HTTP_INPUT_H_
#define BASILSPRING_FUZZ_HTTP_INPUT_H_

#include <algorithm>
#include <string_view>

#include "basilspring/connection/http_server.h"
#include "connection/request_reader.h"

namespace basilspring {

enum class HttpVerdict { kNeedsMore, kRefused, kAccepted, kFaulty };

/// Returns limits that are small, so that short inputs exceed them.
inline HttpLimits FuzzHttpLimits() {
  HttpLimits limits;
  limits.max_header_bytes = 256;
  limits.max_body_bytes = 64;
  limits.max_framing_bytes = 96;
  return limits;
}

/// Parses a request from arbitrary bytes that arrive in pieces of at most `piece` bytes, with the
/// parser and the checks of the server. Returns kFaulty if a request over a limit is accepted, or
/// if a refusal has no reason or a status that the server doesn't use.
inline HttpVerdict CheckHttpInput(std::string_view bytes, std::size_t piece) {
  const HttpLimits limits = FuzzHttpLimits();
  internal::RequestReader reader(limits);
  reader.BeginRequest();
  while (true) {
    const internal::ReadStep step = reader.Parse();
    if (step == internal::ReadStep::kComplete) break;
    if (step == internal::ReadStep::kHeader) continue;
    if (step == internal::ReadStep::kFailed) {
      const auto refusal = reader.RefusalFor(reader.error());
      const bool known =
          refusal && !refusal->reason.empty() &&
          (refusal->status == 400 || refusal->status == 413 || refusal->status == 431);
      return known ? HttpVerdict::kRefused : HttpVerdict::kFaulty;
    }
    // Beyond the limits, at most one piece may be waiting to be parsed.
    const std::size_t bound =
        limits.max_header_bytes + limits.max_body_bytes + limits.max_framing_bytes + piece;
    if (reader.input_bytes() > bound) return HttpVerdict::kFaulty;
    if (bytes.empty()) return HttpVerdict::kNeedsMore;
    const std::size_t taken = std::min(piece, bytes.size());
    reader.Append(bytes.substr(0, taken));
    bytes.remove_prefix(taken);
  }
  HttpRequest request;
  if (internal::MakeRequest(reader.parser(), request)) return HttpVerdict::kRefused;
  const bool valid = !request.method.empty() && request.path.starts_with("/") &&
                     request.path.find('\0') == std::string::npos &&
                     request.body.size() <= limits.max_body_bytes;
  return valid ? HttpVerdict::kAccepted : HttpVerdict::kFaulty;
}

}  // namespace basilspring

#endif  // BASILSPRING_FUZZ_HTTP_INPUT_H_
