#ifndef BASILSPRING_SRC_NAMES_H_
#define BASILSPRING_SRC_NAMES_H_

#include <cstddef>
#include <string_view>

namespace basilspring::internal {

inline constexpr std::size_t kMaxNameBytes = 128;

/// Whether the text may be used in store keys and URL paths: 1 to 128 letters, digits, '-', '_',
/// '.' and the characters in `also_allowed`. Separators and control characters are excluded.
bool IsName(std::string_view text, std::string_view also_allowed = "");

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_NAMES_H_
