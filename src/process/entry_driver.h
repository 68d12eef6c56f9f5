#ifndef BASILSPRING_SRC_PROCESS_ENTRY_DRIVER_H_
#define BASILSPRING_SRC_PROCESS_ENTRY_DRIVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "basilspring/connection/http_client.h"
#include "basilspring/connection/http_server.h"
#include "basilspring/connection/store_client.h"
#include "basilspring/connection/transport.h"
#include "basilspring/process/caller_api.h"
#include "basilspring/process/cell_directory.h"
#include "basilspring/process/configuration_view.h"
#include "basilspring/process/duty.h"
#include "basilspring/process/entry_core.h"
#include "basilspring/process/io_thread.h"
#include "basilspring/process/metrics.h"
#include "basilspring/process/operator_api.h"
#include "basilspring/process/permit_authority.h"
#include "basilspring/process/process_settings.h"

namespace basilspring {
namespace internal {

/// Connects the decision logic of an entry to sockets, store and clock. All state belongs to the
/// thread of `duty_`; the I/O thread only posts work to it.
class EntryDriver final : public OperatorContext {
 public:
  explicit EntryDriver(const ProcessSettings& settings);
  ~EntryDriver() override;

  /// Runs until a stop signal arrives; returns once the requests in flight have finished or the
  /// drain limit has passed.
  void Run();

  const ProcessSettings& settings() const override { return settings_; }
  TimePoint now() const override { return Clock::Now(); }
  std::vector<ConfigNode> nodes() const override { return directory_.tree().ToNodes(); }
  ConfigRevision revision() const override { return directory_.revision(); }
  bool has_configuration() const override { return synchronized_.load(); }
  std::vector<CellSummary> summaries() const override { return core_.Summaries(); }
  std::map<CellId, ConfigRevision> in_force() const override { return directory_.in_force(); }
  std::map<ProcessId, Address> entries() const override { return directory_.entries(); }
  StoreCondition registration() const override {
    return ValueIs{RegistrationKey(), registration_value_};
  }
  StoreClient& store() override { return store_; }
  PermitAuthority& permits() override { return permits_; }
  MetricRegistry& metrics() override { return metrics_; }
  void Refresh() override;

 private:
  /// A caller's HTTP request that has no final response yet.
  struct PendingRequest {
    std::shared_ptr<HttpResponder> responder;
    ReplyStyle style = ReplyStyle::kAnswer;
    bool streaming = false;
  };

  /// The last state of a cell's key in the store.
  struct StoredCell {
    Epoch epoch;
    /// Store revision of this state.
    std::int64_t revision = 0;
  };

  // entry.cc
  /// Posts work to the thread of `duty_`; false if it can't be queued.
  bool Post(std::function<void()> work);
  /// Starts a fiber that logs exceptions instead of passing them on.
  void Spawn(std::function<void()> body);
  void OnTick();
  /// Runs once per summary interval (1 s).
  void RunPeriodicWork();
  void UpdateMetrics();
  void WaitUntilDrained();

  // entry_messages.cc
  void OnMessage(const Address& from, Message message);
  void HandleMessage(const Address& from, const Message& message);
  void Handle(const EntryEvent& event);
  void ExecuteEffects(EntryEffects effects);
  void SendAll(const std::vector<DirectoryMessage>& messages);
  void IssuePermit(const Address& from, const PermitRequest& request);
  void TickPermits();

  // entry_http.cc
  void OnHttp(HttpRequest request, const std::shared_ptr<HttpResponder>& responder);
  void OnCallerRequest(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void OnOperatorRequest(const HttpRequest& request,
                         const std::shared_ptr<HttpResponder>& responder);
  void SendReply(const CallerReply& reply);
  JobId NewJobId();

  // entry_store.cc
  void RunStoreOperation(const EntryStoreOperation& operation);
  /// Reads the state from the store and watches it for changes, with retries until both succeed.
  void Synchronize();
  /// Reads cells, configuration and registry; returns the store revision of the first read.
  std::int64_t ListAll();
  void RefreshRegistry();
  /// Reads the revision of the guard key, which shows changes of the configuration.
  ConfigRevision ReadGuard();
  std::string RegistrationKey() const;
  /// Starts to remove entries from the registry that no longer answer.
  void RemoveSilentEntries();
  void RemoveEntry(const ProcessId& entry);
  /// Removes the registration at a graceful stop, so that the other entries no longer need the
  /// vouch of this one.
  void Deregister();
  void OpenWatch(std::int64_t from_revision);
  void OnStoreEvents(const std::vector<StoreEvent>& events);
  void OnStoredCell(const StoreEvent& event);
  void SetStoredCell(const CellId& cell, const Address& holder, Epoch epoch);
  void ApplyConfiguration();
  void UpdateRouting();
  void ReadGuardLoop();
  void RegisterLoop();
  void SleepUntil(TimePoint time);

  ProcessSettings settings_;
  MetricRegistry metrics_;
  IoThread io_;
  HttpClient http_client_;
  StoreClient store_;

  EntryCore core_;
  CellDirectory directory_;
  PermitAuthority permits_;
  ConfigurationView configuration_;
  std::map<CellId, StoredCell> stored_cells_;
  std::unordered_map<CallerId, PendingRequest> pending_requests_;
  std::uint64_t next_caller_ = 1;
  std::mt19937_64 random_;
  /// Value of this process's registration: its address and a random number. It is unique, so that a
  /// transaction can depend on it.
  std::string registration_value_;
  std::set<ProcessId> entries_being_removed_;
  bool synchronizing_ = false;
  bool vouching_ = false;
  bool store_reachable_ = true;
  /// Consecutive reads of the guard key that found a newer revision than the applied one.
  std::uint32_t lagging_reads_ = 0;
  TimePoint last_store_read_;
  TimePoint next_periodic_work_;
  TimePoint next_registry_read_;

  std::atomic<bool> synchronized_{false};
  std::atomic<bool> stopping_{false};
  /// Makes the loops that run in fibers return.
  std::atomic<bool> closing_{false};
  std::atomic<bool> drained_{false};
  std::atomic<bool> deregistered_{false};
  /// Set when watch events were dropped or the watch ended.
  std::atomic<bool> needs_synchronization_{false};
  std::atomic<std::int64_t> last_tick_{0};

  /// Null until all members are constructed; handlers drop earlier events.
  std::atomic<Duty*> running_duty_{nullptr};
  std::unique_ptr<StoreWatch> watch_;
  std::unique_ptr<Transport> transport_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<Duty> duty_;
};

}  // namespace internal
}  // namespace basilspring

#endif  // BASILSPRING_SRC_PROCESS_ENTRY_DRIVER_H_
