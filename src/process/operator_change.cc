#include "process/operator_change.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "basilspring/connection/store_client.h"
#include "basilspring/error.h"
#include "basilspring/process/permit_authority.h"

namespace basilspring::internal {
namespace {

constexpr Duration kPollInterval(20);
/// How long a change waits for the cells to report it; the promise is 5 s.
constexpr Duration kInForceWait(5000);
/// How long an unknown outcome is pursued before the entry gives up and stays without vouching.
constexpr Duration kResolveLimit(60000);

void Sleep(Duration span) {
  boost::this_fiber::sleep_for(std::chrono::milliseconds(span.milliseconds()));
}

// Names don't matter for packing; they only have to differ.
RackInventory RackOf(const RackCapacity& capacity, const std::string& name) {
  RackInventory rack;
  rack.rack = RackId(name);
  for (std::uint32_t i = 0; i < capacity.workers; ++i) {
    rack.workers.push_back(
        {WorkerId(fmt::format("{}/{}", name, i)), capacity.accelerators_per_worker});
  }
  return rack;
}

// Racks of each data centre, as the cell schedulers last reported them.
std::map<DataCentreId, std::vector<RackInventory>> Inventory(const OperatorContext& context) {
  std::map<DataCentreId, std::vector<RackInventory>> inventory;
  for (const CellSummary& summary : context.summaries()) {
    std::vector<RackInventory>& racks = inventory[summary.data_centre];
    for (const RackCapacity& capacity : summary.racks) {
      for (std::uint32_t number = 0; number < capacity.racks; ++number) {
        racks.push_back(RackOf(capacity, fmt::format("{}/{}", summary.cell.value(), racks.size())));
      }
    }
  }
  return inventory;
}

// Whether a node stands at or above a data centre.
bool Covers(const std::string& path, const SettingScope& scope) {
  const std::string region = "/" + scope.region.value();
  return path == "/" || path == region || path == region + "/" + scope.data_centre.value();
}

// Data centres that the change may take out of service. A change to the value that already stands
// counts too: an earlier attempt may have written it without the wait for the permits.
std::set<DataCentreId> TakenOut(const OperatorContext& context,
                                const std::vector<SettingAssignment>& assignments) {
  SettingsTree tree = SettingsTree::FromNodes(context.nodes());
  std::vector<SettingAssignment> states;
  for (const SettingAssignment& assignment : assignments) {
    if (assignment.key != "state") continue;
    tree.Set(assignment.path, assignment.key, assignment.value);
    states.push_back(assignment);
  }
  std::vector<SettingScope> scopes = tree.DataCentres();
  for (const CellSummary& summary : context.summaries()) {
    scopes.push_back({summary.region, summary.data_centre, {}});
  }
  std::set<DataCentreId> taken;
  for (const SettingScope& scope : scopes) {
    const bool covered = std::any_of(states.begin(), states.end(), [&scope](const auto& state) {
      return Covers(state.path, scope);
    });
    if (covered && tree.ResolveText("state", scope) == "out") taken.insert(scope.data_centre);
  }
  return taken;
}

// Stops vouching for data centres as long as it lives, unless the outcome of the change stays
// unknown.
class VouchingPause {
 public:
  VouchingPause(OperatorContext& context, std::set<DataCentreId> data_centres)
      : context_(context), data_centres_(std::move(data_centres)) {
    std::string reason;
    if (data_centres_.empty()) return;
    if (!context_.permits().MayChange(context_.now(), &reason)) {
      throw Error(ErrorKind::kConflict, reason);
    }
    TimePoint allowed;
    for (const DataCentreId& data_centre : data_centres_) {
      allowed = std::max(allowed, context_.permits().BeginChange(context_.now(), data_centre));
    }
    while (context_.now() < allowed) Sleep(kPollInterval);
  }
  ~VouchingPause() {
    if (outcome_unknown_) return;
    for (const DataCentreId& data_centre : data_centres_) context_.permits().EndChange(data_centre);
  }
  VouchingPause(const VouchingPause&) = delete;
  VouchingPause& operator=(const VouchingPause&) = delete;

  void SetOutcomeUnknown() { outcome_unknown_ = true; }

 private:
  OperatorContext& context_;
  std::set<DataCentreId> data_centres_;
  bool outcome_unknown_ = false;
};

// Waits until this entry has applied the revision, so that its vouches carry it.
void WaitUntilApplied(OperatorContext& context, ConfigRevision revision) {
  const TimePoint limit = context.now() + kResolveLimit;
  while (context.revision() < revision) {
    if (context.now() >= limit) {
      throw Error(ErrorKind::kStoreOutcomeUnknown,
                  "the change was written, but this entry can't read it back");
    }
    try {
      context.Refresh();
    } catch (const Error&) {
      Sleep(Duration(500));
    }
  }
}

// After a lost answer: true when the change took effect, false when it never will.
bool PursueOutcome(OperatorContext& context, const ConfigChange& change) {
  const TimePoint limit = context.now() + kResolveLimit;
  while (context.now() < limit) {
    try {
      const bool took_effect = ResolveConfigChange(context.store(), change);
      context.Refresh();
      return took_effect;
    } catch (const Error&) {
      Sleep(Duration(500));
    }
  }
  throw Error(ErrorKind::kStoreOutcomeUnknown,
              "the store does not say whether the change took effect");
}

bool InForceEverywhere(const OperatorContext& context, ConfigRevision revision) {
  const auto in_force = context.in_force();
  return std::all_of(in_force.begin(), in_force.end(),
                     [revision](const auto& cell) { return cell.second >= revision; });
}

}  // namespace

ConfigRevision WriteChange(OperatorContext& context, const ConfigChange& change) {
  VouchingPause pause(context, TakenOut(context, change.assignments));
  const SettingsTree current = SettingsTree::FromNodes(context.nodes());
  const auto inventory = Inventory(context);
  const auto check = [&current, &inventory](const SettingsTree& candidate) {
    CheckGuarantees(current, candidate, inventory);
  };
  try {
    ConfigRevision revision;
    try {
      revision = ApplyConfigChange(context.store(), change, check);
    } catch (const Error& error) {
      if (error.kind() != ErrorKind::kStoreOutcomeUnknown) throw;
      if (!PursueOutcome(context, change)) {
        throw Error(ErrorKind::kStoreUnavailable, "the store did not take the change");
      }
      revision = context.revision();
    }
    WaitUntilApplied(context, revision);
    return revision;
  } catch (const Error& error) {
    if (error.kind() == ErrorKind::kStoreOutcomeUnknown) pause.SetOutcomeUnknown();
    throw;
  }
}

bool WaitUntilInForce(const OperatorContext& context, ConfigRevision revision) {
  const TimePoint limit = context.now() + kInForceWait;
  while (!InForceEverywhere(context, revision)) {
    if (context.now() >= limit) return false;
    Sleep(kPollInterval);
  }
  return true;
}

}  // namespace basilspring::internal
