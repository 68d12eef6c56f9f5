#ifndef BASILSPRING_CONNECTION_MESSAGES_H_
#define BASILSPRING_CONNECTION_MESSAGES_H_

#include <string_view>
#include <variant>

#include "basilspring/connection/address.h"
#include "basilspring/connection/agent_messages.h"
#include "basilspring/connection/cell_messages.h"
#include "basilspring/connection/job_messages.h"
#include "basilspring/connection/membership_messages.h"
#include "basilspring/connection/permit_messages.h"

/// All messages between the processes of the system. A message is a plain struct with a cereal
/// member `serialize`; its index in the variant `Message` is its type on the wire.
namespace basilspring {

/// The order of the alternatives is part of the wire format: append only.
using Message =
    std::variant<Hello, FindCell, CellHolder, SubmitJob, CancelJob, QueryJob, JobAccepted,
                 JobProgress, JobFinished, JobReport, CellSummary, EntryHello, ConfigurationUpdate,
                 ConfigurationInForce, PermitRequest, Permit, VouchRequest, Vouch, Registration,
                 RegistrationAck, SchedulerHello, AgentReport, Heartbeat, HeartbeatReply, Prepare,
                 Prepared, Start, TaskStarted, TaskDone, TaskDoneAck, StopTask, TaskStopped,
                 GangHeartbeat, SchedulerGoodbye, JobReturned>;

/// Returns the name of the message type, for logs.
std::string_view MessageName(const Message& message);

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_MESSAGES_H_
