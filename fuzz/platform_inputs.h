#ifndef BASILSPRING_FUZZ_PLATFORM_INPUTS_H_
#define BASILSPRING_FUZZ_PLATFORM_INPUTS_H_

#include <string>

#include "basilspring/error.h"
#include "platform/backend_adapter.h"
#include "platform/caller_adapter.h"
#include "platform/store_adapter.h"

namespace basilspring::fuzzing {

/// Passes all bytes but the first to the decoder that the first byte selects. Decoders reject
/// invalid input with basilspring::Error or a refusal; any other exception or a crash is a fault.
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
        platform::PlatformCallerFormat().DecodeJob(body);
      } catch (const Error&) {
      }
      break;
    case 'a':
      platform::PlatformAnnouncementFormat().Decode(request);
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
      platform::PlatformOperatorFormat().Apply({"op/config", body, 1, false}, state);
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
