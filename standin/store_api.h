#ifndef BASILSPRING_STANDIN_STORE_API_H_
#define BASILSPRING_STANDIN_STORE_API_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "standin/store_state.h"

namespace basilspring::standin {

/// Response to one call.
struct ApiResponse {
  int status = 200;
  std::string body;
};

/// Executes one call other than a watch. An unknown path or a write with an unknown
/// lease gives 404, a malformed body 400.
ApiResponse ExecuteCall(StoreState& state, const std::string& path, const std::string& body,
                        TimePoint now);

/// The parameters of a watch; an empty `range_end` stands for the single key, and a zero
/// `start_revision` for the next revision.
struct WatchRequest {
  std::string key;
  std::string range_end;
  std::int64_t start_revision = 0;
};
/// Parses the body of a watch call. Throws Error(kInvalidArgument).
WatchRequest ParseWatchRequest(const std::string& body);

/// These return one line of the stream, including the newline.
std::string WatchLine(const WatchRequest& watch, std::int64_t revision,
                      const std::vector<StoredEvent>& events);
std::string WatchCreatedLine(std::int64_t revision);
std::string WatchCanceledLine(std::int64_t revision, std::int64_t compact_revision);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_STORE_API_H_
