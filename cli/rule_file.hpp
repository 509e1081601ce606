/// \file
/// Plans the rule files of users, which are Snakefiles or Makefiles.
#pragma once

#include "rules/make.hpp"
#include "rules/snake.hpp"

namespace kestrelhoist {

/// A rule file and the options of its planning.
struct RuleFile {
  std::string path;  ///< The path on the command line.
  std::vector<std::string> targets;
  std::vector<std::pair<std::string, std::string>> config;
  /// The language, "snakemake" or "make". If it is empty, the file name determines the language.
  std::string language;
  /// The directory of the sources. If it is empty, the sources are in the rule file's directory.
  std::string directory;
  std::string image = "default";
  bool spot = true;
};

/// The plan of a rule file.
struct PlannedFile {
  rules::FlowPlan plan;
  /// The directory to which the paths of the sources and of the other files are relative.
  std::string directory;
  /// The path of the rule file, relative to `directory`.
  std::string file;
  /// The files that the planner has read: rule files, included files and configuration files.
  std::vector<std::string> read;
};

/// Plans a rule file. Throws rules::RuleError if the file is invalid.
PlannedFile planFile(const RuleFile& file, const rules::Limits& limits = {});
/// Adds an instance after each checkpoint. This instance plans the rule file again and amends the
/// flow if the plan has changed.
void addReplans(PlannedFile& planned);

/// Formats a plan as text, with the commands of the instances if `commands` is true.
std::string listing(const rules::FlowPlan& plan, bool commands);
/// Formats a plan as a graph for Graphviz.
std::string dotGraph(const rules::FlowPlan& plan);
Json planToJson(const rules::FlowPlan& plan);

}  // namespace kestrelhoist
