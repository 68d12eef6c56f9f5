#include <utility>

#include "basilspring/process/log.h"
#include "process/entry_driver.h"

namespace basilspring {
namespace internal {
namespace {

// Registrations are sent over a connection because they must arrive. Vouches are repeated anyway,
// and a late one is useless, so they are sent as datagrams.
bool UsesDatagram(const Message& message) {
  return !std::holds_alternative<Registration>(message) &&
         !std::holds_alternative<RegistrationAck>(message);
}

}  // namespace

void EntryDriver::OnMessage(const Address& from, Message message) {
  const std::string_view name = MessageName(message);
  if (!Post([this, from, message = std::move(message)] { HandleMessage(from, message); })) {
    Log(EventId::kQueueFull, "queue=duty dropped={}", name);
  }
}

void EntryDriver::HandleMessage(const Address& from, const Message& message) {
  const TimePoint now = Clock::Now();
  if (const auto* const find = std::get_if<FindCell>(&message)) {
    SendAll({directory_.OnFindCell(now, from, *find)});
  } else if (const auto* const summary = std::get_if<CellSummary>(&message)) {
    SendAll(directory_.OnSummary(now, from, *summary));
    Handle(ProcessMessage{from, message});
  } else if (const auto* const request = std::get_if<PermitRequest>(&message)) {
    IssuePermit(from, *request);
  } else if (const auto* const in_force = std::get_if<ConfigurationInForce>(&message)) {
    directory_.OnConfigurationInForce(*in_force);
  } else if (const auto* const hello = std::get_if<EntryHello>(&message)) {
    directory_.OnEntryHello(now, *hello);
  } else if (std::holds_alternative<VouchRequest>(message) ||
             std::holds_alternative<Vouch>(message) ||
             std::holds_alternative<Registration>(message) ||
             std::holds_alternative<RegistrationAck>(message)) {
    if (auto answer = permits_.OnMessage(now, from, message)) {
      const bool datagram = UsesDatagram(*answer);
      SendAll({{from, std::move(*answer), datagram}});
    }
  } else {
    Handle(ProcessMessage{from, message});
  }
}

void EntryDriver::SendAll(const std::vector<DirectoryMessage>& messages) {
  for (const DirectoryMessage& message : messages) {
    const bool sent = message.datagram ? transport_->SendDatagram(message.to, message.message)
                                       : transport_->Send(message.to, message.message);
    if (!sent) {
      Log(EventId::kQueueFull, "queue=transport to={} dropped={}", message.to.ToString(),
          MessageName(message.message));
    }
  }
}

void EntryDriver::IssuePermit(const Address& from, const PermitRequest& request) {
  Permit permit = permits_.Issue(Clock::Now(), request);
  if (permit.remaining > Duration(0)) {
    Log(EventId::kPermitIssued, "data_centre={} to={} remaining_ms={}", request.data_centre.value(),
        from.ToString(), permit.remaining.milliseconds());
  } else {
    Log(EventId::kPermitRefused, "data_centre={} to={} out={} revision={}",
        request.data_centre.value(), from.ToString(), permit.out_of_service,
        permit.config_revision.value());
  }
  SendAll({{from, std::move(permit)}});
}

void EntryDriver::TickPermits() {
  const TimePoint now = Clock::Now();
  for (PermitMessage& message : permits_.Tick(now)) {
    const bool datagram = UsesDatagram(message.message);
    SendAll({{message.to, std::move(message.message), datagram}});
  }
  const bool vouching = permits_.vouching(now);
  if (vouching != vouching_) {
    vouching_ = vouching;
    Log(vouching ? EventId::kVouchingStarted : EventId::kVouchingStopped, "revision={}",
        directory_.revision().value());
  }
}

void EntryDriver::Handle(const EntryEvent& event) {
  EntryEffects effects;
  core_.Handle(Clock::Now(), event, effects);
  ExecuteEffects(std::move(effects));
}

void EntryDriver::ExecuteEffects(EntryEffects effects) {
  for (const EntryLogLine& line : effects.logs) {
    if (LogEnabled(line.event)) WriteLog(line.event, line.text);
  }
  for (const SendMessage& message : effects.messages) {
    // A dropped message needs no retry here: the core queries jobs that were not accepted.
    if (!transport_->Send(message.to, message.message)) {
      Log(EventId::kQueueFull, "queue=transport to={} dropped={}", message.to.ToString(),
          MessageName(message.message));
    }
  }
  for (EntryStoreOperation& operation : effects.operations) {
    Spawn([this, operation = std::move(operation)] { RunStoreOperation(operation); });
  }
  for (const CallerReply& reply : effects.replies) SendReply(reply);
}

}  // namespace internal
}  // namespace basilspring
