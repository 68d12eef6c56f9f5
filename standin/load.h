#ifndef BASILSPRING_STANDIN_LOAD_H_
#define BASILSPRING_STANDIN_LOAD_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"

namespace basilspring::standin {

/// Options of the load generator.
struct LoadOptions {
  std::vector<Address> entries;
  std::vector<std::string> workspaces;
  std::uint64_t seed = 1;
  /// Time during which requests are sent.
  Duration duration = Duration(30000);
  /// Requests per second.
  double rate = 10;
  /// Relative frequencies of urgent, batch and background requests.
  std::vector<double> class_weights = {60, 25, 15};
  /// Percentages of all requests.
  int gang_percent = 15;
  int non_idempotent_percent = 20;
  int cancel_percent = 5;
  /// Percentage of requests that are also sent to another entry with the same key.
  int repeat_percent = 10;
  /// File to which the events are appended.
  std::string record_path;
};

/// One generated request.
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
  /// Output of each rank: "<key>|<filler>".
  std::string output;
  /// Index into LoadOptions::entries.
  std::size_t entry = 0;
  bool cancel = false;
  bool repeat = false;

  /// Returns the answer that this request must get: the outputs of all ranks, concatenated.
  std::string ExpectedAnswer() const;
  std::string Payload() const;
};

/// Generates the request with this number. The result depends only on the options and the number.
PlannedRequest PlanRequest(const LoadOptions& options, std::uint64_t number);

/// Returns whether the output lengths of the header are one for each task and add up to the length
/// of the body. An empty header is valid for a single task only.
bool LengthsMatch(const std::string& header, const std::string& body, int tasks);

/// `basilspring-standin load`: sends requests for a given time, waits for their results, and
/// appends one JSON line for each event to the record file. Only loopback addresses are accepted.
/// Returns 0 if all requests were sent and have a result.
int RunLoad(int argc, char** argv);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_LOAD_H_
