#include "basilspring/request/request_record.h"

#include <fmt/format.h>

#include <array>
#include <vector>

#include "basilspring/error.h"

namespace basilspring {
namespace {

constexpr std::array<std::string_view, 4> kStateNames = {"open", "claimed", "fenced", "done"};

std::vector<std::string> SplitWords(std::string_view text) {
  std::vector<std::string> words;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(' '), text.size());
    words.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return words;
}

}  // namespace

std::string JobRecordPrefix(const CellId& cell) {
  return fmt::format("/basilspring/jobs/{}/", cell.value());
}

std::string JobRecordKey(const CellId& cell, const JobId& job) {
  return JobRecordPrefix(cell) + job.value();
}

std::string RequestRecordKey(const WorkspaceId& workspace, const RequestKey& key) {
  return fmt::format("/basilspring/requests/{}/{}", workspace.value(), key.value());
}

std::string AnswerKey(const JobId& job) {
  return fmt::format("/basilspring/answers/{}", job.value());
}

std::string EncodeRequestRecord(const RequestRecord& record) {
  std::string text(kStateNames.at(static_cast<std::size_t>(record.state)));
  if (!record.token.empty()) text += " " + record.token;
  return text + fmt::format(" {} {}", record.job.value(), record.cell.value());
}

RequestRecord DecodeRequestRecord(std::string_view value) {
  const std::vector<std::string> words = SplitWords(value);
  if (words.size() == 3 || words.size() == 4) {
    for (std::size_t i = 0; i < kStateNames.size(); ++i) {
      if (kStateNames[i] != words[0]) continue;
      const std::size_t job = words.size() - 2;
      return RequestRecord{static_cast<RequestRecordState>(i), JobId(words[job]),
                           CellId(words[job + 1]), job == 2 ? words[1] : ""};
    }
  }
  throw Error(ErrorKind::kBadFrame,
              fmt::format("\"{}\" is not a request record", value.substr(0, 100)));
}

}  // namespace basilspring
