#include "basilspring/process/caller_api.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <xxhash.h>

#include <boost/json.hpp>
#include <charconv>
#include <cstdint>
#include <set>
#include <string_view>

#include "basilspring/request/job.h"

namespace basilspring {
namespace {

constexpr std::int64_t kDefaultWaitMilliseconds = 30000;
constexpr std::int64_t kCancelWaitMilliseconds = 5000;
constexpr std::int64_t kMaxWaitMilliseconds = 600000;
constexpr std::int64_t kMaxSpanMilliseconds = std::int64_t{30} * 24 * 3600 * 1000;
constexpr std::string_view kJobsPath = "/v1/jobs";

std::int64_t ParseNumber(const HttpRequest& request, const std::string& name, std::int64_t fallback,
                         std::int64_t minimum, std::int64_t maximum) {
  const auto found = request.query.find(name);
  if (found == request.query.end()) return fallback;
  const std::string& text = found->second;
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error == std::errc() && end == text.data() + text.size() && value >= minimum &&
      value <= maximum) {
    return value;
  }
  throw Error(ErrorKind::kInvalidArgument,
              fmt::format("{} is \"{}\"; allowed: {} to {}", name, text, minimum, maximum));
}

std::uint32_t ParseCount(const HttpRequest& request, const std::string& name,
                         std::uint32_t fallback, std::uint32_t minimum, std::uint32_t maximum) {
  return static_cast<std::uint32_t>(ParseNumber(request, name, fallback, minimum, maximum));
}

bool ParseFlag(const HttpRequest& request, const std::string& name, bool fallback) {
  const auto found = request.query.find(name);
  if (found == request.query.end()) return fallback;
  if (found->second == "true") return true;
  if (found->second == "false") return false;
  throw Error(ErrorKind::kInvalidArgument,
              fmt::format("{} is \"{}\"; allowed: true, false", name, found->second));
}

void CheckParameterNames(const HttpRequest& request, const std::set<std::string>& allowed) {
  for (const auto& [name, value] : request.query) {
    if (allowed.count(name) > 0) continue;
    throw Error(
        ErrorKind::kInvalidArgument,
        fmt::format("parameter {} is \"{}\"; allowed parameters: {}", name, value,
                    allowed.empty() ? "none" : fmt::format("{}", fmt::join(allowed, ", "))));
  }
}

GangShape ParseShape(const HttpRequest& request) {
  GangShape shape;
  shape.tasks = ParseCount(request, "tasks", 1, 1, kMaxGangTasks);
  shape.cores = Cores(ParseCount(request, "cores", 1, 0, 4096));
  shape.memory = Megabytes(ParseCount(request, "memory_mb", 256, 0, 64 * 1024 * 1024));
  shape.accelerators =
      Accelerators(ParseCount(request, "accelerators", 0, 0, kMaxAcceleratorsPerWorker));
  shape.adjacent = ParseFlag(request, "adjacent", false);
  return shape;
}

Duration ParseWait(const HttpRequest& request, std::int64_t fallback) {
  return Duration(ParseNumber(request, "wait_ms", fallback, 0, kMaxWaitMilliseconds));
}

SubmitRequest ParseSubmit(const HttpRequest& request, CallerId caller, const JobId& new_job) {
  CheckParameterNames(request,
                      {"workspace", "key", "class", "tasks", "cores", "memory_mb", "accelerators",
                       "adjacent", "run_time_ms", "deadline_ms", "idempotent", "wait_ms"});
  const std::string key = request.query.count("key") > 0 ? request.Query("key") : new_job.value();
  JobSpecBuilder builder;
  builder.Id(new_job)
      .Workspace(WorkspaceId(request.Query("workspace")))
      .Key(RequestKey(key))
      .Shape(ParseShape(request))
      .DeclaredRunTime(Duration(ParseNumber(request, "run_time_ms", 0, 0, kMaxSpanMilliseconds)))
      .Deadline(Duration(ParseNumber(request, "deadline_ms", 0, 0, kMaxSpanMilliseconds)))
      .Idempotent(ParseFlag(request, "idempotent", true))
      .Payload(request.body);
  if (request.query.count("class") > 0) builder.Class(JobClassFromName(request.Query("class")));
  return {caller, builder.Build(), ParseWait(request, kDefaultWaitMilliseconds)};
}

ParsedCallerRequest ParseJobRequest(const HttpRequest& request, CallerId caller, const JobId& job,
                                    std::string_view part) {
  if (request.method == "DELETE" && part.empty()) {
    CheckParameterNames(request, {"wait_ms"});
    return {CancelRequest{caller, job, ParseWait(request, kCancelWaitMilliseconds)},
            ReplyStyle::kCancellation};
  }
  if (request.method == "GET") {
    if (part.empty()) {
      CheckParameterNames(request, {"wait_ms", "answer"});
      const bool answer = ParseFlag(request, "answer", true);
      return {ResultRequest{caller, job, ParseWait(request, 0)},
              answer ? ReplyStyle::kAnswer : ReplyStyle::kState};
    }
    if (part == "answer") {
      CheckParameterNames(request, {"wait_ms"});
      return {ResultRequest{caller, job, ParseWait(request, kDefaultWaitMilliseconds)}};
    }
    CheckParameterNames(request, {});
    if (part == "events") return {ProgressRequest{caller, job}, ReplyStyle::kEvents};
    if (part == "explain") return {ExplainRequest{caller, job}};
  }
  throw Error(ErrorKind::kNotFound, fmt::format("{} {} does not exist; docs/api.md lists what does",
                                                request.method, request.path));
}

boost::json::object StateJson(const StateReply& state) {
  return {{"job", state.job.value()},
          {"workspace", state.workspace.value()},
          {"class", state.workspace.empty() ? "" : JobClassName(state.job_class)},
          {"state", JobStateName(state.state)},
          {"cell", state.cell.value()},
          {"attempts", state.attempts}};
}

boost::json::object ErrorJson(ErrorKind kind, const std::string& message, const JobId& job,
                              Duration retry_after) {
  const ErrorRow& row = ErrorInfo(kind);
  return {{"error", row.name},
          {"message", message.empty() ? std::string(row.description) : message},
          {"outcome", RunOutcomeName(row.outcome)},
          {"retryable", row.retryable},
          {"retry_after_ms", retry_after.milliseconds()},
          {"job", job.value()}};
}

// The state and the result of a job in one object.
boost::json::object EndJson(const JobEndReply& reply) {
  boost::json::object body = StateJson(reply.job);
  for (const auto& member : ErrorJson(reply.result.error, reply.result.message, reply.job.job,
                                      reply.result.retry_after)) {
    body[member.key()] = member.value();
  }
  return body;
}

HttpResponse Json(int status, const boost::json::object& body) {
  HttpResponse response;
  response.status = status;
  response.body = boost::json::serialize(body) + "\n";
  return response;
}

std::string ChecksumText(const std::string& body) {
  return fmt::format("{:016x}", XXH64(body.data(), body.size(), 0));
}

HttpResponse FormatAnswer(const JobId& job, const Answer& answer) {
  HttpResponse response;
  response.content_type = "application/octet-stream";
  std::vector<std::size_t> lengths;
  for (const std::string& output : answer.outputs) {
    lengths.push_back(output.size());
    response.body += output;
  }
  response.headers["Basilspring-Job"] = job.value();
  response.headers["Basilspring-Checksum"] = "xxh64=" + ChecksumText(response.body);
  if (lengths.size() > 1) {
    response.headers["Basilspring-Output-Lengths"] = fmt::format("{}", fmt::join(lengths, ","));
  }
  return response;
}

HttpResponse FormatResult(ReplyStyle style, const JobEndReply& reply) {
  const JobResult& result = reply.result;
  const bool as_state = style == ReplyStyle::kCancellation || style == ReplyStyle::kState;
  if (as_state && result.error != ErrorKind::kNotFound) return Json(200, EndJson(reply));
  if (result.error == ErrorKind::kNone) return FormatAnswer(reply.job.job, result.answer);
  return FormatError(result.error, result.message, reply.job.job, result.retry_after);
}

HttpResponse FormatExplain(const ExplainReply& reply) {
  boost::json::object body = StateJson(reply.job);
  boost::json::array workers;
  boost::json::array reasons;
  for (const std::string& line : reply.routing) reasons.emplace_back(line);
  for (const std::string& line : reply.placement) reasons.emplace_back(line);
  for (const WorkerId& worker : reply.workers) workers.emplace_back(worker.value());
  body["workers"] = std::move(workers);
  body["reasons"] = std::move(reasons);
  return Json(200, body);
}

HttpResponse FormatList(const ListReply& reply) {
  boost::json::array jobs;
  for (const StateReply& job : reply.jobs) jobs.emplace_back(StateJson(job));
  return Json(200, {{"jobs", std::move(jobs)}});
}

HttpResponse FormatState(const StateReply& reply) {
  HttpResponse response = Json(202, StateJson(reply));
  response.headers["Basilspring-Job"] = reply.job.value();
  return response;
}

}  // namespace

ParsedCallerRequest ParseCallerRequest(const HttpRequest& request, CallerId caller,
                                       const JobId& new_job) {
  std::string_view rest = request.path;
  if (rest.substr(0, kJobsPath.size()) == kJobsPath) {
    rest.remove_prefix(kJobsPath.size());
    if (rest.empty() && request.method == "POST") return {ParseSubmit(request, caller, new_job)};
    if (rest.empty() && request.method == "GET") {
      CheckParameterNames(request, {"workspace"});
      return {ListRequest{caller, WorkspaceId(request.Query("workspace"))}};
    }
    if (rest.size() > 1 && rest.front() == '/') {
      rest.remove_prefix(1);
      const std::size_t slash = rest.find('/');
      const JobId job{std::string(rest.substr(0, slash))};
      if (slash == std::string_view::npos) return ParseJobRequest(request, caller, job, "");
      if (slash + 1 < rest.size()) {
        return ParseJobRequest(request, caller, job, rest.substr(slash + 1));
      }
    }
  }
  throw Error(ErrorKind::kNotFound, fmt::format("{} {} does not exist; docs/api.md lists what does",
                                                request.method, request.path));
}

HttpResponse FormatReply(ReplyStyle style, const CallerReply& reply) {
  if (const auto* const result = std::get_if<JobEndReply>(&reply.body)) {
    return FormatResult(style, *result);
  }
  if (const auto* const explain = std::get_if<ExplainReply>(&reply.body)) {
    return FormatExplain(*explain);
  }
  if (const auto* const list = std::get_if<ListReply>(&reply.body)) return FormatList(*list);
  return FormatState(std::get<StateReply>(reply.body));
}

std::string FormatProgressEvent(const CallerReply& reply) {
  if (const auto* const state = std::get_if<StateReply>(&reply.body)) {
    return fmt::format("event: progress\ndata: {}\n\n", boost::json::serialize(StateJson(*state)));
  }
  const auto* const end = std::get_if<JobEndReply>(&reply.body);
  if (end == nullptr) return "";
  return fmt::format("event: end\ndata: {}\n\n", boost::json::serialize(EndJson(*end)));
}

HttpResponse FormatError(ErrorKind kind, const std::string& message, const JobId& job,
                         Duration retry_after) {
  HttpResponse response =
      Json(ErrorInfo(kind).http_status, ErrorJson(kind, message, job, retry_after));
  if (retry_after > Duration(0)) {
    // The header is in whole seconds; rounding down to zero would request an immediate retry.
    response.headers["Retry-After"] = fmt::format("{}", (retry_after.milliseconds() + 999) / 1000);
  }
  return response;
}

}  // namespace basilspring
