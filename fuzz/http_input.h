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

/// Small, so that short inputs reach them.
inline HttpLimits FuzzHttpLimits() {
  HttpLimits limits;
  limits.max_header_bytes = 256;
  limits.max_body_bytes = 64;
  return limits;
}

/// Reads a request from arbitrary bytes that arrive in pieces of at most `piece` bytes, with the
/// parser and the checks of the server. Faulty is a request over a limit, a refusal with a status
/// that is not the server's, or one without a reason.
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
    const auto refusal = internal::RefusalOf(error, limits);
    const bool known = refusal && !refusal->reason.empty() &&
                       (refusal->status == 400 || refusal->status == 413 || refusal->status == 431);
    return known ? HttpVerdict::kRefused : HttpVerdict::kFaulty;
  }
  HttpRequest request;
  if (internal::MakeRequest(parser, request)) return HttpVerdict::kRefused;
  const bool whole = !request.method.empty() && request.path.starts_with("/") &&
                     request.path.find('\0') == std::string::npos &&
                     request.body.size() <= limits.max_body_bytes;
  return whole ? HttpVerdict::kAccepted : HttpVerdict::kFaulty;
}

}  // namespace basilspring

#endif  // BASILSPRING_FUZZ_HTTP_INPUT_H_
