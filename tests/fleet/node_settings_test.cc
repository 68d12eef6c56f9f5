#include "basilspring/fleet/node_settings.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace basilspring::fleet {
namespace {

constexpr const char* kAgent = R"(
[process]
role = "agent"
name = "a-1"
data_centre = "here"
[network]
peers = "127.0.0.1:7000"
announcements = "127.0.0.1:7001"
backend = "127.0.0.1:7002"
store = "127.0.0.1:7003"
seeds = []
[limits]
longest_lease_ms = 4000
stop_grace_s = 2.5
processor_share = 0.15
)";

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  return at == std::string::npos ? text : text.replace(at, from.size(), to);
}

bool HasFault(const NodeSettingsOutcome& outcome, const std::string& part) {
  return std::any_of(outcome.faults.begin(), outcome.faults.end(),
                     [&](const auto& fault) { return fault.text.find(part) != std::string::npos; });
}

// The platform writes limits as whole numbers or with a fraction.
TEST(NodeSettingsTest, ReadsLimitsWithFractions) {
  const NodeSettingsOutcome outcome = ParseNodeSettings(kAgent, "file");
  ASSERT_TRUE(outcome.faults.empty()) << outcome.faults.front().text;
  EXPECT_EQ(outcome.settings.drain_limit, Duration(2000));
  EXPECT_DOUBLE_EQ(outcome.settings.processor_share, 0.15);
}

// With a lease longer than backend servers grant, the scheduler would consider runs as still
// running that have ended.
TEST(NodeSettingsTest, KeepsTheLeaseBelowTheLongestThatBackendServersGrant) {
  EXPECT_LT(ParseNodeSettings(kAgent, "file").settings.scheduler.lease, Duration(4000));
}

// Without `network.advertised`, other processes use the address at which the process listens.
TEST(NodeSettingsTest, AdvertisesTheListeningAddressByDefault) {
  EXPECT_EQ(ParseNodeSettings(kAgent, "file").settings.advertised.port, 7000);
  const std::string text = Replace(kAgent, "store =", "advertised = \"127.0.0.8:7010\"\nstore =");
  EXPECT_EQ(ParseNodeSettings(text, "file").settings.advertised.ToString(), "127.0.0.8:7010");
}

// Guards against a changed file that is only logged, while limits and seeds stay unchanged until a
// restart.
TEST(NodeSettingsTest, AppliesChangedLimitsAndSeedsWithoutARestart) {
  NodeSettings running = ParseNodeSettings(kAgent, "file").settings;
  std::string text = Replace(kAgent, "stop_grace_s = 2.5", "stop_grace_s = 4.5");
  text = Replace(text, "seeds = []", "seeds = [\"127.0.0.9:7000\"]");
  text = Replace(text, "127.0.0.1:7003", "127.0.0.1:7009");
  const NodeSettingsChange change = ApplyChanges(ParseNodeSettings(text, "file").settings, running);
  EXPECT_EQ(running.drain_limit, Duration(4000));
  EXPECT_EQ(running.seeds.size(), 1U);
  EXPECT_EQ(change.applied, (std::vector<std::string>{"network.seeds", "limits.stop_grace_s"}));
  EXPECT_EQ(running.store.port, 7003);
  EXPECT_EQ(change.deferred, std::vector<std::string>{"network.store"});
}

// Guards against limits of connections that are ignored, or that need a restart under an attack.
TEST(NodeSettingsTest, ReadsAndAppliesTheLimitsOfConnections) {
  NodeSettings running = ParseNodeSettings(kAgent, "file").settings;
  EXPECT_EQ(running.connections, ConnectionLimits());
  const std::string text =
      Replace(kAgent, "processor_share = 0.15", "connection_memory_mb = 8\nconnections = 64");
  const NodeSettingsChange change = ApplyChanges(ParseNodeSettings(text, "file").settings, running);
  EXPECT_EQ(running.connections, (ConnectionLimits{std::size_t{8} * 1024 * 1024, 64}));
  EXPECT_EQ(change.applied,
            (std::vector<std::string>{"limits.connection_memory_mb", "limits.connections"}));
  EXPECT_TRUE(
      HasFault(ParseNodeSettings(Replace(text, "connections = 64", "connections = 1"), "file"),
               "limits.connections"));
  EXPECT_TRUE(
      HasFault(ParseNodeSettings(
                   Replace(text, "connection_memory_mb = 8", "connection_memory_mb = 0"), "file"),
               "limits.connection_memory_mb"));
}

// Guards against limits of callers that are ignored or out of range.
TEST(NodeSettingsTest, ReadsAndAppliesTheLimitsOfCallers) {
  NodeSettings running = ParseNodeSettings(kAgent, "file").settings;
  const std::string text = Replace(kAgent, "processor_share = 0.15",
                                   "longest_caller_timeout_ms = 5000\nopen_requests = 7");
  const NodeSettingsChange change = ApplyChanges(ParseNodeSettings(text, "file").settings, running);
  EXPECT_EQ(running.entry, (EntryLimits{Duration(5000), 7}));
  EXPECT_EQ(change.applied,
            (std::vector<std::string>{"limits.longest_caller_timeout_ms", "limits.open_requests"}));
  EXPECT_TRUE(
      HasFault(ParseNodeSettings(Replace(text, "open_requests = 7", "open_requests = 0"), "file"),
               "limits.open_requests"));
  EXPECT_TRUE(HasFault(ParseNodeSettings(Replace(text, "= 5000", "= 5"), "file"),
                       "limits.longest_caller_timeout_ms"));
}

TEST(NodeSettingsTest, ListsAllFaultsWithTheirLines) {
  std::string text = Replace(kAgent, "role = \"agent\"", "role = \"captain\"");
  text = Replace(text, "127.0.0.1:7003", "nowhere");
  text = Replace(text, "stop_grace_s = 2.5", "stop_grace_s = \"soon\"");
  text += "colour = 3\n";
  const NodeSettingsOutcome outcome = ParseNodeSettings(text, "file");
  EXPECT_TRUE(HasFault(outcome, "file:3: process.role"));
  EXPECT_TRUE(HasFault(outcome, "network.store"));
  EXPECT_TRUE(HasFault(outcome, "limits.stop_grace_s"));
  EXPECT_TRUE(HasFault(outcome, "colour"));
}

TEST(NodeSettingsTest, RequiresTheAddressesOfAnEntry) {
  const NodeSettingsOutcome outcome =
      ParseNodeSettings(Replace(kAgent, "role = \"agent\"", "role = \"entry\""), "file");
  EXPECT_TRUE(HasFault(outcome, "network.callers"));
  EXPECT_TRUE(HasFault(outcome, "network.readiness"));
}

}  // namespace
}  // namespace basilspring::fleet
