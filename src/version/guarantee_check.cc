#include <fmt/format.h>

#include <set>
#include <utility>

#include "basilspring/error.h"
#include "basilspring/version/config_change.h"

namespace basilspring {

std::vector<Guarantee> GuaranteesIn(const SettingsTree& tree, const SettingScope& data_centre) {
  std::vector<Guarantee> guarantees;
  for (const WorkspaceId& workspace : tree.Workspaces()) {
    const SettingScope scope = {data_centre.region, data_centre.data_centre, workspace};
    const auto count = [&tree, &scope](std::string_view key) {
      return static_cast<std::uint32_t>(tree.ResolveNumber(key, scope));
    };
    Guarantee guarantee = {workspace,
                           count("guarantee.run1"),
                           count("guarantee.run2"),
                           count("guarantee.run4"),
                           count("guarantee.run8"),
                           count("guarantee.worker"),
                           count("guarantee.rack")};
    if (guarantee != Guarantee{workspace}) guarantees.push_back(std::move(guarantee));
  }
  return guarantees;
}

void CheckGuarantees(const SettingsTree& current, const SettingsTree& candidate,
                     const std::map<DataCentreId, std::vector<RackInventory>>& inventory) {
  std::set<std::pair<RegionId, DataCentreId>> scopes;
  for (const SettingsTree* tree : {&current, &candidate}) {
    for (const SettingScope& scope : tree->DataCentres()) {
      scopes.emplace(scope.region, scope.data_centre);
    }
  }
  for (const auto& [region, data_centre] : scopes) {
    const SettingScope scope = {region, data_centre, {}};
    const std::vector<Guarantee> wanted = GuaranteesIn(candidate, scope);
    if (wanted.empty() || wanted == GuaranteesIn(current, scope)) continue;
    const auto racks = inventory.find(data_centre);
    if (racks == inventory.end()) {
      throw Error(ErrorKind::kNoScheduler,
                  fmt::format("the workers of data centre {} are not known, so its guarantees "
                              "can't be checked",
                              data_centre.value()));
    }
    const BindingResult packed = PackGuarantees(racks->second, wanted);
    if (packed.shortfalls.empty()) continue;
    throw Error(ErrorKind::kGuaranteeInfeasible,
                fmt::format("data centre {}: {}", data_centre.value(),
                            DescribeShortfalls(packed.shortfalls)));
  }
}

}  // namespace basilspring
