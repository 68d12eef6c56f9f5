#ifndef BASILSPRING_STANDIN_BACKEND_MAIN_H_
#define BASILSPRING_STANDIN_BACKEND_MAIN_H_

namespace basilspring::standin {

/// `basilspring-standin backend`: runs a BackendServer until SIGTERM. Returns the exit code.
int RunBackendStandin(int argc, char** argv);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_BACKEND_MAIN_H_
