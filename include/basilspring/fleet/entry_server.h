#ifndef BASILSPRING_FLEET_ENTRY_SERVER_H_
#define BASILSPRING_FLEET_ENTRY_SERVER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilspring/connection/http_server.h"
#include "basilspring/fleet/caller_format.h"
#include "basilspring/fleet/fleet_config.h"
#include "basilspring/fleet/leadership.h"
#include "basilspring/fleet/peer_client.h"
#include "basilspring/fleet/peer_messages.h"
#include "basilspring/fleet/scheduler_driver.h"
#include "basilspring/fleet/store_access.h"
#include "basilspring/process/metrics.h"

namespace basilspring::fleet {

/// What callers of an entry can make it hold.
struct EntryLimits {
  /// A caller's request is answered within this time, even if the caller would wait longer.
  Duration longest_caller_timeout = Duration(60000);
  /// Requests that are not answered yet, also those whose callers have disconnected. Further ones
  /// are refused.
  std::size_t open_requests = 4000;

  bool operator==(const EntryLimits&) const = default;
};

/// Serves callers: stores the jobs that it accepts, and answers queries about jobs with the help of
/// the scheduler or, if there is none, from the store. Used only on the thread that owns the
/// process's state.
class EntryServer {
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
    /// Returns the scheduler in this process, or nullptr if there is none.
    std::function<SchedulerDriver*()> local_scheduler;
    EntryLimits limits;
    /// Whether the scheduler gets a notice of each stored submission and cancellation.
    bool sends_inbox_notices = false;
  };

  explicit EntryServer(Context context);
  ~EntryServer();
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  /// Applies to open requests, too.
  void SetLimits(const EntryLimits& limits) { context_.limits = limits; }
  void SetOperatorState(std::shared_ptr<const OperatorState> state);
  /// Holds back callers' requests after the process was paused, until ConfirmConfiguration() or for
  /// a short time: the configuration may have changed meanwhile, and a key may have been withdrawn.
  void OnPaused(TimePoint now);
  /// Records that the store has shown the current configuration since the pause.
  void ConfirmConfiguration();
  /// Handles news of the scheduler; ignored if `term` is older than the known one.
  void OnScheduler(Term term, const Address& scheduler);
  /// Asks the scheduler for a summary, and refuses the open requests of a stopping entry, if that
  /// is due; call it periodically.
  void Tick(TimePoint now);
  /// Handles a caller's request; answers through `responder`.
  void OnCaller(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  /// Reports the entry as not ready from now on, and answers each request by `answer_by`, even if
  /// its caller would wait longer. Until then the entry serves callers as before, because the load
  /// balancer needs some seconds to notice, and open connections stay.
  void BeginStop(TimePoint answer_by);

  /// Whether the load balancer should send callers here.
  bool ready() const { return state_ != nullptr && !stopping_; }
  /// When the scheduler last answered with a summary.
  TimePoint last_contact() const { return last_contact_; }
  /// Processes that the scheduler knows, from its last summary.
  const std::vector<Address>& known_peers() const { return known_peers_; }

 private:
  /// A caller's request and its progress until it is answered.
  struct Exchange {
    CallerRequest request;
    /// nullptr once the request is answered.
    std::shared_ptr<HttpResponder> responder;
    TimePoint received_at;
    JobId job;
    QueueId queue;
    WorkspaceId workspace;
    std::int64_t config_version = 0;
    /// Attempts to write to the store.
    int attempts = 0;
    /// An attempt was not answered, so the job may be stored.
    bool in_doubt = false;
    /// Set on the I/O thread when the caller disconnects, if WatchCaller() was called.
    std::shared_ptr<std::atomic<bool>> disconnected = std::make_shared<std::atomic<bool>>(false);
    bool watched = false;
    ~Exchange();
  };
  using ExchangePtr = std::shared_ptr<Exchange>;

  void Answer(const ExchangePtr& exchange, const CallerAnswer& answer);
  void Refuse(const ExchangePtr& exchange, ErrorKind kind, const std::string& reason,
              Duration retry_after = Duration(0));
  void Submit(const ExchangePtr& exchange, const Queue& queue);
  /// Continues with a submission if the store answers, and refuses it as not stored otherwise: at
  /// once if that is known, after a probe if not.
  void ContinueIfStoreAnswers(const ExchangePtr& exchange, std::function<void()> proceed);
  /// Finds out by a read whether the store answers. All that ask at the same time share one read.
  void ProbeStore(std::function<void(bool answers)> handler);
  /// Probes the store if it is unavailable and a probe is due, so that submissions are refused at
  /// once while it is away, and accepted as soon as it is back.
  void ProbeUnavailableStore(TimePoint now);
  /// Handles a failed attempt to store a job: tries again or refuses the request.
  void OnJobNotStored(const ExchangePtr& exchange, const std::string& bytes,
                      const StoreReply& reply);
  /// Refuses a job that fits on no worker, unless an earlier attempt of the request stored it.
  void RefuseUnlessStored(const ExchangePtr& exchange, const std::string& reason);
  /// Looks for a job whose write was not answered. Answers the request if the store has the job or
  /// does not answer either, and writes the job again if it is missing.
  void ResolveDoubt(const ExchangePtr& exchange, const std::string& bytes);
  void StoreJob(const ExchangePtr& exchange, const std::string& bytes);
  /// Sends the scheduler a notice of an item that was stored at this revision. A lost notice delays
  /// nothing beyond the watch of the store.
  void NotifyScheduler(std::int64_t revision);
  /// Answers with the phase of the job, from the scheduler if possible.
  void QueryJob(const ExchangePtr& exchange);
  /// Answers with the phase of the job as far as the store shows it.
  void QueryStore(const ExchangePtr& exchange);
  /// Stores a cancellation, whether or not the job exists: its submission may still be on its way.
  void Cancel(const ExchangePtr& exchange);
  /// Stores the cancellation of a job that exists. Like ForbidJob, writes it also if it is stored
  /// already: its retention time, after which the scheduler deletes it, then starts again.
  void StoreCancel(const ExchangePtr& exchange);
  /// Stores the cancellation of a job that does not exist, so that no entry can accept it any more.
  void ForbidJob(const ExchangePtr& exchange);
  /// Calls the store for a caller, or puts the call off while too many others are in flight.
  void CallStore(const ExchangePtr& exchange, StoreCall call, StoreHandler handler);
  /// Makes calls that were put off. Requests whose callers have disconnected, or whose time is
  /// over, end without one; nothing has been written for them by such a call.
  void StartWaitingCalls();
  /// Notices from now on when the caller disconnects.
  void WatchCaller(const ExchangePtr& exchange);
  /// Calls `retry` after a delay, or refuses the request if its time is nearly over or its caller
  /// has disconnected.
  void RetryOrGiveUp(const ExchangePtr& exchange, void (EntryServer::*retry)(const ExchangePtr&),
                     const std::string& reason);
  /// Refuses all open requests, because the process is about to end.
  void RefuseOpenRequests();
  /// Answers with the number of pending jobs of the queue. Asks the scheduler if its last summary
  /// is too old.
  void AnswerPendingCount(const ExchangePtr& exchange);
  void AnswerFromSummary(const ExchangePtr& exchange);
  /// Processes the answer to a query that was sent at `asked_at`, from which its age counts.
  void OnSummary(TimePoint asked_at, const SummaryReply& reply);
  /// Time until the answer has to be sent for the caller to get it within its timeout and before
  /// the process ends.
  Duration TimeLeft(const Exchange& exchange) const;

  /// Decides about a request by the current configuration.
  void Handle(const ExchangePtr& exchange);

  Context context_;
  std::shared_ptr<const OperatorState> state_;
  /// Set while requests are held back after a pause; when they are handled at the latest.
  std::optional<TimePoint> hold_until_;
  std::vector<ExchangePtr> held_;
  bool stopping_ = false;
  /// Set once the entry is stopping.
  std::optional<TimePoint> answer_by_;
  /// Requests that have not been answered.
  std::set<ExchangePtr> open_;
  /// The number of calls to the store in flight for callers, and the calls that wait for them.
  std::size_t store_calls_ = 0;
  struct WaitingCall {
    ExchangePtr exchange;
    StoreCall call;
    StoreHandler handler;
  };
  std::deque<WaitingCall> waiting_calls_;
  Term term_;
  Address scheduler_;
  TimePoint last_contact_;
  TimePoint next_summary_;
  bool summary_in_flight_ = false;
  /// Submissions that wait for the probe of the store that is in flight, if there is one.
  std::vector<std::function<void(bool answers)>> probe_handlers_;
  bool probing_ = false;
  /// When the next probe is due while the store is unavailable, and when the last one failed.
  TimePoint next_probe_;
  std::optional<TimePoint> last_failed_probe_;
  /// The last summary that the scheduler sent, and when it was asked for.
  SummaryReply summary_;
  TimePoint summary_at_;
  std::vector<Address> known_peers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_ENTRY_SERVER_H_
