#ifndef BASILSPRING_CONNECTION_PERMIT_MESSAGES_H_
#define BASILSPRING_CONNECTION_PERMIT_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/address.h"
#include "basilspring/connection/serialize.h"
#include "basilspring/ids.h"

/// Messages about permits to start tasks, and about the vouches that permits can be based on.
namespace basilspring {

/// Request of a cell scheduler to an entry for a permit to start tasks in the scheduler's data
/// centre. `request` relates the answer to the time at which the scheduler sent the request.
struct PermitRequest {
  DataCentreId data_centre;
  std::uint64_t request = 0;
  BASILSPRING_SERIALIZE(data_centre, request)
};

/// Answer to PermitRequest. `remaining` is the time for which the permit is valid; zero if no
/// permit is given.
struct Permit {
  DataCentreId data_centre;
  std::uint64_t request = 0;
  Duration remaining;
  /// Whether the data centre is known to be out of service, as opposed to its state being unknown.
  bool out_of_service = false;
  ConfigRevision config_revision;
  BASILSPRING_SERIALIZE(data_centre, request, remaining, out_of_service, config_revision)
};

/// Request of an entry to another entry to vouch that it is not taking data centres out of service.
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
  /// False if this entry does not vouch to the requester at all, because it is removing the
  /// requester from the registry of entries.
  bool granted = false;
  BASILSPRING_SERIALIZE(from, request, config_revision, changing, granted)
};

/// Announces a new entry to a registered one, which answers with RegistrationAck.
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
