#ifndef BASILSPRING_FUZZ_PLATFORM_INPUTS_H_
#define BASILSPRING_FUZZ_PLATFORM_INPUTS_H_

#include <string>

#include "basilspring/error.h"
#include "platform/backend_adapter.h"
#include "platform/caller_adapter.h"
#include "platform/store_adapter.h"

namespace basilspring::fuzzing {

/// Hands the bytes to the decoder that the first one selects. Decoders refuse bad input by
/// basilspring::Error or a refusal; anything else is a fault.
inline void DecodePlatformInput(const std::string& input) {
  if (input.empty()) return;
  const std::string body = input.substr(1);
  HttpResult result;
  result.status = 200;
  result.body = body;
  HttpRequest request;
  request.method = "PUT";
  request.path = "/instances/i-1";
  request.body = body;
  fleet::OperatorState state;
  switch (input[0]) {
    case 'j':
      try {
        platform::PlatformCallers().DecodeJob(body);
      } catch (const Error&) {
      }
      break;
    case 'a':
      platform::PlatformAnnouncements().Decode(request);
      break;
    case 'b':
      platform::DecodeBackendReply(result);
      break;
    case 'r':
      platform::DecodeStoreReply(fleet::StoreOperation::kRange, result);
      break;
    case 'w':
      platform::DecodeStoreReply(fleet::StoreOperation::kWatch, result);
      break;
    case 'c':
      result.status = 412;
      platform::DecodeStoreReply(fleet::StoreOperation::kTransaction, result);
      break;
    case 'o':
      platform::PlatformOperators().Apply({"op/config", body, 1, false}, state);
      break;
    case 't':
      platform::ParseTaskName(body);
      break;
    default:
      break;
  }
}

}  // namespace basilspring::fuzzing

#endif  // BASILSPRING_FUZZ_PLATFORM_INPUTS_H_
