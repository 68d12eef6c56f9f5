#include "basilspring/connection/http_server.h"

#include <gtest/gtest.h>

#include <atomic>

#include "basilspring/process/io_thread.h"
#include "connection/request_reader.h"
#include "tests/connection/raw_socket.h"

namespace basilspring {
namespace {

class HttpServerTest : public testing::Test {
 protected:
  void Serve(HttpServer::Handler handler, const HttpLimits& limits = {}) {
    server_ =
        std::make_unique<HttpServer>(io_, Address{"127.0.0.1", 0}, std::move(handler), limits);
  }
  void ServeEcho(const HttpLimits& limits = {}) {
    Serve(
        [](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
          HttpResponse response;
          response.body = request.method + " " + request.path + " q=" + request.Query("q") +
                          " body=" + request.body;
          responder->Respond(response);
        },
        limits);
  }
  /// Serves requests that stay open until the test answers them through `held_`.
  void ServeHeld() {
    Serve([this](const HttpRequest&, std::shared_ptr<HttpResponder> responder) {
      responder->OnDisconnect([this] { disconnected_ = true; });
      held_ = std::move(responder);
    });
  }
  void AwaitHeld() {
    ASSERT_TRUE(Eventually([this] { return server_->in_flight() == 1; }));
  }
  std::string Exchange(std::string_view bytes) {
    const RawSocket socket(server_->address());
    EXPECT_TRUE(socket.Write(bytes));
    socket.ShutdownWrite();
    return socket.ReadAll();
  }

  IoThread io_;
  std::shared_ptr<HttpResponder> held_;
  std::atomic<bool> disconnected_{false};
  std::unique_ptr<HttpServer> server_;
};

bool HasStatus(const std::string& answer, int status) {
  return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

TEST_F(HttpServerTest, DecodesTargetAndKeepsTheConnectionForPipelinedRequests) {
  ServeEcho();
  const std::string answer = Exchange(
      "POST /a%20b?q=x%2Fy HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
      "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n");
  EXPECT_NE(answer.find("POST /a b q=x/y body=abc"), answer.npos) << answer;
  EXPECT_NE(answer.find("POST /c q= body=de"), answer.npos) << answer;
}

// Guards against request smuggling, that is, requests that two parsers could delimit differently,
// and against crashes on invalid input.
TEST_F(HttpServerTest, AnswersMalformedRequestsWith400) {
  ServeEcho();
  for (const char* request :
       {"nonsense\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", "GET /%zz HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET / HTTP/3.7\r\nHost: h\r\n\r\n", "GET relative HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc"}) {
    EXPECT_TRUE(HasStatus(Exchange(request), 400)) << request;
  }
}

TEST_F(HttpServerTest, AnswersLargeRequestsWith413And431) {
  HttpLimits limits;
  limits.max_header_bytes = 512;
  limits.max_body_bytes = 1000;
  ServeEcho(limits);
  EXPECT_TRUE(HasStatus(Exchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n" +
                                 std::string(1001, 'x')),
                        413));
  EXPECT_TRUE(
      HasStatus(Exchange("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" +
                         std::string(1001, 'x') + "\r\n0\r\n\r\n"),
                413));
  EXPECT_TRUE(HasStatus(
      Exchange("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') + "\r\n\r\n"), 431));
}

// Guards against a process that runs out of memory because a chunked body never ends: neither the
// limit of the header nor that of the body applies to trailers, chunk extensions and chunk sizes.
TEST_F(HttpServerTest, AnswersEndlessFramingOfAChunkedBodyWith431) {
  ServeEcho();
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string trailers = "0\r\n";
  std::string extensions;
  while (trailers.size() <= 64 * 1024) trailers += "X-Trailer: 0123456789\r\n";
  while (extensions.size() <= 64 * 1024) extensions += "1;a=0123456789\r\nx\r\n";
  const std::vector<std::string> bodies = {trailers, extensions, "1;a=" + std::string(65536, 'x'),
                                           std::string(65536, '0')};
  for (const std::string& body : bodies) {
    const RawSocket socket(server_->address());
    ASSERT_TRUE(socket.Write(head + body));
    EXPECT_TRUE(HasStatus(socket.ReadUntilText("\r\n\r\n"), 431)) << body.substr(0, 30);
  }
}

// Guards against a limit on framing that refuses ordinary chunked bodies, also of pipelined
// requests and in single bytes.
TEST_F(HttpServerTest, ServesChunkedBodiesWithinTheLimitOfFraming) {
  HttpLimits limits;
  limits.max_framing_bytes = 64;
  ServeEcho(limits);
  const std::string request =
      "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2;a=b\r\nde\r\n10\r\n0123456789abcdef\r\n0\r\nX: y\r\n\r\n";
  const RawSocket socket(server_->address());
  ASSERT_TRUE(socket.Write(request + request));
  for (const char byte : request) ASSERT_TRUE(socket.Write({&byte, 1}));
  socket.ShutdownWrite();
  const std::string answers = socket.ReadAll();
  std::size_t found = 0;
  for (std::size_t at = 0; (at = answers.find("body=de0123456789abcdef", at)) != answers.npos; ++at)
    ++found;
  EXPECT_EQ(found, 3U) << answers;
}

// Guards against a limit on framing that refuses a body in chunks of one byte: its framing is five
// times as large as the body, and nothing of it is held.
TEST_F(HttpServerTest, ServesABodyInChunksOfOneByte) {
  HttpLimits limits;
  limits.max_framing_bytes = 64;
  ServeEcho(limits);
  std::string request = "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 5000; ++i) request += "1\r\nx\r\n";
  EXPECT_TRUE(HasStatus(Exchange(request + "0\r\n\r\n"), 200));
}

// Guards against a length in a header that occupies memory before the body arrives.
TEST_F(HttpServerTest, ReservesNoMemoryForAnAnnouncedBody) {
  HttpLimits limits;
  limits.max_body_bytes = 64 * 1024 * 1024;
  internal::RequestReader reader(limits);
  reader.BeginRequest();
  reader.Append("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\nabc");
  EXPECT_EQ(reader.Parse(), internal::ReadStep::kHeader);
  EXPECT_EQ(reader.Parse(), internal::ReadStep::kNeedsMore);
  EXPECT_LT(reader.parser().get().body().capacity(), 1024U);
}

// Guards against peers that hold a connection by sending a request byte by byte.
TEST_F(HttpServerTest, AnswersSlowRequestsWith408AndClosesIdleConnections) {
  HttpLimits limits;
  limits.read_timeout = Duration(30);
  limits.idle_timeout = Duration(30);
  ServeEcho(limits);
  const RawSocket slow(server_->address());
  slow.Write("GET / HT");
  EXPECT_TRUE(HasStatus(slow.ReadAll(), 408));
  const RawSocket idle(server_->address());
  EXPECT_EQ(idle.ReadAll(), "");
}

TEST_F(HttpServerTest, AnswersConnectionsOverTheLimitWith503) {
  HttpLimits limits;
  limits.max_connections = 1;
  ServeEcho(limits);
  const RawSocket first(server_->address());
  first.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  first.ReadUntilText("body=");
  EXPECT_TRUE(HasStatus(Exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), 503));
}

// Guards against treating a caller that has finished sending like one that has disconnected.
TEST_F(HttpServerTest, HalfClosedCallerGetsItsAnswer) {
  ServeHeld();
  const RawSocket caller(server_->address());
  caller.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  caller.ShutdownWrite();
  AwaitHeld();
  EXPECT_NE(caller.ReadUntilText("\r\n\r\n").find("100 Continue"), std::string::npos);
  HttpResponse response;
  response.body = "late";
  held_->Respond(response);
  EXPECT_NE(caller.ReadAll().find("late"), std::string::npos);
  EXPECT_FALSE(disconnected_);
  EXPECT_EQ(server_->in_flight(), 0U);
}

TEST_F(HttpServerTest, ReportsACallerThatDisconnects) {
  ServeHeld();
  {
    const RawSocket caller(server_->address());
    caller.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    AwaitHeld();
  }
  EXPECT_TRUE(Eventually([this] { return disconnected_.load(); }));
  EXPECT_EQ(server_->in_flight(), 0U);
  held_->Respond(HttpResponse());
}

// Guards against a caller that waits forever, and against a truncated stream that looks complete.
TEST_F(HttpServerTest, DroppedResponderAndThrowingHandlerGive500AndUnfinishedStreamsAreTruncated) {
  Serve([](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    if (request.path == "/throw") throw std::runtime_error("fault");
    if (request.path == "/drop") return;
    responder->StartStream(HttpResponse());
    responder->WriteChunk("abc");
    if (request.path == "/whole") responder->FinishStream();
  });
  EXPECT_TRUE(HasStatus(Exchange("GET /throw HTTP/1.1\r\nHost: h\r\n\r\n"), 500));
  EXPECT_TRUE(HasStatus(Exchange("GET /drop HTTP/1.1\r\nHost: h\r\n\r\n"), 500));
  EXPECT_TRUE(
      Exchange("GET /whole HTTP/1.1\r\nHost: h\r\n\r\n").ends_with("3\r\nabc\r\n0\r\n\r\n"));
  EXPECT_EQ(Exchange("GET /cut HTTP/1.1\r\nHost: h\r\n\r\n").find("0\r\n\r\n"), std::string::npos);
}

// Guards against a planned stop that aborts a request in flight (promise 8).
TEST_F(HttpServerTest, StopAcceptingFinishesOpenRequestsAndClosesTheirConnections) {
  ServeHeld();
  const RawSocket caller(server_->address());
  caller.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  AwaitHeld();
  server_->StopAccepting();
  EXPECT_FALSE(RawSocket(server_->address()).connected());
  EXPECT_EQ(server_->in_flight(), 1U);
  HttpResponse response;
  response.body = "done";
  held_->Respond(response);
  const std::string answer = caller.ReadAll();
  EXPECT_NE(answer.find("Connection: close"), answer.npos);
  EXPECT_TRUE(answer.ends_with("done"));
}

// Guards against a planned stop that cuts off a request that is still arriving.
TEST_F(HttpServerTest, CloseIdleConnectionsKeepsThoseWithARequest) {
  ServeEcho();
  const RawSocket idle(server_->address());
  idle.Write("GET /idle HTTP/1.1\r\nHost: h\r\n\r\n");
  idle.ReadUntilText("body=");
  const RawSocket busy(server_->address());
  busy.Write("GET /busy HTTP/1.1\r\n");
  server_->StopAccepting();
  ASSERT_TRUE(Eventually([this] { return server_->CloseIdleConnections() == 1; }));
  EXPECT_EQ(idle.ReadAll(), "");
  busy.Write("Host: h\r\n\r\n");
  busy.ShutdownWrite();
  const std::string answer = busy.ReadAll();
  EXPECT_NE(answer.find("Connection: close"), answer.npos);
  EXPECT_TRUE(answer.ends_with("GET /busy q= body=")) << answer;
  EXPECT_TRUE(Eventually([this] { return server_->CloseIdleConnections() == 0; }));
}

// Guards against a use after free when a duty responds after the server was destroyed.
TEST_F(HttpServerTest, ResponderOutlivesTheServer) {
  ServeHeld();
  const RawSocket caller(server_->address());
  caller.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  AwaitHeld();
  server_.reset();
  EXPECT_TRUE(disconnected_);
  held_->Respond(HttpResponse());
  EXPECT_EQ(caller.ReadAll(), "");
}

}  // namespace
}  // namespace basilspring
