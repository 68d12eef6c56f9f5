#ifndef BASILSPRING_SRC_FLEET_AGENT_DRIVER_H_
#define BASILSPRING_SRC_FLEET_AGENT_DRIVER_H_

#include <functional>
#include <map>
#include <memory>

#include "basilspring/fleet/agent_core.h"
#include "basilspring/fleet/peer_client.h"
#include "basilspring/fleet/scheduler_driver.h"

namespace basilspring::fleet {

/// Drives the FleetAgentCore: passes events to it and carries out its effects. Used only on the
/// thread that owns the process's state.
class AgentDriver {
 public:
  struct Context {
    Backend& backend;
    PeerClient& peers;
    Executor executor;
    /// Starts a look-up of the scheduler.
    std::function<void()> find_scheduler;
    /// Returns the scheduler in this process, or nullptr if there is none.
    std::function<SchedulerDriver*()> local_scheduler;
  };

  AgentDriver(Context context, FleetAgentOptions options);
  ~AgentDriver();
  AgentDriver(const AgentDriver&) = delete;
  AgentDriver& operator=(const AgentDriver&) = delete;

  void OnAnnouncement(const BackendAnnouncement& announcement);
  void OnLeave(const BackendId& id);
  void OnScheduler(Term term, const Address& scheduler);
  void OnOrders(const OrderBatch& batch, std::function<void(OrderBatchReply)> answer);
  void Tick(TimePoint now);

  TimePoint last_contact() const { return core_.last_contact(); }
  bool busy() const { return core_.busy(); }

 private:
  void Execute(AgentEffects effects);
  void SendReport(const Address& to, const AgentReport& report);

  Context context_;
  FleetAgentCore core_;
  /// Token of the next batch, and the functions that answer the open batches.
  std::uint64_t next_batch_ = 1;
  std::map<std::uint64_t, std::function<void(OrderBatchReply)>> answers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_SRC_FLEET_AGENT_DRIVER_H_
