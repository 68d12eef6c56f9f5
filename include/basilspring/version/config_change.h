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
/// Changes that the history keeps.
inline constexpr std::int64_t kConfigHistoryLength = 1000;

/// The whole configuration at one revision of the store.
struct ConfigSnapshot {
  ConfigRevision revision;
  /// Number of changes ever made; it orders the history.
  std::int64_t sequence = 0;
  SettingsTree tree;
};

/// Reads guard and nodes in one linearizable read. Throws Error(kStoreUnavailable).
ConfigSnapshot ReadConfiguration(StoreClient& store);

/// One assignment of a change; no value removes the key from the node.
struct SettingAssignment {
  std::string path;
  std::string key;
  std::optional<SettingValue> value;
};

/// Assignments that take effect together.
struct ConfigChange {
  std::vector<SettingAssignment> assignments;
  /// Who asks, for the history.
  std::string author;
  /// Unique to this change: a lost answer of the store is resolved by it.
  std::string token;
  /// Further conditions of the transaction, such as the registration of the entry that writes.
  std::vector<StoreCondition> conditions;
};

/// Checks a candidate configuration as a whole; throws Error when it must not be accepted.
using ConfigCheck = std::function<void(const SettingsTree& candidate)>;

/// Makes the change in the store. Changes are serial: the transaction compares the guard's
/// revision. A change by another operator of a different setting is merged; of the same setting it
/// gives Error(kConflict) with both values. Other errors: kInvalidArgument, what `check` throws,
/// kStoreUnavailable (not changed), kStoreOutcomeUnknown. Returns the new revision.
ConfigRevision ApplyConfigChange(StoreClient& store, const ConfigChange& change,
                                 const ConfigCheck& check);

/// After kStoreOutcomeUnknown: makes sure that the change can no longer take effect, and says
/// whether it did. Throws Error(kStoreUnavailable) as long as the store does not answer.
bool ResolveConfigChange(StoreClient& store, const ConfigChange& change);

/// One entry of the history.
struct ConfigHistoryEntry {
  std::int64_t sequence = 0;
  ConfigRevision revision;
  /// JSON object: author, token, wall time in milliseconds, assignments with old and new value.
  std::string json;
};

/// The last changes, oldest first.
std::vector<ConfigHistoryEntry> ReadConfigHistory(StoreClient& store, std::size_t limit);

/// What all workspaces are guaranteed in one data centre.
std::vector<Guarantee> GuaranteesIn(const SettingsTree& tree, const SettingScope& data_centre);

/// Throws Error(kGuaranteeInfeasible) that says what does not fit and by how much, when the
/// guarantees of a data centre don't pack into its inventory. Only data centres whose guarantees
/// differ from those of `current` are checked; one without a known inventory gives
/// Error(kNoScheduler).
void CheckGuarantees(const SettingsTree& current, const SettingsTree& candidate,
                     const std::map<DataCentreId, std::vector<RackInventory>>& inventory);

}  // namespace basilspring

#endif  // BASILSPRING_VERSION_CONFIG_CHANGE_H_
