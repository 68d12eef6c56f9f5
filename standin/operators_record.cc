#include "standin/operators_record.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <fstream>
#include <string>

#include "basilspring/clock.h"

namespace basilspring::standin {

int RunRecordEvent(int argc, char** argv) {
  if (argc < 3) {
    fmt::print(stderr, "usage: basilspring-standin record-event FILE EVENT [FIELD=VALUE...]\n");
    return 2;
  }
  boost::json::object event{{"ms", Clock::Now().milliseconds()},
                            {"wall_ms", Clock::WallMilliseconds()},
                            {"event", argv[2]}};
  for (int i = 3; i < argc; ++i) {
    const std::string argument = argv[i];
    const std::size_t equals = argument.find('=');
    if (equals == std::string::npos) continue;
    const std::string value = argument.substr(equals + 1);
    const bool number = !value.empty() && value.size() < 19 &&
                        value.find_first_not_of("0123456789") == std::string::npos;
    event[argument.substr(0, equals)] =
        number ? boost::json::value(std::stoll(value)) : boost::json::value(value);
  }
  std::ofstream record(argv[1], std::ios::app);
  // A single write, because several processes append to the same file.
  record << boost::json::serialize(event) + "\n" << std::flush;
  return record ? 0 : 1;
}

}  // namespace basilspring::standin
