#ifndef BASILSPRING_SRC_CONNECTION_REQUEST_READER_H_
#define BASILSPRING_SRC_CONNECTION_REQUEST_READER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "basilspring/connection/http_server.h"
#include "connection/http_request.h"

namespace basilspring::internal {

enum class ReadStep {
  kNeedsMore,
  /// The header is complete; reported once for each request that has a body.
  kHeader,
  kComplete,
  kFailed,
};

/// Parses the requests of one connection from bytes that arrive in pieces, and enforces the limits
/// of a request. Does no I/O.
class RequestReader {
 public:
  /// `limits` must outlive the reader.
  explicit RequestReader(const HttpLimits& limits) : limits_(limits) {}

  /// Starts the next request. Bytes that followed the previous one are kept.
  void BeginRequest();
  void Append(std::string_view bytes);
  /// Parses what was appended up to the end of the header or of the request.
  ReadStep Parse();
  /// Ends the input within a request; returns kFailed or kComplete.
  ReadStep ParseEnd();
  /// Releases the parsed request; BeginRequest() must follow before Parse().
  void DropRequest() { parser_.reset(); }
  /// Discards bytes that are not parsed yet.
  void Clear();

  bool has_input() const { return input_bytes() > 0; }
  /// Bytes that were appended and are not parsed yet.
  std::size_t input_bytes() const { return input_.size() - parsed_; }
  /// Memory of the input and of the request as far as it was parsed.
  std::size_t held_bytes() const;
  /// Memory of the current request's fields, and of its body unless that was moved away.
  std::size_t held_request_bytes() const;
  /// Whether the client waits for an interim response before it sends the body.
  bool expects_continue() const;
  /// Why Parse() failed.
  const boost::system::error_code& error() const { return error_; }
  /// Returns the response to a request that could not be read because of this error; std::nullopt
  /// if the connection ended or broke.
  std::optional<Refusal> RefusalFor(const boost::system::error_code& error) const;
  RequestParser& parser() { return *parser_; }

 private:
  ReadStep ParseHeader();
  ReadStep ParseBody();
  void CountFields();
  /// Whether the chunk sizes, extensions and trailers so far exceed the limit, altogether or those
  /// that are not parsed yet.
  bool ExceedsFramingLimit() const;

  const HttpLimits& limits_;
  /// Appended bytes; those before `parsed_` have been parsed.
  std::string input_;
  std::size_t parsed_ = 0;
  std::optional<RequestParser> parser_;
  /// Bytes parsed after the header of the current request.
  std::size_t body_input_bytes_ = 0;
  /// Memory of the header fields and trailers of the current request.
  std::size_t field_bytes_ = 0;
  bool framing_exceeded_ = false;
  boost::system::error_code error_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_REQUEST_READER_H_
