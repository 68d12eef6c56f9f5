#ifndef BASILSPRING_STANDIN_LOAD_H_
#define BASILSPRING_STANDIN_LOAD_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"

namespace basilspring::standin {

struct LoadOptions {
  std::vector<Address> entries;
  std::vector<std::string> workspaces;
  std::uint64_t seed = 1;
  Duration length = Duration(30000);
  /// Requests per second.
  double rate = 10;
  /// Shares of urgent, batch and background requests.
  std::vector<double> mix = {60, 25, 15};
  /// Shares of all requests in percent.
  int gang_percent = 15;
  int non_idempotent_percent = 20;
  int cancel_percent = 5;
  /// Sent again with the same key to another entry.
  int repeat_percent = 10;
  std::string record_path;
};

/// One request as the seed draws it.
struct PlannedRequest {
  std::string key;
  std::string workspace;
  std::string job_class;
  int tasks = 1;
  int cores = 1;
  int memory_mb = 256;
  int accelerators = 0;
  bool adjacent = false;
  bool idempotent = true;
  std::int64_t work_ms = 0;
  /// "<key>|<filler>"; the output of each rank.
  std::string output;
  std::size_t entry = 0;
  bool cancel = false;
  bool repeat = false;

  /// The whole answer that this request must get.
  std::string Expected() const;
  std::string Payload() const;
};

/// Draws the request with this number. The same options give the same requests.
PlannedRequest PlanRequest(const LoadOptions& options, std::uint64_t number);

/// Whether the body has the length that the header of output lengths gives; an absent header stands
/// for a single output.
bool LengthsMatch(const std::string& header, const std::string& body, int tasks);

/// `basilspring-standin load`: sends requests for a bounded time, waits for their results and
/// appends one JSON line for each event to the record. Only loopback addresses are accepted.
/// Returns 0 when all requests were sent and have a result.
int RunLoad(int argc, char** argv);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_LOAD_H_
