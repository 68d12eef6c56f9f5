#ifndef BASILSPRING_STANDIN_LATENCY_H_
#define BASILSPRING_STANDIN_LATENCY_H_

namespace basilspring::standin {

/// `basilspring-standin latency --entry IP:PORT --backend IP:PORT --workspace NAME [--count N]
/// [--work-ms N] [--parallel N]`: sends the same work alternately to a backend server and to an
/// entry, over persistent connections. Prints one JSON object with the median and the 99th
/// percentile latency of both in microseconds, the ratio of the medians, and the requests per
/// second that the entry answered to `parallel` concurrent callers. Only loopback addresses are
/// accepted. Returns 0 if all answers were correct.
int RunLatency(int argc, char** argv);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_LATENCY_H_
