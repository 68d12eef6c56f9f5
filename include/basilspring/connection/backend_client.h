#ifndef BASILSPRING_CONNECTION_BACKEND_CLIENT_H_
#define BASILSPRING_CONNECTION_BACKEND_CLIENT_H_

#include <functional>
#include <string>

#include "basilspring/connection/http_client.h"
#include "basilspring/process/agent_events.h"

namespace basilspring {

/// The HTTP request of a call to the backend server.
HttpClientRequest BackendRequest(const BackendCall& call);

/// What the answer to a call says. Outputs over kMaxAnswerBytes count as a failure of the task.
BackendResult BackendResultOf(const BackendCall& call, HttpResult answer);

/// Reads the body of POST /v1/backend/announce. Throws Error(kInvalidArgument) that names the
/// field.
BackendAnnouncement ParseAnnouncement(const std::string& body);

/// Makes the agent's calls to its backend server. Thread-safe.
class BackendClient {
 public:
  explicit BackendClient(HttpClient& http) : http_(http) {}

  /// Calls the handler once, on the I/O thread.
  void Run(const BackendCall& call, std::function<void(BackendResult)> handler);

 private:
  HttpClient& http_;
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_BACKEND_CLIENT_H_
