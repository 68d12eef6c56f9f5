#include "standin/load.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <sstream>

namespace basilspring::standin {
namespace {

// Returns the work of a task in milliseconds. Most tasks are short; 5% take 4 s to 8 s, at least
// as long as the default cell lease.
std::int64_t DrawWork(std::mt19937_64& random) {
  const std::uint64_t percentile = random() % 100;
  if (percentile < 60) return static_cast<std::int64_t>(5 + random() % 95);
  if (percentile < 95) return static_cast<std::int64_t>(100 + random() % 1400);
  return static_cast<std::int64_t>(4000 + random() % 4000);
}

std::string DrawClass(const std::vector<double>& class_weights, std::mt19937_64& random) {
  static constexpr const char* kClasses[] = {"urgent", "batch", "background"};
  std::discrete_distribution<std::size_t> draw(class_weights.begin(), class_weights.end());
  return kClasses[std::min<std::size_t>(draw(random), 2)];
}

}  // namespace

std::string PlannedRequest::ExpectedAnswer() const {
  std::string expected;
  for (int i = 0; i < tasks; ++i) expected += output;
  return expected;
}

std::string PlannedRequest::Payload() const {
  return boost::json::serialize(boost::json::object{{"work_ms", work_ms}, {"output", output}});
}

PlannedRequest PlanRequest(const LoadOptions& options, std::uint64_t number) {
  // Each request has its own random generator, so that it doesn't depend on the requests before it.
  std::seed_seq seed{options.seed, number};
  std::mt19937_64 random(seed);
  // Returns true with a probability of `percent` in 100.
  const auto draw_bool = [&random](int percent) {
    return static_cast<int>(random() % 100) < percent;
  };
  PlannedRequest request;
  request.key = fmt::format("load-{}-{}", options.seed, number);
  request.workspace = options.workspaces[random() % options.workspaces.size()];
  request.job_class = DrawClass(options.class_weights, random);
  request.cores = static_cast<int>(1 + random() % 3);
  if (draw_bool(options.gang_percent)) {
    static constexpr int kSizes[] = {2, 3, 4, 8, 12};
    request.tasks = kSizes[random() % 5];
    request.accelerators = static_cast<int>(random() % 3);
  } else {
    static constexpr int kAccelerators[] = {0, 0, 1, 2, 4, 8};
    request.accelerators = kAccelerators[random() % 6];
  }
  request.adjacent = request.accelerators > 1 && draw_bool(70);
  request.idempotent = !draw_bool(options.non_idempotent_percent);
  request.work_ms = DrawWork(random);
  request.output =
      request.key + "|" + std::string(random() % 2000, static_cast<char>('a' + random() % 26));
  request.entry = random() % options.entries.size();
  request.cancel = draw_bool(options.cancel_percent);
  request.repeat = draw_bool(options.repeat_percent);
  return request;
}

bool LengthsMatch(const std::string& header, const std::string& body, int tasks) {
  if (header.empty()) return tasks == 1;
  std::istringstream items(header);
  std::size_t total = 0;
  int count = 0;
  for (std::string item; std::getline(items, item, ',');) {
    item.erase(0, item.find_first_not_of(' '));
    std::size_t length = 0;
    const auto [end, error] = std::from_chars(item.data(), item.data() + item.size(), length);
    if (error != std::errc() || end != item.data() + item.size()) return false;
    total += length;
    ++count;
  }
  return count == tasks && total == body.size();
}

}  // namespace basilspring::standin
