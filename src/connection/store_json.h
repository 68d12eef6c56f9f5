#ifndef BASILSPRING_SRC_CONNECTION_STORE_JSON_H_
#define BASILSPRING_SRC_CONNECTION_STORE_JSON_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "basilspring/connection/store_client.h"

/// Conversion between the types of the store client and the JSON mapping of the etcd v3 API.
/// Parsers throw Error(kBadFrame) if a response does not conform to the API.
namespace basilspring::internal {

/// Returns the first key after all keys that begin with the prefix.
std::string PrefixEnd(std::string_view prefix);

std::string RangeRequestJson(const std::string& key, const std::string& range_end,
                             std::size_t limit);
RangeResult ParseRangeResponse(const std::string& body);

std::string TxnRequestJson(const std::vector<StoreCondition>& conditions,
                           const std::vector<StoreWrite>& writes,
                           const std::vector<std::string>& read_on_failure);
TxnResult ParseTxnResponse(const std::string& body);

std::string LeaseGrantJson(std::int64_t seconds);
std::string LeaseIdJson(std::int64_t lease);
/// Returns the id of a granted lease.
std::int64_t ParseLeaseGrant(const std::string& body);
/// Returns the remaining seconds of a renewed lease; zero if it has expired.
std::int64_t ParseKeepAlive(const std::string& body);

std::string WatchRequestJson(const std::string& prefix, std::int64_t from_revision);

/// One message of a watch stream.
struct WatchMessage {
  /// Revision up to which the stream has shown all events: that of the last event, or without
  /// events that of the store. With events, the store's revision may be ahead, because a long
  /// history is sent in several messages.
  std::int64_t revision = 0;
  bool canceled = false;
  std::vector<StoreEvent> events;
};
WatchMessage ParseWatchMessage(const std::string& line);

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_CONNECTION_STORE_JSON_H_
