#ifndef BASILSPRING_VERSION_CONFIG_CHANGE_H_
#define BASILSPRING_VERSION_CONFIG_CHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilspring/connection/store_client.h"
#include "basilspring/ids.h"
#include "basilspring/version/guarantee.h"
#include "basilspring/version/settings_tree.h"

namespace basilspring {

inline constexpr const char* kConfigPrefix = "/basilspring/config/";
inline constexpr const char* kConfigGuardKey = "/basilspring/config/guard";
inline constexpr const char* kConfigNodePrefix = "/basilspring/config/node";
inline constexpr const char* kConfigHistoryPrefix = "/basilspring/history/";
/// Number of changes that the history keeps.
inline constexpr std::int64_t kConfigHistoryLength = 1000;

/// The complete configuration at one revision of the store.
struct ConfigSnapshot {
  ConfigRevision revision;
  /// Number of all changes made so far, which orders the history.
  std::int64_t sequence = 0;
  SettingsTree tree;
};

/// Reads the guard key and all nodes in one linearizable read. Throws Error(kStoreUnavailable).
ConfigSnapshot ReadConfiguration(StoreClient& store);

/// One assignment of a change; std::nullopt as the value removes the key from the node.
struct SettingAssignment {
  std::string path;
  std::string key;
  std::optional<SettingValue> value;
};

/// Assignments that take effect atomically.
struct ConfigChange {
  std::vector<SettingAssignment> assignments;
  /// The operator who makes the change, for the history.
  std::string author;
  /// Unique to this change. It identifies the change in the history after a lost answer of the
  /// store.
  std::string token;
  /// Further conditions of the transaction, such as the registration of the entry that writes.
  std::vector<StoreCondition> conditions;
};

/// Validates a candidate configuration as a whole; throws Error if it must not be accepted.
using ConfigCheck = std::function<void(const SettingsTree& candidate)>;

/// Writes the change to the store and returns the new revision. Changes are serialized, because
/// each transaction compares the revision of the guard key. A concurrent change of another setting
/// is merged; one of the same setting throws Error(kConflict) with both values. Also throws
/// Error(kInvalidArgument), what `check` throws, Error(kStoreUnavailable) if nothing was changed,
/// and Error(kStoreOutcomeUnknown).
ConfigRevision ApplyConfigChange(StoreClient& store, const ConfigChange& change,
                                 const ConfigCheck& check);

/// Resolves a change that ended with kStoreOutcomeUnknown: ensures that it can no longer take
/// effect and returns whether it did. Throws Error(kStoreUnavailable) while the store does not
/// answer.
bool ResolveConfigChange(StoreClient& store, const ConfigChange& change);

/// One entry of the history.
struct ConfigHistoryEntry {
  std::int64_t sequence = 0;
  ConfigRevision revision;
  /// JSON object with the sequence number, author, token, wall time in milliseconds, and the
  /// assignments with old and new values.
  std::string json;
};

/// The last `limit` changes, oldest first.
std::vector<ConfigHistoryEntry> ReadConfigHistory(StoreClient& store, std::size_t limit);

/// The guarantees of all workspaces in one data centre.
std::vector<Guarantee> GuaranteesIn(const SettingsTree& tree, const SettingScope& data_centre);

/// Throws Error(kGuaranteeInfeasible) with the shortfalls if the guarantees of a data centre don't
/// fit into its inventory. Only data centres whose guarantees differ from those of `current` are
/// checked; if the inventory of one is unknown, throws Error(kNoScheduler).
void CheckGuarantees(const SettingsTree& current, const SettingsTree& candidate,
                     const std::map<DataCentreId, std::vector<RackInventory>>& inventory);

}  // namespace basilspring

#endif  // BASILSPRING_VERSION_CONFIG_CHANGE_H_
