#ifndef BASILSPRING_PROCESS_CONFIGURATION_VIEW_H_
#define BASILSPRING_PROCESS_CONFIGURATION_VIEW_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilspring/connection/messages.h"
#include "basilspring/connection/store_client.h"
#include "basilspring/ids.h"

namespace basilspring {

/// The configuration keys of the store as a list and later watch events show them. Pure.
class ConfigurationView {
 public:
  /// A list of all keys below /basilspring/config/.
  void Replace(const std::vector<StoreKeyValue>& pairs, std::int64_t revision);
  /// One watch event, in the order of their revisions. Events from before the list are ignored.
  void Apply(const StoreEvent& event);

  /// Modification revision of the guard key.
  ConfigRevision revision() const { return guard_; }
  std::vector<ConfigNode> Nodes() const;

 private:
  /// JSON by path.
  std::map<std::string, std::string> nodes_;
  ConfigRevision guard_;
  std::int64_t listed_ = 0;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_CONFIGURATION_VIEW_H_
