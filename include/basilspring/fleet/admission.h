#ifndef BASILSPRING_FLEET_ADMISSION_H_
#define BASILSPRING_FLEET_ADMISSION_H_

#include <optional>
#include <string>
#include <vector>

#include "basilspring/fleet/job_model.h"

namespace basilspring::fleet {

/// The shape of the workers of one service that have the same capacity.
struct WorkerShape {
  ServiceId service;
  Resources capacity;
  /// The union of the labels of all workers of this shape.
  std::vector<std::string> labels;

  BASILSPRING_SERIALIZE(service, capacity, labels)
};

/// Returns a description of the first step of which no worker of the service, even an empty one,
/// can hold a task, or std::nullopt if every step fits or no shape of the service is known. Such a
/// job would otherwise wait forever. The number of tasks of a gang is not checked, because workers
/// join and leave.
std::optional<std::string> DescribeInfeasibleStep(const JobSpec& job, const ServiceId& service,
                                                  const std::vector<WorkerShape>& shapes);

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_ADMISSION_H_
