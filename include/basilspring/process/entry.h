#ifndef BASILSPRING_PROCESS_ENTRY_H_
#define BASILSPRING_PROCESS_ENTRY_H_

#include "basilspring/process/process_settings.h"

namespace basilspring {

/// Runs an entry until SIGTERM or SIGINT, then stops it gracefully: /readyz turns 503, new requests
/// are refused, those in flight finish within `settings.drain_limit`. Returns the exit code. Throws
/// Error(kInternal) when an address can't be listened on.
int RunEntry(const ProcessSettings& settings);

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_ENTRY_H_
