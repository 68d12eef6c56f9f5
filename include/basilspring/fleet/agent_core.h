#ifndef BASILSPRING_FLEET_AGENT_CORE_H_
#define BASILSPRING_FLEET_AGENT_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/fleet/backend.h"
#include "basilspring/fleet/peer_messages.h"

namespace basilspring::fleet {

/// Times of an agent's work.
struct FleetAgentOptions {
  NodeId node;
  Address address;
  std::uint64_t incarnation = 0;
  /// A report is due after this time without news; a fifth of the lease.
  Duration report_interval = Duration(800);
  /// How long one poll waits for an end at the backend server.
  Duration poll_wait = Duration(1000);
  /// An order is refused when the report that it is based on was sent longer ago than this: the
  /// scheduler that gave it may have been replaced since.
  Duration order_freshness = Duration(3000);
  /// While ends wait to be recorded, the backend server is polled no more often than this.
  Duration unacknowledged_pause = Duration(250);
  /// A report that brought no answer is repeated after this time.
  Duration report_retry = Duration(250);
};

/// One call to the backend server; `token` is handed back with its answer.
struct BackendOrder {
  std::uint64_t token = 0;
  bool start = false;
  StartRun start_run;
  StopRun stop_run;
  /// Opens a new connection: the last one has lost an answer.
  bool repeated = false;
};

struct AgentEffects {
  std::optional<PollRuns> poll;
  /// Handed back with the poll's answer.
  std::uint64_t poll_number = 0;
  std::vector<BackendOrder> orders;
  /// A report to send to `report_to`.
  std::vector<AgentReport> reports;
  Address report_to;
  /// Answers to batches, by the token of OnOrders.
  std::vector<std::pair<std::uint64_t, OrderBatchReply>> answers;
  /// The scheduler is unknown or silent: look it up.
  bool find_scheduler = false;
  std::vector<std::string> decisions;
};

/// Owns the backend server of its host: extends its lease as far as the scheduler has allowed,
/// carries out the scheduler's orders and reports what runs. Pure; see SchedulerCore.
class FleetAgentCore {
 public:
  explicit FleetAgentCore(FleetAgentOptions options);

  /// Takes an announcement; false when it is older than what is known.
  bool OnAnnouncement(TimePoint now, const BackendAnnouncement& announcement);
  /// The backend server has said that it leaves for good.
  void OnLeave(TimePoint now, const BackendId& id);
  void OnScheduler(TimePoint now, Term term, const Address& scheduler);
  void OnReportAnswered(TimePoint now, std::uint64_t number,
                        const std::optional<AgentReportReply>& reply);
  void OnOrders(TimePoint now, std::uint64_t token, const OrderBatch& batch);
  void OnPolled(TimePoint now, std::uint64_t number, const BackendReply& reply);
  void OnOrderDone(TimePoint now, std::uint64_t token, const BackendReply& reply);

  AgentEffects Tick(TimePoint now);

  Term term() const { return term_; }
  const Address& scheduler() const { return scheduler_; }
  /// When the scheduler last accepted a report.
  TimePoint last_contact() const { return last_contact_; }
  /// Whether orders are being carried out.
  bool busy() const { return !calls_.empty(); }
  TimePoint lease_until() const { return lease_until_; }

 private:
  struct Batch {
    std::vector<std::uint8_t> statuses;
    std::size_t open = 0;
    std::uint64_t visible_from = 0;
  };
  /// An order on its way to the backend server.
  struct Call {
    std::uint64_t batch = 0;
    std::size_t index = 0;
    BackendOrder order;
    int attempts = 0;
    /// An attempt brought no answer, so it may still be carried out.
    bool in_doubt = false;
    /// The start has failed; the run is being stopped, so that a late start is refused.
    bool fencing = false;
    Term term;
  };

  bool SameLife(const BackendAnnouncement& other) const;
  BackendStatus Refusal(TimePoint now, const OrderBatch& batch, bool start) const;
  std::int64_t BackendClock(TimePoint moment) const;
  void Issue(Call call);
  void Resolve(const Call& call, BackendStatus status);
  void Forget();
  void AdoptTerm(Term term);
  bool OldOrdersOpen() const;
  AgentReport MakeReport(TimePoint now);
  void Say(std::string text) { effects_.decisions.push_back(std::move(text)); }

  FleetAgentOptions options_;
  std::optional<BackendAnnouncement> backend_;
  Term term_;
  Address scheduler_;
  TimePoint last_contact_;
  TimePoint lease_until_;
  /// The backend server's clock and when it was read.
  std::int64_t clock_ms_ = 0;
  TimePoint clock_read_at_;
  bool clock_known_ = false;

  std::uint64_t polls_sent_ = 0;
  std::uint64_t poll_answered_ = 0;
  /// The first poll under the present term. Only its rows, and later ones, show a new scheduler
  /// what the orders of its predecessors have done.
  std::uint64_t first_poll_of_term_ = 0;
  bool poll_in_flight_ = false;
  /// Since when polls have found nobody listening.
  std::optional<TimePoint> gone_since_;
  bool gone_ = false;
  TimePoint poll_not_before_;
  TimePoint last_polled_;
  std::int64_t acknowledged_ = 0;
  std::vector<RunningRow> running_;
  std::vector<EndedRow> ended_;

  std::uint64_t report_number_ = 0;
  std::deque<std::pair<std::uint64_t, TimePoint>> reports_sent_;
  int reports_in_flight_ = 0;
  bool report_due_ = true;
  TimePoint last_report_;
  TimePoint report_not_before_;
  TimePoint last_search_;

  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, Call> calls_;
  std::map<std::uint64_t, Batch> batches_;
  AgentEffects effects_;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_AGENT_CORE_H_
