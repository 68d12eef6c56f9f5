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

/// The outside world as one kind of installation speaks it.
struct Carriers {
  std::unique_ptr<Store> store;
  /// Agents only.
  std::unique_ptr<Backend> backend;
  std::unique_ptr<CallerFormat> callers;
  std::unique_ptr<AnnouncementFormat> announcements;
  std::unique_ptr<OperatorFormat> operators;
};

using CarrierFactory = std::function<Carriers(HttpClient&, const NodeSettings&)>;

/// Runs a process of the fleet until SIGTERM; returns its exit code. The settings were read from
/// the file, which is read again at a SIGHUP and when it has changed.
int RunNode(const NodeSettings& settings, const std::string& file,
            const CarrierFactory& make_carriers);

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_NODE_H_
