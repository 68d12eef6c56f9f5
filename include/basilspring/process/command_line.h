#ifndef BASILSPRING_PROCESS_COMMAND_LINE_H_
#define BASILSPRING_PROCESS_COMMAND_LINE_H_

#include "basilspring/fleet/node.h"

namespace basilspring {

/// Exit codes of all commands.
enum ExitCode : int {
  kExitDone = 0,
  kExitRefused = 1,
  kExitUsage = 2,
  kExitUnreachable = 3,
  kExitUnknownOutcome = 4,
};

/// Runs `basilspring COMMAND ...` and returns the exit code.
int RunCommandLine(int argc, char** argv, const fleet::AdapterFactory& make_adapters);

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_COMMAND_LINE_H_
