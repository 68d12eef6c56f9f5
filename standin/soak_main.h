#ifndef BASILSPRING_STANDIN_SOAK_MAIN_H_
#define BASILSPRING_STANDIN_SOAK_MAIN_H_

namespace basilspring::standin {

/// `basilspring-standin soak`: runs a deployment as processes on this host under load, injects
/// faults that follow from a seed, and checks the observations of callers and backend servers with
/// CheckSoakRecord. Returns 0 if there are no violations.
int RunSoak(int argc, char** argv);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_SOAK_MAIN_H_
