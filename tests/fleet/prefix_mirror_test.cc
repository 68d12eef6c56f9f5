#include "basilspring/fleet/prefix_mirror.h"

#include <gtest/gtest.h>

namespace basilspring::fleet {
namespace {

class PrefixMirrorTest : public testing::Test {
 protected:
  PrefixMirrorTest() { mirror_.Update({{"p/a", "1", 3, false}, {"p/b", "2", 4, false}}, true, 5); }
  static StoreCall WatchAfter(std::int64_t revision) {
    return StoreCall::Watch("p/", revision, Duration(400));
  }

  PrefixMirror mirror_{"p/"};
};

TEST_F(PrefixMirrorTest, CoversOnlyReadsOfThePrefix) {
  EXPECT_TRUE(mirror_.Covers(StoreCall::Range("p/")));
  EXPECT_TRUE(mirror_.Covers(WatchAfter(5)));
  EXPECT_FALSE(mirror_.Covers(StoreCall::Range("q/")));
  EXPECT_FALSE(mirror_.Covers(StoreCall::Get("p/")));
}

TEST_F(PrefixMirrorTest, ARangeHasAllItemsThatExist) {
  mirror_.Update({{"p/a", "", 7, true}, {"p/c", "3", 8, false}}, false, 8);
  const auto reply = mirror_.Answer(StoreCall::Range("p/"), 9);
  ASSERT_TRUE(reply && reply->items.size() == 2);
  EXPECT_EQ(reply->items[0].key, "p/b");
  EXPECT_EQ(reply->items[1].key, "p/c");
  EXPECT_EQ(reply->revision, 9);
}

// Guards against a configuration or an evacuation that is taken back by a peer that knows less.
TEST_F(PrefixMirrorTest, ARangeIsRefusedToACallerThatKnowsMore) {
  StoreCall call = StoreCall::Range("p/");
  call.after_revision = 6;
  EXPECT_EQ(mirror_.Answer(call, 5)->status, StoreStatus::kUnavailable);
  EXPECT_EQ(mirror_.Answer(call, 6)->status, StoreStatus::kOk);
}

// Guards against a peer that keeps an evacuation which the operators have taken back.
TEST_F(PrefixMirrorTest, AWatchHasTheChangesInOrderAndTheRemovals) {
  mirror_.Update({{"p/c", "3", 7, false}, {"p/a", "", 8, true}}, false, 8);
  const auto reply = mirror_.Answer(WatchAfter(6), 9);
  ASSERT_TRUE(reply && reply->items.size() == 2);
  EXPECT_EQ(reply->items[0].key, "p/c");
  EXPECT_TRUE(reply->items[1].removed);
  EXPECT_FALSE(mirror_.Answer(WatchAfter(8), 9));
}

// Guards against a missed removal: what was removed before a snapshot is not known.
TEST_F(PrefixMirrorTest, AWatchFromBeforeTheSnapshotHasNoHistory) {
  const auto reply = mirror_.Answer(WatchAfter(4), 9);
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->status, StoreStatus::kHistoryLost);
}

}  // namespace
}  // namespace basilspring::fleet
