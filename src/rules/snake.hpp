/// \file
/// Snakemake rule files: read into rules, then resolved for targets into a plan.
#pragma once

#include <functional>
#include <optional>

#include "rules/patterns.hpp"
#include "rules/snake_expr.hpp"

namespace kestrelhoist::rules {

/// Reads a file that a rule file names (relative to the first one); empty: there is none.
using ReadFile = std::function<std::optional<std::string>(const std::string& name)>;

/// What is asked for, whichever language the file is in.
struct PlanRequest {
  std::string file;  ///< its name
  ReadFile read;
  std::vector<std::string> targets;  ///< files or rules; none: the file's first
  std::vector<std::string> sources;  ///< files that are there
  std::vector<std::pair<std::string, std::string>> config;  ///< set from outside, in order
  std::string image = "default";                            ///< of rules that name none
  double imageGb = 0;
  bool spot = true;  ///< of rules that do not say
  Limits limits;
};

struct SnakeFiles {  // a list of files, some of which have names
  std::vector<Value> files;
  std::vector<std::pair<std::string, std::pair<std::size_t, std::size_t>>> names;  ///< first, count
  std::vector<Place> places;                                                       ///< as files
};

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

struct SnakeFile {
  std::vector<SnakeRule> rules;
  std::vector<std::vector<std::string>> order;  ///< ruleorder: earlier ones first
  std::map<std::string, std::string> constraints;
  std::vector<std::string> localRules;
  std::vector<std::string> read;  ///< files that were read: the first, includes, configuration
  Value config;
};

SnakeFile readSnakefile(const PlanRequest& request);
FlowPlan planSnakefile(const SnakeFile& file, const PlanRequest& request);

}  // namespace kestrelhoist::rules
