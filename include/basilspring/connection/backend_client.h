#ifndef BASILSPRING_CONNECTION_BACKEND_CLIENT_H_
#define BASILSPRING_CONNECTION_BACKEND_CLIENT_H_

#include <functional>
#include <string>

#include "basilspring/connection/http_client.h"
#include "basilspring/process/agent_events.h"

namespace basilspring {

/// Returns the HTTP request for a call to the backend server.
HttpClientRequest BackendRequest(const BackendCall& call);

/// Interprets the response to a call. A body larger than kMaxAnswerBytes yields kFailed. One over
/// twice that limit is not received completely and yields kNoAnswer.
BackendResult ToBackendResult(const BackendCall& call, HttpResult response);

/// Parses the body of POST /v1/backend/announce. Throws Error(kInvalidArgument) with a message that
/// names the invalid field.
BackendAnnouncement ParseAnnouncement(const std::string& body);

/// Makes the agent's calls to its backend server. Thread-safe.
class BackendClient {
 public:
  explicit BackendClient(HttpClient& http) : http_(http) {}

  /// Sends the call. The handler is called once, on the I/O thread.
  void Run(const BackendCall& call, std::function<void(BackendResult)> handler);

 private:
  HttpClient& http_;
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_BACKEND_CLIENT_H_
