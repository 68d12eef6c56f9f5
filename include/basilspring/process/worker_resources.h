#ifndef BASILSPRING_PROCESS_WORKER_RESOURCES_H_
#define BASILSPRING_PROCESS_WORKER_RESOURCES_H_

#include <cstdint>

#include "basilspring/connection/messages.h"
#include "basilspring/error.h"
#include "basilspring/request/job.h"
#include "basilspring/units.h"

namespace basilspring {

/// What one worker has and what its tasks hold. Reservations and running tasks count alike.
class WorkerResources {
 public:
  /// A smaller capacity than what is held takes nothing away; it only refuses new work.
  void SetCapacity(const WorkerCapacity& capacity) { capacity_ = capacity; }
  const WorkerCapacity& capacity() const { return capacity_; }

  /// kNone when the task fits now; kInvalidArgument when the accelerators don't match the shape;
  /// kResourcesTaken otherwise.
  ErrorKind Check(const GangShape& shape, AcceleratorMask accelerators) const;
  /// Takes what one task of the shape needs. Call only after Check has given kNone.
  void Take(const GangShape& shape, AcceleratorMask accelerators);
  /// Gives back what Take took.
  void Give(const GangShape& shape, AcceleratorMask accelerators);

 private:
  WorkerCapacity capacity_;
  // 64 bits, so that no sum of 32-bit amounts from a message can wrap around.
  std::uint64_t cores_ = 0;
  std::uint64_t memory_ = 0;
  std::uint64_t tasks_ = 0;
  AcceleratorMask accelerators_ = 0;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_WORKER_RESOURCES_H_
