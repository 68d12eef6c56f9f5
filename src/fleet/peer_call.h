#ifndef BASILSPRING_SRC_FLEET_PEER_CALL_H_
#define BASILSPRING_SRC_FLEET_PEER_CALL_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "basilspring/fleet/peer_client.h"
#include "basilspring/fleet/peer_messages.h"
#include "basilspring/process/log.h"
#include "connection/frame_archive.h"

namespace basilspring::fleet::internal {

template <typename Value>
std::string EncodePeerBody(const Value& value) {
  std::string bytes;
  basilspring::internal::EncodeBody(value, bytes);
  return bytes;
}

template <typename Value>
Value DecodePeerBody(std::string_view bytes) {
  return basilspring::internal::DecodeBody<Value>(bytes);
}

/// Sends a typed request to its path, or to a `target` that adds a query. The handler gets
/// std::nullopt if no usable answer came.
template <typename Reply, typename Request>
void CallPeer(PeerClient& client, const Address& to, const Request& request, Duration timeout,
              std::function<void(std::optional<Reply>)> handler,
              const std::string& target = Request::kPath) {
  client.Send(to, target.c_str(), EncodePeerBody(request), timeout,
              [to, handler = std::move(handler)](const PeerResult& result) {
                std::optional<Reply> reply;
                try {
                  if (result.body) reply = DecodePeerBody<Reply>(*result.body);
                } catch (const Error& error) {
                  Log(EventId::kFleetPeer, "peer={} path={} answer can't be decoded: {}",
                      to.ToString(), Request::kPath, error.what());
                }
                if (!result.body) {
                  Log(EventId::kFleetPeer, "peer={} path={} no answer: {}", to.ToString(),
                      Request::kPath, result.message);
                }
                handler(std::move(reply));
              });
}

}  // namespace basilspring::fleet::internal

#endif  // BASILSPRING_SRC_FLEET_PEER_CALL_H_
