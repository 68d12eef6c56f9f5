#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

#include "fuzz/platform_inputs.h"

namespace basilspring {
namespace {

std::vector<std::string> Corpus() {
  std::vector<std::string> inputs;
  const std::filesystem::path folder =
      std::filesystem::path(BASILSPRING_SOURCE_DIR) / "fuzz/corpus/platform";
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::ifstream file(entry.path(), std::ios::binary);
    inputs.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  }
  return inputs;
}

TEST(PlatformCorpusTest, NoInputOfTheCorpusBreaksItsDecoder) {
  const auto inputs = Corpus();
  ASSERT_GE(inputs.size(), 8U);
  for (const std::string& input : inputs)
    EXPECT_NO_THROW(fuzzing::DecodePlatformInput(input)) << input;
}

// Truncated and altered bytes of every kind of message.
TEST(PlatformCorpusTest, NoAlteredInputBreaksItsDecoder) {
  std::mt19937 random(20261204);
  for (const std::string& input : Corpus()) {
    for (int i = 0; i < 300; ++i) {
      std::string altered = input;
      if (i % 2 == 0) altered.resize(1 + random() % altered.size());
      for (int k = 0; k < 3; ++k) {
        const std::size_t at = 1 + random() % altered.size();
        if (at < altered.size()) altered[at] = static_cast<char>(random());
      }
      EXPECT_NO_THROW(fuzzing::DecodePlatformInput(altered)) << altered;
    }
  }
}

}  // namespace
}  // namespace basilspring
