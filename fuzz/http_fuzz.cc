#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "fuzz/http_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using basilspring::HttpVerdict;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  // The same bytes in one piece and in small ones, as they arrive from a slow peer.
  if (basilspring::CheckHttpInput(bytes, size + 1) == HttpVerdict::kFaulty) std::abort();
  if (basilspring::CheckHttpInput(bytes, 7) == HttpVerdict::kFaulty) std::abort();
  return 0;
}
