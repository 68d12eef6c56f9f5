#include "basilspring/fleet/admission.h"

#include <fmt/format.h>

#include <algorithm>

namespace basilspring::fleet {
namespace {

bool CanHold(const WorkerShape& shape, const StepSpec& step) {
  const bool labelled = step.required_label.empty() ||
                        std::find(shape.labels.begin(), shape.labels.end(), step.required_label) !=
                            shape.labels.end();
  return labelled && step.needs.FitsIn(shape.capacity);
}

}  // namespace

std::optional<std::string> DescribeInfeasibleStep(const JobSpec& job, const ServiceId& service,
                                                  const std::vector<WorkerShape>& shapes) {
  const auto of_service = [&](const WorkerShape& shape) { return shape.service == service; };
  if (std::none_of(shapes.begin(), shapes.end(), of_service)) return std::nullopt;
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    const StepSpec& step = job.steps[i];
    const bool fits = std::any_of(shapes.begin(), shapes.end(), [&](const WorkerShape& shape) {
      return of_service(shape) && CanHold(shape, step);
    });
    if (fits) continue;
    return fmt::format(
        "no worker of service {} can hold a task of step {}: {} thousandths of a core, {} MB, {} "
        "accelerators, label \"{}\"",
        service.value(), i, step.needs.milli_cores, step.needs.memory_mb, step.needs.accelerators,
        step.required_label);
  }
  return std::nullopt;
}

}  // namespace basilspring::fleet
