// Standard and third-party headers that most source files include; parsed once per build.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>
