/// \file
/// The command lines of `hoist job` and of hoist-admin.
#pragma once

#include "cli/commands.hpp"
#include "cli/job_commands.hpp"

namespace kestrelhoist::hoist {

/// `hoist job ...`, as subcommands of an application.
class JobCommands {
 public:
  explicit JobCommands(CLI::App& app);
  /// The exit code, if one of them was given.
  std::optional<int> run(const Options& common);

 private:
  JobOptions options_;
  CLI::App *submit_, *status_, *list_, *watch_, *cancel_, *logs_;
};

}  // namespace kestrelhoist::hoist
