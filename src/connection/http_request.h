#ifndef BASILSPRING_SRC_CONNECTION_HTTP_REQUEST_H_
#define BASILSPRING_SRC_CONNECTION_HTTP_REQUEST_H_

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

#include "basilspring/connection/http_server.h"
#include "basilspring/error.h"

namespace basilspring::internal {

using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/// Error response to a request that the server answers itself instead of calling the handler.
struct Refusal {
  int status = 400;
  ErrorKind kind = ErrorKind::kInvalidArgument;
  std::string reason;
};

void SetParserLimits(RequestParser& parser, const HttpLimits& limits);

/// Returns the response to a request that could not be read; std::nullopt if the connection ended
/// or broke.
std::optional<Refusal> RefusalForError(const boost::system::error_code& error,
                                       const HttpLimits& limits);

/// Converts a parsed request to an HttpRequest, moving the body. Returns std::nullopt on success,
/// or the response to an invalid request.
std::optional<Refusal> MakeRequest(RequestParser& parser, HttpRequest& request);

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_HTTP_REQUEST_H_
