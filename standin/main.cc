#include <fmt/format.h>

#include <exception>
#include <string_view>

#include "standin/backend_main.h"
#include "standin/history.h"
#include "standin/latency.h"
#include "standin/load.h"
#include "standin/operators_record.h"
#include "standin/platform_main.h"
#include "standin/soak_main.h"
#include "standin/store_main.h"

int main(int argc, char** argv) {
  const std::string_view role = argc > 1 ? argv[1] : "";
  try {
    if (role == "store") return basilspring::standin::RunStoreStandin(argc - 1, argv + 1);
    if (role == "backend") return basilspring::standin::RunBackendStandin(argc - 1, argv + 1);
    if (role == "platform") return basilspring::standin::RunPlatformStandin(argc - 1, argv + 1);
    if (role == "soak") return basilspring::standin::RunSoak(argc - 1, argv + 1);
    if (role == "load") return basilspring::standin::RunLoad(argc - 1, argv + 1);
    if (role == "latency") return basilspring::standin::RunLatency(argc - 1, argv + 1);
    if (role == "check-history") return basilspring::standin::RunCheckHistory(argc - 1, argv + 1);
    if (role == "record-event") return basilspring::standin::RunRecordEvent(argc - 1, argv + 1);
  } catch (const std::exception& error) {
    fmt::print(stderr, "basilspring-standin {}: {}\n", role, error.what());
    return 1;
  }
  fmt::print(stderr,
             "usage: basilspring-standin "
             "store|backend|platform|soak|load|latency|check-history|record-event ...\n");
  return 2;
}
