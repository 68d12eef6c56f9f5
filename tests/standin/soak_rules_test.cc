#include "standin/soak_rules.h"

#include <gtest/gtest.h>

namespace basilspring::standin {
namespace {

SoakRun RunOf(std::int64_t begun_ms, std::int64_t ended_ms, const std::string& end,
              std::int64_t number = 1) {
  SoakRun run;
  run.job = "j";
  run.task = "j.0.0.0";
  run.run = number;
  run.worker = "w";
  run.zone = "z";
  run.begun_ms = begun_ms;
  run.ended_ms = ended_ms;
  run.end = end;
  return run;
}

SoakRecord AcceptedAndDone() {
  SoakRecord record;
  record.runs.push_back(RunOf(1000, 2000, "done"));
  record.runs.back().acknowledged_ms = 2100;
  SoakJob& job = record.jobs["j"];
  job.id = "j";
  job.submits = {0, 200};
  job.looks = {{1500, 1510, "running"}, {2200, 2210, "completed"}};
  record.settled_ms = 60000;
  return record;
}

// Each test breaks one promise in a record that holds all of them; a rule that finds nothing would
// let every soak pass.
TEST(SoakRulesTest, FindsNothingInAGoodRecord) {
  const SoakVerdict verdict = JudgeSoak(AcceptedAndDone());
  EXPECT_TRUE(verdict.broken.empty()) << verdict.broken.front();
  EXPECT_EQ(verdict.checked.at("accepted jobs"), 1);
}

TEST(SoakRulesTest, FindsTwoRunsAtATime) {
  SoakRecord record = AcceptedAndDone();
  record.runs.push_back(RunOf(1900, 2500, "stopped", 2));
  EXPECT_EQ(JudgeSoak(record).broken.size(), 1U);
}

TEST(SoakRulesTest, FindsAStartAfterAnAcknowledgedEnd) {
  SoakRecord record = AcceptedAndDone();
  record.runs.push_back(RunOf(2200, 2500, "stopped", 2));
  EXPECT_EQ(JudgeSoak(record).broken.size(), 1U);
}

TEST(SoakRulesTest, FindsARefusedJobThatRuns) {
  SoakRecord record = AcceptedAndDone();
  record.jobs["j"].submits = {503, 429};
  EXPECT_EQ(JudgeSoak(record).broken.size(), 1U);
  // After an attempt without an answer the job may run.
  record.jobs["j"].submits = {0, 503};
  EXPECT_TRUE(JudgeSoak(record).broken.empty());
}

TEST(SoakRulesTest, FindsAnAcceptedJobThatDoesNotEnd) {
  SoakRecord record = AcceptedAndDone();
  record.jobs["j"].looks.pop_back();
  EXPECT_EQ(JudgeSoak(record).broken.size(), 1U);
}

TEST(SoakRulesTest, FindsAnEndThatIsTakenBack) {
  SoakRecord record = AcceptedAndDone();
  record.jobs["j"].looks.push_back({2300, 2310, "running"});
  record.jobs["j"].looks.push_back({2400, 2410, "completed"});
  EXPECT_EQ(JudgeSoak(record).broken.size(), 1U);
  // An answer that was asked for before the end may arrive after it.
  record.jobs["j"].looks[2].asked_ms = 2190;
  EXPECT_TRUE(JudgeSoak(record).broken.empty());
}

TEST(SoakRulesTest, FindsACancelledJobThatGoesOn) {
  SoakRecord record = AcceptedAndDone();
  record.jobs["j"].cancel_sent_ms = 1400;
  record.jobs["j"].cancelled_ms = 1500;
  record.runs.push_back(RunOf(20000, 21000, "stopped", 2));
  record.runs.front().end = "stopped";
  EXPECT_EQ(JudgeSoak(record).broken.size(), 1U);
}

TEST(SoakRulesTest, FindsAStartInADataCentreThatIsOut) {
  SoakRecord record = AcceptedAndDone();
  record.evacuations.push_back({"z", -20000, 5000});
  EXPECT_EQ(JudgeSoak(record).broken.size(), 1U);
}

TEST(SoakRulesTest, FindsARequestThatAGracefulStopCutsOff) {
  SoakRecord record = AcceptedAndDone();
  record.stops.push_back({"entry-0", 3000, 6000});
  record.broken_calls.push_back({"entry-0", 4000, 4500});
  EXPECT_EQ(JudgeSoak(record).broken.size(), 1U);
  // One that can't have been read yet may break.
  record.broken_calls.front().sent_ms = 4400;
  EXPECT_TRUE(JudgeSoak(record).broken.empty());
}

}  // namespace
}  // namespace basilspring::standin
