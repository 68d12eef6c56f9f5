#ifndef BASILSPRING_PROCESS_AGENT_H_
#define BASILSPRING_PROCESS_AGENT_H_

namespace basilspring {

struct ProcessSettings;

/// Runs an agent until SIGTERM or SIGINT and its graceful stop: hands the cell over when it holds
/// it, then lets running tasks finish. Returns the exit code of the process. Throws Error when a
/// port is taken.
int RunAgent(const ProcessSettings& settings);

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_AGENT_H_
