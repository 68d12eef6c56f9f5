#ifndef BASILSPRING_STANDIN_OPERATORS_RECORD_H_
#define BASILSPRING_STANDIN_OPERATORS_RECORD_H_

namespace basilspring::standin {

/// `basilspring-standin record-event FILE EVENT [FIELD=VALUE...]`: appends a JSON line with the
/// time of CLOCK_BOOTTIME and of the wall clock to a record. It exists because scripts can't read
/// CLOCK_BOOTTIME. Values that consist of digits become numbers. Returns the exit code.
int RunRecordEvent(int argc, char** argv);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_OPERATORS_RECORD_H_
