#ifndef BASILSPRING_STANDIN_STORE_MAIN_H_
#define BASILSPRING_STANDIN_STORE_MAIN_H_

namespace basilspring::standin {

/// `basilspring-standin store --listen IP:PORT --control IP:PORT`: runs a StoreServer until
/// SIGTERM. The first address serves the API of the store, the second POST /fault and GET /stats.
/// Returns the exit code.
int RunStoreStandin(int argc, char** argv);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_STORE_MAIN_H_
