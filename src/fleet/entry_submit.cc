#include <utility>

#include "basilspring/fleet/entry_server.h"
#include "basilspring/fleet/leadership.h"
#include "fleet/entry_timing.h"

// Submission of a job to an entry. A job is accepted once it is stored. It is refused as not stored
// only if no write of this exchange can still store it.
namespace basilspring::fleet {

using internal::kMaxStoreTimeout;
using internal::kMaxSummaryAge;
using internal::kRetryAfter;
using internal::kStoreRetryDelay;
using internal::StoreTimeout;

namespace {

// Sent to callers that were refused because of the store, whose outages last several seconds.
constexpr Duration kStoreRetryAfter(2000);
constexpr Duration kProbeTimeout(350);
// If the store failed this recently, a job is refused without another attempt. The watch of the
// configuration keeps calling the store, so the last failure stays recent while the store is down.
constexpr Duration kRecentFailure(400);

}  // namespace

void EntryServer::Submit(const ExchangePtr& exchange, const Queue& queue) {
  if (stopping_) {
    Refuse(exchange, ErrorKind::kShuttingDown, "this entry is stopping", kRetryAfter);
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
  const bool unavailable = context_.store.IsUnavailable(now);
  // Workers of another kind may have joined since an older summary was sent.
  const bool shapes_known = now - last_contact_ <= kMaxSummaryAge;
  const auto never_fits = shapes_known ? DescribeInfeasibleStep(job, queue.service, summary_.shapes)
                                       : std::optional<std::string>();
  if (never_fits) {
    RefuseUnlessStored(exchange, *never_fits);
  } else if (unavailable && now - context_.store.last_failure() < kRecentFailure) {
    Refuse(exchange, ErrorKind::kStoreUnavailable, "the store has been away until just now",
           kStoreRetryAfter);
  } else if (unavailable) {
    ProbeThenStore(exchange, bytes);
  } else {
    StoreJob(exchange, bytes);
  }
}

void EntryServer::RefuseUnlessStored(const ExchangePtr& exchange, const std::string& reason) {
  // An earlier attempt of this request may have been accepted while suitable workers existed.
  StoreCall call = StoreCall::Get(StoreKeys::Job(exchange->job));
  call.timeout = StoreTimeout(TimeLeft(*exchange));
  context_.store.Call(call, [this, alive = alive_, exchange, reason](const StoreReply& reply) {
    if (!*alive) return;
    if (reply.status == StoreStatus::kOk) {
      Answer(exchange, JobAcceptedAnswer{});
    } else if (reply.status == StoreStatus::kNotFound) {
      Refuse(exchange, ErrorKind::kNeverFits, reason);
    } else {
      Refuse(exchange, ErrorKind::kStoreUnavailable, "the store is away: " + reply.message,
             kStoreRetryAfter);
    }
  });
}

void EntryServer::ProbeThenStore(const ExchangePtr& exchange, const std::string& bytes) {
  // A read shows whether the store is available again. A write that fails could still be applied,
  // and then the caller could not be told that the job will never run.
  StoreCall probe = StoreCall::Get(Leadership::LeaderKey());
  probe.timeout = kProbeTimeout;
  context_.store.CallDirectly(
      probe, [this, alive = alive_, exchange, bytes](const StoreReply& reply) {
        if (!*alive) return;
        const bool available =
            reply.status == StoreStatus::kOk || reply.status == StoreStatus::kNotFound;
        if (available) {
          StoreJob(exchange, bytes);
        } else {
          Refuse(exchange, ErrorKind::kStoreUnavailable, "the store is away: " + reply.message,
                 kStoreRetryAfter);
        }
      });
}

void EntryServer::StoreJob(const ExchangePtr& exchange, const std::string& bytes) {
  const std::string key = StoreKeys::Job(exchange->job);
  StoreCall call = StoreCall::Transaction().If(key, 0).Set(key, bytes);
  call.timeout = StoreTimeout(TimeLeft(*exchange));
  ++exchange->attempts;
  context_.store.Call(call, [this, alive = alive_, exchange, bytes](const StoreReply& reply) {
    if (!*alive) return;
    // If the key exists, an earlier attempt of the same request wrote it; it is the same job.
    if (reply.status == StoreStatus::kOk || reply.status == StoreStatus::kConflict) {
      Answer(exchange, JobAcceptedAnswer{});
      return;
    }
    OnJobNotStored(exchange, bytes, reply);
  });
}

void EntryServer::OnJobNotStored(const ExchangePtr& exchange, const std::string& bytes,
                                 const StoreReply& reply) {
  exchange->in_doubt = exchange->in_doubt || reply.status == StoreStatus::kUnknown;
  const bool unavailable = context_.store.IsUnavailable(Clock::Now());
  // A job that is certainly not stored is refused at once when the store is unavailable. If an
  // attempt was not answered, the job is written again as long as its caller waits, because only an
  // answered write shows whether the job is stored.
  const bool rejected = reply.status == StoreStatus::kRejected;
  const bool retry = !rejected && TimeLeft(*exchange) > kMaxStoreTimeout / 2 &&
                     (exchange->in_doubt || !unavailable);
  if (retry) {
    context_.run_later(kStoreRetryDelay, [this, alive = alive_, exchange, bytes] {
      if (*alive) StoreJob(exchange, bytes);
    });
  } else if (exchange->in_doubt) {
    Refuse(exchange, ErrorKind::kStoreOutcomeUnknown,
           "the store did not say whether the job was stored: " + reply.message);
  } else {
    const std::string cause = rejected ? "the store rejects the job: " : "the store is away: ";
    Refuse(exchange, ErrorKind::kStoreUnavailable, cause + reply.message, kStoreRetryAfter);
  }
}

}  // namespace basilspring::fleet
