/// \file
/// Defines the flow plan that a rule file is resolved into. A plan holds rules and their instances,
/// and each instance comes after its dependencies. The plan format is the same for Makefiles and
/// Snakefiles.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "flows/graph.hpp"

namespace kestrelhoist::rules {

/// Identifies a position in a rule file. Lines and columns are counted from 1, and line 0 means
/// that only the file is known.
struct Place {
  std::string file;
  std::size_t line = 0, column = 0;
  std::string str() const {
    return line == 0 ? file : file + ":" + std::to_string(line) + ":" + std::to_string(column);
  }
};

/// Reports an error in a rule file. `construct` names the unsupported language construct, and it is
/// empty for other errors.
class RuleError : public std::runtime_error {
 public:
  RuleError(const Place& place, const std::string& why, std::string construct = "")
      : std::runtime_error(place.str() + ": " + why), construct_(std::move(construct)) {}
  const std::string& construct() const { return construct_; }

 private:
  std::string construct_;
};

/// Describes how an output file of an instance is treated.
struct OutputFlags {
  /// The file is removed after all instances that depend on it are done.
  bool temporary{};
  /// The file is made read-only after the command has succeeded.
  bool guarded{};
  bool directory{};
  /// The file is created, or its modification time is updated, after the command has succeeded.
  bool touch{};
};

/// Describes one instance of a rule: its files, its command and its dependencies.
struct PlannedInstance {
  std::uint32_t rule{};
  std::map<std::string, std::string> wildcards;
  std::vector<std::string> inputs, outputs;
  /// The flags are in the same order as `outputs`.
  std::vector<OutputFlags> flags;
  /// The command is run by a shell. It is empty if the instance runs nothing.
  std::string command;
  std::string log, benchmark;
  /// A missing output does not fail the attempt if this is set.
  bool lenient{};
  /// The outputs of a failed attempt are removed if this is set.
  bool deleteOnError{};
  /// The rule file is resolved again when this instance is done.
  bool checkpoint{};
  /// Dependencies are sorted and have smaller numbers than the instance itself.
  std::vector<Instance> deps;
  /// This text explains to users why the instance is in the plan.
  std::string why;
  /// The fingerprint is set by `seal`.
  std::uint64_t print{};
};

/// Holds the rules and the instances of a flow.
struct FlowPlan {
  std::vector<FlowRule> rules;
  std::vector<PlannedInstance> instances;
  /// Sources are input files that no rule makes.
  std::vector<std::string> sources;
};

/// Limits the cost of reading and resolving a rule file. A file that exceeds a limit is rejected.
struct Limits {
  std::size_t instances = 100000;
  std::size_t edges = 2000000;
  /// This limits the size of one rule file.
  std::size_t fileBytes = 4 << 20;
  /// This limits the total size of all texts that are read and expanded.
  std::size_t totalBytes = 64 << 20;
  /// This limits the nesting of includes, function calls and lists.
  std::size_t depth = 50;
  /// This limits the number of evaluation steps.
  std::size_t steps = 20000000;
};

/// Sets the fingerprint of each instance, which is a hash of its command, inputs, outputs, rule
/// parameters and the fingerprints of its dependencies. Renumbers the instances, and inserts join
/// instances where an instance has too many dependencies.
void seal(FlowPlan& plan);
/// Returns the hash of a file name by which the flow service compares outputs.
std::uint64_t hashOf(const std::string& name);

/// Holds a plan in the format in which it is uploaded. The plan is split into parts that fit into
/// the size limit of one value in the state service.
struct Bundle {
  Digest version;
  std::uint32_t instances{};
  std::uint32_t perText{};
  std::vector<Json> graph;
  std::vector<std::string> texts;
};
/// The size of a part stays below the 8 KiB limit of one value in the state service.
inline constexpr std::size_t kPartBytes = 7400;

/// Converts a plan into its upload format. Throws std::runtime_error if one instance alone exceeds
/// the size of a part.
Bundle bundle(const FlowPlan& plan);
/// Decodes one instance of a text part. The field `why` of the result holds the name of the rule.
/// Throws std::runtime_error.
PlannedInstance instanceFrom(const std::string& textPart, std::size_t at);
/// Decodes all instances of a text part. The field `why` of each result holds the name of the rule.
/// Throws std::runtime_error.
std::vector<PlannedInstance> instancesFrom(const std::string& textPart);

}  // namespace kestrelhoist::rules
