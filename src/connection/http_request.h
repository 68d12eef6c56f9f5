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

/// Why a request is answered by the server itself.
struct Refusal {
  int status = 400;
  ErrorKind kind = ErrorKind::kInvalidArgument;
  std::string reason;
};

void SetParserLimits(RequestParser& parser, const HttpLimits& limits);

/// The answer to a request that could not be read, or nothing when the connection ended or broke.
std::optional<Refusal> RefusalOf(const boost::system::error_code& error, const HttpLimits& limits);

/// Turns a whole request into the plain struct, moving the body.
std::optional<Refusal> MakeRequest(RequestParser& parser, HttpRequest& request);

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_HTTP_REQUEST_H_
