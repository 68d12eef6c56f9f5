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

// The weight of an accelerator in cores, as the operators account for work.
constexpr double kCoresPerAccelerator = 8.0;

std::int64_t CountOfOne(std::int64_t need, std::int64_t room) {
  if (need <= 0) return std::numeric_limits<std::int64_t>::max();
  return room < 0 ? 0 : room / need;
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

bool Resources::FitsIn(const Resources& room) const {
  return milli_cores <= room.milli_cores && memory_mb <= room.memory_mb &&
         accelerators <= room.accelerators;
}

std::int64_t Resources::CountIn(const Resources& room) const {
  return std::min({CountOfOne(milli_cores, room.milli_cores), CountOfOne(memory_mb, room.memory_mb),
                   CountOfOne(accelerators, room.accelerators)});
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

JobSpec DecodeJobSpec(const std::string& bytes) { return internal::DecodeBody<JobSpec>(bytes); }

std::string EncodeJobProgress(const JobProgress& progress) {
  std::string bytes;
  internal::EncodeBody(progress, bytes);
  return bytes;
}

JobProgress DecodeJobProgress(const std::string& bytes) {
  auto progress = internal::DecodeBody<JobProgress>(bytes);
  if (progress.phase > static_cast<std::uint8_t>(JobPhase::kCancelled)) {
    throw Error(ErrorKind::kBadFrame, "bad job progress: the phase is out of its range");
  }
  return progress;
}

}  // namespace basilspring::fleet
