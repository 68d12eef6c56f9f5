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

/// Connects the cores of an entry to sockets, store and clock. All state belongs to the duty's
/// thread; the I/O thread only posts to it.
class EntryDriver final : public OperatorContext {
 public:
  explicit EntryDriver(const ProcessSettings& settings);
  ~EntryDriver() override;

  /// Returns once a stop signal was received and the requests in flight have finished.
  void Run();

  const ProcessSettings& settings() const override { return settings_; }
  TimePoint now() const override { return Clock::Now(); }
  std::vector<ConfigNode> nodes() const override { return directory_.tree().ToNodes(); }
  ConfigRevision revision() const override { return directory_.revision(); }
  bool has_configuration() const override { return synchronized_.load(); }
  std::vector<CellSummary> summaries() const override { return core_.Summaries(); }
  std::map<CellId, ConfigRevision> in_force() const override { return directory_.in_force(); }
  std::map<ProcessId, Address> entries() const override { return directory_.entries(); }
  StoreClient& store() override { return store_; }
  PermitAuthority& permits() override { return permits_; }
  MetricRegistry& metrics() override { return metrics_; }
  void Refresh() override;

 private:
  /// A caller whose HTTP request is not answered yet.
  struct PendingCall {
    std::shared_ptr<HttpResponder> responder;
    ReplyStyle style = ReplyStyle::kAnswer;
    bool streaming = false;
  };

  /// What the store said about a cell last.
  struct StoredCell {
    Epoch epoch;
    std::int64_t revision = 0;
  };

  // entry.cc
  bool Post(std::function<void()> work);
  void Spawn(std::function<void()> body);
  void OnTick();
  void EverySecond();
  void UpdateMetrics();
  void WaitUntilDrained();

  // entry_messages.cc
  void OnMessage(const Address& from, Message message);
  void HandleMessage(const Address& from, const Message& message);
  void Handle(const EntryEvent& event);
  void Execute(EntryEffects effects);
  void SendAll(const std::vector<DirectoryMessage>& messages);
  void IssuePermit(const Address& from, const PermitRequest& request);
  void TickPermits();

  // entry_http.cc
  void OnHttp(HttpRequest request, const std::shared_ptr<HttpResponder>& responder);
  void OnCallerRequest(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void OnOperatorRequest(const HttpRequest& request,
                         const std::shared_ptr<HttpResponder>& responder);
  void ReplyTo(const CallerReply& reply);
  JobId NewJobId();

  // entry_store.cc
  void RunOperation(const EntryStoreOperation& operation);
  void Synchronize();
  std::int64_t ListAll();
  void RefreshRegistry();
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
  std::unordered_map<CallerId, PendingCall> calls_;
  std::uint64_t next_caller_ = 1;
  std::mt19937_64 random_;
  bool synchronizing_ = false;
  bool vouching_ = false;
  bool store_reachable_ = true;
  std::uint32_t lagging_reads_ = 0;
  TimePoint last_store_read_;
  TimePoint next_second_;
  TimePoint next_registry_read_;

  std::atomic<bool> synchronized_{false};
  std::atomic<bool> stopping_{false};
  /// Ends the loops that run in fibers.
  std::atomic<bool> closing_{false};
  std::atomic<bool> drained_{false};
  /// Watch events were dropped or the watch ended.
  std::atomic<bool> needs_synchronization_{false};
  std::atomic<std::int64_t> last_tick_{0};

  /// Null until everything is constructed; handlers drop what comes before.
  std::atomic<Duty*> running_duty_{nullptr};
  std::unique_ptr<StoreWatch> watch_;
  std::unique_ptr<Transport> transport_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<Duty> duty_;
};

}  // namespace internal
}  // namespace basilspring

#endif  // BASILSPRING_SRC_PROCESS_ENTRY_DRIVER_H_
