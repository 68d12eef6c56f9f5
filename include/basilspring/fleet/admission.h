#ifndef BASILSPRING_FLEET_ADMISSION_H_
#define BASILSPRING_FLEET_ADMISSION_H_

#include <optional>
#include <string>
#include <vector>

#include "basilspring/fleet/job_model.h"

namespace basilspring::fleet {

/// Capacity and labels of those workers of one service that have the same capacity.
struct WorkerShape {
  ServiceId service;
  Resources capacity;
  /// The union of the labels of all workers of this shape.
  std::vector<std::string> labels;

  BASILSPRING_SERIALIZE(service, capacity, labels)
};

/// Finds the first step whose tasks fit on no worker of the service, even with no other task on it,
/// because no shape has both the needed capacity and the required label. Returns a description of
/// the step, or std::nullopt if every step fits or no shape of the service is known. A job with a
/// step that fits no worker would wait forever. The number of tasks of a gang is not checked,
/// because workers join and leave.
std::optional<std::string> DescribeInfeasibleStep(const JobSpec& job, const ServiceId& service,
                                                  const std::vector<WorkerShape>& shapes);

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_ADMISSION_H_
