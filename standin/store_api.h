#ifndef BASILSPRING_STANDIN_STORE_API_H_
#define BASILSPRING_STANDIN_STORE_API_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "standin/store_state.h"

namespace basilspring::standin {

struct ApiAnswer {
  int status = 200;
  std::string body;
};

/// Executes one call other than a watch on the data. Unknown paths give 404, malformed bodies 400.
ApiAnswer ExecuteCall(StoreState& state, const std::string& path, const std::string& body,
                      TimePoint now);

/// The parameters of a watch.
struct WatchRequest {
  std::string key;
  std::string range_end;
  std::int64_t start_revision = 0;
};
/// Throws Error(kInvalidArgument).
WatchRequest ParseWatchRequest(const std::string& body);

/// One line of the stream, with its line end.
std::string WatchLine(const WatchRequest& watch, std::int64_t revision,
                      const std::vector<StoredEvent>& events);
std::string WatchCreatedLine(std::int64_t revision);
std::string WatchCanceledLine(std::int64_t revision, std::int64_t compact_revision);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_STORE_API_H_
