#ifndef BASILSPRING_FUZZ_FRAME_INPUT_H_
#define BASILSPRING_FUZZ_FRAME_INPUT_H_

#include <string_view>

#include "basilspring/connection/frame.h"

namespace basilspring {

enum class FrameVerdict { kRefused, kAccepted, kFaulty };

/// Decodes arbitrary bytes. The encoding is canonical, so accepted bytes must encode to themselves;
/// refused ones must give kBadFrame. Anything else is a fault of the decoder.
inline FrameVerdict CheckFrameInput(std::string_view bytes) {
  try {
    const auto length = FrameLength(bytes);
    if (length && *length > kMaxFrameBytes) return FrameVerdict::kFaulty;
    const Frame frame = DecodeFrame(bytes);
    return EncodeFrame(frame) == bytes ? FrameVerdict::kAccepted : FrameVerdict::kFaulty;
  } catch (const Error& error) {
    return error.kind() == ErrorKind::kBadFrame ? FrameVerdict::kRefused : FrameVerdict::kFaulty;
  }
}

/// Does the same for an encoded JobSpec, as it is kept in the store.
inline FrameVerdict CheckJobSpecInput(std::string_view bytes) {
  try {
    return EncodeJobSpec(DecodeJobSpec(bytes)) == bytes ? FrameVerdict::kAccepted
                                                        : FrameVerdict::kFaulty;
  } catch (const Error& error) {
    return error.kind() == ErrorKind::kBadFrame ? FrameVerdict::kRefused : FrameVerdict::kFaulty;
  }
}

}  // namespace basilspring

#endif  // BASILSPRING_FUZZ_FRAME_INPUT_H_
