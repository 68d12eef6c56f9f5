#ifndef BASILSPRING_FLEET_NODE_H_
#define BASILSPRING_FLEET_NODE_H_

#include <functional>
#include <memory>

#include "basilspring/connection/address.h"
#include "basilspring/connection/http_client.h"
#include "basilspring/fleet/backend.h"
#include "basilspring/fleet/caller_format.h"
#include "basilspring/fleet/node_settings.h"
#include "basilspring/fleet/store.h"

namespace basilspring::fleet {

/// Implementations of a node's external interfaces for one kind of installation.
struct Adapters {
  std::unique_ptr<Store> store;
  /// nullptr unless the node is an agent.
  std::unique_ptr<Backend> backend;
  std::unique_ptr<CallerFormat> callers;
  std::unique_ptr<AnnouncementFormat> announcements;
  std::unique_ptr<OperatorFormat> operators;
};

using AdapterFactory = std::function<Adapters(HttpClient&, const NodeSettings&)>;

/// Runs a process of the fleet until SIGTERM and returns its exit code. `settings` were read from
/// `file`, which is read again on SIGHUP and when it has changed.
int RunNode(const NodeSettings& settings, const std::string& file,
            const AdapterFactory& make_adapters);

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_NODE_H_
