#include "connection/http_text.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <boost/json.hpp>

namespace basilspring {

std::string HttpRequest::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

std::string HttpRequest::Query(const std::string& name) const {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

namespace internal {
namespace {

int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F') return digit - 'A' + 10;
  return -1;
}

bool IsControl(char byte) {
  const auto value = static_cast<unsigned char>(byte);
  return value < 0x20 || value == 0x7f;
}

/// Replaces control bytes other than tab by spaces, since a line break would start a new header.
std::string SanitizeHeaderValue(std::string value) {
  std::replace_if(
      value.begin(), value.end(), [](char byte) { return byte != '\t' && IsControl(byte); }, ' ');
  return value;
}

bool IsPlainToken(std::string_view text) {
  return !text.empty() && std::none_of(text.begin(), text.end(), [](char byte) {
    return IsControl(byte) || byte == ' ' || byte == ':';
  });
}

}  // namespace

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& letter : lower) {
    if (letter >= 'A' && letter <= 'Z') letter = static_cast<char>(letter - 'A' + 'a');
  }
  return lower;
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded.push_back(text[i]);
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    const int high = HexValue(text[i + 1]);
    const int low = HexValue(text[i + 2]);
    if (high < 0 || low < 0 || (high == 0 && low == 0)) return std::nullopt;
    decoded.push_back(static_cast<char>(high * 16 + low));
    i += 2;
  }
  return decoded;
}

bool ParseTarget(std::string_view target, HttpRequest& request) {
  constexpr std::string_view kScheme = "http://";
  if (target.substr(0, kScheme.size()) == kScheme) {
    const std::size_t slash = target.find('/', kScheme.size());
    target = slash == std::string_view::npos ? "/" : target.substr(slash);
  }
  if (target.empty() || target.front() != '/') return false;
  const std::size_t mark = target.find('?');
  const auto path = PercentDecode(target.substr(0, mark));
  if (!path) return false;
  request.path = *path;
  if (mark == std::string_view::npos) return true;
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    if (pair.empty()) continue;
    const std::size_t equals = pair.find('=');
    const auto name = PercentDecode(pair.substr(0, equals));
    const auto value =
        PercentDecode(equals == std::string_view::npos ? "" : pair.substr(equals + 1));
    if (!name || !value) return false;
    request.query[*name] = *value;
  }
  return true;
}

bool StatusHasNoBody(int status) { return status / 100 == 1 || status == 204 || status == 304; }

std::string FormatResponseHead(const HttpResponse& response, BodyFraming framing, bool keep_alive) {
  const auto reason =
      boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(response.status));
  std::string head = fmt::format("HTTP/1.1 {} {}\r\n", response.status,
                                 std::string_view(reason.data(), reason.size()));
  if (!StatusHasNoBody(response.status)) {
    head += fmt::format("Content-Type: {}\r\n", SanitizeHeaderValue(response.content_type));
    if (framing == BodyFraming::kLength) {
      head += fmt::format("Content-Length: {}\r\n", response.body.size());
    } else if (framing == BodyFraming::kChunked) {
      head += "Transfer-Encoding: chunked\r\n";
    }
  }
  for (const auto& [name, value] : response.headers) {
    if (IsPlainToken(name)) head += fmt::format("{}: {}\r\n", name, SanitizeHeaderValue(value));
  }
  head += keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
  return head;
}

std::optional<std::string> FormatRequestHead(const HttpClientRequest& request) {
  const bool target_ok =
      !request.target.empty() && std::none_of(request.target.begin(), request.target.end(),
                                              [](char c) { return IsControl(c) || c == ' '; });
  if (!IsPlainToken(request.method) || !target_ok) return std::nullopt;
  std::string head = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", request.method, request.target,
                                 request.server.ToString());
  for (const auto& [name, value] : request.headers) {
    if (!IsPlainToken(name) || SanitizeHeaderValue(value) != value) return std::nullopt;
    head += fmt::format("{}: {}\r\n", name, value);
  }
  if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
    head += fmt::format("Content-Length: {}\r\n", request.body.size());
  }
  return head + "\r\n";
}

std::string FormatChunk(std::string_view bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

HttpResponse ErrorResponse(int status, ErrorKind kind, const std::string& message) {
  boost::json::object body;
  const std::string_view name = ErrorInfo(kind).name;
  body["error"] = boost::json::string_view(name.data(), name.size());
  body["message"] = message;
  HttpResponse response;
  response.status = status;
  response.body = boost::json::serialize(body) + "\n";
  return response;
}

}  // namespace internal
}  // namespace basilspring
