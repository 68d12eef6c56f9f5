#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "fuzz/frame_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using basilspring::FrameVerdict;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  if (basilspring::CheckFrameInput(bytes) == FrameVerdict::kFaulty) std::abort();
  if (basilspring::CheckJobSpecInput(bytes) == FrameVerdict::kFaulty) std::abort();
  return 0;
}
