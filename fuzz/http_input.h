#ifndef BASILSPRING_FUZZ_HTTP_INPUT_H_
#define BASILSPRING_FUZZ_HTTP_INPUT_H_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <string_view>

#include "basilspring/connection/http_server.h"
#include "connection/http_request.h"

namespace basilspring {

enum class HttpVerdict { kNeedsMore, kRefused, kAccepted, kFaulty };

/// Returns limits that are small, so that short inputs exceed them.
inline HttpLimits FuzzHttpLimits() {
  HttpLimits limits;
  limits.max_header_bytes = 256;
  limits.max_body_bytes = 64;
  return limits;
}

/// Parses a request from arbitrary bytes that arrive in pieces of at most `piece` bytes, with the
/// parser and the checks of the server. Returns kFaulty if a request over a limit is accepted, or
/// if a refusal has no reason or a status that the server doesn't use.
inline HttpVerdict CheckHttpInput(std::string_view bytes, std::size_t piece) {
  const HttpLimits limits = FuzzHttpLimits();
  internal::RequestParser parser;
  internal::SetParserLimits(parser, limits);
  parser.eager(true);
  std::string pending;
  boost::system::error_code error;
  while (!parser.is_done()) {
    if (bytes.empty()) return HttpVerdict::kNeedsMore;
    const std::size_t taken = std::min(piece, bytes.size());
    pending.append(bytes.substr(0, taken));
    bytes.remove_prefix(taken);
    pending.erase(0, parser.put(boost::asio::buffer(pending), error));
    if (error == boost::beast::http::error::need_more) error = {};
    if (!error) continue;
    const auto refusal = internal::RefusalForError(error, limits);
    const bool known = refusal && !refusal->reason.empty() &&
                       (refusal->status == 400 || refusal->status == 413 || refusal->status == 431);
    return known ? HttpVerdict::kRefused : HttpVerdict::kFaulty;
  }
  HttpRequest request;
  if (internal::MakeRequest(parser, request)) return HttpVerdict::kRefused;
  const bool valid = !request.method.empty() && request.path.starts_with("/") &&
                     request.path.find('\0') == std::string::npos &&
                     request.body.size() <= limits.max_body_bytes;
  return valid ? HttpVerdict::kAccepted : HttpVerdict::kFaulty;
}

}  // namespace basilspring

#endif  // BASILSPRING_FUZZ_HTTP_INPUT_H_
