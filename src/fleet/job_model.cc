#include "basilspring/fleet/job_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <limits>

#include "connection/frame_archive.h"

namespace basilspring::fleet {
namespace {

constexpr std::array<std::string_view, 5> kPhaseNames = {"queued", "running", "completed", "failed",
                                                         "cancelled"};
constexpr std::array<std::string_view, 6> kEndNames = {"done",   "failed",      "stopped",
                                                       "lapsed", "gang-broken", "gang-incomplete"};

// The weight of an accelerator in cores, as in the operators' accounting of work.
constexpr double kCoresPerAccelerator = 8.0;

std::int64_t CountFitting(std::int64_t need, std::int64_t available) {
  if (need <= 0) return std::numeric_limits<std::int64_t>::max();
  return available < 0 ? 0 : available / need;
}

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  milli_cores += other.milli_cores;
  memory_mb += other.memory_mb;
  accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  milli_cores -= other.milli_cores;
  memory_mb -= other.memory_mb;
  accelerators -= other.accelerators;
  return *this;
}

bool Resources::FitsIn(const Resources& available) const {
  return milli_cores <= available.milli_cores && memory_mb <= available.memory_mb &&
         accelerators <= available.accelerators;
}

std::int64_t Resources::CountIn(const Resources& available) const {
  return std::min({CountFitting(milli_cores, available.milli_cores),
                   CountFitting(memory_mb, available.memory_mb),
                   CountFitting(accelerators, available.accelerators)});
}

double Resources::Weight() const {
  return static_cast<double>(milli_cores) / 1000.0 +
         kCoresPerAccelerator * static_cast<double>(accelerators);
}

std::string TaskId::ToString() const {
  return fmt::format("{}.{}.{}.{}", job.value(), occurrence, step, index);
}

std::string_view JobPhaseName(JobPhase phase) {
  return kPhaseNames.at(static_cast<std::size_t>(phase));
}

std::string_view RunEndName(RunEnd end) { return kEndNames.at(static_cast<std::size_t>(end)); }

std::string EncodeJobSpec(const JobSpec& spec) {
  std::string bytes;
  internal::EncodeBody(spec, bytes);
  return bytes;
}

JobSpec DecodeJobSpec(const std::string& bytes) {
  auto spec = internal::DecodeBody<JobSpec>(bytes);
  bool possible = !spec.steps.empty() && spec.occurrences >= 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const StepSpec& step = spec.steps[i];
    possible = possible && step.task_count > 0;
    for (const std::int32_t before : step.after) {
      possible = possible && before >= 0 && static_cast<std::size_t>(before) < i;
    }
  }
  if (!possible) throw Error(ErrorKind::kBadFrame, "bad job: its steps are not consistent");
  return spec;
}

std::string EncodeJobProgress(const JobProgress& progress) {
  std::string bytes;
  internal::EncodeBody(progress, bytes);
  if (!progress.crashed_runs.empty()) internal::EncodeBody(progress.crashed_runs, bytes);
  return bytes;
}

JobProgress DecodeJobProgress(const std::string& bytes) {
  std::string_view rest = bytes;
  auto progress = internal::DecodePrefix<JobProgress>(rest);
  if (!rest.empty()) {
    progress.crashed_runs = internal::DecodeBody<std::vector<CrashedRun>>(rest);
  }
  if (progress.phase > static_cast<std::uint8_t>(JobPhase::kCancelled)) {
    throw Error(ErrorKind::kBadFrame, "bad job progress: the phase is out of its range");
  }
  return progress;
}

JobPhase PhaseIn(const JobProgress& progress) {
  const auto phase = static_cast<JobPhase>(progress.phase);
  if (phase != JobPhase::kQueued) return phase;
  const bool begun =
      !progress.crashed_runs.empty() || CountDoneTasks(progress) > 0 ||
      std::any_of(progress.steps.begin(), progress.steps.end(),
                  [](const StepProgress& step) { return !step.failed_runs.empty(); });
  return begun ? JobPhase::kRunning : JobPhase::kQueued;
}

std::int64_t CountDoneTasks(const JobProgress& progress) {
  std::int64_t done = 0;
  for (const StepProgress& step : progress.steps) {
    done += std::count_if(step.done.begin(), step.done.end(),
                          [](std::uint8_t value) { return value != 0; });
  }
  return done;
}

}  // namespace basilspring::fleet
