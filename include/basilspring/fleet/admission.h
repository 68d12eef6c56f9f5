#ifndef BASILSPRING_FLEET_ADMISSION_H_
#define BASILSPRING_FLEET_ADMISSION_H_

#include <optional>
#include <string>
#include <vector>

#include "basilspring/fleet/job_model.h"

namespace basilspring::fleet {

/// Workers of one service with the same capacity.
struct WorkerShape {
  ServiceId service;
  Resources capacity;
  /// All labels that workers of this shape have had.
  std::vector<std::string> labels;

  BASILSPRING_SERIALIZE(service, capacity, labels)
};

/// Why no such worker can ever hold some task of the job, even when it is empty; nothing when the
/// job may run. Without any shape of the service nothing is known, so the job may run. The load
/// that this answers: jobs that no worker can hold, which otherwise wait without end. The size of a
/// gang is not judged, because workers come and go.
std::optional<std::string> WhyNeverFits(const JobSpec& job, const ServiceId& service,
                                        const std::vector<WorkerShape>& shapes);

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_ADMISSION_H_
