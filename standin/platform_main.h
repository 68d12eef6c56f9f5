#ifndef BASILSPRING_STANDIN_PLATFORM_MAIN_H_
#define BASILSPRING_STANDIN_PLATFORM_MAIN_H_

namespace basilspring::standin {

/// `basilspring-standin platform`: runs stand-ins for the users' platform until SIGTERM, which are
/// its store and one backend server for each agent. Returns the exit code.
int RunPlatformStandin(int argc, char** argv);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_PLATFORM_MAIN_H_
