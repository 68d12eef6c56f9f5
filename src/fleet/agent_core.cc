#include "basilspring/fleet/agent_core.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace basilspring::fleet {
namespace {

// Number of reports whose send time is kept; more than are sent within `max_order_report_age`.
constexpr std::size_t kMaxRememberedReports = 64;
constexpr int kMaxReportsInFlight = 2;
// Shortest time between two look-ups of the scheduler.
constexpr Duration kLookupInterval(400);
// Shortest time between a poll that fails and the next one, and the delay while the backend server
// is considered to have ended.
constexpr Duration kPollRetry(150);
constexpr Duration kGonePollRetry(500);
// One of this many unanswered polls in a row is not brief, so that a slow backend server is found
// out within a second.
constexpr int kPatientPollInterval = 5;
// A backend server that answers a poll without a wait within this time gets brief polls.
constexpr Duration kSoonAnswered(75);
// While less than this of the confirmed lease is left, polls do not wait for ends: polls that wait
// keep it above 3 s, and an unanswered one takes 1.6 s.
constexpr Duration kUrgentLease(2500);
// Such a poll has to extend the lease by this much, so that a scheduler that grants little does not
// cause polls without a pause.
constexpr Duration kMinLeaseGain(500);
// A backend server whose runs have ended is considered to have ended too once connections to it
// have been refused for this long.
constexpr Duration kGoneAfter(400);
// Clocks of backend servers may run slow by this much.
constexpr std::int64_t kClockErrorPercent = 3;
// Number of ends that the line about an acknowledgement names. A longer list would not fit into
// one write to a pipe.
constexpr std::size_t kMaxNamedEnds = 40;

/// Returns " ends=TASK/RUN,..." for the rows up to the number, or an empty text if there are none.
std::string DescribeEnds(const std::vector<EndedRow>& rows, std::int64_t up_to) {
  std::string text;
  std::size_t named = 0;
  for (const EndedRow& row : rows) {
    if (row.number > up_to || named == kMaxNamedEnds) continue;
    text +=
        fmt::format("{}{}/{}", named == 0 ? " ends=" : ",", row.task.ToString(), row.run.value());
    ++named;
  }
  return text;
}

}  // namespace

FleetAgentCore::FleetAgentCore(FleetAgentOptions options)
    : options_(std::move(options)), epoch_(options_.first_epoch) {}

void FleetAgentCore::OnScheduler(TimePoint /*now*/, Term term, const Address& scheduler) {
  if (term < term_ || scheduler.empty()) return;
  if (term > term_ || scheduler != scheduler_) {
    LogDecision(fmt::format("scheduler={} term={} former_term={}", scheduler.ToString(),
                            term.value(), term_.value()));
    report_due_ = true;
    report_not_before_ = TimePoint();
  }
  AdoptTerm(term);
  scheduler_ = scheduler;
}

void FleetAgentCore::AdoptTerm(Term term) {
  if (term <= term_) return;
  term_ = term;
  RequireNewListing();
}

void FleetAgentCore::RequireNewListing() {
  first_listing_poll_ = polls_sent_ + 1;
  // A poll in flight may show an earlier state, so another one is sent at once.
  poll_abandoned_ = poll_abandoned_ || poll_in_flight_;
  poll_in_flight_ = false;
  poll_not_before_ = TimePoint();
}

bool FleetAgentCore::busy() const {
  return !calls_.empty() || (!ended_.empty() && backend_->draining);
}

bool FleetAgentCore::IsForRegisteredIncarnation(const Call& call) const {
  return backend_ && backend_->id == call.backend &&
         backend_->started_unix_ms == call.started_unix_ms;
}

bool FleetAgentCore::HasOpenEarlierCalls() const {
  return std::any_of(calls_.begin(), calls_.end(), [this](const auto& row) {
    return row.second.term < term_ || !IsForRegisteredIncarnation(row.second);
  });
}

void FleetAgentCore::OnOtherIncarnation(std::string_view evidence) {
  if (!superseded_after_poll_) {
    LogDecision(fmt::format("backend={} born={} acknowledged={} another incarnation answers: {}",
                            backend_->id.value(), backend_->started_unix_ms, poll_acknowledgement_,
                            evidence));
  }
  superseded_after_poll_ = polls_sent_;
  identified_ = false;
}

void FleetAgentCore::OnReportAnswered(TimePoint now, std::uint64_t number,
                                      const std::optional<AgentReportReply>& reply) {
  --reports_in_flight_;
  if (!reply) {
    report_due_ = true;
    report_not_before_ = now + options_.report_retry_delay;
    return;
  }
  if (!reply->accepted) {
    report_due_ = true;
    report_not_before_ = now + options_.report_retry_delay;
    OnScheduler(now, reply->term, reply->scheduler);
    if (reply->session != 0 && reply->term == term_) {
      session_ = reply->session;
      report_not_before_ = now;
    }
    return;
  }
  // The answer of a superseded scheduler must not extend the lease.
  if (reply->term < term_) return;
  AdoptTerm(reply->term);
  last_contact_ = now;
  services_ = reply->services;
  const auto sent = std::find_if(reports_sent_.begin(), reports_sent_.end(),
                                 [&](const auto& row) { return row.first == number; });
  if (sent != reports_sent_.end()) {
    lease_until_ = std::max(lease_until_, sent->second + reply->lease);
  }
  if (backend_ && reply->started_unix_ms == backend_->started_unix_ms &&
      reply->acknowledged > acknowledged_) {
    LogDecision(fmt::format("backend={} born={} number={} former_number={}{} ends acknowledged",
                            backend_->id.value(), backend_->started_unix_ms, reply->acknowledged,
                            acknowledged_, DescribeEnds(ended_, reply->acknowledged)));
    acknowledged_ = reply->acknowledged;
    std::erase_if(ended_, [&](const EndedRow& row) { return row.number <= acknowledged_; });
    poll_not_before_ = now;
  }
}

std::int64_t FleetAgentCore::ToBackendClock(TimePoint moment) const {
  // The backend server read its clock before the answer arrived, so the result is never later than
  // what its clock shows at `moment`.
  return clock_ms_ + (moment - clock_read_at_).milliseconds();
}

std::int64_t FleetAgentCore::LeastBackendClock(TimePoint now) const {
  const Duration since_reading = now - clock_read_at_;
  return clock_ms_ + (since_reading * (100 - kClockErrorPercent) / 100).milliseconds();
}

void FleetAgentCore::OnPolled(TimePoint now, std::uint64_t number, const BackendReply& reply) {
  if (number != polls_sent_) return;
  poll_in_flight_ = false;
  identified_ = false;
  in_question_ = true;
  if (reply.status == BackendStatus::kGone) {
    poll_lease_until_ = TimePoint();
    if (!gone_since_) gone_since_ = now;
    if (!gone_ && now - *gone_since_ >= kGoneAfter && RunsHaveEnded(now)) {
      gone_ = true;
      report_due_ = true;
      running_.clear();
      LogDecision(fmt::format("backend={} considered ended: {}",
                              backend_ ? backend_->id.value() : "", reply.message));
    }
    poll_not_before_ = now + (gone_ ? kGonePollRetry : kPollRetry);
    return;
  }
  gone_since_.reset();
  if (reply.status == BackendStatus::kStaleTerm) CatchUpEpoch();
  if (reply.status != BackendStatus::kOk) {
    open_connection_failed_ = open_connection_failed_ || poll_on_open_connection_;
    // The next poll opens a connection and shows which incarnation answers there.
    poll_not_before_ = poll_on_open_connection_ ? now : std::max(now, poll_sent_at_ + kPollRetry);
    ++unanswered_polls_;
    if (std::exchange(last_poll_status_, reply.status) != reply.status) {
      LogDecision(fmt::format("poll={} status={} {}", polls_sent_, BackendStatusName(reply.status),
                              reply.message));
    }
    return;
  }
  unanswered_polls_ = 0;
  if (!poll_waits_) answers_soon_ = now - poll_sent_at_ <= kSoonAnswered;
  if (!backend_) return;
  if (reply.started_unix_ms != 0 && reply.started_unix_ms != backend_->started_unix_ms) {
    // The backend server was restarted under the same id. Its rows are ignored until the new
    // incarnation has announced itself.
    OnOtherIncarnation(fmt::format("it was born at {}", reply.started_unix_ms));
    poll_not_before_ = now + kPollRetry;
    return;
  }
  // The registered incarnation still answers, so the evidence of another one was wrong.
  if (reply.started_unix_ms != 0 && superseded_after_poll_ < number) superseded_after_poll_.reset();
  last_poll_status_ = BackendStatus::kOk;
  lease_confirmed_until_ = std::max(lease_confirmed_until_, poll_lease_until_);
  identified_ = !superseded_after_poll_;
  in_question_ = !identified_;
  epoch_used_ = epoch_used_ || identified_;
  if (std::exchange(epoch_shared_, false)) ++epoch_;
  epoch_step_ = 1;
  confirmed_acknowledgement_ = std::max(confirmed_acknowledgement_, poll_acknowledgement_);
  const bool first_listing = poll_answered_ < first_listing_poll_;
  poll_answered_ = polls_sent_;
  last_polled_ = now;
  gone_ = false;
  clock_ms_ = reply.clock_ms;
  clock_read_at_ = now;
  clock_known_ = true;
  const bool rows_changed = reply.running.size() != running_.size() || first_listing;
  running_ = reply.running;
  more_ends_ = reply.more_ends;
  done_tasks_.OnListing(poll_sent_at_, *backend_, reply.ended, reply.more_ends);
  OnSkippedRows(now, reply);
  ended_.clear();
  for (const EndedRow& row : reply.ended) {
    if (row.number > acknowledged_) ended_.push_back(row);
  }
  if (!ended_.empty() || rows_changed) report_due_ = true;
  if (AcknowledgeableEnd() > confirmed_acknowledgement_) {
    poll_not_before_ = now;
  } else if (!ended_.empty() || unreadable_end_) {
    poll_not_before_ = now + options_.unacknowledged_poll_interval;
  }
  if (!identified_) poll_not_before_ = now + kPollRetry;
}

AgentReport FleetAgentCore::MakeReport(TimePoint now) {
  AgentReport report;
  report.node = options_.node;
  report.address = options_.address;
  report.incarnation = options_.incarnation;
  report.number = ++report_number_;
  report.term = term_;
  if (backend_) report.backend.push_back(*backend_);
  report.backend_gone = gone_;
  const bool rows_current = poll_answered_ >= first_listing_poll_ && !HasOpenEarlierCalls();
  report.poll = rows_current ? poll_answered_ : 0;
  report.poll_age = poll_answered_ == 0 ? Duration::Seconds(3600) : now - last_polled_;
  report.running = running_;
  report.ended = ended_;
  report.more_ends = more_ends_;
  report.session = session_;
  reports_sent_.emplace_back(report.number, now);
  if (reports_sent_.size() > kMaxRememberedReports) reports_sent_.pop_front();
  ++reports_in_flight_;
  report_due_ = false;
  last_report_ = now;
  return report;
}

bool FleetAgentCore::IsLeaseUrgent(TimePoint now) const {
  return !running_.empty() && lease_confirmed_until_ - now < kUrgentLease &&
         lease_until_ - lease_confirmed_until_ >= kMinLeaseGain;
}

bool FleetAgentCore::IsBriefAfter(int unanswered) {
  return unanswered % kPatientPollInterval != kPatientPollInterval - 1;
}

PollRuns FleetAgentCore::MakePoll(TimePoint now) {
  PollRuns poll;
  poll.fence = {term_, epoch_};
  lease_granted_until_ = std::max(lease_granted_until_, poll_lease_until_);
  poll_lease_until_ = TimePoint();
  // Another incarnation has a clock of its own, by which the lease would last too long.
  const bool clock_recent = IsClockRecent(now);
  const bool identified = identified_ && !std::exchange(poll_abandoned_, false);
  if (identified && clock_recent && lease_until_ > now) {
    poll.lease_until_ms = ToBackendClock(lease_until_);
    poll_lease_until_ = lease_until_;
  }
  // Another incarnation would take the number for its own ends, which nobody has read.
  if (identified && AcknowledgeableEnd() > confirmed_acknowledgement_) {
    poll.acknowledged = AcknowledgeableEnd();
  }
  // If the open connection has failed, the backend server may close its connections after each
  // answer. It has just been identified.
  const bool bound = poll.acknowledged != 0 || poll.lease_until_ms != 0;
  poll.open_connection_only = bound && !std::exchange(open_connection_failed_, false);
  poll_on_open_connection_ = poll.open_connection_only;
  poll_acknowledgement_ = poll.acknowledged;
  // A poll without a recent reading reads the clock, one after a failure shows which incarnation
  // answers, and the first one of a term lists the runs: until then a new scheduler starts
  // nothing here. While ends are unacknowledged, the backend server would list them and answer at
  // once anyway.
  const bool listed = poll_answered_ >= first_listing_poll_;
  const bool wait = identified && clock_recent && listed && ended_.empty() && !IsLeaseUrgent(now);
  poll.wait = wait ? options_.poll_wait : Duration(0);
  // One that carries something is brief only if the last answer came soon.
  poll.brief = !wait && (bound ? answers_soon_ : IsBriefAfter(unanswered_polls_));
  poll_waits_ = wait;
  return poll;
}

AgentEffects FleetAgentCore::Tick(TimePoint now) {
  UpdateEpoch();
  ProbeClaims(now);
  if (backend_ && !poll_in_flight_ && now >= poll_not_before_) {
    poll_in_flight_ = true;
    effects_.poll = MakePoll(now);
    effects_.poll_number = ++polls_sent_;
    poll_sent_at_ = now;
  }
  const bool scheduler_silent = now - last_contact_ > options_.report_interval * 2;
  if ((scheduler_.empty() || scheduler_silent) && now - last_lookup_ >= kLookupInterval) {
    last_lookup_ = now;
    effects_.find_scheduler = true;
  }
  const bool due = report_due_ || now - last_report_ >= options_.report_interval;
  if (due && !scheduler_.empty() && now >= report_not_before_ &&
      reports_in_flight_ < kMaxReportsInFlight) {
    effects_.report_to = scheduler_;
    effects_.reports.push_back(MakeReport(now));
  }
  return std::exchange(effects_, {});
}

}  // namespace basilspring::fleet
