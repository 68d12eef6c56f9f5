#ifndef BASILSPRING_FLEET_PEER_CLIENT_H_
#define BASILSPRING_FLEET_PEER_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "basilspring/clock.h"
#include "basilspring/connection/address.h"
#include "basilspring/connection/http_client.h"

namespace basilspring::fleet {

/// Runs a function on the thread that owns the process's state.
using Executor = std::function<void(std::function<void()>)>;

/// Outcome of a request to another process of the system.
struct PeerResult {
  /// Body of the answer; std::nullopt if no answer came or the peer refused the request.
  std::optional<std::string> body;
  /// Whether the peer may have carried out the request.
  bool sent = false;
  /// Describes the failure if there is no body.
  std::string message;
};

/// Sends requests to other processes of the system. The handler runs on the executor.
class PeerClient {
 public:
  PeerClient(HttpClient& http, Executor executor);

  /// With a `transfer_timeout`, `timeout` only covers the time until the answer begins to arrive.
  void Send(const Address& to, const char* path, std::string body, Duration timeout,
            std::function<void(PeerResult)> handler, Duration transfer_timeout = Duration());

 private:
  HttpClient& http_;
  Executor executor_;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_PEER_CLIENT_H_
