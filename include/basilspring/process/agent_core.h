#ifndef BASILSPRING_PROCESS_AGENT_CORE_H_
#define BASILSPRING_PROCESS_AGENT_CORE_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "basilspring/process/agent_events.h"
#include "basilspring/process/timings.h"

namespace basilspring {

struct AgentOptions {
  WorkerId worker;
  RackId rack;
  CellId cell;
  /// Address at which other processes reach this agent.
  Address address;
  /// Incarnation of this process. Identifies its reservations, so that a start for a reservation of
  /// an earlier incarnation is refused.
  Incarnation incarnation;
  /// Configured entries, which the agent asks first. It learns further ones from their answers.
  std::vector<Address> entries;
  Timings timings;
  /// How long a graceful stop waits for running tasks before it stops them.
  Duration drain_limit = Duration(30000);
};

/// Number of this worker's tasks by state.
struct AgentCounts {
  std::size_t prepared = 0;
  std::size_t running = 0;
  std::size_t stopping = 0;
  /// Tasks that have ended and whose outcome the cell scheduler has not acknowledged.
  std::size_t undelivered = 0;
};

/// State machine of an agent, the only process that allocates one worker's resources. It reserves,
/// starts, renews and stops tasks, and obeys the cell scheduler with the highest epoch. It performs
/// no I/O, reads no clock, starts no thread and uses no randomness.
class AgentCore {
 public:
  explicit AgentCore(const AgentOptions& options);
  ~AgentCore();
  AgentCore(const AgentCore&) = delete;
  AgentCore& operator=(const AgentCore&) = delete;

  /// Handles one event and appends its effects to `out`. `now` must not decrease between calls.
  /// AgentTick is expected several times per heartbeat interval.
  void Handle(TimePoint now, const AgentEvent& event, AgentOutput& out);

  /// Whether the worker takes new tasks: a backend server is present and not leaving, and the agent
  /// is not draining.
  bool accepting() const;
  /// Whether, after a DrainRequest, no task is left and all outcomes have been acknowledged.
  bool Drained() const;
  AgentCounts counts() const;
  /// Highest epoch seen.
  Epoch epoch() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_AGENT_CORE_H_
