#ifndef BASILSPRING_SRC_CONNECTION_HTTP_REQUEST_H_
#define BASILSPRING_SRC_CONNECTION_HTTP_REQUEST_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "basilspring/connection/http_server.h"
#include "basilspring/error.h"

namespace basilspring::internal {

/// Body in a string that grows with the bytes that arrive. Beast's string_body reserves the whole
/// Content-Length at once, so that a peer could occupy memory without sending a body.
struct GrowingBody {
  using value_type = std::string;

  // Beast prescribes the name.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool is_request, typename Fields>
    reader(boost::beast::http::header<is_request, Fields>& /*header*/, value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/, boost::system::error_code& error) {
      error = {};
    }
    template <typename Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      return boost::asio::buffer_size(buffers);
    }
    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

using RequestParser = boost::beast::http::request_parser<GrowingBody>;

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
