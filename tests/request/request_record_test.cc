#include "basilspring/request/request_record.h"

#include <gtest/gtest.h>

#include "basilspring/error.h"

namespace basilspring {
namespace {

// Guards against an entry and a cell scheduler that interpret each other's records differently.
TEST(RequestRecord, TextFormsAreStable) {
  const RequestRecord open{RequestRecordState::kOpen, JobId("j1"), CellId("a/1"), ""};
  const RequestRecord claimed{RequestRecordState::kClaimed, JobId("j1"), CellId("a/1"), "j1#7.1"};
  EXPECT_EQ(EncodeRequestRecord(open), "open j1 a/1");
  EXPECT_EQ(EncodeRequestRecord(claimed), "claimed j1#7.1 j1 a/1");
  EXPECT_EQ(DecodeRequestRecord("open j1 a/1"), open);
  EXPECT_EQ(DecodeRequestRecord("claimed j1#7.1 j1 a/1"), claimed);
  EXPECT_THROW(DecodeRequestRecord("open"), Error);
  EXPECT_THROW(DecodeRequestRecord("opened j1 a/1"), Error);
}

}  // namespace
}  // namespace basilspring
