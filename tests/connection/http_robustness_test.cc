#include <gtest/gtest.h>

#include <array>
#include <atomic>

#include "basilspring/connection/http_server.h"
#include "basilspring/process/io_thread.h"
#include "basilspring/process/log.h"
#include "fuzz/http_input.h"
#include "tests/connection/mutation.h"
#include "tests/connection/raw_socket.h"

namespace basilspring {
namespace {

/// Returns the framing of a chunked body, repeated beyond the limits.
std::string Endless(const std::string& begin, const std::string& part) {
  std::string body = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + begin;
  for (int i = 0; i < 16; ++i) body += part;
  return body;
}

std::vector<std::string> Corpus() {
  return {
      "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET /a%20b?q=x%2Fy&z HTTP/1.1\r\nHost: h\r\nAccept: */*\r\n\r\n",
      "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nhello world",
      "PUT /t HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok",
      "HEAD http://h/x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
      Endless("0\r\n", "X-Trailer: y\r\n"),
      Endless("1;a=b", ";extension=value"),
      Endless("", "1;a=value\r\nx\r\n"),
      Endless("", "0000000000"),
      "PUT /t HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;a=\"b\"\r\nhello\r\n"
      "0\r\nX: y\r\n\r\n",
  };
}

// Guards against crashes, hangs and requests over the limits from bytes of a faulty or hostile
// caller.
TEST(HttpRobustness, MutatedRequestsAreReadOrRefused) {
  Mutator mutator(424242, Corpus());
  std::array<int, 4> verdicts{};
  for (int i = 0; i < 60000; ++i) {
    const std::string bytes = mutator.Next();
    const HttpVerdict whole = CheckHttpInput(bytes, bytes.size() + 1);
    const HttpVerdict pieces = CheckHttpInput(bytes, 1 + mutator.Below(40));
    ASSERT_NE(whole, HttpVerdict::kFaulty) << "input " << i << ": " << bytes;
    ASSERT_NE(pieces, HttpVerdict::kFaulty) << "input " << i << ": " << bytes;
    // The division of the bytes into packets must not decide whether a request is accepted.
    ASSERT_EQ(whole == HttpVerdict::kAccepted, pieces == HttpVerdict::kAccepted)
        << "input " << i << ": " << bytes;
    ++verdicts[static_cast<std::size_t>(whole)];
  }
  EXPECT_GT(verdicts[static_cast<std::size_t>(HttpVerdict::kAccepted)], 1000);
  EXPECT_GT(verdicts[static_cast<std::size_t>(HttpVerdict::kRefused)], 1000);
}

// Guards against a process that ends in an assertion of the parser: it fails if an empty chunked
// body arrives as "0", one line end, and then a single byte.
TEST(HttpRobustness, ChunkedBodiesAreAcceptedInAnyDivision) {
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string body : {"0\r\n\r\n", "00;a=b\r\nX: y\r\n\r\n", "1\r\nx\r\n0\r\n\r\n"}) {
    for (std::size_t piece = 1; piece < head.size() + body.size(); ++piece) {
      EXPECT_EQ(CheckHttpInput(head + body, piece), HttpVerdict::kAccepted) << body << piece;
    }
    for (std::size_t first = 0; first < body.size(); ++first) {
      for (std::size_t second = first; second < body.size(); ++second) {
        const HttpLimits limits = FuzzHttpLimits();
        internal::RequestReader reader(limits);
        reader.BeginRequest();
        reader.Append(head + body.substr(0, first));
        EXPECT_EQ(reader.Parse(), internal::ReadStep::kHeader);
        EXPECT_EQ(reader.Parse(), internal::ReadStep::kNeedsMore);
        reader.Append(body.substr(first, second - first));
        EXPECT_EQ(reader.Parse(), internal::ReadStep::kNeedsMore);
        reader.Append(body.substr(second));
        EXPECT_EQ(reader.Parse(), internal::ReadStep::kComplete) << body << first << second;
      }
    }
  }
}

// Guards against a leaked connection or a request that stays open after such input.
TEST(HttpRobustness, ServerSurvivesMutatedRequestsOnConnections) {
  ConfigureLog(LogLevel::kWarning, "test");
  IoThread io;
  HttpServer server(io, Address{"127.0.0.1", 0},
                    [](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
                      responder->Respond(HttpResponse());
                    });
  Mutator mutator(99, Corpus());
  for (int i = 0; i < 3000; ++i) {
    const RawSocket socket(server.address());
    const std::string bytes = mutator.Next();
    socket.Write(bytes);
    socket.ShutdownWrite();
    const std::string answer = socket.ReadAll();
    ASSERT_TRUE(answer.empty() || answer.starts_with("HTTP/1.1 ")) << "input " << i;
  }
  ConfigureLog(LogLevel::kInfo, "-");
  EXPECT_TRUE(Eventually([&server] { return server.in_flight() == 0; }));
  const RawSocket socket(server.address());
  socket.Write(Corpus().front());
  EXPECT_NE(socket.ReadUntilText("\r\n\r\n").find("200 OK"), std::string::npos);
}

}  // namespace
}  // namespace basilspring
