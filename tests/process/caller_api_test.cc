#include "basilspring/process/caller_api.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>

namespace basilspring {
namespace {

ParsedCallerRequest Parse(const std::string& method, const std::string& path,
                          std::map<std::string, std::string> query, const std::string& body = "") {
  HttpRequest request;
  request.method = method;
  request.path = path;
  request.query = std::move(query);
  request.body = body;
  return ParseCallerRequest(request, CallerId(1), JobId("new"));
}

TEST(CallerApi, ReadsASubmission) {
  const ParsedCallerRequest call = Parse("POST", "/v1/jobs",
                                         {{"workspace", "quotes"},
                                          {"key", "k"},
                                          {"class", "urgent"},
                                          {"tasks", "2"},
                                          {"accelerators", "4"},
                                          {"adjacent", "true"},
                                          {"deadline_ms", "7000"},
                                          {"idempotent", "false"}},
                                         "body");
  const auto& submit = std::get<SubmitRequest>(call.event);
  EXPECT_EQ(submit.spec.id, JobId("new"));
  EXPECT_EQ(submit.spec.shape.tasks, 2U);
  EXPECT_TRUE(submit.spec.shape.adjacent);
  EXPECT_EQ(submit.spec.deadline, Duration(7000));
  EXPECT_TRUE(submit.spec.durable);
  EXPECT_EQ(submit.spec.payload, "body");
  EXPECT_EQ(submit.wait, Duration(30000));
}

// Guards against a mistyped parameter that is silently ignored, and against messages that do not
// name the parameter, its value and the allowed values.
TEST(CallerApi, WrongParametersAreNamedWithValueAndWhatIsAllowed) {
  const auto message = [](std::map<std::string, std::string> query) {
    query["workspace"] = "quotes";
    try {
      Parse("POST", "/v1/jobs", std::move(query));
    } catch (const Error& error) {
      EXPECT_EQ(error.kind(), ErrorKind::kInvalidArgument);
      return std::string(error.what());
    }
    return std::string();
  };
  EXPECT_EQ(message({{"tasks", "65"}}), "tasks is \"65\"; allowed: 1 to 64");
  EXPECT_EQ(message({{"tasks", "2x"}}), "tasks is \"2x\"; allowed: 1 to 64");
  EXPECT_EQ(message({{"idempotent", "no"}}), "idempotent is \"no\"; allowed: true, false");
  EXPECT_NE(message({{"acelerators", "1"}}).find("parameter acelerators is \"1\""),
            std::string::npos);
  EXPECT_THROW(Parse("GET", "/v1/jobs/j1/nothing", {}), Error);
  EXPECT_THROW(Parse("PUT", "/v1/jobs", {}), Error);
}

// Guards against answers that can't be split into the outputs of their tasks.
TEST(CallerApi, AnswersCarryJobChecksumAndLengths) {
  JobEndReply end;
  end.job.job = JobId("j1");
  end.result.answer = MakeAnswer({"abc", "", "de"});
  const HttpResponse response = FormatReply(ReplyStyle::kAnswer, {CallerId(1), end});
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "abcde");
  EXPECT_EQ(response.headers.at("Basilspring-Job"), "j1");
  EXPECT_EQ(response.headers.at("Basilspring-Output-Lengths"), "3,0,2");
  EXPECT_EQ(response.headers.at("Basilspring-Checksum").size(), std::string("xxh64=").size() + 16);
}

// Guards against refusals that don't state whether the job has run.
TEST(CallerApi, RefusalsFollowTheErrorTable) {
  JobEndReply end;
  end.job.job = JobId("j1");
  end.result.error = ErrorKind::kOutcomeUnknown;
  HttpResponse response = FormatReply(ReplyStyle::kAnswer, {CallerId(1), end});
  EXPECT_EQ(response.status, 504);
  boost::json::value body = boost::json::parse(response.body);
  EXPECT_EQ(body.at("outcome").as_string(), "unknown");
  EXPECT_EQ(body.at("retryable").as_bool(), false);
  response = FormatError(ErrorKind::kOverloaded, "full", JobId(), Duration(1500));
  EXPECT_EQ(response.status, 429);
  EXPECT_EQ(response.headers.at("Retry-After"), "2");
  body = boost::json::parse(response.body);
  EXPECT_EQ(body.at("error").as_string(), "overloaded");
  EXPECT_EQ(body.at("outcome").as_string(), "not run");
  EXPECT_EQ(body.at("retry_after_ms").as_int64(), 1500);
}

}  // namespace
}  // namespace basilspring
