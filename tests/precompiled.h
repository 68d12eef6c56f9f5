// Headers that most test files include; parsed once per build.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>
