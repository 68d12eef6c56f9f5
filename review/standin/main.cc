#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>

#include "review/standin/fleet.h"

/// Usage: review-standin CASE PROGRAM FOLDER RECORD. With TROUBLE=0 in the environment the case
/// runs without its disruption.
int main(int argc, char** argv) {
  using namespace basilspring::review;
  if (argc != 5) {
    std::fprintf(stderr, "usage: review-standin CASE PROGRAM FOLDER RECORD\n");
    return kCouldNotRun;
  }
  ::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  const CaseOptions options{argv[2], argv[3], argv[4],
                            trouble == nullptr || std::string(trouble) != "0"};
  try {
    switch (std::atoi(argv[1])) {
      case 1:
        return RunCase1(options);
      case 2:
        return RunCase2(options);
      case 4:
        return RunCase4(options);
      case 5:
        return RunCase5(options);
      default:
        break;
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "review-standin: %s\n", error.what());
  }
  return kCouldNotRun;
}
