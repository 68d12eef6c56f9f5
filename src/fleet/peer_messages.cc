#include "basilspring/fleet/peer_messages.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace basilspring::fleet {
namespace {

constexpr const char* kRulesParameter = "repeat";
constexpr const char* kAgeParameter = "evidence_ms";
// Keeps the request's target well below the 16 KB that a server accepts as a header. The starts
// beyond it may repeat.
constexpr std::size_t kMaxRules = 4096;
// Indexed by RepeatRule.
constexpr std::string_view kRuleLetters = "mtg";

}  // namespace

std::string TargetOf(const OrderBatch& batch) {
  std::string rules;
  bool any = false;
  for (const Order& order : batch.orders) {
    if (rules.size() == kMaxRules) break;
    any = any || order.repeat != RepeatRule::kMayRepeat;
    rules.push_back(kRuleLetters.at(static_cast<std::size_t>(order.repeat)));
  }
  if (!any || batch.max_evidence_age <= Duration()) return OrderBatch::kPath;
  return fmt::format("{}?{}={}&{}={}", OrderBatch::kPath, kRulesParameter, rules, kAgeParameter,
                     batch.max_evidence_age.milliseconds());
}

void ReadTarget(const std::map<std::string, std::string>& query, OrderBatch& batch) {
  const auto rules = query.find(kRulesParameter);
  const auto age = query.find(kAgeParameter);
  if (rules == query.end() || age == query.end()) return;
  std::int64_t milliseconds = 0;
  const char* end = age->second.data() + age->second.size();
  const auto parsed = std::from_chars(age->second.data(), end, milliseconds);
  if (parsed.ec != std::errc() || parsed.ptr != end) return;
  batch.max_evidence_age = Duration(milliseconds);
  const std::size_t count = std::min(batch.orders.size(), rules->second.size());
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t rule = kRuleLetters.find(rules->second[i]);
    if (rule == std::string_view::npos) continue;
    batch.orders[i].repeat = static_cast<RepeatRule>(rule);
  }
}

}  // namespace basilspring::fleet
