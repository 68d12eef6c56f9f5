#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

#include "fuzz/platform_inputs.h"

namespace basilspring {
namespace {

std::vector<std::string> ReadCorpus() {
  std::vector<std::string> inputs;
  const std::filesystem::path folder =
      std::filesystem::path(BASILSPRING_SOURCE_DIR) / "fuzz/corpus/platform";
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::ifstream file(entry.path(), std::ios::binary);
    inputs.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  }
  return inputs;
}

TEST(PlatformCorpusTest, DecodersHandleCorpusInputs) {
  const auto inputs = ReadCorpus();
  ASSERT_GE(inputs.size(), 8U);
  for (const std::string& input : inputs)
    EXPECT_NO_THROW(fuzzing::DecodePlatformInput(input)) << input;
}

// Decoders must handle truncated and modified messages of every kind without a crash or an
// unexpected exception.
TEST(PlatformCorpusTest, DecodersHandleMutatedCorpusInputs) {
  std::mt19937 generator(20261204);
  for (const std::string& input : ReadCorpus()) {
    for (int i = 0; i < 300; ++i) {
      std::string mutated = input;
      if (i % 2 == 0) mutated.resize(1 + generator() % mutated.size());
      for (int k = 0; k < 3; ++k) {
        const std::size_t at = 1 + generator() % mutated.size();
        if (at < mutated.size()) mutated[at] = static_cast<char>(generator());
      }
      EXPECT_NO_THROW(fuzzing::DecodePlatformInput(mutated)) << mutated;
    }
  }
}

}  // namespace
}  // namespace basilspring
