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

/// What the operators' requests need of the entry. All members are used on the entry's duty thread,
/// where the handler runs in a fiber of its own: it may wait in store calls and in
/// boost::this_fiber::sleep_for. Other fibers run meanwhile, so what was read before a wait can be
/// outdated after it.
class OperatorContext {
 public:
  virtual ~OperatorContext() = default;

  virtual const ProcessSettings& settings() const = 0;
  virtual TimePoint now() const = 0;
  /// The configuration that this entry has applied.
  virtual std::vector<ConfigNode> nodes() const = 0;
  virtual ConfigRevision revision() const = 0;
  /// Whether the configuration has been read from the store at least once.
  virtual bool has_configuration() const = 0;
  /// Last summary of each cell that was heard.
  virtual std::vector<CellSummary> summaries() const = 0;
  /// The highest revision that each cell has reported to be in force.
  virtual std::map<CellId, ConfigRevision> in_force() const = 0;
  /// Registered entries.
  virtual std::map<ProcessId, Address> entries() const = 0;
  /// Holds as long as this run of the entry is registered. A write that takes a data centre out of
  /// service carries it: after a restart or a removal of the entry, others no longer wait for its
  /// vouch.
  virtual StoreCondition registration() const = 0;
  virtual StoreClient& store() = 0;
  virtual PermitAuthority& permits() = 0;
  virtual MetricRegistry& metrics() = 0;
  /// Reads configuration and registry from the store and applies them, instead of waiting for the
  /// watch; call it after a change. Waits; throws like StoreClient::List.
  virtual void Refresh() = 0;
};

/// Answers a request below /v1/operator/. Runs in a fiber of the duty. An Error that it throws
/// becomes a refusal as in FormatError.
HttpResponse HandleOperatorRequest(OperatorContext& context, const HttpRequest& request);

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_OPERATOR_API_H_
