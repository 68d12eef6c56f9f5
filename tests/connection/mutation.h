#ifndef BASILSPRING_TESTS_CONNECTION_MUTATION_H_
#define BASILSPRING_TESTS_CONNECTION_MUTATION_H_

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace basilspring {

/// Generates inputs by random changes to the texts of a corpus. The same seed gives the same inputs
/// on every run.
class Mutator {
 public:
  Mutator(std::uint64_t seed, std::vector<std::string> corpus)
      : random_(seed), corpus_(std::move(corpus)) {}

  std::string Next() {
    std::string bytes = corpus_[Below(corpus_.size())];
    for (std::size_t changes = 1 + Below(4); changes > 0; --changes) Change(bytes);
    return bytes;
  }
  std::size_t Below(std::size_t bound) { return bound == 0 ? 0 : random_() % bound; }

 private:
  void Change(std::string& bytes) {
    const std::size_t at = Below(bytes.size() + 1);
    const std::size_t span = std::min(Below(9), bytes.size() - at);
    switch (Below(6)) {
      case 0:
        if (at < bytes.size()) bytes[at] = static_cast<char>(bytes[at] ^ (1 << Below(8)));
        break;
      case 1:
        bytes.resize(at);
        break;
      case 2:
        bytes.insert(at, 1 + Below(8), static_cast<char>(random_()));
        break;
      case 3:
        bytes.erase(at, span);
        break;
      case 4:  // Extreme values, as in counts and lengths that must not be trusted.
        bytes.replace(at, span, span, Below(2) == 0 ? '\xff' : '\x00');
        break;
      default: {
        const std::string& other = corpus_[Below(corpus_.size())];
        bytes.replace(at, span, other, Below(other.size()), Below(32));
      }
    }
  }

  std::mt19937_64 random_;
  std::vector<std::string> corpus_;
};

}  // namespace basilspring

#endif  // BASILSPRING_TESTS_CONNECTION_MUTATION_H_
