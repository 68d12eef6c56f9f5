#ifndef BASILSPRING_SRC_CONNECTION_STORE_WATCH_H_
#define BASILSPRING_SRC_CONNECTION_STORE_WATCH_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "basilspring/connection/http_client.h"
#include "basilspring/connection/store_client.h"
#include "basilspring/process/io_thread.h"

namespace basilspring::internal {

using WatchEventsHandler = std::function<void(std::vector<StoreEvent>, std::int64_t revision)>;

struct WatchOptions {
  std::vector<Address> servers;
  std::string prefix;
  std::int64_t from_revision = 0;
  /// The stream requests progress notifications; if no message arrives for this long, it is
  /// reopened.
  Duration silence_limit = Duration(5000);
  Duration reopen_delay = Duration(200);
};

/// Opens a watch, which runs on the I/O thread until the returned object is destroyed.
std::unique_ptr<StoreWatch> OpenWatch(IoThread& io, HttpClient& http, WatchOptions options,
                                      WatchEventsHandler on_events, std::function<void()> on_reset);

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_STORE_WATCH_H_
