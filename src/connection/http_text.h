#ifndef BASILSPRING_SRC_CONNECTION_HTTP_TEXT_H_
#define BASILSPRING_SRC_CONNECTION_HTTP_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "basilspring/connection/http_client.h"
#include "basilspring/connection/http_server.h"

namespace basilspring::internal {

/// ASCII letters in lower case, independent of the locale.
std::string LowerCase(std::string_view text);

/// Decodes %XX; nothing for a broken escape or an escaped NUL. A plus sign stays a plus sign.
std::optional<std::string> PercentDecode(std::string_view text);

/// Fills path and query from a request target in origin or absolute form; false when it is
/// malformed.
bool ParseTarget(std::string_view target, HttpRequest& request);

/// Whether an answer with this status never has a body.
bool StatusHasNoBody(int status);

enum class BodyFraming { kLength, kChunked, kUntilClose };

/// Status line and header of an answer, with the empty line.
std::string FormatResponseHead(const HttpResponse& response, BodyFraming framing, bool keep_alive);

/// Whole request head, or nothing when a part contains bytes that would break the framing.
std::optional<std::string> FormatRequestHead(const HttpClientRequest& request);

/// One chunk of a chunked body.
std::string FormatChunk(std::string_view bytes);

/// JSON answer for a request that the server itself turns down.
HttpResponse ErrorResponse(int status, ErrorKind kind, const std::string& message);

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_HTTP_TEXT_H_
