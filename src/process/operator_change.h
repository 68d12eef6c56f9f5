#ifndef BASILSPRING_SRC_PROCESS_OPERATOR_CHANGE_H_
#define BASILSPRING_SRC_PROCESS_OPERATOR_CHANGE_H_

#include "basilspring/ids.h"
#include "basilspring/process/operator_api.h"
#include "basilspring/version/config_change.h"

namespace basilspring::internal {

/// Makes an operator's change: checks the guarantees against the known inventory, stops vouching
/// for data centres that it takes out of service, writes, and returns once this entry has applied
/// the revision. Waits in the calling fiber. Errors as of ApplyConfigChange.
ConfigRevision WriteChange(OperatorContext& context, const ConfigChange& change);

/// Waits up to the promised 5 s until all known cells have reported the revision; says whether they
/// have.
bool WaitUntilInForce(const OperatorContext& context, ConfigRevision revision);

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_PROCESS_OPERATOR_CHANGE_H_
