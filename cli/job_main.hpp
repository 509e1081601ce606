/// \file
/// Defines the command line of `hoist job`.
#pragma once

#include "cli/commands.hpp"
#include "cli/job_commands.hpp"

namespace kestrelhoist::hoist {

/// Adds `hoist job` and its subcommands to an application.
class JobCommands {
 public:
  explicit JobCommands(CLI::App& app);
  /// Runs the subcommand of the command line and returns its exit code. Returns std::nullopt if the
  /// command line contains no subcommand of `hoist job`.
  std::optional<int> run(const Options& common);

 private:
  JobOptions options_;
  CLI::App *submit_, *status_, *list_, *watch_, *cancel_, *logs_;
};

}  // namespace kestrelhoist::hoist
