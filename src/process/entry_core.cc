#include "basilspring/process/entry_core.h"

#include <fmt/format.h>

#include <utility>

#include "process/entry_core_internal.h"

namespace basilspring {

using internal::EntryRequest;

EntryCore::EntryCore(EntryOptions options) : impl_(std::make_unique<Impl>(std::move(options))) {}

EntryCore::~EntryCore() = default;

void EntryCore::Handle(TimePoint now, const EntryEvent& event, EntryEffects& effects) {
  impl_->now = now;
  impl_->effects = &effects;
  std::visit([this](const auto& alternative) { impl_->OnEvent(alternative); }, event);
  impl_->effects = nullptr;
}

bool EntryCore::Drained() const {
  if (!impl_->pending_operations.empty() || !impl_->pending_explains.empty()) return false;
  for (const auto& [id, request] : impl_->requests) {
    if (request.phase == internal::RequestPhase::kFinished) continue;
    if (!request.waiters.empty()) return false;
    if (!request.spec.durable && request.phase != internal::RequestPhase::kObserved) return false;
  }
  return true;
}

std::size_t EntryCore::in_flight() const { return impl_->unfinished; }

std::vector<CellSummary> EntryCore::Summaries() const {
  std::vector<CellSummary> summaries;
  for (const auto& [id, cell] : impl_->cells) {
    if (cell.summary.has_value()) summaries.push_back(*cell.summary);
  }
  return summaries;
}

EntryRequest* EntryCore::Impl::FindRequest(const JobId& job) {
  const auto found = requests.find(job);
  return found == requests.end() ? nullptr : &found->second;
}

void EntryCore::Impl::Send(const Address& to, Message message) {
  if (!to.empty()) effects->messages.push_back({to, std::move(message)});
}

void EntryCore::Impl::LogLine(EventId event, std::string text) {
  effects->logs.push_back({event, std::move(text)});
}

void EntryCore::Impl::Reply(CallerId caller,
                            std::variant<JobEndReply, StateReply, ExplainReply, ListReply> body,
                            bool last) {
  if (last) jobs_by_caller.erase(caller);
  effects->replies.push_back({caller, std::move(body), last});
}

void EntryCore::Impl::ReplyWithError(CallerId caller, const JobId& job, ErrorKind kind,
                                     const std::string& message) {
  LogLine(EventId::kRequestRefused,
          fmt::format("job={} error={} outcome=\"{}\" reason=\"{}\"", job.value(),
                      ErrorInfo(kind).name, RunOutcomeName(ErrorInfo(kind).outcome), message));
  JobResult result;
  result.error = kind;
  result.message = message;
  if (ErrorInfo(kind).retryable) result.retry_after = Duration(1000);
  StateReply state;
  state.job = job;
  state.state = JobState::kFailed;
  Reply(caller, JobEndReply{std::move(state), std::move(result)});
}

StateReply EntryCore::Impl::StateOf(const EntryRequest& request) const {
  return {request.spec.id, request.state,          request.attempts,
          request.cell,    request.spec.workspace, request.spec.job_class};
}

}  // namespace basilspring
