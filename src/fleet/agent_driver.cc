#include "fleet/agent_driver.h"

#include <utility>

#include "basilspring/process/log.h"
#include "fleet/peer_call.h"

namespace basilspring::fleet {
namespace {

// Includes the time for which the scheduler may hold back the answer until the ends in the report
// are recorded.
constexpr Duration kReportTimeout(900);

}  // namespace

AgentDriver::AgentDriver(Context context, FleetAgentOptions options)
    : context_(std::move(context)), core_(std::move(options)) {}

AgentDriver::~AgentDriver() { *alive_ = false; }

void AgentDriver::OnAnnouncement(const BackendAnnouncement& announcement) {
  const TimePoint now = Clock::Now();
  core_.OnAnnouncement(now, announcement);
  Execute(core_.Tick(now));
}

void AgentDriver::OnLeave(const BackendId& id) {
  core_.OnLeave(Clock::Now(), id);
  Execute(core_.Tick(Clock::Now()));
}

void AgentDriver::OnScheduler(Term term, const Address& scheduler) {
  core_.OnScheduler(Clock::Now(), term, scheduler);
  Execute(core_.Tick(Clock::Now()));
}

void AgentDriver::OnOrders(const OrderBatch& batch, std::function<void(OrderBatchReply)> answer) {
  const std::uint64_t token = next_batch_++;
  answers_[token] = std::move(answer);
  core_.OnOrders(Clock::Now(), token, batch);
  Execute(core_.Tick(Clock::Now()));
}

void AgentDriver::Tick(TimePoint now) { Execute(core_.Tick(now)); }

void AgentDriver::Execute(AgentEffects effects) {
  for (const std::string& decision : effects.decisions) {
    Log(EventId::kFleetAgent, "term={} {}", core_.term().value(), decision);
  }
  for (auto& [token, reply] : effects.answers) {
    const auto found = answers_.find(token);
    if (found == answers_.end()) continue;
    found->second(reply);
    answers_.erase(found);
  }
  const auto poll = [this](const BackendAnnouncement& backend, const PollRuns& order,
                           auto on_answer) {
    context_.backend.Poll(
        backend, order,
        [this, alive = alive_, executor = context_.executor, on_answer](BackendReply reply) {
          executor([this, alive, on_answer, reply = std::move(reply)] {
            if (!*alive) return;
            on_answer(Clock::Now(), reply);
            Execute(core_.Tick(Clock::Now()));
          });
        });
  };
  if (effects.poll) {
    poll(*core_.backend(), *effects.poll,
         [this, number = effects.poll_number](TimePoint now, const BackendReply& reply) {
           core_.OnPolled(now, number, reply);
         });
  }
  if (effects.probe) {
    poll(effects.probe->backend, effects.probe->poll,
         [this, number = effects.probe->number](TimePoint now, const BackendReply& reply) {
           core_.OnProbed(now, number, reply);
         });
  }
  for (const BackendOrder& order : effects.orders) {
    const auto done = [this, alive = alive_, executor = context_.executor,
                       token = order.token](BackendReply reply) {
      executor([this, alive, token, reply = std::move(reply)] {
        if (!*alive) return;
        core_.OnOrderDone(Clock::Now(), token, reply);
        Execute(core_.Tick(Clock::Now()));
      });
    };
    if (order.start) {
      context_.backend.Start(*core_.backend(), order.start_run, done);
    } else {
      context_.backend.Stop(*core_.backend(), order.stop_run, done);
    }
  }
  for (const AgentReport& report : effects.reports) SendReport(effects.report_to, report);
  if (effects.find_scheduler) context_.find_scheduler();
}

void AgentDriver::SendReport(const Address& to, const AgentReport& report) {
  const auto answered = [this, alive = alive_,
                         number = report.number](const std::optional<AgentReportReply>& reply) {
    if (!*alive) return;
    core_.OnReportAnswered(Clock::Now(), number, reply);
    Execute(core_.Tick(Clock::Now()));
  };
  SchedulerDriver* local = context_.local_scheduler();
  if (local != nullptr && to == report.address) {
    // The answer is posted, because the scheduler may answer at once, while this agent is still
    // carrying out its effects.
    local->OnReport(report,
                    [executor = context_.executor, answered](const AgentReportReply& reply) {
                      executor([answered, reply] { answered(reply); });
                    });
    return;
  }
  internal::CallPeer<AgentReportReply>(context_.peers, to, report, kReportTimeout, answered);
}

}  // namespace basilspring::fleet
