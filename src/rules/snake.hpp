/// \file
/// Reads Snakefiles into rules and resolves the rules for the requested targets into a flow plan.
#pragma once

#include <functional>
#include <optional>

#include "rules/patterns.hpp"
#include "rules/snake_expr.hpp"

namespace kestrelhoist::rules {

/// Reads a file that a rule file refers to. The name is relative to the directory of the main rule
/// file. Returns nothing if the file does not exist.
using ReadFile = std::function<std::optional<std::string>(const std::string& name)>;

/// Describes what to plan. The request is the same for Makefiles and Snakefiles.
struct PlanRequest {
  /// This is the name of the main rule file.
  std::string file;
  ReadFile read;
  /// Targets are names of files or rules. The default target of the file is used if this is empty.
  std::vector<std::string> targets;
  /// Sources are the files that already exist.
  std::vector<std::string> sources;
  /// These settings override the configuration in the rule file. Later entries win.
  std::vector<std::pair<std::string, std::string>> config;
  /// The image, its size and the spot setting apply to rules that do not set their own.
  std::string image = "default";
  double imageGb = 0;
  bool spot = true;
  Limits limits;
};

/// Holds the files of an input, output or log directive. Some of the files have names.
struct SnakeFiles {
  std::vector<Value> files;
  /// Each name is paired with the index of its first file and the number of its files.
  std::vector<std::pair<std::string, std::pair<std::size_t, std::size_t>>> names;
  /// The positions are in the same order as `files`.
  std::vector<Place> places;
};

/// Describes one rule or checkpoint of a Snakefile.
struct SnakeRule {
  std::string name;
  Place place;
  bool checkpoint{};
  SnakeFiles inputs, outputs;
  Args params;
  std::optional<std::string> shell;
  Place shellPlace;
  std::string log, benchmark, group;
  std::int64_t threads = 1, priority = 0, retries = 0;
  std::map<std::string, Value> resources;
  std::map<std::string, std::string> constraints;
  bool defaultTarget{};
};

/// Holds the contents of a Snakefile and of the files that it includes.
struct SnakeFile {
  std::vector<SnakeRule> rules;
  /// Each element is one ruleorder statement, whose rules are listed by descending precedence.
  std::vector<std::vector<std::string>> order;
  std::map<std::string, std::string> constraints;
  std::vector<std::string> localRules;
  /// These are the names of all files that were read: the main file, included files and
  /// configuration files.
  std::vector<std::string> read;
  Value config;
};

/// Reads the Snakefile of the request. Throws RuleError.
SnakeFile readSnakefile(const PlanRequest& request);
/// Resolves the requested targets into a plan. Throws RuleError.
FlowPlan planSnakefile(const SnakeFile& file, const PlanRequest& request);

}  // namespace kestrelhoist::rules
