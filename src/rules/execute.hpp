/// \file
/// What stands around a command on the machine that runs it: directories before, outputs after.
#pragma once

#include "rules/plan.hpp"

namespace kestrelhoist::rules {

/// Makes the directories of outputs and log. Empty: fine; otherwise why not.
std::string prepare(const std::string& directory, const PlannedInstance& instance);
/// After the command has ended: checks, touches, protects or removes outputs. Empty: the attempt
/// has made what it should; otherwise why it counts as failed.
std::string conclude(const std::string& directory, const PlannedInstance& instance, bool succeeded,
                     double seconds);
/// A file's name below the directory: not absolute, no "..".
bool staysInside(const std::string& name);
/// Files below a directory, relative and sorted, hidden ones left out; at most `most`.
std::vector<std::string> filesBelow(const std::string& directory, std::size_t most);

}  // namespace kestrelhoist::rules
