#include "basilspring/fleet/entry_server.h"
#include "basilspring/process/log.h"
#include "fleet/entry_timing.h"
#include "fleet/peer_call.h"

// Queries of callers to an entry. The scheduler answers if there is one, otherwise the store.
namespace basilspring::fleet {

using internal::kMaxSummaryAge;
using internal::kRetryAfter;

namespace {

// Short, because the scheduler answers from memory.
constexpr Duration kSchedulerTimeout(450);

}  // namespace

void EntryServer::QueryJob(const ExchangePtr& exchange) {
  const JobQuery query{exchange->job};
  const auto answer_or_query_store = [this, exchange](const JobQueryReply& reply) {
    const bool usable = reply.accepted && reply.known &&
                        reply.phase <= static_cast<std::uint8_t>(JobPhase::kCancelled);
    if (usable) {
      Answer(exchange, JobPhaseAnswer{static_cast<JobPhase>(reply.phase)});
    } else {
      QueryStore(exchange);
    }
  };
  if (const SchedulerDriver* local = context_.local_scheduler()) {
    answer_or_query_store(local->OnQuery(query));
    return;
  }
  if (scheduler_.empty()) {
    QueryStore(exchange);
    return;
  }
  internal::CallPeer<JobQueryReply>(context_.peers, scheduler_, query, kSchedulerTimeout,
                                    [this, alive = alive_, exchange, answer_or_query_store](
                                        const std::optional<JobQueryReply>& reply) {
                                      if (!*alive) return;
                                      if (reply) {
                                        answer_or_query_store(*reply);
                                      } else {
                                        QueryStore(exchange);
                                      }
                                    });
}

void EntryServer::QueryStore(const ExchangePtr& exchange) {
  StoreCall call = StoreCall::Get(StoreKeys::Progress(exchange->job));
  CallStore(exchange, call, [this, alive = alive_, exchange](const StoreReply& reply) {
    if (!*alive) return;
    if (reply.status == StoreStatus::kOk && !reply.items.empty()) {
      try {
        Answer(exchange, JobPhaseAnswer{PhaseIn(DecodeJobProgress(reply.items.front().value))});
      } catch (const Error& error) {
        Refuse(exchange, ErrorKind::kInternal, error.what());
      }
      return;
    }
    if (reply.status != StoreStatus::kNotFound) {
      Refuse(exchange, ErrorKind::kTimeout, "neither scheduler nor store answers");
      return;
    }
    StoreCall next = StoreCall::Get(StoreKeys::Job(exchange->job));
    CallStore(exchange, next, [this, alive, exchange](const StoreReply& job) {
      if (!*alive) return;
      if (job.status == StoreStatus::kOk) {
        Answer(exchange, JobPhaseAnswer{JobPhase::kQueued});
      } else if (job.status == StoreStatus::kNotFound) {
        Refuse(exchange, ErrorKind::kJobUnknown, "no such job was accepted");
      } else {
        Refuse(exchange, ErrorKind::kTimeout, "neither scheduler nor store answers");
      }
    });
  });
}

void EntryServer::AnswerPendingCount(const ExchangePtr& exchange) {
  const TimePoint now = Clock::Now();
  if (const SchedulerDriver* local = context_.local_scheduler();
      local != nullptr && local->IsActive()) {
    summary_.queues = local->core().Summaries();
    summary_at_ = now;
  }
  if (now - summary_at_ <= kMaxSummaryAge) {
    AnswerFromSummary(exchange);
    return;
  }
  if (scheduler_.empty()) {
    Refuse(exchange, ErrorKind::kNoScheduler, "no scheduler is known", kRetryAfter);
    return;
  }
  internal::CallPeer<SummaryReply>(
      context_.peers, scheduler_, SummaryQuery{context_.node, context_.own_address, term_},
      kSchedulerTimeout,
      [this, alive = alive_, exchange, now](const std::optional<SummaryReply>& reply) {
        if (!*alive) return;
        if (reply) OnSummary(now, *reply);
        if (reply && reply->accepted) {
          AnswerFromSummary(exchange);
        } else {
          Refuse(exchange, ErrorKind::kNoScheduler, "the scheduler does not answer", kRetryAfter);
        }
      });
}

void EntryServer::AnswerFromSummary(const ExchangePtr& exchange) {
  std::int64_t pending = 0;
  for (const QueueSummary& row : summary_.queues) {
    if (row.queue == exchange->queue) pending = row.pending;
  }
  Answer(exchange, PendingAnswer{pending, Clock::Now() - summary_at_});
}

}  // namespace basilspring::fleet
