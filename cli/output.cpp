#include "cli/output.hpp"

#include <cstdio>
#include <iostream>

#include "base/process_signals.hpp"
#include "cli/commands.hpp"

namespace kestrelhoist::hoist {

int runWithOutput(const std::function<int()>& command) {
  openClosedStandardStreams();
  ignoreBrokenPipes();
  std::cout.exceptions(std::ios_base::badbit);
  int code = kOutputClosed;
  try {
    code = command();
    std::cout.flush();
  } catch (const std::ios_base::failure&) {
    code = kOutputClosed;
  }
  std::cout.exceptions(std::ios_base::goodbit);
  return std::fflush(stdout) == 0 ? code : kOutputClosed;
}

}  // namespace kestrelhoist::hoist
