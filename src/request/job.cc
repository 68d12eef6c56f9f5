#include "basilspring/request/job.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <array>
#include <memory>
#include <utility>

#include "names.h"

namespace basilspring {
namespace {

constexpr std::array<std::string_view, kJobClassCount> kClassNames = {"urgent", "batch",
                                                                      "background"};
constexpr std::array<std::string_view, 8> kStateNames = {
    "queued", "preparing", "running", "stopping", "done", "failed", "cancelled", "unknown"};
constexpr std::uint32_t kMaxCoresPerTask = 4096;

[[noreturn]] void Reject(std::string_view field, const std::string& value,
                         std::string_view allowed) {
  throw Error(ErrorKind::kInvalidArgument,
              fmt::format("{} is {}; allowed: {}", field, value, allowed));
}

// Names become parts of store keys and URL paths, so separators and control characters are
// excluded.
void CheckName(std::string_view field, const std::string& name) {
  if (!internal::IsName(name)) {
    Reject(field, fmt::format("\"{}\"", name.substr(0, internal::kMaxNameBytes)),
           "1 to 128 letters, digits, '-', '_' or '.'");
  }
}

std::uint64_t Checksum(const std::vector<std::string>& outputs) {
  struct StateDeleter {
    void operator()(XXH64_state_t* state) const { XXH64_freeState(state); }
  };
  const std::unique_ptr<XXH64_state_t, StateDeleter> state(XXH64_createState());
  XXH64_reset(state.get(), 0);
  for (const std::string& output : outputs) {
    // The length is hashed too, so that moving a byte from one output to the next changes the
    // checksum.
    const std::uint64_t size = output.size();
    XXH64_update(state.get(), &size, sizeof(size));
    XXH64_update(state.get(), output.data(), output.size());
  }
  return XXH64_digest(state.get());
}

}  // namespace

std::string_view JobClassName(JobClass job_class) {
  const auto index = static_cast<std::size_t>(job_class);
  return index < kClassNames.size() ? kClassNames[index] : "invalid";
}

JobClass JobClassFromName(std::string_view name) {
  for (std::size_t i = 0; i < kClassNames.size(); ++i) {
    if (kClassNames[i] == name) return static_cast<JobClass>(i);
  }
  Reject("class", fmt::format("\"{}\"", name), "urgent, batch, background");
}

std::string_view JobStateName(JobState state) {
  const auto index = static_cast<std::size_t>(state);
  return index < kStateNames.size() ? kStateNames[index] : "invalid";
}

JobSpecBuilder& JobSpecBuilder::Id(JobId id) {
  spec_.id = std::move(id);
  return *this;
}

JobSpecBuilder& JobSpecBuilder::Workspace(WorkspaceId workspace) {
  spec_.workspace = std::move(workspace);
  return *this;
}

JobSpecBuilder& JobSpecBuilder::Key(RequestKey key) {
  spec_.request_key = std::move(key);
  return *this;
}

JobSpecBuilder& JobSpecBuilder::Class(JobClass job_class) {
  spec_.job_class = job_class;
  return *this;
}

JobSpecBuilder& JobSpecBuilder::Shape(const GangShape& shape) {
  spec_.shape = shape;
  return *this;
}

JobSpecBuilder& JobSpecBuilder::DeclaredRunTime(Duration run_time) {
  spec_.declared_run_time = run_time;
  return *this;
}

JobSpecBuilder& JobSpecBuilder::Deadline(Duration remaining) {
  spec_.deadline = remaining;
  return *this;
}

JobSpecBuilder& JobSpecBuilder::Idempotent(bool idempotent) {
  spec_.idempotent = idempotent;
  return *this;
}

JobSpecBuilder& JobSpecBuilder::Payload(std::string payload) {
  spec_.payload = std::move(payload);
  return *this;
}

JobSpec JobSpecBuilder::Build() const {
  CheckName("job", spec_.id.value());
  CheckName("workspace", spec_.workspace.value());
  CheckName("request key", spec_.request_key.value());
  const GangShape& shape = spec_.shape;
  if (shape.tasks < 1 || shape.tasks > kMaxGangTasks) {
    Reject("tasks", fmt::format("{}", shape.tasks), "1 to 64");
  }
  if (shape.cores.value() > kMaxCoresPerTask) {
    Reject("cores", fmt::format("{}", shape.cores.value()), "0 to 4096");
  }
  if (shape.accelerators.value() > kMaxAcceleratorsPerWorker) {
    Reject("accelerators", fmt::format("{}", shape.accelerators.value()), "0 to 32");
  }
  if (spec_.declared_run_time < Duration(0)) {
    Reject("run_time_ms", fmt::format("{}", spec_.declared_run_time.milliseconds()), "0 or more");
  }
  if (spec_.deadline < Duration(0)) {
    Reject("deadline_ms", fmt::format("{}", spec_.deadline.milliseconds()), "0 or more");
  }
  if (spec_.payload.size() > kMaxPayloadBytes) {
    throw Error(ErrorKind::kPayloadTooLarge,
                fmt::format("payload has {} bytes; allowed: at most {}", spec_.payload.size(),
                            kMaxPayloadBytes));
  }
  JobSpec spec = spec_;
  spec.durable = !(spec.job_class == JobClass::kUrgent && spec.idempotent);
  return spec;
}

Answer MakeAnswer(std::vector<std::string> outputs) {
  Answer answer;
  answer.checksum = Checksum(outputs);
  answer.outputs = std::move(outputs);
  return answer;
}

bool HasValidChecksum(const Answer& answer) { return Checksum(answer.outputs) == answer.checksum; }

}  // namespace basilspring
