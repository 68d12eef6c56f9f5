#ifndef BASILSPRING_PROCESS_SCHEDULER_LINK_H_
#define BASILSPRING_PROCESS_SCHEDULER_LINK_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "basilspring/process/agent_events.h"
#include "basilspring/process/timings.h"

namespace basilspring {

/// Which cell scheduler an agent follows, and how it finds the next one. Pure.
class SchedulerLink {
 public:
  SchedulerLink(CellId cell, WorkerId worker, std::vector<Address> entries, const Timings& timings);

  /// A scheduler showed this epoch. False when it is lower than the highest one seen, so that the
  /// sender is to be refused. A higher one makes the sender the scheduler that is followed.
  bool Admit(TimePoint now, const Address& from, Epoch epoch, AgentOutput& out);
  void OnCellHolder(TimePoint now, const CellHolder& answer, AgentOutput& out);
  void OnGoodbye(TimePoint now, const SchedulerGoodbye& goodbye);

  /// Asks entries and waits out the election while the scheduler is silent.
  void Tick(TimePoint now, AgentOutput& out);
  /// Whether a heartbeat has to be sent now; counts it as sent.
  bool TakeHeartbeat(TimePoint now);
  /// Sends a heartbeat at the next opportunity, because what it carries has changed.
  void HurryHeartbeat() { next_heartbeat_ = TimePoint(); }

  /// A process that stops must not become the scheduler.
  void StopContending() { contends_ = false; }

  /// Empty while no scheduler is known.
  const Address& scheduler() const { return scheduler_; }
  Epoch epoch() const { return epoch_; }

 private:
  enum class Election : std::uint8_t {
    kNone,
    /// Waits for its turn among the agents of the cell.
    kWaiting,
    /// Has asked again; a second vacant answer lets it contend.
    kConfirming,
  };

  void Follow(TimePoint now, const Address& holder, Epoch epoch, AgentOutput& out);
  void Learn(const std::vector<Address>& entries, AgentOutput& out);
  void Ask(TimePoint now, AgentOutput& out);
  void BeginElection(TimePoint now);
  Duration Turn() const;

  CellId cell_;
  WorkerId worker_;
  std::vector<Address> configured_entries_;
  std::vector<Address> entries_;
  Timings timings_;
  std::size_t next_entry_ = 0;
  Address scheduler_;
  Epoch epoch_;
  std::optional<TimePoint> last_heard_;
  TimePoint next_ask_;
  TimePoint next_heartbeat_;
  Election election_ = Election::kNone;
  TimePoint turn_;
  bool contends_ = true;
  bool silence_logged_ = false;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_SCHEDULER_LINK_H_
