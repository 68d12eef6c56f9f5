#ifndef BASILSPRING_STANDIN_SOAK_MAIN_H_
#define BASILSPRING_STANDIN_SOAK_MAIN_H_

namespace basilspring::standin {

/// `basilspring-standin soak`: runs a deployment as processes on this machine under load, injects
/// faults that follow from a seed, and judges what callers and backend servers saw. Returns 0 when
/// every promise was kept.
int RunSoak(int argc, char** argv);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_SOAK_MAIN_H_
