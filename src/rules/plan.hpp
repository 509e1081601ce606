/// \file
/// What a rule file comes to: rules, and their instances in an order in which each comes after what
/// it needs. The same whichever language the file is in.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "flows/graph.hpp"

namespace kestrelhoist::rules {

/// A place in a rule file, lines and columns from 1.
struct Place {
  std::string file;
  std::size_t line = 0, column = 0;
  std::string str() const {
    return line == 0 ? file : file + ":" + std::to_string(line) + ":" + std::to_string(column);
  }
};

/// What is wrong with a rule file; `construct` names what is not supported, if that is it.
class RuleError : public std::runtime_error {
 public:
  RuleError(const Place& place, const std::string& why, std::string construct = "")
      : std::runtime_error(place.str() + ": " + why), construct_(std::move(construct)) {}
  const std::string& construct() const { return construct_; }

 private:
  std::string construct_;
};

/// Files of an instance that are not plain ones.
struct OutputFlags {
  bool temporary{};  ///< removed once everything that needs it is done
  bool guarded{};    ///< made read-only
  bool directory{};
  bool touch{};  ///< made, or its time set, by the one who runs the command
};

struct PlannedInstance {
  std::uint32_t rule{};
  std::map<std::string, std::string> wildcards;
  std::vector<std::string> inputs, outputs;
  std::vector<OutputFlags> flags;  ///< as outputs
  std::string command;             ///< for a shell; empty: nothing is to be run
  std::string log, benchmark;
  bool lenient{};              ///< an output that it does not make is no fault
  bool deleteOnError{};        ///< outputs of a failed attempt are removed
  bool checkpoint{};           ///< the file is worked out again when it is done
  std::vector<Instance> deps;  ///< smaller numbers, in order
  std::string why;             ///< for people
  std::uint64_t print{};       ///< set by `seal`
};

struct FlowPlan {
  std::vector<FlowRule> rules;
  std::vector<PlannedInstance> instances;
  std::vector<std::string> sources;  ///< files that nobody makes and something needs
};

/// What resolving a file may cost; beyond it the file is refused.
struct Limits {
  std::size_t instances = 100000;
  std::size_t edges = 2000000;
  std::size_t fileBytes = 4 << 20;    ///< of one rule file
  std::size_t totalBytes = 64 << 20;  ///< of everything read and expanded
  std::size_t depth = 50;             ///< of includes, functions, nested lists
  std::size_t steps = 20000000;       ///< of evaluation
};

/// Sets the fingerprints: a hash of command, inputs, outputs, parameters and what is upstream.
void seal(FlowPlan& plan);
/// Of a file's name, as the service compares it.
std::uint64_t hashOf(const std::string& name);

/// A plan in the form in which it is handed over, in parts that fit the service's values.
struct Bundle {
  Digest version;
  std::uint32_t instances{};
  std::uint32_t perText{};
  std::vector<Json> graph;
  std::vector<std::string> texts;
};
inline constexpr std::size_t kPartBytes = 7400;  ///< below the 8 KiB that each value may have

/// Throws std::runtime_error if one instance's text alone is too large.
Bundle bundle(const FlowPlan& plan);
/// One instance of a text part, or all; `why` is the rule's name. Throw std::runtime_error.
PlannedInstance instanceFrom(const std::string& textPart, std::size_t at);
std::vector<PlannedInstance> instancesFrom(const std::string& textPart);

}  // namespace kestrelhoist::rules
