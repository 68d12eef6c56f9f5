#ifndef BASILSPRING_STANDIN_PLATFORM_MAIN_H_
#define BASILSPRING_STANDIN_PLATFORM_MAIN_H_

namespace basilspring::standin {

/// Runs the stand-ins of the users' platform until SIGTERM: its store, and one backend server for
/// each agent.
int RunPlatformStandin(int argc, char** argv);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_PLATFORM_MAIN_H_
