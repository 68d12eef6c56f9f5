#ifndef BASILSPRING_PROCESS_AGENT_H_
#define BASILSPRING_PROCESS_AGENT_H_

namespace basilspring {

struct ProcessSettings;

/// Runs an agent until SIGTERM or SIGINT, then stops it gracefully: it releases the cell lease if
/// it holds one, and waits for running tasks up to `drain_limit`. Returns the exit code of the
/// process. Throws Error if a port is in use.
int RunAgent(const ProcessSettings& settings);

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_AGENT_H_
