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
  /// Where other processes reach this agent.
  Address address;
  /// Of this run of the process; names its reservations.
  Incarnation incarnation;
  /// Entries to ask first.
  std::vector<Address> entries;
  Timings timings;
  /// How long a graceful stop waits for running tasks before it stops them.
  Duration drain_limit = Duration(30000);
};

/// Number of tasks by state.
struct AgentCounts {
  std::size_t prepared = 0;
  std::size_t running = 0;
  std::size_t stopping = 0;
  /// Ended, and not acknowledged by the cell scheduler.
  std::size_t undelivered = 0;
};

/// The only owner of one worker's resources: admits, starts, renews and stops tasks, and follows
/// the cell scheduler with the highest epoch. Pure: no I/O, clock, thread or randomness.
class AgentCore {
 public:
  explicit AgentCore(const AgentOptions& options);
  ~AgentCore();
  AgentCore(const AgentCore&) = delete;
  AgentCore& operator=(const AgentCore&) = delete;

  /// Handles one event and appends its effects. `now` must not decrease between calls. AgentTick is
  /// expected several times a heartbeat interval.
  void Handle(TimePoint now, const AgentEvent& event, AgentOutput& out);

  /// Whether a backend server is present and takes new work.
  bool accepting() const;
  /// After DrainRequest: nothing runs any more and all outcomes have been acknowledged.
  bool Drained() const;
  AgentCounts counts() const;
  Epoch epoch() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_AGENT_CORE_H_
