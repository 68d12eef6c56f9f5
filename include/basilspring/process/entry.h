#ifndef BASILSPRING_PROCESS_ENTRY_H_
#define BASILSPRING_PROCESS_ENTRY_H_

#include "basilspring/process/process_settings.h"

namespace basilspring {

/// Runs an entry until SIGTERM or SIGINT, then stops it gracefully: /readyz answers 503, new
/// requests are refused, and requests in flight may finish within `settings.drain_limit`. Returns
/// the exit code. Throws Error(kInternal) if the process can't listen on an address.
int RunEntry(const ProcessSettings& settings);

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_ENTRY_H_
