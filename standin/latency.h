#ifndef BASILSPRING_STANDIN_LATENCY_H_
#define BASILSPRING_STANDIN_LATENCY_H_

namespace basilspring::standin {

/// `basilspring-standin latency --entry IP:PORT --backend IP:PORT --workspace NAME [--count N]
/// [--work-ms N]
/// [--parallel N]`: sends the same work to a backend server directly and through an entry, in turns
/// and over kept connections, and prints one JSON object with the median and the 99th percentile of
/// both in microseconds, the ratio of the medians, and the requests a second that one entry
/// answered from `parallel` callers. Only loopback addresses are accepted. Returns 0 when all
/// answers were right.
int RunLatency(int argc, char** argv);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_LATENCY_H_
