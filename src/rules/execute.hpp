/// \file
/// Prepares the working directory before the command of an instance runs, and checks the outputs of
/// the command after it has ended.
#pragma once

#include "rules/plan.hpp"

namespace kestrelhoist::rules {

/// Creates the parent directories of the outputs and of the log file, and removes outputs that an
/// earlier attempt left behind. Returns an empty string on success, otherwise the error message.
std::string prepare(const std::string& directory, const PlannedInstance& instance);
/// Checks, touches, write-protects or removes the outputs after the command has ended. Returns an
/// empty string if the attempt succeeded, otherwise the reason why the attempt counts as failed.
std::string conclude(const std::string& directory, const PlannedInstance& instance, bool succeeded,
                     double seconds);
/// Returns whether the file name is a relative path without ".." components, so that the file lies
/// below the directory of the flow.
bool staysInside(const std::string& name);
/// Returns the sorted relative paths of the regular files below a directory. Hidden files and
/// hidden directories are left out, and at most `most` files are returned.
std::vector<std::string> filesBelow(const std::string& directory, std::size_t most);

}  // namespace kestrelhoist::rules
