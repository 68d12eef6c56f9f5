#ifndef BASILSPRING_FLEET_SCHEDULER_DUTY_H_
#define BASILSPRING_FLEET_SCHEDULER_DUTY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "basilspring/fleet/fleet_config.h"
#include "basilspring/fleet/peer_client.h"
#include "basilspring/fleet/peer_messages.h"
#include "basilspring/fleet/prefix_watch.h"
#include "basilspring/fleet/scheduler_core.h"
#include "basilspring/fleet/store_access.h"
#include "basilspring/process/metrics.h"

namespace basilspring::fleet {

/// Keys of the store below which the system keeps what must last.
struct StoreKeys {
  /// What entries write for the scheduler: accepted jobs and cancellations.
  static constexpr const char* kInbox = "basilspring/in/";
  static constexpr const char* kJobs = "basilspring/in/job/";
  static constexpr const char* kCancels = "basilspring/in/cancel/";
  /// What the scheduler records about each job.
  static constexpr const char* kProgress = "basilspring/progress/";
  /// Agents that may have runs.
  static constexpr const char* kMembers = "basilspring/members";

  static std::string Job(const JobId& id) { return kJobs + id.value(); }
  static std::string Cancel(const JobId& id) { return kCancels + id.value(); }
  static std::string Progress(const JobId& id) { return kProgress + id.value(); }
};

struct Member {
  NodeId node;
  Address address;
  BASILSPRING_SERIALIZE(node, address)
};

/// The scheduler under one term of the lease: reads what the store has, feeds the core and carries
/// out what it decides. Lives on the process's own thread.
class SchedulerDuty {
 public:
  struct Context {
    StoreAccess& store;
    PeerClient& peers;
    MetricRegistry& metrics;
    Executor executor;
    /// Runs a function on the same thread after a delay.
    std::function<void(Duration, std::function<void()>)> run_later;
    Address own_address;
    SchedulerOptions options;
    /// Until when the lease is valid.
    std::function<TimePoint()> valid_until;
    /// The store refused a write because another process holds the lease.
    std::function<void(const std::string&)> deposed;
  };

  SchedulerDuty(Context context, Term term, std::int64_t leader_revision);
  ~SchedulerDuty();
  SchedulerDuty(const SchedulerDuty&) = delete;
  SchedulerDuty& operator=(const SchedulerDuty&) = delete;

  void SetOperatorState(std::shared_ptr<const OperatorState> state);
  void Tick(TimePoint now);

  /// Answers once the ends in the report are recorded, or after a short time.
  void OnReport(const AgentReport& report, std::function<void(AgentReportReply)> answer);
  JobQueryReply OnQuery(const JobQuery& query) const;
  SummaryReply OnSummary(const SummaryQuery& query);

  const SchedulerCore& core() const { return core_; }
  /// Has read all jobs and holds the lease, so that what it knows is what holds.
  bool InOffice() const { return ready_ && Valid(Clock::Now()); }
  Term term() const { return term_; }

 private:
  struct WaitingAnswer {
    NodeId node;
    TimePoint until;
    AgentReportReply reply;
    std::function<void(AgentReportReply)> answer;
  };

  void LoadProgress(const std::string& after_key);
  void LoadMembers();
  void BecomeReady();
  void OnInbox(const std::vector<StoreItem>& items, bool snapshot);
  void Run(TimePoint now);
  void RunSoon();
  void SendOrders(OutgoingOrders orders);
  void Save();
  void OnSaveRefused(const std::vector<ProgressSave>& batch, const StoreReply& reply);
  void SaveMembers();
  /// Whether a refused transaction shows that another process holds the lease.
  bool ShowsOtherLeader(const StoreReply& reply) const;
  void AnswerWaiting(TimePoint now);
  bool Valid(TimePoint now) const;

  Context context_;
  Term term_;
  std::int64_t leader_revision_;
  SchedulerCore core_;
  std::unique_ptr<PrefixWatch> inbox_;
  std::map<JobId, JobProgress> loaded_progress_;
  /// Revision of each job's record. Each write is conditional on it, so that a write whose answer
  /// was lost can't replace a later one when it is carried out late.
  std::map<JobId, std::int64_t> progress_revisions_;
  std::int64_t members_revision_ = 0;
  bool inbox_loaded_ = false;
  bool progress_loaded_ = false;
  bool members_loaded_ = false;
  bool ready_ = false;
  bool run_scheduled_ = false;
  TimePoint last_run_;
  TimePoint load_retry_;
  std::vector<std::vector<StoreItem>> early_inbox_;
  std::map<NodeId, Address> members_;
  std::set<NodeId> stored_members_;
  bool saving_members_ = false;
  std::map<NodeId, Address> entries_;
  std::vector<ProgressSave> save_queue_;
  bool saving_ = false;
  TimePoint save_not_before_;
  std::vector<WaitingAnswer> waiting_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_SCHEDULER_DUTY_H_
