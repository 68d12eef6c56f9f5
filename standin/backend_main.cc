#include "standin/backend_main.h"

#include <tclap/CmdLine.h>

#include <cstdint>
#include <future>
#include <string>

#include "basilspring/process/io_thread.h"
#include "standin/backend_server.h"

namespace basilspring::standin {

int RunBackendStandin(int argc, char** argv) {
  using Text = TCLAP::ValueArg<std::string>;
  using Number = TCLAP::ValueArg<std::uint32_t>;
  TCLAP::CmdLine command("Stand-in for a backend server", ' ', "0.1.0");
  Text agent("", "agent", "HTTP address of the agent to announce to", true, "", "IP:PORT", command);
  Text listen("", "listen", "Address to serve on", true, "", "IP:PORT", command);
  Number cores("", "cores", "Cores", false, 60, "N", command);
  Number memory("", "memory-mb", "Memory in mebibytes", false, 130000, "N", command);
  Number accelerators("", "accelerators", "Accelerators", false, 8, "N", command);
  Number slots("", "slots", "Maximum of concurrent tasks", false, 8, "N", command);
  Number connections("", "connections", "Maximum of concurrent connections", false, 60, "N",
                     command);
  Text record("", "record", "File to append one JSON line to for each start, end and refusal",
              false, "", "FILE", command);
  command.parse(argc, argv);
  BackendOptions options;
  options.agent = Address::Parse(agent.getValue());
  options.listen = Address::Parse(listen.getValue());
  options.capacity = {Cores(cores.getValue()), Megabytes(memory.getValue()),
                      Accelerators(accelerators.getValue()), Slots(slots.getValue()),
                      Connections(connections.getValue())};
  options.record_path = record.getValue();
  IoThread signals;
  std::promise<void> stop;
  signals.OnStopSignal([&stop] { stop.set_value(); });
  const BackendServer server(options);
  stop.get_future().wait();
  return 0;
}

}  // namespace basilspring::standin
