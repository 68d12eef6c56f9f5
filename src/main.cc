#include "basilspring/process/command_line.h"
#include "platform/adapters.h"

int main(int argc, char** argv) {
  return basilspring::RunCommandLine(argc, argv, &basilspring::platform::MakeAdapters);
}
