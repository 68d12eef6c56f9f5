#ifndef BASILSPRING_PROCESS_WORKER_RESOURCES_H_
#define BASILSPRING_PROCESS_WORKER_RESOURCES_H_

#include <cstdint>

#include "basilspring/connection/messages.h"
#include "basilspring/error.h"
#include "basilspring/request/job.h"
#include "basilspring/units.h"

namespace basilspring {

/// Capacity of one worker and the part of it that is allocated to tasks, reserved and running tasks
/// alike.
class WorkerResources {
 public:
  /// Sets the capacity. A capacity below the allocated amount revokes no allocation; only new tasks
  /// are refused.
  void SetCapacity(const WorkerCapacity& capacity) { capacity_ = capacity; }
  const WorkerCapacity& capacity() const { return capacity_; }

  /// Checks whether one task of the shape fits into the free capacity. Returns kNone if it does,
  /// kInvalidArgument if the accelerators don't match the shape, and kResourcesTaken otherwise.
  ErrorKind Check(const GangShape& shape, AcceleratorMask accelerators) const;
  /// Allocates the resources of one task. Must be called only after Check() has returned kNone.
  void Allocate(const GangShape& shape, AcceleratorMask accelerators);
  /// Releases what Allocate() allocated for the same arguments.
  void Release(const GangShape& shape, AcceleratorMask accelerators);

 private:
  WorkerCapacity capacity_;
  // 64 bits wide, so that no sum of 32-bit amounts from a message can overflow.
  std::uint64_t allocated_cores_ = 0;
  std::uint64_t allocated_memory_ = 0;
  std::uint64_t allocated_slots_ = 0;
  AcceleratorMask allocated_accelerators_ = 0;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_WORKER_RESOURCES_H_
