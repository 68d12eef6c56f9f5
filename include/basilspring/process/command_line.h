#ifndef BASILSPRING_PROCESS_COMMAND_LINE_H_
#define BASILSPRING_PROCESS_COMMAND_LINE_H_

#include "basilspring/fleet/node.h"

namespace basilspring {

/// Exit codes of all commands.
enum ExitCode : int {
  kExitDone = 0,
  kExitRefused = 1,
  /// Wrong arguments or an invalid settings file.
  kExitUsage = 2,
  kExitUnreachable = 3,
  /// It is not known whether the request took effect. Also used for internal errors.
  kExitUnknownOutcome = 4,
};

/// Runs `basilspring COMMAND ...` and returns its exit code. `make_adapters` creates the adapters
/// of the command `node`.
int RunCommandLine(int argc, char** argv, const fleet::AdapterFactory& make_adapters);

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_COMMAND_LINE_H_
