#include "basilspring/process/worker_resources.h"

#include <bit>

namespace basilspring {
namespace {

AcceleratorMask MaskOfFirst(std::uint32_t count) {
  return count >= kMaxAcceleratorsPerWorker ? ~AcceleratorMask{0}
                                            : (AcceleratorMask{1} << count) - 1;
}

// An aligned run: 1, 2, 4, ... neighbours that begin at a multiple of the run's rounded-up length.
bool IsAlignedRun(AcceleratorMask mask) {
  const auto count = static_cast<std::uint32_t>(std::popcount(mask));
  const auto first = static_cast<std::uint32_t>(std::countr_zero(mask));
  return mask == MaskOfFirst(count) << first && first % std::bit_ceil(count) == 0;
}

}  // namespace

ErrorKind WorkerResources::Check(const GangShape& shape, AcceleratorMask accelerators) const {
  const auto count = static_cast<std::uint32_t>(std::popcount(accelerators));
  if (count != shape.accelerators.value()) return ErrorKind::kInvalidArgument;
  if (shape.adjacent && accelerators != 0 && !IsAlignedRun(accelerators)) {
    return ErrorKind::kInvalidArgument;
  }
  const AcceleratorMask present = MaskOfFirst(capacity_.accelerators.value());
  const bool fits = cores_ + shape.cores.value() <= capacity_.cores.value() &&
                    memory_ + shape.memory.value() <= capacity_.memory.value() &&
                    tasks_ + 1 <= capacity_.slots.value() && (accelerators & ~present) == 0 &&
                    (accelerators & accelerators_) == 0;
  return fits ? ErrorKind::kNone : ErrorKind::kResourcesTaken;
}

void WorkerResources::Take(const GangShape& shape, AcceleratorMask accelerators) {
  cores_ += shape.cores.value();
  memory_ += shape.memory.value();
  ++tasks_;
  accelerators_ |= accelerators;
}

void WorkerResources::Give(const GangShape& shape, AcceleratorMask accelerators) {
  cores_ -= shape.cores.value();
  memory_ -= shape.memory.value();
  --tasks_;
  accelerators_ &= ~accelerators;
}

}  // namespace basilspring
