#include "process/cell_core_internal.h"

namespace basilspring {

void CellCore::Impl::NoteHealth(const Attempt& /*attempt*/, const Member& /*member*/,
                                Duration /*ran_for*/) {}

void CellCore::Impl::TickHealth() {}

}  // namespace basilspring
