#ifndef BASILSPRING_PROCESS_SCHEDULER_LINK_H_
#define BASILSPRING_PROCESS_SCHEDULER_LINK_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "basilspring/process/agent_events.h"
#include "basilspring/process/timings.h"

namespace basilspring {

/// Tracks which cell scheduler an agent reports to. While the scheduler is silent, it looks for a
/// new one and takes part in the election. It performs no I/O and reads no clock: time and messages
/// are passed in.
class SchedulerLink {
 public:
  SchedulerLink(CellId cell, WorkerId worker, std::vector<Address> entries, const Timings& timings);

  /// Checks the epoch of a message from a scheduler. Returns false if it is lower than the highest
  /// epoch seen, in which case the message must be refused. A higher epoch makes `from` the current
  /// scheduler. An epoch is the fencing token of a cell's scheduler.
  bool AcceptEpoch(TimePoint now, const Address& from, Epoch epoch, AgentOutput& out);
  /// Handles an entry's answer to a FindCell message.
  void OnCellHolder(TimePoint now, const CellHolder& answer, AgentOutput& out);
  /// Handles the notice of a scheduler that stops: the election starts without waiting for the
  /// silence timeout.
  void OnGoodbye(TimePoint now, const SchedulerGoodbye& goodbye);

  /// While the scheduler is silent, asks the entries for its successor and waits for this agent's
  /// time in the election.
  void Tick(TimePoint now, AgentOutput& out);
  /// Whether a heartbeat is due. If so, schedules the next one; the caller sends this one.
  bool TakeDueHeartbeat(TimePoint now);
  /// Makes a heartbeat due now, because its content has changed.
  void RequestHeartbeat() { next_heartbeat_ = TimePoint(); }

  /// Stops taking part in elections, because a process that stops must not become the scheduler.
  void StopContending() { may_contend_ = false; }

  /// Address of the current scheduler; empty if none is known.
  const Address& scheduler() const { return scheduler_; }
  /// Highest epoch seen.
  Epoch epoch() const { return epoch_; }

 private:
  enum class Election : std::uint8_t {
    kNone,
    /// Waits for `contend_time_`, which differs between the agents of the cell.
    kWaiting,
    /// Has asked an entry again. If the second answer also says that the cell is vacant, the agent
    /// contends.
    kConfirming,
  };

  void SetScheduler(TimePoint now, const Address& holder, Epoch epoch, AgentOutput& out);
  /// Replaces the known entries of the region.
  void UpdateEntries(const std::vector<Address>& entries, AgentOutput& out);
  void SendFindCell(TimePoint now, AgentOutput& out);
  void BeginElection(TimePoint now);
  /// Delay before this agent contends, derived from a hash of worker and epoch, to spread the
  /// agents of the cell over the election.
  Duration ElectionDelay() const;

  CellId cell_;
  WorkerId worker_;
  std::vector<Address> configured_entries_;
  std::vector<Address> entries_;
  Timings timings_;
  std::size_t next_entry_ = 0;
  Address scheduler_;
  Epoch epoch_;
  std::optional<TimePoint> last_heard_;
  TimePoint next_find_cell_;
  TimePoint next_heartbeat_;
  Election election_ = Election::kNone;
  TimePoint contend_time_;
  bool may_contend_ = true;
  bool silence_logged_ = false;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_SCHEDULER_LINK_H_
