#include <utility>

#include "basilspring/fleet/entry_server.h"
#include "basilspring/fleet/leadership.h"
#include "fleet/entry_timing.h"
#include "fleet/peer_call.h"

// Submission of a job to an entry. A job is accepted once it is stored. It is refused as not stored
// only if no write of this exchange can still store it.
namespace basilspring::fleet {

using internal::kMaxStoreTimeout;
using internal::kMaxSummaryAge;
using internal::kStoreRetryDelay;

namespace {

// Sent to callers that were refused because of the store, whose outages last several seconds.
constexpr Duration kStoreRetryAfter(2000);
constexpr Duration kProbeTimeout(350);
// A later notice is of no use: by then the watch has been renewed.
constexpr Duration kNoticeTimeout(1000);
// Time between two probes while the store is unavailable.
constexpr Duration kProbePause(200);
// If a probe failed this recently, a job is refused without waiting for another one. Longer than a
// probe that is not answered and the pause after it, so that the last result stays recent.
constexpr Duration kRecentProbe(800);

}  // namespace

void EntryServer::Submit(const ExchangePtr& exchange, const Queue& queue) {
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
  const TimePoint now = Clock::Now();
  // Workers of another kind may have joined since an older summary was sent.
  const bool shapes_known = now - last_contact_ <= kMaxSummaryAge;
  const auto never_fits = shapes_known ? DescribeInfeasibleStep(job, queue.service, summary_.shapes)
                                       : std::optional<std::string>();
  const auto proceed = [this, exchange, never_fits, bytes = EncodeJobSpec(job)] {
    if (never_fits) {
      RefuseUnlessStored(exchange, *never_fits);
    } else {
      StoreJob(exchange, bytes);
    }
  };
  if (context_.store.IsUnavailable(now)) {
    ContinueIfStoreAnswers(exchange, proceed);
  } else {
    proceed();
  }
}

void EntryServer::ContinueIfStoreAnswers(const ExchangePtr& exchange,
                                         std::function<void()> proceed) {
  // Found out by reads: a write that is not answered could still be carried out, and then the
  // caller could not be told that the job will never run.
  if (last_failed_probe_ && Clock::Now() - *last_failed_probe_ < kRecentProbe) {
    Refuse(exchange, ErrorKind::kStoreUnavailable, "the store has been away until just now",
           kStoreRetryAfter);
    return;
  }
  ProbeStore([this, exchange, proceed = std::move(proceed)](bool answers) {
    if (answers) {
      proceed();
    } else {
      Refuse(exchange, ErrorKind::kStoreUnavailable, "the store is away", kStoreRetryAfter);
    }
  });
}

void EntryServer::ProbeStore(std::function<void(bool answers)> handler) {
  probe_handlers_.push_back(std::move(handler));
  if (probing_) return;
  probing_ = true;
  StoreCall probe = StoreCall::Get(Leadership::LeaderKey());
  probe.timeout = kProbeTimeout;
  context_.store.ReadBothWays(probe, [this, alive = alive_](const StoreReply& reply) {
    if (!*alive) return;
    const bool answers = reply.status == StoreStatus::kOk || reply.status == StoreStatus::kNotFound;
    probing_ = false;
    next_probe_ = Clock::Now() + kProbePause;
    last_failed_probe_.reset();
    if (!answers) last_failed_probe_ = Clock::Now();
    for (const auto& waiting : std::exchange(probe_handlers_, {})) waiting(answers);
  });
}

void EntryServer::ProbeUnavailableStore(TimePoint now) {
  if (probing_ || now < next_probe_ || !context_.store.IsUnavailable(now)) return;
  ProbeStore([](bool) {});
}

void EntryServer::RefuseUnlessStored(const ExchangePtr& exchange, const std::string& reason) {
  // An earlier attempt of this request may have been accepted while suitable workers existed.
  StoreCall call = StoreCall::Get(StoreKeys::Job(exchange->job));
  CallStore(exchange, call, [this, alive = alive_, exchange, reason](const StoreReply& reply) {
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

void EntryServer::StoreJob(const ExchangePtr& exchange, const std::string& bytes) {
  const std::string key = StoreKeys::Job(exchange->job);
  const std::string cancel = StoreKeys::Cancel(exchange->job);
  // The caller may have cancelled the job at another entry before this one read the request.
  StoreCall call = StoreCall::Transaction().If(key, 0).If(cancel, 0).Set(key, bytes);
  ++exchange->attempts;
  CallStore(exchange, call,
            [this, alive = alive_, exchange, bytes, key, cancel](const StoreReply& reply) {
              if (!*alive) return;
              const bool conflict = reply.status == StoreStatus::kConflict;
              // If the key exists, an earlier attempt of the same request wrote it; it is the same
              // job.
              if (reply.status == StoreStatus::kOk || (conflict && ContainsKey(reply, key))) {
                if (reply.status == StoreStatus::kOk) NotifyScheduler(reply.revision);
                Answer(exchange, JobAcceptedAnswer{});
              } else if (conflict && ContainsKey(reply, cancel)) {
                // An attempt that was not answered can't store the job any more either.
                Refuse(exchange, ErrorKind::kCancelled,
                       "the job was cancelled before it was accepted");
              } else {
                OnJobNotStored(exchange, bytes, reply);
              }
            });
}

void EntryServer::NotifyScheduler(std::int64_t revision) {
  if (!context_.sends_inbox_notices) return;
  const InboxNotice notice{revision};
  if (SchedulerDriver* local = context_.local_scheduler()) {
    local->OnInboxNotice(notice);
  } else if (!scheduler_.empty()) {
    internal::CallPeer<InboxNoticeReply>(context_.peers, scheduler_, notice, kNoticeTimeout,
                                         [](const std::optional<InboxNoticeReply>&) {});
  }
}

void EntryServer::OnJobNotStored(const ExchangePtr& exchange, const std::string& bytes,
                                 const StoreReply& reply) {
  exchange->in_doubt = exchange->in_doubt || reply.status == StoreStatus::kUnknown;
  const bool rejected = reply.status == StoreStatus::kRejected;
  const bool time_left = TimeLeft(*exchange) > kMaxStoreTimeout / 2;
  if (!rejected && time_left && exchange->in_doubt) {
    ResolveDoubt(exchange, bytes);
  } else if (!rejected && time_left && !context_.store.IsUnavailable(Clock::Now())) {
    context_.run_later(kStoreRetryDelay, [this, alive = alive_, exchange, bytes] {
      if (*alive) StoreJob(exchange, bytes);
    });
  } else if (exchange->in_doubt) {
    Refuse(exchange, ErrorKind::kStoreOutcomeUnknown,
           "the store did not say whether the job was stored: " + reply.message);
  } else {
    // A job that is certainly not stored is refused at once when the store is unavailable.
    const std::string cause = rejected ? "the store rejects the job: " : "the store is away: ";
    Refuse(exchange, ErrorKind::kStoreUnavailable, cause + reply.message, kStoreRetryAfter);
  }
}

void EntryServer::ResolveDoubt(const ExchangePtr& exchange, const std::string& bytes) {
  StoreCall call = StoreCall::Get(StoreKeys::Job(exchange->job));
  call.timeout = kProbeTimeout;
  context_.store.ReadBothWays(
      call, [this, alive = alive_, exchange, bytes](const StoreReply& reply) {
        if (!*alive) return;
        if (reply.status == StoreStatus::kOk) {
          Answer(exchange, JobAcceptedAnswer{});
        } else if (reply.status == StoreStatus::kNotFound) {
          // The unanswered write may still be carried out. Only an answered one tells.
          context_.run_later(kStoreRetryDelay, [this, alive, exchange, bytes] {
            if (*alive) StoreJob(exchange, bytes);
          });
        } else {
          // Waiting longer would not tell more: outages of the store last several seconds, and the
          // same request, sent again later, finds the job if it was stored.
          Refuse(exchange, ErrorKind::kStoreOutcomeUnknown,
                 "the store does not say whether the job was stored: " + reply.message);
        }
      });
}

}  // namespace basilspring::fleet
