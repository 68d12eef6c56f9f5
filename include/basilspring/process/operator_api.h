#ifndef BASILSPRING_PROCESS_OPERATOR_API_H_
#define BASILSPRING_PROCESS_OPERATOR_API_H_

#include <map>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/http_server.h"
#include "basilspring/connection/messages.h"
#include "basilspring/connection/store_client.h"
#include "basilspring/ids.h"

namespace basilspring {

class MetricRegistry;
class PermitAuthority;

struct ProcessSettings;

/// The interface of an entry that the handlers of operators' requests use. All members are called
/// on the entry's duty thread. Each handler runs there in its own fiber, so it may wait in store
/// calls and in boost::this_fiber::sleep_for. Other fibers run meanwhile, so values read before a
/// wait may be outdated after it.
class OperatorContext {
 public:
  virtual ~OperatorContext() = default;

  virtual const ProcessSettings& settings() const = 0;
  virtual TimePoint now() const = 0;
  /// The configuration that this entry has applied, and its revision.
  virtual std::vector<ConfigNode> nodes() const = 0;
  virtual ConfigRevision revision() const = 0;
  /// Whether the configuration has been read from the store at least once.
  virtual bool has_configuration() const = 0;
  /// The last summary received from each cell.
  virtual std::vector<CellSummary> summaries() const = 0;
  /// The highest configuration revision that each cell has reported as applied.
  virtual std::map<CellId, ConfigRevision> in_force() const = 0;
  /// The registered entries with their addresses.
  virtual std::map<ProcessId, Address> entries() const = 0;
  /// A condition on the store that holds while this process is registered as the entry. A write
  /// that takes a data centre out of service must depend on it: once the entry has restarted or was
  /// removed, the other entries no longer wait for its vouch.
  virtual StoreCondition registration() const = 0;
  virtual StoreClient& store() = 0;
  virtual PermitAuthority& permits() = 0;
  virtual MetricRegistry& metrics() = 0;
  /// Reads configuration and registry from the store and applies them at once, instead of waiting
  /// for the watch. Call it after a change. Suspends the calling fiber; throws like
  /// StoreClient::List.
  virtual void Refresh() = 0;
};

/// Handles a request below /v1/operator/ and returns the response. Must run in a fiber of the duty.
/// A thrown Error is returned to the operator in the form of FormatError.
HttpResponse HandleOperatorRequest(OperatorContext& context, const HttpRequest& request);

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_OPERATOR_API_H_
