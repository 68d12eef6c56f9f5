#include "basilspring/fleet/backend.h"

#include <array>

namespace basilspring::fleet {
namespace {

constexpr std::array<std::string_view, 11> kStatusNames = {
    "ok",      "stale-term", "stale-run", "too-late", "no-room",     "other-life",
    "refused", "gone",       "unknown",   "stopped",  "already-done"};

}  // namespace

BackendStatus BackendStatusFromWire(std::uint8_t status) {
  return status < kStatusNames.size() ? static_cast<BackendStatus>(status)
                                      : BackendStatus::kUnknown;
}

std::string_view BackendStatusName(BackendStatus status) {
  return kStatusNames.at(static_cast<std::size_t>(status));
}

}  // namespace basilspring::fleet
