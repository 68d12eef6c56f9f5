#include "basilspring/connection/backend_client.h"

#include <fmt/format.h>

#include <array>
#include <boost/json.hpp>
#include <cstdint>
#include <limits>
#include <string_view>
#include <utility>

#include "basilspring/request/job.h"

namespace basilspring {
namespace {

constexpr std::array<std::string_view, 5> kActionPaths = {"", "", "/checkpoint", "/throttle",
                                                          "/stop"};

// Limit for the body of a response. It is larger than kMaxAnswerBytes, so that an output over that
// limit is refused for its size instead of looking like a broken connection.
constexpr std::size_t kMaxResponseBytes = 2 * kMaxAnswerBytes;

// Attempt ids contain '#', which would begin the fragment of the URL.
std::string PercentEncoded(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    if (letter || digit || c == '-' || c == '_' || c == '.' || c == '~') {
      encoded += c;
    } else {
      encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
  }
  return encoded;
}

BackendStatus ToBackendStatus(const BackendCall& call, const HttpResult& response) {
  if (response.error == ErrorKind::kConnectionLost) return BackendStatus::kUnreachable;
  if (response.error != ErrorKind::kNone) return BackendStatus::kNoAnswer;
  const bool start = call.kind == BackendCallKind::kStart;
  switch (response.status) {
    case 200:
      return BackendStatus::kDone;
    case 202:
      return BackendStatus::kRunning;
    case 404:
      return start ? BackendStatus::kRefused : BackendStatus::kUnknownTask;
    case 410:
      return BackendStatus::kTooLate;
    case 500:
      return BackendStatus::kFailed;
    case 503:
      // A poll may be repeated, while a refused start is not.
      return start ? BackendStatus::kRefused : BackendStatus::kUnreachable;
    default:
      // A timeout (408) or a fault on the way, like 502, does not show that nothing was done.
      return response.status / 100 == 4 && response.status != 408 ? BackendStatus::kRefused
                                                                  : BackendStatus::kNoAnswer;
  }
}

template <typename Unit>
Unit ReadAmount(const boost::json::object& object, std::string_view field) {
  const boost::json::value* value = object.if_contains(field);
  boost::system::error_code error;
  const auto number = value == nullptr ? std::int64_t{-1} : value->to_number<std::int64_t>(error);
  if (error || number < 0 || number > std::numeric_limits<std::uint32_t>::max()) {
    throw Error(ErrorKind::kInvalidArgument,
                fmt::format("\"{}\" is missing or not a whole number of 0 or more", field));
  }
  return Unit(static_cast<std::uint32_t>(number));
}

}  // namespace

HttpClientRequest BackendRequest(const BackendCall& call) {
  const auto kind = static_cast<std::size_t>(call.kind);
  HttpClientRequest request;
  request.server = call.backend;
  request.timeout = call.timeout;
  request.max_response_bytes = kMaxResponseBytes;
  request.fresh_connection = call.fresh_connection;
  request.target =
      fmt::format("/v1/tasks/{}{}", PercentEncoded(call.task.ToString()), kActionPaths[kind]);
  if (call.kind == BackendCallKind::kStart) {
    request.method = "PUT";
    request.target +=
        fmt::format("?lease_ms={}&not_after_ms={}&wait_ms={}&rank={}&tasks={}&accelerators={}",
                    call.lease.milliseconds(), call.not_after.milliseconds(),
                    call.wait.milliseconds(), call.task.rank, call.tasks, call.accelerators);
    request.headers["content-type"] = "application/octet-stream";
    request.body = call.payload;
  } else if (call.kind == BackendCallKind::kPoll) {
    request.target +=
        fmt::format("?wait_ms={}&lease_ms={}", call.wait.milliseconds(), call.lease.milliseconds());
  } else {
    request.method = "POST";
  }
  return request;
}

BackendResult ToBackendResult(const BackendCall& call, HttpResult response) {
  BackendResult result;
  result.task = call.task;
  result.call = call.kind;
  result.status = ToBackendStatus(call, response);
  if (response.body.size() > kMaxAnswerBytes) {
    result.status = BackendStatus::kFailed;
    result.text = fmt::format("the output has {} bytes; allowed: at most {}", response.body.size(),
                              kMaxAnswerBytes);
    return result;
  }
  result.text =
      response.error == ErrorKind::kNone ? std::move(response.body) : std::move(response.message);
  return result;
}

BackendAnnouncement ParseAnnouncement(const std::string& body) {
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(body, error);
  const boost::json::object* object = error ? nullptr : value.if_object();
  if (object == nullptr) {
    throw Error(ErrorKind::kInvalidArgument, "the announcement is not a JSON object");
  }
  const boost::json::value* address = object->if_contains("address");
  if (address == nullptr || !address->is_string()) {
    throw Error(ErrorKind::kInvalidArgument, "\"address\" is missing or not a string");
  }
  BackendAnnouncement announcement;
  announcement.address = Address::Parse(std::string(address->get_string()));
  announcement.capacity.cores = ReadAmount<Cores>(*object, "cores");
  announcement.capacity.memory = ReadAmount<Megabytes>(*object, "memory_mb");
  announcement.capacity.accelerators = ReadAmount<Accelerators>(*object, "accelerators");
  announcement.capacity.slots = ReadAmount<Slots>(*object, "slots");
  announcement.capacity.connections = ReadAmount<Connections>(*object, "connections");
  if (announcement.capacity.accelerators.value() > kMaxAcceleratorsPerWorker) {
    throw Error(ErrorKind::kInvalidArgument,
                fmt::format("\"accelerators\" is {}; allowed: 0 to {}",
                            announcement.capacity.accelerators.value(), kMaxAcceleratorsPerWorker));
  }
  const boost::json::value* leaving = object->if_contains("leaving");
  announcement.leaving = leaving != nullptr && leaving->is_bool() && leaving->get_bool();
  return announcement;
}

void BackendClient::Run(const BackendCall& call, std::function<void(BackendResult)> handler) {
  http_.Send(BackendRequest(call), [call, handler = std::move(handler)](HttpResult response) {
    handler(ToBackendResult(call, std::move(response)));
  });
}

}  // namespace basilspring
