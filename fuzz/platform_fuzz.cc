#include <cstddef>
#include <cstdint>
#include <string>

#include "fuzz/platform_inputs.h"

// Fuzzes the decoders of what the users' platform, its callers and its backend servers send.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  basilspring::fuzzing::DecodePlatformInput(std::string(reinterpret_cast<const char*>(data), size));
  return 0;
}
