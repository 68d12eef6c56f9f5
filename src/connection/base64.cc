#include "connection/base64.h"

#include <cereal/external/base64.hpp>
#include <cstddef>

#include "basilspring/error.h"

namespace basilspring::internal {
namespace {

bool IsBase64(std::string_view text) {
  if (text.size() % 4 != 0) return false;
  std::size_t padding = 0;
  for (const char c : text) {
    if (c == '=') {
      ++padding;
      continue;
    }
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    if (padding > 0 || !(letter || digit || c == '+' || c == '/')) return false;
  }
  return padding <= 2;
}

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  return cereal::base64::encode(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
}

std::string DecodeBase64(std::string_view text) {
  // cereal's decoder stops silently at the first invalid character, so the text is checked first.
  if (!IsBase64(text)) throw Error(ErrorKind::kBadFrame, "the text is not base64");
  return cereal::base64::decode(std::string(text));
}

}  // namespace basilspring::internal
