#include "connection/request_reader.h"

#include <fmt/format.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace basilspring::internal {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Length of "0" and two line ends. A chunked body that is not complete needs at least as many
/// further bytes, so fewer need not be parsed. Beast 1.81 asserts that the parser is not called
/// with fewer once it has seen a last chunk at the beginning of a body.
constexpr std::size_t kMinChunkedEnd = 5;
/// Framing of a chunk without an extension that holds one byte: "1" and two line ends. Each byte of
/// a body may come in a chunk of its own, and such a body is not refused.
constexpr std::size_t kFramingPerBodyByte = 5;
/// Memory that a header field takes besides its text. It matters for fields of single bytes.
constexpr std::size_t kFieldBytes = 128;

}  // namespace

void RequestReader::BeginRequest() {
  parser_.emplace();
  SetParserLimits(*parser_, limits_);
  body_input_bytes_ = 0;
  field_bytes_ = 0;
  framing_exceeded_ = false;
  error_ = {};
  // An idle connection holds no memory for its input.
  if (!has_input()) Clear();
}

void RequestReader::Append(std::string_view bytes) {
  input_.erase(0, parsed_);
  parsed_ = 0;
  input_.append(bytes);
}

void RequestReader::Clear() {
  input_ = std::string();
  parsed_ = 0;
}

ReadStep RequestReader::Parse() { return parser_->is_header_done() ? ParseBody() : ParseHeader(); }

ReadStep RequestReader::ParseHeader() {
  parser_->eager(false);
  parsed_ +=
      parser_->put(boost::asio::buffer(input_.data() + parsed_, input_.size() - parsed_), error_);
  if (error_ == http::error::need_more) return ReadStep::kNeedsMore;
  if (error_) return ReadStep::kFailed;
  CountFields();
  return parser_->is_done() ? ReadStep::kComplete : ReadStep::kHeader;
}

ReadStep RequestReader::ParseBody() {
  if (parser_->chunked() && input_bytes() < kMinChunkedEnd) return ReadStep::kNeedsMore;
  parser_->eager(true);
  const std::size_t parsed =
      parser_->put(boost::asio::buffer(input_.data() + parsed_, input_.size() - parsed_), error_);
  parsed_ += parsed;
  body_input_bytes_ += parsed;
  const bool needs_more = error_ == http::error::need_more;
  if (error_ && !needs_more) return ReadStep::kFailed;
  if (parser_->chunked() && ExceedsFramingLimit()) {
    framing_exceeded_ = true;
    error_ = http::make_error_code(http::error::header_limit);
    return ReadStep::kFailed;
  }
  if (!parser_->is_done()) return ReadStep::kNeedsMore;
  CountFields();
  return ReadStep::kComplete;
}

bool RequestReader::ExceedsFramingLimit() const {
  // The parser takes over bytes of a chunk's content as they arrive. What it leaves is the
  // incomplete line of a chunk's size or the incomplete trailers, or belongs to the next request.
  const std::size_t unparsed = parser_->is_done() ? 0 : input_bytes();
  const std::size_t body = parser_->get().body().size();
  const std::size_t framing = body_input_bytes_ - body + unparsed;
  return unparsed > limits_.max_framing_bytes ||
         framing > limits_.max_framing_bytes + kFramingPerBodyByte * body;
}

std::size_t RequestReader::held_request_bytes() const {
  if (!parser_) return 0;
  return field_bytes_ + parser_->get().body().size();
}

void RequestReader::CountFields() {
  field_bytes_ = 0;
  for (const auto& field : parser_->get()) {
    field_bytes_ += kFieldBytes + field.name_string().size() + field.value().size();
  }
}

std::size_t RequestReader::held_bytes() const { return input_.capacity() + held_request_bytes(); }

ReadStep RequestReader::ParseEnd() {
  if (!parser_->got_some()) {
    error_ = http::make_error_code(http::error::end_of_stream);
    return ReadStep::kFailed;
  }
  parser_->put_eof(error_);
  return error_ ? ReadStep::kFailed : ReadStep::kComplete;
}

bool RequestReader::expects_continue() const {
  return beast::iequals(parser_->get()[http::field::expect], "100-continue");
}

std::optional<Refusal> RequestReader::RefusalFor(const boost::system::error_code& error) const {
  if (framing_exceeded_) {
    return Refusal{431, ErrorKind::kPayloadTooLarge,
                   fmt::format("the chunk sizes, chunk extensions and trailers are larger than {} "
                               "bytes",
                               limits_.max_framing_bytes)};
  }
  return RefusalForError(error, limits_);
}

}  // namespace basilspring::internal
