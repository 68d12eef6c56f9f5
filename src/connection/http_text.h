#ifndef BASILSPRING_SRC_CONNECTION_HTTP_TEXT_H_
#define BASILSPRING_SRC_CONNECTION_HTTP_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "basilspring/connection/http_client.h"
#include "basilspring/connection/http_server.h"

namespace basilspring::internal {

/// Converts ASCII letters to lower case, independent of the locale.
std::string LowerCase(std::string_view text);

/// Decodes %XX; returns std::nullopt for an invalid escape or an escaped NUL. A plus sign is not
/// decoded.
std::optional<std::string> PercentDecode(std::string_view text);

/// Sets the path and query of `request` from a request target in origin or absolute form; returns
/// false if the target is malformed.
bool ParseTarget(std::string_view target, HttpRequest& request);

/// Whether a response with this status never has a body.
bool StatusHasNoBody(int status);

enum class BodyFraming { kLength, kChunked, kUntilClose };

/// Returns the status line and the headers of a response, with the empty line that ends them.
std::string FormatResponseHead(const HttpResponse& response, BodyFraming framing, bool keep_alive);

/// Returns the request line and the headers, with the empty line that ends them; std::nullopt if a
/// part contains bytes that would break the framing.
std::optional<std::string> FormatRequestHead(const HttpClientRequest& request);

/// Returns one chunk of a chunked body.
std::string FormatChunk(std::string_view bytes);

/// Returns the JSON response to a request that the server itself refuses.
HttpResponse ErrorResponse(int status, ErrorKind kind, const std::string& message);

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_HTTP_TEXT_H_
