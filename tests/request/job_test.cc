#include "basilspring/request/job.h"

#include <gtest/gtest.h>

namespace basilspring {
namespace {

JobSpecBuilder ValidJob() {
  return JobSpecBuilder().Id(JobId("j1")).Workspace(WorkspaceId("quotes")).Key(RequestKey("k1"));
}

// Guards against losing an accepted batch job when its entry fails: only urgent idempotent jobs may
// skip the store.
TEST(JobSpecBuilder, OnlyUrgentIdempotentJobsAreNotDurable) {
  EXPECT_FALSE(ValidJob().Class(JobClass::kUrgent).Build().durable);
  EXPECT_TRUE(ValidJob().Class(JobClass::kUrgent).Idempotent(false).Build().durable);
  EXPECT_TRUE(ValidJob().Class(JobClass::kBatch).Build().durable);
}

// Guards against names with separators, which would change the structure of a store key.
TEST(JobSpecBuilder, RejectsNamesWithSeparators) {
  EXPECT_THROW(ValidJob().Workspace(WorkspaceId("a/b")).Build(), Error);
  EXPECT_THROW(ValidJob().Key(RequestKey("")).Build(), Error);
}

TEST(JobSpecBuilder, RejectsGangsAndPayloadsOverTheLimit) {
  GangShape shape;
  shape.tasks = 65;
  EXPECT_THROW(ValidJob().Shape(shape).Build(), Error);
  EXPECT_THROW(ValidJob().Payload(std::string(kMaxPayloadBytes + 1, 'x')).Build(), Error);
}

// Guards against delivering a truncated or rearranged answer as complete.
TEST(Answer, ChecksumDetectsTruncationAndShiftedBoundaries) {
  Answer answer = MakeAnswer({"ab", "c"});
  EXPECT_TRUE(HasValidChecksum(answer));
  answer.outputs = {"a", "bc"};
  EXPECT_FALSE(HasValidChecksum(answer));
  answer.outputs = {"ab"};
  EXPECT_FALSE(HasValidChecksum(answer));
}

}  // namespace
}  // namespace basilspring
