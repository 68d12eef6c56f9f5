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

/// A copy of the configuration in the store, built from a list of its keys and values and from the
/// watch events that follow. Performs no I/O.
class ConfigurationView {
 public:
  /// Replaces the copy with all keys and values below /basilspring/config/, read at `revision`.
  /// Does nothing if a list of a later revision was already received.
  void Replace(const std::vector<StoreKeyValue>& pairs, std::int64_t revision);
  /// Applies a watch event. Events must arrive in the order of their revisions; those that the last
  /// list already contains are ignored.
  void Apply(const StoreEvent& event);

  /// Returns the modification revision of the guard key, which every change of the configuration
  /// rewrites.
  ConfigRevision revision() const { return guard_revision_; }
  std::vector<ConfigNode> Nodes() const;

 private:
  /// JSON text of each configuration node (ConfigNode), by its path.
  std::map<std::string, std::string> nodes_;
  ConfigRevision guard_revision_;
  /// Store revision of the last list.
  std::int64_t list_revision_ = 0;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_CONFIGURATION_VIEW_H_
