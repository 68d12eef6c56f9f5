#ifndef BASILSPRING_PROCESS_PERMIT_AUTHORITY_H_
#define BASILSPRING_PROCESS_PERMIT_AUTHORITY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"
#include "basilspring/ids.h"
#include "basilspring/process/timings.h"

namespace basilspring {

/// A message that the permit authority wants to be sent.
struct PermitMessage {
  Address to;
  Message message;
};

/// Decides at one entry whether tasks may start in a data centre, and when the entry itself may
/// take one out of service. Pure: the entry's duty passes time, store results and messages.
/// spec/permit.pml models it.
class PermitAuthority {
 public:
  PermitAuthority(ProcessId self, Address address, const Timings& timings);

  /// Without vouching, no permits are issued while the store is away.
  void SetFailClosed(bool fail_closed) { fail_closed_ = fail_closed; }

  /// The configuration that this entry has applied.
  void OnConfiguration(ConfigRevision revision, std::set<DataCentreId> out_of_service);
  /// A linearizable read of the guard key that began at `started` found this revision.
  void OnGuardRead(TimePoint started, ConfigRevision guard);
  /// The registry of entries as read from the store, at a read that began at `started`.
  void OnRegistry(TimePoint started, const std::map<ProcessId, Address>& entries);

  /// Requests to the other entries that are due.
  std::vector<PermitMessage> Tick(TimePoint now);
  /// Handles VouchRequest, Vouch, Registration and RegistrationAck; returns the answer, if any.
  std::optional<Message> OnMessage(TimePoint now, const Address& from, const Message& message);

  /// Answers a cell scheduler.
  Permit Issue(TimePoint now, const PermitRequest& request);

  /// Whether this entry may change the state of data centres: all registered entries have
  /// acknowledged it, or the registration wait has passed. Otherwise `reason` says what is missing.
  bool MayChange(TimePoint now, std::string* reason) const;
  /// Stops vouching for the data centre and returns the time from which the write is allowed.
  TimePoint BeginChange(TimePoint now, const DataCentreId& data_centre);
  /// The outcome of the write is known and the configuration with it was applied; vouches again.
  void EndChange(const DataCentreId& data_centre);
  /// Registered entries that have not answered for the registration silence, while this entry could
  /// reach the store: hosts that were replaced. Without their removal no permit could rest on
  /// vouches any more.
  std::vector<ProcessId> SilentPeers(TimePoint now) const;
  /// Stops vouching to an entry and returns the time from which it may be removed from the
  /// registry.
  TimePoint BeginRemoval(TimePoint now, const ProcessId& entry);

  /// Whether the permits rest on vouches, because the store has not been read for the permit
  /// validity.
  bool vouching(TimePoint now) const;

 private:
  struct Peer {
    Address address;
    /// Whether the last read of the registry contained it; an entry that only made itself known is
    /// required for own permits, but gets no vouch.
    bool registered = false;
    bool acknowledged = false;
    /// When it was first known, or last answered.
    TimePoint last_heard;
    /// When the request that the last vouch answers was sent.
    std::optional<TimePoint> vouched_since;
    ConfigRevision revision;
    std::set<DataCentreId> changing;
    std::map<std::uint64_t, TimePoint> pending;
  };

  void OnVouch(const Vouch& vouch);
  /// The moment at which all registered entries vouched for the data centre, or nothing.
  std::optional<TimePoint> ProofFromVouches(TimePoint now, const DataCentreId& data_centre) const;

  ProcessId self_;
  Address address_;
  Timings timings_;
  ConfigRevision revision_;
  std::set<DataCentreId> out_;
  std::optional<TimePoint> guard_read_;
  ConfigRevision guard_;
  std::optional<TimePoint> registered_since_;
  std::optional<TimePoint> last_registry_read_;
  std::map<ProcessId, Peer> peers_;
  /// Changes in progress by data centre; two operators can change one at the same time.
  std::map<DataCentreId, int> changing_;
  std::set<ProcessId> removing_;
  std::uint64_t next_request_ = 1;
  bool fail_closed_ = false;
  TimePoint next_tick_;
  TimePoint next_registration_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_PERMIT_AUTHORITY_H_
