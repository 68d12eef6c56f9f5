#include "basilspring/fleet/leadership.h"

#include <charconv>
#include <utility>

#include "basilspring/process/log.h"
#include "fleet/peer_call.h"

namespace basilspring::fleet {
namespace {

constexpr const char* kLeaderKey = "basilspring/leader";
// Number of the last term. The key is not bound to the lease, so it persists from term to term.
constexpr const char* kTermKey = "basilspring/term";

// Time between two reads of the leader key while there is no contact to a scheduler.
constexpr Duration kCheckInterval(300);
// Random delay added to the interval, so that several processes don't read at the same time.
constexpr std::int64_t kCheckJitterMs = 150;
constexpr Duration kCallTimeout(800);
// A vacancy of the lease that was found longer ago than this is taken for a former one.
constexpr Duration kMaxVacancy(2000);
constexpr Duration kRenewalTimeout(500);
constexpr Duration kRenewalRetry(150);
// Consecutive failed renewals after which the process gives up the lease, if a peer still reaches
// the store.
constexpr int kRenewalsBeforeStepDown = 2;
// A process that has given up the lease does not contend for it again within this time.
constexpr Duration kStepDownPause(4000);

Term ParseTerm(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return Term(value);
}

}  // namespace

const char* Leadership::LeaderKey() { return kLeaderKey; }

Leadership::Leadership(StoreAccess& store, LeadershipOptions options, Handlers handlers)
    : store_(store), options_(std::move(options)), handlers_(std::move(handlers)) {}

Leadership::~Leadership() { *alive_ = false; }

void Leadership::Tick(TimePoint now, TimePoint last_contact) {
  if (leading()) {
    if (now >= next_renewal_ && !renewing_ && !ending_) Renew(now);
    return;
  }
  if (call_in_flight_ || resigned_ || now < next_check_ || now < options_.first_check_at) return;
  if (now - last_contact < options_.contact_timeout) return;
  CheckHolder();
}

void Leadership::CheckHolderNow() {
  const bool early = Clock::Now() < options_.first_check_at;
  if (!call_in_flight_ && !leading() && !resigned_ && !early) CheckHolder();
}

void Leadership::CheckHolder() {
  call_in_flight_ = true;
  next_check_ = Clock::Now() + kCheckInterval +
                Duration(static_cast<std::int64_t>(random_() % kCheckJitterMs));
  StoreCall call = StoreCall::Get(kLeaderKey);
  call.timeout = kCallTimeout;
  store_.Call(call, [this, alive = alive_](const StoreReply& reply) {
    if (!*alive) return;
    call_in_flight_ = false;
    if (reply.status == StoreStatus::kNotFound) {
      OnVacant(Clock::Now());
      return;
    }
    if (reply.status != StoreStatus::kOk || reply.items.empty()) return;
    vacant_since_.reset();
    try {
      const auto record = internal::DecodePeerBody<LeaderRecord>(reply.items.front().value);
      if (record.node == options_.node && record.address == options_.address) {
        // This process acquired the lease before it was restarted, so nobody uses it any more.
        Contend(reply.items.front().revision);
      } else {
        handlers_.holder_found(record);
      }
    } catch (const Error& error) {
      Log(EventId::kFleetScheduler, "leader key can't be decoded: {}", error.what());
    }
  });
}

void Leadership::OnVacant(TimePoint now) {
  // An old time belongs to an earlier vacancy, whose end this process has not seen.
  if (!vacant_since_ || now - *vacant_since_ > kMaxVacancy) vacant_since_ = now;
  const TimePoint contend_at = *vacant_since_ + options_.contend_delay;
  if (now < contend_at) {
    next_check_ = contend_at;
  } else {
    Contend(std::nullopt);
  }
}

void Leadership::Contend(std::optional<std::int64_t> own_previous_revision) {
  if (call_in_flight_ || resigned_ || Clock::Now() < contend_after_) return;
  call_in_flight_ = true;
  StoreCall call = StoreCall::Get(kTermKey);
  call.timeout = kCallTimeout;
  store_.Call(call, [this, alive = alive_, own_previous_revision](const StoreReply& reply) {
    if (!*alive) return;
    if (reply.status == StoreStatus::kOk && !reply.items.empty()) {
      const StoreItem& item = reply.items.front();
      AcquireLease(Term(ParseTerm(item.value).value() + 1), item.revision,
                   own_previous_revision.value_or(0));
    } else if (reply.status == StoreStatus::kNotFound) {
      AcquireLease(Term(1), 0, own_previous_revision.value_or(0));
    } else {
      call_in_flight_ = false;
    }
  });
}

void Leadership::AcquireLease(Term term, std::int64_t term_revision, std::int64_t leader_revision) {
  StoreCall grant = StoreCall::GrantLease(options_.lease);
  grant.timeout = kCallTimeout;
  const TimePoint sent = Clock::Now();
  store_.CallDirectly(grant, [this, alive = alive_, term, term_revision, leader_revision,
                              sent](const StoreReply& granted) {
    if (!*alive) return;
    if (granted.status != StoreStatus::kOk || resigned_) {
      call_in_flight_ = false;
      return;
    }
    const std::int64_t lease = granted.lease;
    const TimePoint valid_until = sent + granted.lease_time;
    lease_time_ = granted.lease_time;
    const LeaderRecord record{term, options_.node, options_.address};
    StoreCall write = StoreCall::Transaction()
                          .If(kLeaderKey, leader_revision)
                          .If(kTermKey, term_revision)
                          .Set(kLeaderKey, internal::EncodePeerBody(record), lease)
                          .Set(kTermKey, std::to_string(term.value()));
    write.timeout = kCallTimeout;
    store_.CallDirectly(write, [this, alive, term, lease, valid_until](const StoreReply& reply) {
      if (!*alive) return;
      call_in_flight_ = false;
      if (reply.status != StoreStatus::kOk || resigned_) {
        Log(EventId::kFleetScheduler, "term={} not gained: {} {} resigned={}", term.value(),
            StoreStatusName(reply.status), reply.message, resigned_);
        // The store may still apply the transaction; without the lease the key is then removed.
        store_.Call(StoreCall::EndLease(lease), [](const StoreReply&) {});
        return;
      }
      lease_ = lease;
      valid_until_ = valid_until;
      next_renewal_ = Clock::Now() + options_.renewal_interval;
      Log(EventId::kFleetScheduler, "term={} lease={} gained revision={}", term.value(), lease,
          reply.revision);
      handlers_.elected(term, reply.revision);
    });
  });
}

void Leadership::Renew(TimePoint now) {
  renewing_ = true;
  StoreCall call = StoreCall::RenewLease(lease_);
  call.timeout = kRenewalTimeout;
  store_.CallDirectly(call, [this, alive = alive_, now, lease = lease_](const StoreReply& reply) {
    if (!*alive || lease != lease_) return;
    renewing_ = false;
    if (reply.status == StoreStatus::kOk) {
      failed_renewals_ = 0;
      valid_until_ = std::max(valid_until_, now + lease_time_);
      next_renewal_ = now + options_.renewal_interval;
    } else if (reply.status == StoreStatus::kNotFound) {
      StopLeading("the lease has expired in the store");
    } else {
      Log(EventId::kFleetScheduler, "lease={} not renewed: {} valid_ms={}", lease_,
          StoreStatusName(reply.status), (valid_until_ - Clock::Now()).milliseconds());
      next_renewal_ = Clock::Now() + kRenewalRetry;
      if (++failed_renewals_ >= kRenewalsBeforeStepDown) StepDown();
    }
  });
}

void Leadership::StepDown() {
  if (stepping_down_ || ending_) return;
  stepping_down_ = true;
  // If no peer reaches the store either, no other process could take over. The read shows that
  // without an EndLease of unknown outcome, after which the lease could not be used any more.
  StoreCall call = StoreCall::Get(kLeaderKey);
  call.timeout = kRenewalTimeout;
  store_.Call(call, [this, alive = alive_, lease = lease_](const StoreReply& reply) {
    if (!*alive || lease != lease_) return;
    stepping_down_ = false;
    const bool answered =
        reply.status == StoreStatus::kOk || reply.status == StoreStatus::kNotFound;
    // A renewal that was answered meanwhile shows that the direct connection is back.
    if (answered && failed_renewals_ > 0) EndLease();
  });
}

void Leadership::EndLease() {
  ending_ = true;
  StoreCall call = StoreCall::EndLease(lease_);
  call.timeout = kRenewalTimeout;
  store_.Call(call, [this, alive = alive_, lease = lease_](const StoreReply& reply) {
    if (!*alive || lease != lease_) return;
    if (reply.status == StoreStatus::kUnavailable) {
      ending_ = false;
      return;
    }
    contend_after_ = Clock::Now() + kStepDownPause;
    // Without an answer the store may end the lease at any later time.
    StopLeading(std::string("no direct connection to the store; ending the lease: ") +
                std::string(StoreStatusName(reply.status)));
  });
}

void Leadership::StopLeading(const std::string& reason) {
  if (!leading()) return;
  Log(EventId::kFleetScheduler, "lease={} lost: {}", lease_, reason);
  lease_ = 0;
  renewing_ = false;
  stepping_down_ = false;
  ending_ = false;
  failed_renewals_ = 0;
  valid_until_ = TimePoint();
  handlers_.lost();
}

void Leadership::GiveUp(const std::string& reason) {
  if (!leading()) return;
  const std::int64_t lease = lease_;
  contend_after_ = Clock::Now() + kStepDownPause;
  StopLeading(reason);
  store_.Call(StoreCall::EndLease(lease), [](const StoreReply&) {});
}

void Leadership::Resign() {
  resigned_ = true;
  GiveUp("the process is stopping");
}

}  // namespace basilspring::fleet
