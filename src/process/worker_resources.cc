#include "basilspring/process/worker_resources.h"

#include <bit>

namespace basilspring {
namespace {

AcceleratorMask LowBitsMask(std::uint32_t count) {
  return count >= kMaxAcceleratorsPerWorker ? ~AcceleratorMask{0}
                                            : (AcceleratorMask{1} << count) - 1;
}

// Whether the mask is one run of adjacent accelerators that begins at a multiple of its length,
// rounded up to a power of two: a run of 1 begins anywhere, a run of 2 at a multiple of 2, a run of
// 3 or 4 at a multiple of 4.
bool IsAlignedRun(AcceleratorMask mask) {
  const auto count = static_cast<std::uint32_t>(std::popcount(mask));
  const auto first = static_cast<std::uint32_t>(std::countr_zero(mask));
  return mask == LowBitsMask(count) << first && first % std::bit_ceil(count) == 0;
}

}  // namespace

ErrorKind WorkerResources::Check(const GangShape& shape, AcceleratorMask accelerators) const {
  const auto count = static_cast<std::uint32_t>(std::popcount(accelerators));
  if (count != shape.accelerators.value()) return ErrorKind::kInvalidArgument;
  if (shape.adjacent && accelerators != 0 && !IsAlignedRun(accelerators)) {
    return ErrorKind::kInvalidArgument;
  }
  const AcceleratorMask present = LowBitsMask(capacity_.accelerators.value());
  const bool fits = allocated_cores_ + shape.cores.value() <= capacity_.cores.value() &&
                    allocated_memory_ + shape.memory.value() <= capacity_.memory.value() &&
                    allocated_slots_ + 1 <= capacity_.slots.value() &&
                    (accelerators & ~present) == 0 && (accelerators & allocated_accelerators_) == 0;
  return fits ? ErrorKind::kNone : ErrorKind::kResourcesTaken;
}

void WorkerResources::Allocate(const GangShape& shape, AcceleratorMask accelerators) {
  allocated_cores_ += shape.cores.value();
  allocated_memory_ += shape.memory.value();
  ++allocated_slots_;
  allocated_accelerators_ |= accelerators;
}

void WorkerResources::Release(const GangShape& shape, AcceleratorMask accelerators) {
  allocated_cores_ -= shape.cores.value();
  allocated_memory_ -= shape.memory.value();
  --allocated_slots_;
  allocated_accelerators_ &= ~accelerators;
}

}  // namespace basilspring
