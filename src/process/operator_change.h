#ifndef BASILSPRING_SRC_PROCESS_OPERATOR_CHANGE_H_
#define BASILSPRING_SRC_PROCESS_OPERATOR_CHANGE_H_

#include "basilspring/ids.h"
#include "basilspring/process/operator_api.h"
#include "basilspring/version/config_change.h"

namespace basilspring::internal {

/// Writes an operator's change to the store and returns its revision once this entry has applied
/// it. Checks the guarantees against the known inventory, and stops vouching for data centres that
/// the change takes out of service. Suspends the calling fiber. Throws like ApplyConfigChange, and
/// Error(kConflict) if the entry may not change a data centre yet.
ConfigRevision WriteChange(OperatorContext& context, const ConfigChange& change);

/// Waits until all known cells have reported the revision as applied, for at most the 5 s that are
/// promised to operators. Returns whether they have. Suspends the calling fiber.
bool WaitUntilInForce(const OperatorContext& context, ConfigRevision revision);

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_PROCESS_OPERATOR_CHANGE_H_
