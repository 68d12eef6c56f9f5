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
/// How long a change waits until all cells report it as applied. Operators are promised 5 s.
constexpr Duration kInForceTimeout(5000);
/// How long the entry tries to find out whether a change took effect. After that it gives up, and
/// vouching for the data centres of the change stays suspended.
constexpr Duration kResolveTimeout(60000);

void Sleep(Duration span) {
  boost::this_fiber::sleep_for(std::chrono::milliseconds(span.milliseconds()));
}

// Builds a rack with generated worker names, because the packing only requires that they differ.
RackInventory MakeRackInventory(const RackCapacity& capacity, const std::string& name) {
  RackInventory rack;
  rack.rack = RackId(name);
  for (std::uint32_t i = 0; i < capacity.workers; ++i) {
    rack.workers.push_back(
        {WorkerId(fmt::format("{}/{}", name, i)), capacity.accelerators_per_worker});
  }
  return rack;
}

// Returns the racks of each data centre, as last reported by the cell schedulers.
std::map<DataCentreId, std::vector<RackInventory>> ReportedInventory(
    const OperatorContext& context) {
  std::map<DataCentreId, std::vector<RackInventory>> inventory;
  for (const CellSummary& summary : context.summaries()) {
    std::vector<RackInventory>& racks = inventory[summary.data_centre];
    for (const RackCapacity& capacity : summary.racks) {
      for (std::uint32_t number = 0; number < capacity.racks; ++number) {
        racks.push_back(
            MakeRackInventory(capacity, fmt::format("{}/{}", summary.cell.value(), racks.size())));
      }
    }
  }
  return inventory;
}

// Whether the configuration node at `path` is the data centre's own node or an ancestor of it.
bool IsDataCentreOrAncestor(const std::string& path, const SettingScope& scope) {
  const std::string region = "/" + scope.region.value();
  return path == "/" || path == region || path == region + "/" + scope.data_centre.value();
}

// Returns the data centres that the change may take out of service. A data centre that is already
// out counts too: an earlier attempt may have written that without waiting for permits to expire.
std::set<DataCentreId> DataCentresTakenOut(const OperatorContext& context,
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
  std::set<DataCentreId> taken_out;
  for (const SettingScope& scope : scopes) {
    const bool covered = std::any_of(states.begin(), states.end(), [&scope](const auto& state) {
      return IsDataCentreOrAncestor(state.path, scope);
    });
    if (covered && tree.ResolveText("state", scope) == "out") taken_out.insert(scope.data_centre);
  }
  return taken_out;
}

// Suspends vouching for data centres until it is destroyed. If the outcome of the change stays
// unknown, vouching is not resumed.
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

// Waits until this entry has applied the revision, so that its vouches state it.
void WaitUntilApplied(OperatorContext& context, ConfigRevision revision) {
  const TimePoint limit = context.now() + kResolveTimeout;
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

// Determines the outcome of a write whose response was lost. Returns true if the change took
// effect, and false if it never will.
bool ResolveOutcome(OperatorContext& context, const ConfigChange& change) {
  const TimePoint limit = context.now() + kResolveTimeout;
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
  VouchingPause pause(context, DataCentresTakenOut(context, change.assignments));
  const SettingsTree current = SettingsTree::FromNodes(context.nodes());
  const auto inventory = ReportedInventory(context);
  const auto check = [&current, &inventory](const SettingsTree& candidate) {
    CheckGuarantees(current, candidate, inventory);
  };
  try {
    ConfigRevision revision;
    try {
      revision = ApplyConfigChange(context.store(), change, check);
    } catch (const Error& error) {
      if (error.kind() != ErrorKind::kStoreOutcomeUnknown) throw;
      if (!ResolveOutcome(context, change)) {
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
  const TimePoint limit = context.now() + kInForceTimeout;
  while (!InForceEverywhere(context, revision)) {
    if (context.now() >= limit) return false;
    Sleep(kPollInterval);
  }
  return true;
}

}  // namespace basilspring::internal
