#include "basilspring/process/cell_scheduler.h"

#include <boost/fiber/operations.hpp>
#include <chrono>
#include <exception>
#include <utility>

#include "basilspring/connection/store_client.h"
#include "basilspring/connection/transport.h"
#include "basilspring/process/duty.h"
#include "basilspring/process/log.h"
#include "process/cell_metrics.h"
#include "process/cell_store.h"

namespace basilspring {

struct CellScheduler::Impl {
  Impl(CellIdentity cell_identity, const Timings& timings, Duty& own_duty, Transport& own_transport,
       StoreClient& own_store, MetricRegistry& registry)
      : identity(std::move(cell_identity)),
        duty(own_duty),
        transport(own_transport),
        store(own_store, identity.cell, timings.answer_retention),
        metrics(registry),
        core(identity, timings, Clock::Now()) {}

  void Execute(const CellOutput& output);
  void Send(const CellSend& send);

  CellIdentity identity;
  Duty& duty;
  Transport& transport;
  internal::CellStore store;
  internal::CellMetrics metrics;
  CellCore core;
  bool stopped = false;
};

void CellScheduler::Impl::Send(const CellSend& send) {
  // A message that exceeds a datagram, such as the summary of a cell with very many racks, is sent
  // over the connection.
  if (send.datagram && transport.SendDatagram(send.to, send.message)) return;
  if (transport.Send(send.to, send.message)) return;
  // The peer doesn't read, so its send queue is full. The message may be dropped: the core repeats
  // the essential ones, or the peer asks for them again.
  Log(EventId::kQueueFull, "queue=peer peer={} message={}", send.to.ToString(),
      MessageName(send.message));
}

void CellScheduler::Impl::Execute(const CellOutput& output) {
  for (const CellLogLine& line : output.log) {
    if (LogEnabled(line.event)) WriteLog(line.event, line.text);
  }
  for (const CellSend& send : output.messages) Send(send);
  stopped = stopped || output.superseded;
}

CellScheduler::CellScheduler(CellIdentity identity, const Timings& timings, Duty& duty,
                             Transport& transport, StoreClient& store, MetricRegistry& metrics)
    : impl_(std::make_unique<Impl>(std::move(identity), timings, duty, transport, store, metrics)) {
}
CellScheduler::~CellScheduler() = default;

bool CellScheduler::stopped() const { return impl_->stopped; }
bool CellScheduler::handed_over() const { return impl_->core.handed_over(); }
Epoch CellScheduler::epoch() const { return impl_->identity.epoch; }
std::optional<ConfigurationUpdate> CellScheduler::configuration() const {
  return impl_->core.configuration();
}

void CellScheduler::Stop() {
  impl_->stopped = true;
  impl_->metrics.ResetGauges();
}

void CellScheduler::Handle(const CellEvent& event) {
  if (impl_->stopped) return;
  CellOutput output;
  try {
    impl_->core.Handle(Clock::Now(), event, output);
  } catch (const std::exception& error) {
    // The core's state may be inconsistent. A new scheduler rebuilds it from the agents and the
    // store, so this one stops.
    Log(EventId::kInternalError, "cell={} cause=\"{}\"", impl_->identity.cell.value(),
        error.what());
    Stop();
    return;
  }
  impl_->Execute(output);
  if (std::holds_alternative<CellTick>(event)) impl_->metrics.Update(impl_->core.counters());
  for (const StoreOperation& operation : output.operations) StartStoreOperation(operation);
}

void CellScheduler::StartStoreOperation(const StoreOperation& operation) {
  if (std::holds_alternative<ListRecords>(operation)) return ListJobRecords();
  impl_->duty.Spawn([self = shared_from_this(), operation] {
    Impl& impl = *self->impl_;
    if (const auto* const claim = std::get_if<ClaimRequest>(&operation)) {
      const ClaimReply reply = impl.store.Claim(*claim);
      impl.metrics.CountStoreCall("claim", reply.outcome);
      self->Handle(reply);
    } else if (const auto* const fence = std::get_if<FenceRequest>(&operation)) {
      const FenceReply reply = impl.store.Fence(*fence);
      impl.metrics.CountStoreCall("fence", reply.outcome);
      self->Handle(reply);
    } else if (const auto* const write = std::get_if<ResultWrite>(&operation)) {
      const ResultReply reply = impl.store.Write(*write);
      impl.metrics.CountStoreCall("write_result", reply.outcome);
      self->Handle(reply);
    }
  });
}

void CellScheduler::ListJobRecords() {
  impl_->duty.Spawn([self = shared_from_this()] {
    while (!self->stopped()) {
      try {
        const RecordsListed listed = self->impl_->store.List();
        self->impl_->metrics.CountStoreCall("list", StoreOutcome::kDone);
        self->Handle(listed);
        return;
      } catch (const Error& error) {
        self->impl_->metrics.CountStoreCall("list", StoreOutcome::kUnavailable);
        boost::this_fiber::sleep_for(std::chrono::milliseconds(500));
      }
    }
  });
}

}  // namespace basilspring
