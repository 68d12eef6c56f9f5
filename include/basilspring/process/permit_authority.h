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

/// A message that the caller of PermitAuthority::Tick has to send.
struct PermitMessage {
  Address to;
  Message message;
};

/// Decides for one entry whether tasks may start in a data centre, and when the entry itself may
/// take a data centre out of service. A task start needs a permit, which an entry issues after a
/// recent read of the store or, while it can't reach the store, after recent vouches of all other
/// registered entries. With a vouch an entry states its configuration revision and which data
/// centres it is about to change. The class performs no I/O and reads no clock: time, store results
/// and messages are passed in. spec/permit.pml is a formal model of it.
class PermitAuthority {
 public:
  PermitAuthority(ProcessId self, Address address, const Timings& timings);

  /// If `fail_closed` is true, vouches are not used and no permits are issued while the store is
  /// unreachable.
  void SetFailClosed(bool fail_closed) { fail_closed_ = fail_closed; }

  /// Records the configuration that this entry has applied. Ignored if `revision` is lower than the
  /// current one.
  void OnConfiguration(ConfigRevision revision, std::set<DataCentreId> out_of_service);
  /// Records the revision that a linearizable read of the guard key found. `started` is when the
  /// read began.
  void OnGuardRead(TimePoint started, ConfigRevision guard);
  /// Records the registry of entries that a read of the store found. `started` is when the read
  /// began.
  void OnRegistry(TimePoint started, const std::map<ProcessId, Address>& entries);

  /// Returns the requests to other entries that are due.
  std::vector<PermitMessage> Tick(TimePoint now);
  /// Handles VouchRequest, Vouch, Registration and RegistrationAck. Returns the reply, or
  /// std::nullopt if there is none.
  std::optional<Message> OnMessage(TimePoint now, const Address& from, const Message& message);

  /// Answers the permit request of a cell scheduler. The permit's remaining validity is zero if the
  /// request is refused.
  Permit Issue(TimePoint now, const PermitRequest& request);

  /// Whether this entry may change the state of data centres: either all registered entries have
  /// acknowledged it, or the registration wait has elapsed. If not, `reason` is set to the missing
  /// condition.
  bool MayChange(TimePoint now, std::string* reason) const;
  /// Stops vouching for the data centre and returns the earliest time at which its state may be
  /// written to the store.
  TimePoint BeginChange(TimePoint now, const DataCentreId& data_centre);
  /// Resumes vouching for the data centre. Call it once the outcome of the write is known and the
  /// configuration that contains it has been applied.
  void EndChange(const DataCentreId& data_centre);
  /// Returns the registered entries that have not answered for `registration_silence_timeout`, for
  /// example because their host was replaced. They have to be removed from the registry, because
  /// permits on vouches need a vouch of every registered entry. Empty while this entry can't reach
  /// the store.
  std::vector<ProcessId> SilentPeers(TimePoint now) const;
  /// Stops vouching to an entry and returns the earliest time at which it may be removed from the
  /// registry.
  TimePoint BeginRemoval(TimePoint now, const ProcessId& entry);

  /// Whether permits are issued on vouches, because the store has not been read for
  /// `permit_validity`.
  bool vouching(TimePoint now) const;

 private:
  /// Another entry.
  struct Peer {
    Address address;
    /// Whether the last read of the registry contained the peer. The vouch of a peer that has only
    /// sent a Registration message is required for permits, but the peer gets no vouch.
    bool registered = false;
    /// Whether the peer has acknowledged the registration of this entry.
    bool acknowledged = false;
    /// When the peer was first known or last answered.
    TimePoint last_heard;
    /// When the request for the last vouch was sent; std::nullopt without a valid vouch.
    std::optional<TimePoint> vouch_requested_at;
    /// Configuration revision of the last vouch.
    ConfigRevision revision;
    /// Data centres that the last vouch excluded.
    std::set<DataCentreId> changing_data_centres;
    /// When each unanswered vouch request was sent, by request number.
    std::map<std::uint64_t, TimePoint> pending_requests;
  };

  void OnVouch(const Vouch& vouch);
  /// Returns the time since which the vouches of all registered entries cover the data centre, or
  /// std::nullopt if a vouch is missing.
  std::optional<TimePoint> ProofFromVouches(TimePoint now, const DataCentreId& data_centre) const;

  ProcessId self_;
  Address address_;
  Timings timings_;
  ConfigRevision applied_revision_;
  /// Data centres that the applied configuration takes out of service.
  std::set<DataCentreId> out_of_service_;
  /// When the last read of the guard key began.
  std::optional<TimePoint> last_guard_read_;
  /// Configuration revision that this read found.
  ConfigRevision guard_revision_;
  /// When the read began that first showed this entry in the registry.
  std::optional<TimePoint> registered_since_;
  /// When the last read of the registry began.
  std::optional<TimePoint> last_registry_read_;
  std::map<ProcessId, Peer> peers_;
  /// Number of changes in progress by data centre; two operators can change the same one at once.
  std::map<DataCentreId, int> pending_changes_;
  /// Entries that are being removed from the registry; they get no vouch.
  std::set<ProcessId> pending_removals_;
  std::uint64_t next_request_ = 1;
  /// Whether vouches are not used.
  bool fail_closed_ = false;
  TimePoint next_tick_;
  TimePoint next_registration_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_PERMIT_AUTHORITY_H_
