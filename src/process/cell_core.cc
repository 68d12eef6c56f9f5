#include "basilspring/process/cell_core.h"

#include "process/cell_core_internal.h"

namespace basilspring {
namespace {

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

CellCore::CellCore(CellIdentity identity, const Timings& timings, TimePoint acquired)
    : impl_(std::make_unique<Impl>(std::move(identity), timings, acquired)) {}
CellCore::~CellCore() = default;

void CellCore::Handle(TimePoint now, const CellEvent& event, CellOutput& output) {
  impl_->Handle(now, event, output);
}
bool CellCore::ready() const { return impl_->ready_; }
bool CellCore::handed_over() const { return impl_->handing_over_ && impl_->HandedOver(); }
const CellCounters& CellCore::counters() const { return impl_->counters_; }
std::optional<ConfigurationUpdate> CellCore::configuration() const { return impl_->configuration_; }

CellCore::Impl::Impl(CellIdentity identity, const Timings& timings, TimePoint acquired)
    : identity_(std::move(identity)),
      timings_(timings),
      acquired_(acquired),
      now_(acquired),
      run_times_(Duration()),
      health_(HealthSettings()) {
  has_predecessor_ = identity_.last_epoch.value() > 0;
  ApplyNumericSettings();
}

void CellCore::Impl::Handle(TimePoint now, const CellEvent& event, CellOutput& output) {
  if (superseded_) return;
  now_ = now;
  output_ = &output;
  std::visit(Overloaded{
                 [this](const CellMessage& message) { Dispatch(message.from, message.message); },
                 [this](const ClaimReply& reply) { OnClaimReply(reply); },
                 [this](const FenceReply& reply) { OnFenceReply(reply); },
                 [this](const ResultReply& reply) { OnResultReply(reply); },
                 [this](const RecordsListed& listed) { OnRecordsListed(listed); },
                 [this](const EntriesUpdated& update) { known_entries_ = update.entries; },
                 [this](const ConfigurationRestored& restored) {
                   AcceptConfiguration(restored.configuration);
                 },
                 [this](const CellTick&) { OnTick(); },
                 [this](const HandOver&) { OnHandOver(); },
                 [this](const LeaseReleased&) { OnLeaseReleased(); },
             },
             event);
  if (superseded_) return;
  if (rebind_due_) RebindGuarantees();
  if (placement_due_) RunPlacementPass();
}

void CellCore::Impl::Dispatch(const Address& from, const Message& message) {
  std::visit(Overloaded{
                 [&](const SubmitJob& submit) { OnSubmit(from, submit); },
                 [&](const CancelJob& cancel) { OnCancel(from, cancel); },
                 [&](const QueryJob& query) { OnQuery(from, query); },
                 [&](const EntryHello& hello) { OnEntryHello(hello); },
                 [&](const ConfigurationUpdate& update) { OnConfiguration(from, update); },
                 [&](const Permit& permit) { OnPermit(permit); },
                 [&](const AgentReport& report) { OnAgentReport(from, report); },
                 [&](const Heartbeat& heartbeat) { OnHeartbeat(from, heartbeat); },
                 [&](const Prepared& prepared) { OnPrepared(prepared); },
                 [&](const TaskStarted& started) { OnTaskStarted(started); },
                 [&](const TaskDone& done) { OnTaskDone(from, done); },
                 [&](const TaskStopped& stopped) { OnTaskStopped(from, stopped); },
                 [](const auto&) {},
             },
             message);
}

void CellCore::Impl::OnTick() {
  TickRecovery();
  if (now_ >= next_scan_) {
    next_scan_ = now_ + internal::kScanInterval;
    Scan();
  }
  if (NeedsPermit() && now_ >= next_permit_request_) RequestPermit();
  TickSummary();
}

void CellCore::Impl::Scan() {
  if (queue_.size() > 0 && now_ - last_placement_retry_ >= internal::kPlacementRetryInterval) {
    last_placement_retry_ = now_;
    OnCapacityChange();
  }
  TickWorkers();
  TickDataCentreOut();
  ReturnPreemptedJobs();
  TickAttempts();
  TickJobs();
  for (std::size_t i = 0; i < kJobClassCount; ++i) {
    counters_.queued[i] = queue_.Count(static_cast<JobClass>(i));
  }
  counters_.running_attempts = attempts_.size();
}

void CellCore::Impl::OnHandOver() {
  if (handing_over_) return;
  handing_over_ = true;
  for (const AttemptId& id : AttemptIds()) {
    Attempt* const attempt = FindAttempt(id);
    if (attempt == nullptr || attempt->start_sent || attempt->failure) continue;
    FailAttempt(*attempt,
                {ErrorKind::kShuttingDown, "the scheduler hands the cell over",
                 StopReason::kGangNotStarted},
                Duration(0));
  }
}

bool CellCore::Impl::HandedOver() const {
  if (!unwritten_jobs_.empty()) return false;
  for (const auto& [id, attempt] : attempts_) {
    if (!attempt.start_sent || attempt.claim_in_flight) return false;
  }
  return true;
}

void CellCore::Impl::OnLeaseReleased() {
  for (const auto& [id, worker] : workers_) {
    Send(worker.agent, SchedulerGoodbye{identity_.cell, identity_.epoch});
  }
  superseded_ = true;
  output_->superseded = true;
}

void CellCore::Impl::Send(const Address& to, Message message) {
  if (!to.empty()) output_->messages.push_back({to, std::move(message), false});
}

void CellCore::Impl::SendDatagram(const Address& to, Message message) {
  if (!to.empty()) output_->messages.push_back({to, std::move(message), true});
}

bool CellCore::Impl::StopIfSuperseded(Epoch epoch, std::string_view source) {
  if (epoch <= identity_.epoch) {
    has_predecessor_ = has_predecessor_ || (epoch.value() > 0 && epoch < identity_.epoch);
    return false;
  }
  Log(EventId::kCellLost, "cell={} epoch={} higher_epoch={} seen_in={}", identity_.cell.value(),
      identity_.epoch.value(), epoch.value(), source);
  superseded_ = true;
  output_->superseded = true;
  return true;
}

}  // namespace basilspring
