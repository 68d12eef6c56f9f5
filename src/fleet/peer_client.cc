#include "basilspring/fleet/peer_client.h"

#include <fmt/format.h>

#include <utility>

namespace basilspring::fleet {
namespace {

// HTTP status with which a server ends a request whose handler has failed or given no answer.
constexpr int kInternalServerError = 500;

}  // namespace

PeerClient::PeerClient(HttpClient& http, Executor executor)
    : http_(http), executor_(std::move(executor)) {}

void PeerClient::Send(const Address& to, const char* path, std::string body, Duration timeout,
                      std::function<void(PeerResult)> handler, Duration transfer_timeout) {
  HttpClientRequest request;
  request.server = to;
  request.method = "POST";
  request.target = path;
  request.body = std::move(body);
  request.timeout = timeout;
  request.transfer_timeout = transfer_timeout;
  http_.Send(
      std::move(request), [executor = executor_, handler = std::move(handler)](HttpResult result) {
        PeerResult answer;
        answer.sent = result.error != ErrorKind::kConnectionLost;
        answer.message = std::move(result.message);
        if (result.error == ErrorKind::kNone && result.status == 200) {
          answer.body = std::move(result.body);
        } else if (result.error == ErrorKind::kNone) {
          // A peer that refuses a request does not carry it out. One that fails may have begun to.
          answer.sent = result.status == kInternalServerError;
          answer.message = fmt::format("status {}", result.status);
        }
        executor([handler, answer = std::move(answer)]() mutable { handler(std::move(answer)); });
      });
}

}  // namespace basilspring::fleet
