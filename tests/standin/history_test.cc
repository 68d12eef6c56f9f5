#include "standin/history.h"

#include <fmt/format.h>

#include <sstream>

#include "standin/history_rules.h"
#include "standin/load.h"

namespace basilspring::standin {
namespace {

// A valid history of three requests on two backend servers, with a data centre taken out, a leaving
// backend server, a graceful stop and two configuration changes. Each line consists of the source
// and a record or log line.
constexpr const char* kValidHistory = R"(
ops {"ms":1000,"event":"clock","wall_ms":1767225601000}
ops {"ms":1001,"event":"process","process":"entry-a","role":"entry","http":"127.0.0.1:1"}
ops {"ms":1002,"event":"process","process":"agent-a","role":"agent","backend":"backend-a"}
ops {"ms":1003,"event":"process","process":"backend-a","role":"backend","data_centre":"/r/a"}
ops {"ms":1004,"event":"process","process":"backend-b","role":"backend","data_centre":"/r/b"}
load {"ms":2000,"event":"submitted","request":1,"key":"k1","entry":"127.0.0.1:1","tasks":1,"idempotent":false,"expected_length":3,"expected_digest":"d1"}
backend-a {"ms":2010,"event":"start","task":"j1#5.1.0","detail":"k1|"}
backend-a {"ms":2050,"event":"end","task":"j1#5.1.0","detail":"done"}
load {"ms":2060,"event":"answered","request":1,"key":"k1","length":3,"digest":"d1","checksum_ok":true,"exact":true}
load {"ms":2100,"event":"submitted","request":2,"key":"k2","entry":"127.0.0.1:1","tasks":2,"idempotent":true,"expected_length":6,"expected_digest":"d2"}
backend-a {"ms":2110,"event":"start","task":"j2#5.1.0","detail":"k2|"}
backend-b {"ms":2111,"event":"start","task":"j2#5.1.1","detail":"k2|"}
backend-a {"ms":2210,"event":"end","task":"j2#5.1.0","detail":"done"}
backend-b {"ms":2211,"event":"end","task":"j2#5.1.1","detail":"done"}
load {"ms":2220,"event":"answered","request":2,"key":"k2","length":6,"digest":"d2","checksum_ok":true,"exact":true}
load {"ms":2300,"event":"submitted","request":3,"key":"k3","entry":"127.0.0.1:1","tasks":1,"idempotent":true,"expected_length":3,"expected_digest":"d3"}
load {"ms":2301,"event":"refused","request":3,"key":"k3","error":"overloaded","outcome":"not run","job":"j3"}
backend-b {"ms":2302,"event":"refused","task":"j4#5.1.0","detail":"full"}
entry-a 2026-01-01T00:00:02.000Z info [700 ConfigurationApplied] process=entry-a revision=7
agent-a 2026-01-01T00:00:02.100Z info [700 ConfigurationApplied] process=agent-a cell=a/0 revision=7
ops {"ms":3000,"event":"data_centre_out","data_centre":"/r/a"}
ops {"ms":3000,"event":"configuration_accepted","revision":9}
entry-a 2026-01-01T00:00:03.010Z info [700 ConfigurationApplied] process=entry-a revision=9
agent-a 2026-01-01T00:00:04.000Z info [700 ConfigurationApplied] process=agent-a cell=a/0 revision=9
ops {"ms":9000,"event":"data_centre_in_sent","data_centre":"/r/a"}
ops {"ms":9100,"event":"backend_leaving","process":"backend-b"}
ops {"ms":9500,"event":"stop_begun","process":"entry-a"}
ops {"ms":9900,"event":"stopped","process":"entry-a"}
ops {"ms":9901,"event":"started","process":"entry-a"}
ops {"ms":60000,"event":"end_of_run"}
)";

std::vector<Verdict> Check(const std::string& lines) {
  History history;
  std::istringstream input(lines);
  for (std::string line; std::getline(input, line);) {
    const std::size_t space = line.find(' ');
    if (space == std::string::npos) continue;
    const std::string source = line.substr(0, space);
    const std::string rest = line.substr(space + 1);
    if (rest.front() == '{') {
      history.AddRecordLine(source, rest);
    } else {
      history.AddLogLine(source, rest);
    }
  }
  history.Finish();
  return CheckHistory(history);
}

std::string ViolatedRules(const std::string& lines) {
  std::string violated;
  for (const Verdict& verdict : Check(lines)) {
    if (!verdict.holds()) violated += (violated.empty() ? "" : ", ") + verdict.rule;
  }
  return violated;
}

// Returns the valid history with one text replaced.
std::string ValidHistoryWith(const std::string& from, const std::string& to) {
  std::string lines = kValidHistory;
  const std::size_t at = lines.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return lines.replace(at, from.size(), to);
}

// Guards against a checker that reports violations in a valid history, or whose rules apply to
// nothing.
TEST(HistoryTest, AcceptsAValidHistoryAndAppliesEachRule) {
  for (const Verdict& verdict : Check(kValidHistory)) {
    EXPECT_TRUE(verdict.holds()) << verdict.rule << ": " << verdict.violations.front();
    EXPECT_GT(verdict.checked, 0U) << verdict.rule;
  }
}

// Guards against reporting a violation for a scheduler that was paused while another one took over
// its cell, and that reads an old update before it learns that it is superseded.
TEST(HistoryTest, AllowsASupersededSchedulerToApplyAnOlderRevision) {
  const std::string lines =
      ValidHistoryWith(
          "agent-a 2026-01-01T00:00:02.100Z",
          "agent-a 2026-01-01T00:00:02.000Z info [300 CellAcquired] process=agent-a cell=a/0 "
          "epoch=4\nagent-a 2026-01-01T00:00:02.100Z") +
      "agent-b 2026-01-01T00:00:01.500Z info [300 CellAcquired] process=agent-b cell=a/0 epoch=3\n"
      "agent-b 2026-01-01T00:00:05.000Z info [700 ConfigurationApplied] process=agent-b cell=a/0 "
      "revision=8\n";
  EXPECT_EQ(ViolatedRules(lines), "");
}

// Guards against attributing the stop of a task to the graceful stop of its agent if the cell
// scheduler preempted the task meanwhile.
TEST(HistoryTest, DoesNotBlameAGracefulStopForAPreemption) {
  std::string stopped = kValidHistory;
  stopped.append("ops {\"ms\":10000,\"event\":\"stop_begun\",\"process\":\"agent-a\"}\n");
  stopped.append(
      "backend-a {\"ms\":9999,\"event\":\"start\",\"task\":\"j4#5.1.0\",\"detail\":\"k4|\"}\n");
  stopped.append(
      "backend-a {\"ms\":10100,\"event\":\"end\",\"task\":\"j4#5.1.0\",\"detail\":\"stopped\"}\n");
  const std::string aborted =
      "agent-b 2026-01-01T00:00:10.090Z info [314 GangAborted] process=agent-b job=j4 "
      "attempt=j4#5.1 started=true reason=";
  EXPECT_EQ(ViolatedRules(fmt::format("{}{}preempted error=none\n", stopped, aborted)), "");
  EXPECT_NE(ViolatedRules(fmt::format("{}{}deadline error=none\n", stopped, aborted)), "");
}

struct InvalidHistory {
  const char* what;
  std::string lines;
  const char* rule;
};

// Each case guards against a checker that misses a violation of the rule.
TEST(HistoryTest, DetectsEachViolation) {
  const std::string good = kValidHistory;
  const std::vector<InvalidHistory> cases = {
      {"result without request",
       good + "load {\"ms\":2400,\"event\":\"refused\",\"request\":9,\"key\":\"k9\"}\n",
       "records complete"},
      {"no result", ValidHistoryWith("\"refused\"", "\"seen\""), "records complete"},
      {"truncated line", good + "backend-a {\"ms\":5000,\"eve\n", "records complete"},
      {"bytes of another request", ValidHistoryWith("\"digest\":\"d2\"", "\"digest\":\"d1\""),
       "answers whole and own"},
      {"truncated answer", ValidHistoryWith("\"length\":6,\"digest", "\"length\":5,\"digest"),
       "answers whole and own"},
      {"done, but not delivered to the caller",
       ValidHistoryWith("{\"ms\":2220,\"event\":\"answered\"",
                        "{\"ms\":2220,\"event\":\"abandoned\""),
       "finished work is delivered"},
      {"second attempt after the first was lost",
       good +
           "backend-b {\"ms\":2500,\"event\":\"start\",\"task\":\"j1#6.1.0\",\"detail\":\"k1|\"}\n"
           "backend-b {\"ms\":2501,\"event\":\"end\",\"task\":\"j1#6.1.0\",\"detail\":\"done\"}\n",
       "non-idempotent at most once"},
      {"one rank started twice",
       good +
           "backend-b {\"ms\":2500,\"event\":\"start\",\"task\":\"j1#5.1.0\",\"detail\":\"k1|\"}\n"
           "backend-b {\"ms\":2501,\"event\":\"end\",\"task\":\"j1#5.1.0\",\"detail\":\"done\"}\n",
       "non-idempotent at most once"},
      {"refused job started before",
       good +
           "backend-b {\"ms\":2299,\"event\":\"start\",\"task\":\"j3#5.1.0\",\"detail\":\"k3|\"}\n",
       "\"not run\" is true"},
      {"refused request started late under another job id",
       good +
           "backend-b {\"ms\":8000,\"event\":\"start\",\"task\":\"j9#5.1.0\",\"detail\":\"k3|\"}\n",
       "\"not run\" is true"},
      {"start in a data centre that is out of service",
       good + "backend-a {\"ms\":6001,\"event\":\"start\",\"task\":\"j4#5.1.0\",\"detail\":\"\"}\n",
       "no start in a data centre out"},
      {"start after a refused \"in\"",
       good + "ops {\"ms\":9010,\"event\":\"data_centre_in_refused\",\"data_centre\":\"/r/a\"}\n"
              "backend-a {\"ms\":9020,\"event\":\"start\",\"task\":\"j4#5.1.0\",\"detail\":\"\"}\n",
       "no start in a data centre out"},
      {"an incomplete gang is still running",
       ValidHistoryWith(
           "backend-b {\"ms\":2111,\"event\":\"start\",\"task\":\"j2#5.1.1\",\"detail\":\"k2|\"}\n"
           "backend-a {\"ms\":2210,\"event\":\"end\",\"task\":\"j2#5.1.0\",\"detail\":\"done\"}\n"
           "backend-b {\"ms\":2211,\"event\":\"end\",\"task\":\"j2#5.1.1\",\"detail\":\"done\"}",
           "backend-a {\"ms\":17111,\"event\":\"end\",\"task\":\"j2#5.1.0\",\"detail\":\"done\"}"),
       "gangs whole"},
      {"a rank is still running after another was stopped",
       ValidHistoryWith(
           "backend-a {\"ms\":2210,\"event\":\"end\",\"task\":\"j2#5.1.0\",\"detail\":\"done\"}\n"
           "backend-b {\"ms\":2211,\"event\":\"end\",\"task\":\"j2#5.1.1\",\"detail\":\"done\"}",
           "backend-a "
           "{\"ms\":2210,\"event\":\"end\",\"task\":\"j2#5.1.0\",\"detail\":\"stopped\"}"),
       "gangs whole"},
      {"start on a leaving backend",
       good +
           "backend-b {\"ms\":12101,\"event\":\"start\",\"task\":\"j4#5.1.0\",\"detail\":\"\"}\n",
       "no start on a leaving backend"},
      {"request broken by a graceful stop of an entry",
       good +
           "load {\"ms\":9400,\"event\":\"submitted\",\"request\":4,\"key\":\"k4\",\"entry\":"
           "\"127.0.0.1:1\",\"tasks\":1,\"idempotent\":true}\n"
           "load {\"ms\":9600,\"event\":\"lost\",\"request\":4,\"key\":\"k4\",\"reached\":true}\n",
       "graceful stops cut nothing off"},
      {"task stopped by a graceful stop of its agent",
       good +
           "ops {\"ms\":10000,\"event\":\"stop_begun\",\"process\":\"agent-a\"}\n"
           "backend-a {\"ms\":9999,\"event\":\"start\",\"task\":\"j4#5.1.0\",\"detail\":\"k4|\"}\n"
           "backend-a {\"ms\":10100,\"event\":\"end\",\"task\":\"j4#5.1.0\",\"detail\":"
           "\"stopped\"}\n",
       "graceful stops cut nothing off"},
      {"revision decreases in a process",
       good + "entry-a 2026-01-01T00:00:05.000Z info [700 ConfigurationApplied] process=entry-a "
              "revision=7\n",
       "revisions never fall"},
      {"revision decreases in a cell with a new scheduler",
       good + "agent-b 2026-01-01T00:00:05.000Z info [700 ConfigurationApplied] process=agent-b "
              "cell=a/0 revision=8\n",
       "revisions never fall"},
      {"revision decreases in a cell in a higher epoch",
       good + "agent-b 2026-01-01T00:00:04.900Z info [300 CellAcquired] process=agent-b cell=a/0 "
              "epoch=4\n"
              "agent-b 2026-01-01T00:00:05.000Z info [700 ConfigurationApplied] process=agent-b "
              "cell=a/0 revision=8\n",
       "revisions never fall"},
      {"revision in force too late in a cell", ValidHistoryWith("00:00:04.000Z", "00:00:08.001Z"),
       "revisions in force in 5 s"},
      {"revision never in force at an entry",
       ValidHistoryWith("process=entry-a revision=9", "process=entry-a revision=8"),
       "revisions in force in 5 s"},
  };
  for (const InvalidHistory& bad : cases) EXPECT_EQ(ViolatedRules(bad.lines), bad.rule) << bad.what;
}

// Guards against missing a lost or duplicated output in a gang's answer when the total length is
// unchanged.
TEST(LoadTest, OutputLengthsMustFitTheBody) {
  EXPECT_TRUE(LengthsMatch("2,2", "abab", 2));
  EXPECT_TRUE(LengthsMatch("", "ab", 1));
  EXPECT_FALSE(LengthsMatch("", "abab", 2));
  EXPECT_FALSE(LengthsMatch("4", "abab", 2));
  EXPECT_FALSE(LengthsMatch("2,3", "abab", 2));
  EXPECT_FALSE(LengthsMatch("2,x", "abab", 2));
}

// Guards against a load that can't be reproduced from its seed.
TEST(LoadTest, TheSameSeedGeneratesTheSameRequests) {
  LoadOptions options;
  options.entries = {Address{"127.0.0.1", 1}, Address{"127.0.0.1", 2}};
  options.workspaces = {"a", "b"};
  EXPECT_EQ(PlanRequest(options, 5).Payload(), PlanRequest(options, 5).Payload());
  EXPECT_NE(PlanRequest(options, 5).output, PlanRequest(options, 6).output);
}

}  // namespace
}  // namespace basilspring::standin
