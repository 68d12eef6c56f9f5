#ifndef BASILSPRING_SRC_CONNECTION_BASE64_H_
#define BASILSPRING_SRC_CONNECTION_BASE64_H_

#include <string>
#include <string_view>

namespace basilspring::internal {

std::string EncodeBase64(std::string_view bytes);

/// Throws Error(kBadFrame) if the text is not base64.
std::string DecodeBase64(std::string_view text);

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_BASE64_H_
