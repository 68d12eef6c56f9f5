#include "basilspring/process/command_line.h"
#include "platform/carriers.h"

int main(int argc, char** argv) {
  return basilspring::RunCommandLine(argc, argv, &basilspring::platform::MakeCarriers);
}
