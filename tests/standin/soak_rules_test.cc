#include "standin/soak_rules.h"

#include <gtest/gtest.h>

namespace basilspring::standin {
namespace {

SoakRun RunOf(std::int64_t started_ms, std::int64_t ended_ms, const std::string& end,
              std::int64_t number = 1) {
  SoakRun run;
  run.job = "j";
  run.task = "j.0.0.0";
  run.run = number;
  run.worker = "w";
  run.zone = "z";
  run.started_ms = started_ms;
  run.ended_ms = ended_ms;
  run.end = end;
  return run;
}

SoakRecord ValidRecord() {
  SoakRecord record;
  record.runs.push_back(RunOf(1000, 2000, "done"));
  record.runs.back().acknowledged_ms = 2100;
  SoakJob& job = record.jobs["j"];
  job.id = "j";
  job.submit_statuses = {0, 200};
  job.accepted_ms = 900;
  job.phase_answers = {{1500, 1510, "running"}, {2200, 2210, "completed"}};
  record.settled_ms = 60000;
  return record;
}

// Guards against a checker that reports violations in a valid record. Each of the other tests adds
// one violation to it, and guards against a rule that detects none and lets every soak pass.
TEST(SoakRulesTest, AcceptsAValidRecord) {
  const SoakVerdict verdict = CheckSoakRecord(ValidRecord());
  EXPECT_TRUE(verdict.violations.empty()) << verdict.violations.front();
  EXPECT_EQ(verdict.checked.at("accepted jobs"), 1);
}

TEST(SoakRulesTest, DetectsOverlappingRunsOfATask) {
  SoakRecord record = ValidRecord();
  record.runs.push_back(RunOf(1900, 2500, "stopped", 2));
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
}

TEST(SoakRulesTest, DetectsAStartAfterAnAcknowledgedEnd) {
  SoakRecord record = ValidRecord();
  record.runs.push_back(RunOf(2200, 2500, "stopped", 2));
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
}

// The users' rule covers a start between an end and its acknowledgement too, unless the lease
// lapsed between the two. Guards against a soak that takes it for a start on time.
TEST(SoakRulesTest, DetectsAStartBetweenAnEndAndItsAcknowledgement) {
  SoakRecord record = ValidRecord();
  record.runs.front().acknowledged_ms = 3000;
  record.runs.push_back(RunOf(2000, 2500, "stopped", 2));
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
  record.runs.front().lapsed_before_acknowledgement = true;
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
  record.runs.front().acknowledged_ms.reset();
  record.runs.front().lapsed_before_acknowledgement = false;
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
  // Runs that ended otherwise may be followed by another one.
  record.runs.front().end = "stopped";
  record.runs.front().acknowledged_ms = 3000;
  record.runs.back() = RunOf(2000, 2500, "done", 2);
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
}

// Guards against a checker that excuses a start after the acknowledgement because of the lease.
TEST(SoakRulesTest, DetectsAStartAfterAnAcknowledgementThatFollowedALapse) {
  SoakRecord record = ValidRecord();
  record.runs.front().lapsed_before_acknowledgement = true;
  record.runs.push_back(RunOf(2101, 2500, "stopped", 2));
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
}

// A run that ended in a crash of its backend server isn't on a server that is up.
TEST(SoakRulesTest, AllowsAStartAfterACrash) {
  SoakRecord record = ValidRecord();
  record.runs.front() = RunOf(1000, 1800, "crashed");
  record.runs.push_back(RunOf(1800, 2000, "done", 2));
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
  record.runs.back().started_ms = 1799;
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
}

// Guards against a soak that passes though a task of a completed job is started again, if the end
// of its first run was lost with its backend server.
TEST(SoakRulesTest, DetectsAStartAfterItsJobWasReportedAsCompleted) {
  SoakRecord record = ValidRecord();
  record.runs.front().acknowledged_ms.reset();
  record.runs.push_back(RunOf(4001, 4500, "done", 2));
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
  // A host may not be in touch until 4 s after the last fault, and has 1 s after the answer.
  record.quiet_from_ms = 1;
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
  record.quiet_from_ms = 0;
  record.jobs["j"].phase_answers.back() = {2900, 3001, "completed"};
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
}

TEST(SoakRulesTest, DetectsARunOfARefusedJob) {
  SoakRecord record = ValidRecord();
  record.jobs["j"].submit_statuses = {503, 429};
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
  // A job may run after an attempt to submit it that got no answer.
  record.jobs["j"].submit_statuses = {0, 503};
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
}

TEST(SoakRulesTest, DetectsAnAcceptedJobThatDoesNotComplete) {
  SoakRecord record = ValidRecord();
  record.jobs["j"].phase_answers.pop_back();
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
}

TEST(SoakRulesTest, DetectsARunningPhaseBeforeAnyStart) {
  SoakRecord record = ValidRecord();
  record.jobs["j"].phase_answers.insert(record.jobs["j"].phase_answers.begin(),
                                        {950, 960, "running"});
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
}

TEST(SoakRulesTest, DetectsARunningPhaseAfterCompletion) {
  SoakRecord record = ValidRecord();
  record.jobs["j"].phase_answers.push_back({2300, 2310, "running"});
  record.jobs["j"].phase_answers.push_back({2400, 2410, "completed"});
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
  // The answer to a query sent before the end may arrive after it.
  record.jobs["j"].phase_answers[2].asked_ms = 2190;
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
}

// Guards against a soak that passes though a job is unknown for a while and is known again later.
TEST(SoakRulesTest, DetectsAnAcceptedJobThatIsUnknownForAWhile) {
  SoakRecord record = ValidRecord();
  record.jobs["j"].phase_answers.insert(record.jobs["j"].phase_answers.begin(),
                                        {3901, 3910, "410"});
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
  // A job becomes visible within 3 s of its acceptance.
  record.jobs["j"].phase_answers.front().asked_ms = 3900;
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
}

TEST(SoakRulesTest, DetectsAFinishedJobThatIsUnknownBeforeTheEndOfItsRetention) {
  SoakRecord record = ValidRecord();
  record.jobs["j"].phase_answers.push_back({122000, 122010, "410"});
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
  // The last run ended at 2000, and a job is kept for 120 s.
  record.jobs["j"].phase_answers.back().asked_ms = 122001;
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
}

TEST(SoakRulesTest, DetectsACancelledJobThatIsUnknownBeforeTheEndOfItsRetention) {
  SoakRecord record = ValidRecord();
  SoakJob& job = record.jobs["j"];
  record.runs.clear();
  job.cancel_sent_ms = 1000;
  job.cancelled_ms = 1100;
  job.phase_answers = {{1500, 1510, "cancelled"}, {121000, 121010, "410"}};
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
  job.phase_answers.back().asked_ms = 121001;
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
}

TEST(SoakRulesTest, DetectsACompletedJobWithoutAnAnswerAtTheEnd) {
  SoakRecord record = ValidRecord();
  record.jobs["j"].phase_answers.push_back({50000, 53000, "no answer"});
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
}

// Guards against a soak that passes though a job waits for most of a minute beside idle workers.
TEST(SoakRulesTest, DetectsAJobThatWaitsBesideIdleCapacity) {
  SoakRecord record = ValidRecord();
  record.capacity = 4;
  record.quiet_from_ms = 10000;
  record.jobs["j"].phase_answers.front().phase = "queued";
  record.jobs["j"].phase_answers.back() = {29000, 29010, "completed"};
  // From 14 s after the end of the traffic and the faults, a job may wait 3 s beside idle capacity.
  record.runs.front() = RunOf(27100, 28000, "done");
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
  record.runs.front().started_ms = 26900;
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
  // A job that is accepted later waits from then on.
  record.runs.front().started_ms = 27100;
  record.jobs["j"].accepted_ms = 24200;
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
  record.jobs["j"].accepted_ms = 900;
  // A job whose tasks are all done doesn't wait.
  record.runs.front() = RunOf(20000, 21000, "done");
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
  // It waits again once a run was stopped, and a run that has crashed doesn't work for it.
  record.runs.front() = RunOf(20000, 24500, "crashed");
  record.runs.push_back(RunOf(27900, 28500, "done", 2));
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
  record.runs.back().started_ms = 27400;
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
}

TEST(SoakRulesTest, AllowsAJobToWaitForCapacityInUse) {
  SoakRecord record = ValidRecord();
  record.capacity = 2;
  record.quiet_from_ms = 10000;
  record.jobs["j"].phase_answers.front().phase = "queued";
  record.jobs["j"].phase_answers.back() = {31500, 31510, "completed"};
  record.runs.front() = RunOf(30000, 31000, "done");
  // Another job uses half of the capacity until 29 s.
  record.runs.push_back(RunOf(9000, 29000, "done"));
  record.runs.back().job = "k";
  record.runs.back().task = "k.0.0.0";
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
  record.capacity = 3;
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
}

TEST(SoakRulesTest, DetectsAStartAfterACancellation) {
  SoakRecord record = ValidRecord();
  record.jobs["j"].phase_answers.pop_back();
  record.jobs["j"].cancel_sent_ms = 1400;
  record.jobs["j"].cancelled_ms = 1500;
  record.runs.push_back(RunOf(20000, 21000, "stopped", 2));
  record.runs.front().end = "stopped";
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
}

TEST(SoakRulesTest, DetectsAStartInAnEvacuatedDataCentre) {
  SoakRecord record = ValidRecord();
  record.evacuations.push_back({"z", -20000, 5000});
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
}

TEST(SoakRulesTest, DetectsARequestBrokenByAGracefulStop) {
  SoakRecord record = ValidRecord();
  record.stops.push_back({"entry-0", 3000, 6000});
  record.broken_calls.push_back({"entry-0", 4000, 4500});
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 1U);
  // A request that the entry may not have read yet may be broken.
  record.broken_calls.front().sent_ms = 4400;
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
}

TEST(SoakRulesTest, DetectsARequestBrokenByAReload) {
  SoakRecord record = ValidRecord();
  record.reloads.push_back({"entry-0", 3000, 9000});
  record.broken_calls.push_back({"entry-0", 2500, 3000});
  record.broken_calls.push_back({"entry-0", 7000, 8000});
  EXPECT_EQ(CheckSoakRecord(record).violations.size(), 2U);
  // A request sent later than 4 s after the signal isn't attributed to the reload, nor is one that
  // was broken by another fault.
  record.broken_calls = {{"entry-0", 7001, 8000}, {"entry-0", 6000, 9001}, {"entry-1", 2500, 3000}};
  EXPECT_TRUE(CheckSoakRecord(record).violations.empty());
}

}  // namespace
}  // namespace basilspring::standin
