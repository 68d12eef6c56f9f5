#include <algorithm>
#include <bit>

#include "basilspring/version/guarantee.h"
#include "process/cell_core_internal.h"

namespace basilspring {

void CellCore::Impl::OnConfiguration(const Address& from, const ConfigurationUpdate& update) {
  AcceptConfiguration(update);
  Send(from, ConfigurationInForce{identity_.cell, revision_});
}

void CellCore::Impl::AcceptConfiguration(const ConfigurationUpdate& update) {
  if (update.revision > revision_) {
    try {
      tree_ = SettingsTree::FromNodes(update.nodes);
    } catch (const Error& error) {
      // Entries validate a configuration before they write it, so this is a software fault.
      Log(EventId::kInternalError, "revision={} cause=\"{}\"", update.revision.value(),
          error.what());
      return;
    }
    revision_ = update.revision;
    configuration_ = update;
    ApplySettings();
    Log(EventId::kConfigurationApplied, "cell={} revision={} nodes={} state={} guarantees={}",
        identity_.cell.value(), revision_.value(), update.nodes.size(),
        settings_.data_centre_out ? "out" : "in", guarantees_.size());
  } else if (update.revision < revision_) {
    Log(EventId::kConfigurationIgnored, "cell={} revision={} in_force={}", identity_.cell.value(),
        update.revision.value(), revision_.value());
  }
}

SettingScope CellCore::Impl::Scope(const WorkspaceId& workspace) const {
  return {identity_.region, identity_.data_centre, workspace};
}

std::int64_t CellCore::Impl::WorkspaceNumber(std::string_view key,
                                             const WorkspaceId& workspace) const {
  // Before the first configuration, the defaults of an empty tree apply.
  static const SettingsTree defaults;
  return (tree_ ? *tree_ : defaults).ResolveNumber(key, Scope(workspace));
}

void CellCore::Impl::ApplyNumericSettings() {
  const auto number = [this](std::string_view key) { return WorkspaceNumber(key, WorkspaceId()); };
  QueueSettings queue;
  for (std::size_t i = 0; i < kJobClassCount; ++i) {
    queue.limits[i] = static_cast<std::uint32_t>(
        number(fmt::format("queue.limit.{}", JobClassName(static_cast<JobClass>(i)))));
  }
  queue_.SetSettings(queue);
  run_times_.SetDefault(Duration(number("run_time.default_ms")));
  settings_.preemption_grace = Duration(number("preemption.grace_ms"));
  settings_.max_attempts = static_cast<std::uint32_t>(number("attempts.max"));
}

void CellCore::Impl::ApplySettings() {
  ApplyNumericSettings();
  settings_.data_centre_out = tree_->ResolveText("state", Scope(WorkspaceId())) == "out";
  guarantees_.clear();
  shares_.clear();
  for (const WorkspaceId& workspace : tree_->Workspaces()) {
    const auto count = [&](std::string_view key) {
      return static_cast<std::uint32_t>(WorkspaceNumber(key, workspace));
    };
    const Guarantee guarantee{workspace,
                              count("guarantee.run1"),
                              count("guarantee.run2"),
                              count("guarantee.run4"),
                              count("guarantee.run8"),
                              count("guarantee.worker"),
                              count("guarantee.rack")};
    if (guarantee != Guarantee{workspace}) guarantees_.push_back(guarantee);
    WorkspaceShare share;
    share.weight = count("weight");
    share.quota_accelerators = count("quota.accelerators");
    shares_[workspace] = share;
  }
  rebind_due_ = true;
  placement_due_ = true;
  // A newer configuration overrides permits that were based on an older one.
  if (revision_ > out_revision_) out_by_permit_ = false;
  OnDataCentreStateChange();
}

void CellCore::Impl::RebindGuarantees() {
  rebind_due_ = false;
  BindingResult result = BindGuarantees(cell_, guarantees_);
  ApplyBinding(cell_, std::move(result.runs));
  guaranteed_workspaces_.clear();
  std::map<WorkspaceId, std::uint32_t> bound;
  for (const BoundRun& run : cell_.bound_runs()) {
    guaranteed_workspaces_.insert(run.workspace);
    bound[run.workspace] += static_cast<std::uint32_t>(std::popcount(run.accelerators));
  }
  for (auto& [workspace, share] : shares_) {
    share.guaranteed_accelerators = bound[workspace];
    queue_.SetWorkspace(workspace, share);
  }
  UpdateCapacity();
  SyncBorrowedFlags();
  OnCapacityChange();
  const std::string shortfalls = DescribeShortfalls(result.shortfalls);
  if (shortfalls == last_shortfalls_) return;
  last_shortfalls_ = shortfalls;
  if (result.shortfalls.empty()) return;
  Log(EventId::kGuaranteeShort, "cell={} revision={} {}", identity_.cell.value(), revision_.value(),
      shortfalls);
}

void CellCore::Impl::UpdateCapacity() {
  ResourceTotals capacity;
  for (const auto& [id, worker] : cell_.workers()) {
    if (!worker.accepting || worker.quarantined) continue;
    capacity.cores += worker.capacity.cores.value();
    capacity.memory += worker.capacity.memory.value();
    capacity.slots += worker.capacity.slots.value();
    capacity.accelerators += worker.capacity.accelerators.value();
  }
  queue_.SetCapacity(capacity);
}

void CellCore::Impl::SyncBorrowedFlags() {
  for (const auto& [worker_id, worker] : cell_.workers()) {
    for (const PlacedTask& task : worker.tasks) {
      Attempt* attempt = nullptr;
      Member* const member = FindMember(task.attempt, task.rank, &attempt);
      if (member != nullptr) member->borrowed = task.borrowed;
    }
  }
}

}  // namespace basilspring
