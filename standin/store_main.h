#ifndef BASILSPRING_STANDIN_STORE_MAIN_H_
#define BASILSPRING_STANDIN_STORE_MAIN_H_

namespace basilspring::standin {

/// Runs the store until SIGTERM. Options: --listen IP:PORT for the store's API, --control IP:PORT
/// for POST /fault and GET /stats. Returns the exit code.
int RunStoreStandin(int argc, char** argv);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_STORE_MAIN_H_
