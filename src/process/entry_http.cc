#include <fmt/format.h>

#include <utility>

#include "basilspring/process/log.h"
#include "process/entry_driver.h"

namespace basilspring {
namespace internal {
namespace {

constexpr std::string_view kOperatorPrefix = "/v1/operator/";
// If the last tick is older than this, the entry's thread counts as stuck.
constexpr Duration kMaxTickAge = Duration(5000);

HttpResponse TextResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain";
  response.body = std::move(body);
  return response;
}

}  // namespace

void EntryDriver::OnHttp(HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
  if (request.path == "/metrics") {
    responder->Respond(TextResponse(200, metrics_.Render()));
    return;
  }
  if (request.path == "/healthz") {
    const Duration silence = Clock::Now() - TimePoint(last_tick_.load());
    responder->Respond(silence > kMaxTickAge ? TextResponse(503, "the duty thread is stuck\n")
                                             : TextResponse(200, "ok\n"));
    return;
  }
  if (request.path == "/readyz") {
    const bool ready = synchronized_ && !stopping_;
    responder->Respond(
        ready ? TextResponse(200, "ready\n")
              : TextResponse(503, stopping_ ? "stopping\n" : "no configuration was read yet\n"));
    return;
  }
  const bool posted = Post([this, request = std::move(request), responder] {
    if (request.path.compare(0, kOperatorPrefix.size(), kOperatorPrefix) == 0) {
      OnOperatorRequest(request, responder);
    } else {
      OnCallerRequest(request, responder);
    }
  });
  if (!posted) {
    Log(EventId::kQueueFull, "queue=duty dropped=HttpRequest");
    responder->Respond(
        FormatError(ErrorKind::kOverloaded, "the entry's queue is full", JobId(), Duration(1000)));
  }
}

void EntryDriver::OnCallerRequest(const HttpRequest& request,
                                  const std::shared_ptr<HttpResponder>& responder) {
  const CallerId caller(next_caller_++);
  ParsedCallerRequest parsed;
  try {
    parsed = ParseCallerRequest(request, caller, NewJobId());
  } catch (const Error& error) {
    Log(EventId::kRequestRefused, "error={} reason=\"{}\"", ErrorInfo(error.kind()).name,
        error.what());
    responder->Respond(FormatError(error.kind(), error.what(), JobId(), Duration(0)));
    return;
  }
  metrics_.GetCounter("basilspring_caller_requests_total").Add();
  pending_requests_[caller] = PendingRequest{responder, parsed.style};
  responder->OnDisconnect([this, caller] {
    Post([this, caller] {
      if (pending_requests_.erase(caller) > 0) Handle(CallerDisconnected{caller});
    });
  });
  Handle(parsed.event);
}

void EntryDriver::OnOperatorRequest(const HttpRequest& request,
                                    const std::shared_ptr<HttpResponder>& responder) {
  Spawn([this, request, responder] {
    HttpResponse response;
    try {
      response = HandleOperatorRequest(*this, request);
    } catch (const Error& error) {
      const Duration retry_after(ErrorInfo(error.kind()).retryable ? 1000 : 0);
      response = FormatError(error.kind(), error.what(), JobId(), retry_after);
    } catch (const std::exception& error) {
      Log(EventId::kInternalError, "path={} reason=\"{}\"", request.path, error.what());
      response = FormatError(ErrorKind::kInternal, error.what(), JobId(), Duration(0));
    }
    responder->Respond(std::move(response));
  });
}

void EntryDriver::SendReply(const CallerReply& reply) {
  const auto found = pending_requests_.find(reply.caller);
  if (found == pending_requests_.end()) return;
  PendingRequest& pending = found->second;
  if (pending.style == ReplyStyle::kEvents) {
    const auto* const result = std::get_if<JobEndReply>(&reply.body);
    const bool unknown_job = result != nullptr && result->result.error == ErrorKind::kNotFound;
    if (pending.streaming || !unknown_job) {
      if (!pending.streaming) {
        HttpResponse head;
        head.content_type = "text/event-stream";
        pending.responder->StartStream(std::move(head));
        pending.streaming = true;
      }
      pending.responder->WriteChunk(FormatProgressEvent(reply));
      if (!reply.last) return;
      pending.responder->FinishStream();
      pending_requests_.erase(found);
      return;
    }
  }
  if (!reply.last) return;
  HttpResponse response = FormatReply(pending.style, reply);
  metrics_
      .GetCounter("basilspring_caller_answers_total", fmt::format("status=\"{}\"", response.status))
      .Add();
  pending.responder->Respond(std::move(response));
  pending_requests_.erase(found);
}

JobId EntryDriver::NewJobId() {
  // 128 random bits are unique in the deployment without a service that assigns numbers.
  const std::uint64_t high = random_();
  const std::uint64_t low = random_();
  return JobId(fmt::format("j{:016x}{:016x}", high, low));
}

}  // namespace internal
}  // namespace basilspring
