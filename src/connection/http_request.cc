#include "connection/http_request.h"

#include <fmt/format.h>

#include <boost/beast/http/error.hpp>
#include <string_view>
#include <utility>

#include "connection/http_text.h"

namespace basilspring::internal {

namespace http = boost::beast::http;

void SetParserLimits(RequestParser& parser, const HttpLimits& limits) {
  parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  parser.body_limit(limits.max_body_bytes);
}

std::optional<Refusal> RefusalForError(const boost::system::error_code& error,
                                       const HttpLimits& limits) {
  const bool malformed =
      error != http::error::end_of_stream &&
      error.category() == http::make_error_code(http::error::bad_method).category();
  if (!malformed) return std::nullopt;
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return Refusal{431, ErrorKind::kPayloadTooLarge,
                   fmt::format("the header is larger than {} bytes", limits.max_header_bytes)};
  }
  if (error == http::error::body_limit) {
    return Refusal{413, ErrorKind::kPayloadTooLarge,
                   fmt::format("the body is larger than {} bytes", limits.max_body_bytes)};
  }
  return Refusal{400, ErrorKind::kInvalidArgument, "malformed request: " + error.message()};
}

std::optional<Refusal> MakeRequest(RequestParser& parser, HttpRequest& request) {
  const auto& head = parser.get();
  const auto method = head.method_string();
  request.method.assign(method.data(), method.size());
  for (const auto& field : head) {
    std::string name = LowerCase({field.name_string().data(), field.name_string().size()});
    const std::string value(field.value().data(), field.value().size());
    const auto [entry, added] = request.headers.emplace(std::move(name), value);
    if (!added) entry->second += ", " + value;
  }
  const std::string_view target(head.target().data(), head.target().size());
  const bool version_ok = head.version() == 10 || head.version() == 11;
  const bool host_ok = head.version() == 10 || head.count(http::field::host) == 1;
  if (!version_ok || !host_ok || !ParseTarget(target, request)) {
    return Refusal{400, ErrorKind::kInvalidArgument,
                   "the version, the Host header or the target of the request is invalid"};
  }
  request.body = std::move(parser.get().body());
  return std::nullopt;
}

}  // namespace basilspring::internal
