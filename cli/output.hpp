/// \file
/// Runs a command whose output may be closed before it ends, such as `hoist job watch | head -1`.
#pragma once

#include <functional>

namespace kestrelhoist::hoist {

/// Prepares the standard streams and runs `command`. Returns its exit code, or kOutputClosed if not
/// all of its output could be written: a failed write to std::cout throws std::ios_base::failure,
/// which `command` must let pass.
int runWithOutput(const std::function<int()>& command);

}  // namespace kestrelhoist::hoist
