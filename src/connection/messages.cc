#include "basilspring/connection/messages.h"

#include <fmt/format.h>

#include <array>
#include <charconv>

namespace basilspring {

std::string Address::ToString() const { return fmt::format("{}:{}", ip, port); }

Address Address::Parse(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  Address address;
  if (colon != std::string::npos && colon > 0) {
    const char* const first = text.data() + colon + 1;
    const char* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(first, last, address.port);
    if (error == std::errc() && end == last && address.port != 0) {
      address.ip = text.substr(0, colon);
      return address;
    }
  }
  throw Error(ErrorKind::kInvalidArgument,
              fmt::format("\"{}\" is not an address; expected IP:PORT", text));
}

std::string_view StopReasonName(StopReason reason) {
  constexpr std::array<std::string_view, 6> kNames = {"cancelled",        "preempted",
                                                      "gang member lost", "gang not started",
                                                      "data centre out",  "deadline passed"};
  const auto index = static_cast<std::size_t>(reason);
  return index < kNames.size() ? kNames[index] : "invalid";
}

std::string_view MessageName(const Message& message) {
  constexpr std::array<std::string_view, std::variant_size_v<Message>> kNames = {
      "Hello",
      "FindCell",
      "CellHolder",
      "SubmitJob",
      "CancelJob",
      "QueryJob",
      "JobAccepted",
      "JobProgress",
      "JobFinished",
      "JobReport",
      "CellSummary",
      "EntryHello",
      "ConfigurationUpdate",
      "ConfigurationInForce",
      "PermitRequest",
      "Permit",
      "VouchRequest",
      "Vouch",
      "Registration",
      "RegistrationAck",
      "SchedulerHello",
      "AgentReport",
      "Heartbeat",
      "HeartbeatReply",
      "Prepare",
      "Prepared",
      "Start",
      "TaskStarted",
      "TaskDone",
      "TaskDoneAck",
      "StopTask",
      "TaskStopped",
      "GangHeartbeat",
      "SchedulerGoodbye",
      "JobReturned"};
  return kNames[message.index()];
}

}  // namespace basilspring
