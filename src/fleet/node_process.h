#ifndef BASILSPRING_SRC_FLEET_NODE_PROCESS_H_
#define BASILSPRING_SRC_FLEET_NODE_PROCESS_H_

#include <atomic>
#include <filesystem>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilspring/connection/http_server.h"
#include "basilspring/fleet/entry_server.h"
#include "basilspring/fleet/leadership.h"
#include "basilspring/fleet/node.h"
#include "basilspring/fleet/peer_client.h"
#include "basilspring/fleet/prefix_mirror.h"
#include "basilspring/fleet/prefix_watch.h"
#include "basilspring/fleet/scheduler_driver.h"
#include "basilspring/fleet/store_access.h"
#include "basilspring/process/duty.h"
#include "basilspring/process/io_thread.h"
#include "basilspring/process/metrics.h"
#include "fleet/agent_driver.h"

namespace basilspring::fleet {

/// One process of the fleet and its components. All state belongs to the thread of `state_thread_`;
/// handlers on the I/O thread only post work to it.
class Node {
 public:
  Node(const NodeSettings& settings, std::string file, const AdapterFactory& make_adapters);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void RunUntilStopped();

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  /// Runs `work` on the thread that owns the state; retries later if its queue is full.
  void Post(std::function<void()> work);
  /// Runs `work` on the current thread. If it throws, logs and counts that, and gives up the
  /// scheduler's lease, because the scheduler's state may be incomplete; the process goes on.
  void RunGuarded(const std::function<void()>& work);
  /// Detects that the process was suspended or got no processor time, by the time since the last
  /// event, and makes sure that it does not act on a configuration of before the pause.
  void CheckForPause();
  void PostAfter(Duration delay, std::function<void()> work);
  void Tick();
  void Listen();
  /// Handles a request of another process of the fleet.
  void OnPeer(const HttpRequest& request, const Responder& responder);
  /// Decodes a request and passes it to `handle`; answers with status 400 if it can't be decoded.
  template <typename Request, typename Handle>
  void Serve(const std::string& body, const Responder& responder, Handle handle);
  template <typename Reply>
  static void RespondOk(const Responder& responder, const Reply& reply);
  void RelayStoreCall(const RelayedStoreCall& request, const Responder& responder);
  /// Answers a peer's read of the operators' items from memory. A watch without a newer change is
  /// answered after `wait`, or earlier if one arrives meanwhile.
  void AnswerFromMirror(const StoreCall& call, Duration wait, const Responder& responder);
  void OnAnnouncement(const HttpRequest& request, const Responder& responder);
  void OnOperatorItems(const std::vector<StoreItem>& items, bool snapshot);
  void StartScheduler(Term term, std::int64_t revision);
  void StopScheduler();
  void OnScheduler(Term term, const Address& address);
  void SetPeers();
  /// Reads the settings file again when it has changed since it was last read.
  void CheckSettingsFile(TimePoint now);
  void ReloadSettings(std::string_view cause);
  void UpdateMetrics();
  void UpdateConnectionMetrics();
  /// When the scheduler last answered.
  TimePoint LastContact() const;
  /// Whether an agent still carries out orders.
  bool AgentBusy();
  /// Ends all connections of the servers without cutting off a request that has been received.
  /// Returns false if requests are still open at `limit`.
  bool DrainServers(TimePoint limit);

  NodeSettings settings_;
  const std::string settings_file_;
  /// Modification time of the settings file when it was last read. The first check reads it again,
  /// because it may have changed while the process was starting.
  std::filesystem::file_time_type settings_modified_at_ = std::filesystem::file_time_type::min();
  TimePoint next_settings_check_;
  /// When the state thread last finished an event; unset before the first one.
  std::optional<TimePoint> last_event_at_;
  /// When the last pause ended, until the configuration has been confirmed since.
  std::optional<TimePoint> resumed_at_;
  const bool entry_role_;
  std::atomic<bool> running_{false};
  std::promise<void> stop_signal_;
  MetricRegistry metrics_;
  IoThread io_;
  std::unique_ptr<Duty> state_thread_;
  std::unique_ptr<HttpClient> http_;
  Adapters adapters_;
  std::unique_ptr<PeerClient> peers_;
  std::unique_ptr<StoreAccess> store_;
  std::unique_ptr<Leadership> leadership_;
  std::unique_ptr<PrefixWatch> operator_watch_;
  /// What `operator_watch_` has read, for peers without a way to the store.
  std::unique_ptr<PrefixMirror> operator_mirror_;
  std::shared_ptr<const OperatorState> operator_state_;
  std::unique_ptr<SchedulerDriver> scheduler_;
  std::unique_ptr<EntryServer> entry_;
  std::unique_ptr<AgentDriver> agent_;
  Address scheduler_address_;
  /// Of all servers.
  std::shared_ptr<ConnectionBudget> connection_budget_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_SRC_FLEET_NODE_PROCESS_H_
