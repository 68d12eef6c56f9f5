#include <utility>

#include "basilspring/fleet/entry_duty.h"
#include "basilspring/fleet/leadership.h"
#include "fleet/entry_timing.h"

// How an entry takes in a job: it is accepted once it is stored, and refused only when no write of
// this exchange can still store it.
namespace basilspring::fleet {

using internal::kComeBack;
using internal::kStoreTimeout;
using internal::kSummaryAge;
using internal::StoreTime;

namespace {

constexpr Duration kStoreRetry(60);
// Outages of the store last several seconds.
constexpr Duration kStoreComeBack(2000);
constexpr Duration kProbeTimeout(350);
// A failure this recent answers for another try. The configuration's watch tries all the time.
constexpr Duration kFreshFailure(400);

}  // namespace

void EntryDuty::Submit(const ExchangePtr& exchange, const Queue& queue) {
  if (stopping_) {
    Refuse(exchange, ErrorKind::kShuttingDown, "this entry is stopping", kComeBack);
    return;
  }
  JobSpec job;
  try {
    job = context_.format.DecodeJob(exchange->request.body);
  } catch (const Error& error) {
    Refuse(exchange, ErrorKind::kInvalidArgument, error.what());
    return;
  }
  job.id = exchange->job;
  job.queue = queue.id;
  job.workspace = exchange->workspace;
  job.accepted_unix_ms = Clock::WallMilliseconds();
  const std::string bytes = EncodeJobSpec(job);
  const TimePoint now = Clock::Now();
  const bool away = context_.store.IsAway(now);
  // Workers of another kind may have joined since an older summary.
  const bool shapes_known = now - last_contact_ <= kSummaryAge;
  const auto never_fits = shapes_known ? DescribeInfeasibleStep(job, queue.service, summary_.shapes)
                                       : std::optional<std::string>();
  if (never_fits) {
    RefuseUnlessStored(exchange, *never_fits);
  } else if (away && now - context_.store.last_failure() < kFreshFailure) {
    Refuse(exchange, ErrorKind::kStoreUnavailable, "the store has been away until just now",
           kStoreComeBack);
  } else if (away) {
    ProbeThenStore(exchange, bytes);
  } else {
    StoreJob(exchange, bytes);
  }
}

void EntryDuty::RefuseUnlessStored(const ExchangePtr& exchange, const std::string& reason) {
  // A former attempt of this request may have been accepted when such workers were there.
  StoreCall call = StoreCall::Get(StoreKeys::Job(exchange->job));
  call.timeout = StoreTime(TimeLeft(*exchange));
  context_.store.Call(call, [this, alive = alive_, exchange, reason](const StoreReply& reply) {
    if (!*alive) return;
    if (reply.status == StoreStatus::kOk) {
      Answer(exchange, JobAcceptedAnswer{});
    } else if (reply.status == StoreStatus::kNotFound) {
      Refuse(exchange, ErrorKind::kNeverFits, reason);
    } else {
      Refuse(exchange, ErrorKind::kStoreUnavailable, "the store is away: " + reply.message,
             kStoreComeBack);
    }
  });
}

void EntryDuty::ProbeThenStore(const ExchangePtr& exchange, const std::string& bytes) {
  // A read tells whether the store is back. A write that fails could still be carried out, and the
  // caller could not be told that the job never runs.
  StoreCall probe = StoreCall::Get(Leadership::LeaderKey());
  probe.timeout = kProbeTimeout;
  context_.store.CallDirectly(probe, [this, alive = alive_, exchange,
                                      bytes](const StoreReply& reply) {
    if (!*alive) return;
    const bool back = reply.status == StoreStatus::kOk || reply.status == StoreStatus::kNotFound;
    if (back) {
      StoreJob(exchange, bytes);
    } else {
      Refuse(exchange, ErrorKind::kStoreUnavailable, "the store is away: " + reply.message,
             kStoreComeBack);
    }
  });
}

void EntryDuty::StoreJob(const ExchangePtr& exchange, const std::string& bytes) {
  const std::string key = StoreKeys::Job(exchange->job);
  StoreCall call = StoreCall::Transaction().If(key, 0).Set(key, bytes);
  call.timeout = StoreTime(TimeLeft(*exchange));
  ++exchange->attempts;
  context_.store.Call(call, [this, alive = alive_, exchange, bytes](const StoreReply& reply) {
    if (!*alive) return;
    // A key that exists was written by an earlier attempt of the same request: it is one job.
    if (reply.status == StoreStatus::kOk || reply.status == StoreStatus::kConflict) {
      Answer(exchange, JobAcceptedAnswer{});
      return;
    }
    OnJobNotStored(exchange, bytes, reply);
  });
}

void EntryDuty::OnJobNotStored(const ExchangePtr& exchange, const std::string& bytes,
                               const StoreReply& reply) {
  exchange->in_doubt = exchange->in_doubt || reply.status == StoreStatus::kUnknown;
  const bool away = context_.store.IsAway(Clock::Now());
  // A job that is certainly not stored is refused at once when the store is away. One in doubt is
  // written again as long as its caller waits, because only that settles it.
  const bool again = TimeLeft(*exchange) > kStoreTimeout / 2 && (exchange->in_doubt || !away);
  if (again) {
    context_.run_later(kStoreRetry, [this, alive = alive_, exchange, bytes] {
      if (*alive) StoreJob(exchange, bytes);
    });
  } else if (exchange->in_doubt) {
    Refuse(exchange, ErrorKind::kStoreOutcomeUnknown,
           "the store did not say whether the job was stored: " + reply.message);
  } else {
    Refuse(exchange, ErrorKind::kStoreUnavailable, "the store is away: " + reply.message,
           kStoreComeBack);
  }
}

}  // namespace basilspring::fleet
