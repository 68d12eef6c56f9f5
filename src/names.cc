#include "names.h"

#include <algorithm>

namespace basilspring::internal {

bool IsName(std::string_view text, std::string_view also_allowed) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [also_allowed](char c) {
           const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
           const bool digit = c >= '0' && c <= '9';
           return letter || digit || c == '-' || c == '_' || c == '.' ||
                  also_allowed.find(c) != std::string_view::npos;
         });
}

}  // namespace basilspring::internal
