#include "basilspring/process/command_line.h"

int main(int argc, char** argv) { return basilspring::RunCommandLine(argc, argv); }
