#ifndef BASILSPRING_FLEET_ENTRY_DUTY_H_
#define BASILSPRING_FLEET_ENTRY_DUTY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "basilspring/connection/http_server.h"
#include "basilspring/fleet/caller_format.h"
#include "basilspring/fleet/fleet_config.h"
#include "basilspring/fleet/leadership.h"
#include "basilspring/fleet/peer_client.h"
#include "basilspring/fleet/peer_messages.h"
#include "basilspring/fleet/scheduler_duty.h"
#include "basilspring/fleet/store_access.h"
#include "basilspring/process/metrics.h"

namespace basilspring::fleet {

/// Serves callers: stores the jobs that it accepts, and answers questions about them from the
/// scheduler or, without one, from the store. Lives on the process's own thread.
class EntryDuty {
 public:
  struct Context {
    StoreAccess& store;
    PeerClient& peers;
    Executor executor;
    /// Runs a function on the same thread after a delay.
    std::function<void(Duration, std::function<void()>)> run_later;
    const CallerFormat& format;
    MetricRegistry& metrics;
    NodeId node;
    Address own_address;
    /// The scheduler in this process, or nullptr.
    std::function<SchedulerDuty*()> local_scheduler;
  };

  explicit EntryDuty(Context context);
  ~EntryDuty();
  EntryDuty(const EntryDuty&) = delete;
  EntryDuty& operator=(const EntryDuty&) = delete;

  void SetOperatorState(std::shared_ptr<const OperatorState> state);
  void OnScheduler(Term term, const Address& scheduler);
  void Tick(TimePoint now);
  void OnCaller(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void BeginStop() { stopping_ = true; }

  bool ready() const { return state_ != nullptr && !stopping_; }
  std::size_t open_requests() const { return open_requests_; }
  /// When the scheduler last answered.
  TimePoint last_contact() const { return last_contact_; }
  const std::vector<Address>& known_peers() const { return known_peers_; }

 private:
  /// A caller's request on its way to its answer.
  struct Exchange {
    CallerRequest request;
    std::shared_ptr<HttpResponder> responder;
    TimePoint begun;
    JobId job;
    QueueId queue;
    WorkspaceId workspace;
    std::int64_t config_version = 0;
    int attempts = 0;
    bool in_doubt = false;
    ~Exchange();
  };
  using ExchangePtr = std::shared_ptr<Exchange>;

  void Answer(const ExchangePtr& exchange, const CallerAnswer& answer);
  void Refuse(const ExchangePtr& exchange, ErrorKind kind, const std::string& reason,
              Duration retry_after = Duration(0));
  void Submit(const ExchangePtr& exchange, const Queue& queue);
  void OnJobNotStored(const ExchangePtr& exchange, const std::string& bytes,
                      const StoreReply& reply);
  void RefuseUnlessStored(const ExchangePtr& exchange, const std::string& reason);
  void ProbeThenStore(const ExchangePtr& exchange, const std::string& bytes);
  void StoreJob(const ExchangePtr& exchange, const std::string& bytes);
  void Look(const ExchangePtr& exchange);
  void LookInStore(const ExchangePtr& exchange);
  void Cancel(const ExchangePtr& exchange);
  void StoreCancel(const ExchangePtr& exchange);
  void Count(const ExchangePtr& exchange);
  void OnSummary(TimePoint now, const SummaryReply& reply);
  Duration TimeLeft(const Exchange& exchange) const;

  Context context_;
  std::shared_ptr<const OperatorState> state_;
  bool stopping_ = false;
  std::size_t open_requests_ = 0;
  Term term_;
  Address scheduler_;
  TimePoint last_contact_;
  TimePoint next_summary_;
  bool summary_in_flight_ = false;
  SummaryReply summary_;
  TimePoint summary_at_;
  std::vector<Address> known_peers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_ENTRY_DUTY_H_
