#ifndef BASILSPRING_CONNECTION_PERMIT_MESSAGES_H_
#define BASILSPRING_CONNECTION_PERMIT_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/address.h"
#include "basilspring/connection/serialize.h"
#include "basilspring/ids.h"

/// Permits to start tasks, and the vouches that they can rest on.
namespace basilspring {

/// A cell scheduler asks an entry for a permit to start tasks in its data centre. `request` pairs
/// the answer with the time at which the scheduler sent the request.
struct PermitRequest {
  DataCentreId data_centre;
  std::uint64_t request = 0;
  BASILSPRING_SERIALIZE(data_centre, request)
};

/// Answer to PermitRequest; remaining is zero when no permit is given.
struct Permit {
  DataCentreId data_centre;
  std::uint64_t request = 0;
  Duration remaining;
  /// Whether the data centre is known to be out of service, as opposed to unknown.
  bool out = false;
  ConfigRevision config_revision;
  BASILSPRING_SERIALIZE(data_centre, request, remaining, out, config_revision)
};

/// An entry asks another one to vouch that it is not taking data centres out of service.
struct VouchRequest {
  ProcessId from;
  std::uint64_t request = 0;
  BASILSPRING_SERIALIZE(from, request)
};

/// Answer to VouchRequest. Valid for the data centres that `changing` does not list.
struct Vouch {
  ProcessId from;
  std::uint64_t request = 0;
  ConfigRevision config_revision;
  std::vector<DataCentreId> changing;
  /// False when this entry does not vouch to the requester at all, because it is removing it.
  bool granted = false;
  BASILSPRING_SERIALIZE(from, request, config_revision, changing, granted)
};

/// A new entry tells a registered one that it exists; the answer is RegistrationAck.
struct Registration {
  ProcessId entry;
  Address address;
  BASILSPRING_SERIALIZE(entry, address)
};

struct RegistrationAck {
  ProcessId from;
  BASILSPRING_SERIALIZE(from)
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_PERMIT_MESSAGES_H_
