#include "basilspring/process/process_settings.h"

#include <gtest/gtest.h>

namespace basilspring {
namespace {

constexpr const char* kAgentSettings = R"([process]
role = "agent"
name = "w1"
region = "bg-south"
data_centre = "plovdiv-a"
rack = "r1"
[network]
listen = "127.0.0.1:7001"
http = "127.0.0.1:8001"
entries = ["127.0.0.1:7100"]
[store]
servers = ["127.0.0.1:2379"]
)";

std::vector<std::string> FaultsOf(const std::string& text) {
  std::vector<std::string> faults;
  for (const SettingsFault& fault : ParseProcessSettings(text, "a.toml").faults) {
    faults.push_back(fault.text);
  }
  return faults;
}

TEST(ProcessSettings, ReadsAnAgentWithDefaults) {
  const SettingsOutcome outcome = ParseProcessSettings(kAgentSettings, "a.toml");
  ASSERT_TRUE(outcome.faults.empty()) << outcome.faults.front().text;
  EXPECT_EQ(outcome.settings.cell, CellId("plovdiv-a/0"));
  EXPECT_EQ(outcome.settings.listen.port, 7001);
  EXPECT_EQ(outcome.settings.timings.cell_lease, Duration(4000));
}

// Guards against reporting only the first fault of a file, or a fault without file, line and
// allowed values.
TEST(ProcessSettings, ListsAllFaultsWithTheirLines) {
  const std::vector<std::string> faults = FaultsOf(R"([process]
role = "agent"
name = "w 1"
region = "bg-south"
data_centre = "plovdiv-a"
rack = 5
cell = "ruse-a/0"
[network]
listen = "localhost:7001"
http = "127.0.0.1:8001"
entries = []
[store]
servers = ["127.0.0.1:2379"]
retry_percent = 101
[stroe]
x = 1
)");
  const std::vector<std::string> expected = {
      "a.toml:3: process.name: \"w 1\" is not a name",
      "a.toml:6: process.rack: 5 has the wrong type; allowed: a string",
      "a.toml:7: process.cell: \"ruse-a/0\" is not a cell of the data centre",
      "a.toml:9: network.listen: \"localhost:7001\" is not an address",
      "a.toml:11: network.entries: is empty",
      "a.toml:14: store.retry_percent: 101 is out of range; allowed: a whole number from 0 to 100",
      "a.toml:15: stroe: is unknown"};
  ASSERT_EQ(faults.size(), expected.size());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    EXPECT_EQ(faults[i].rfind(expected[i], 0), 0U) << faults[i];
  }
}

// Guards against accepting values that are valid one by one but contradict each other.
TEST(ProcessSettings, FindsContradictions) {
  std::string text = kAgentSettings;
  text += "attempt_timeout_ms = 500\ncall_deadline_ms = 400\n";
  const std::vector<std::string> faults = FaultsOf(text);
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_NE(faults[0].find("400 is shorter than store.attempt_timeout_ms (500)"),
            std::string::npos);
}

TEST(ProcessSettings, ReportsSyntaxErrorsAndUnreadableFiles) {
  EXPECT_EQ(FaultsOf("[process\n").size(), 1U);
  EXPECT_EQ(LoadProcessSettings("/nonexistent/x.toml").faults.size(), 1U);
}

// Guards against a scaling that changes the ratios between the timings, on which the protocols
// rely.
TEST(Timings, ScalingKeepsRatios) {
  const Timings scaled = Timings().Scaled(50);
  EXPECT_EQ(scaled.cell_lease, Duration(2000));
  EXPECT_LT(scaled.vouching_limit + scaled.permit_validity, scaled.registration_wait);
  EXPECT_LT(scaled.cell_lease_renewal_interval * 2, scaled.cell_lease);
}

}  // namespace
}  // namespace basilspring
