/// \file
/// Evaluates the expressions of Snakefiles that need no Python interpreter: literals,
/// concatenations, variables, configuration values and the supported functions. An expression that
/// needs Python is rejected with an error that names the construct.
#pragma once

#include <functional>
#include <map>

#include "rules/value.hpp"

namespace kestrelhoist::rules {

/// Holds the name and the text of a rule file, and converts offsets in the text to positions.
struct Source {
  std::string file;
  /// This is the text of the whole file.
  std::string_view text;
  Place at(std::size_t offset) const;
};

/// Holds the variables, the configuration and the resource usage of an evaluation.
class SnakeEnv {
 public:
  std::map<std::string, Value> names;
  Value config = Value::dict();
  /// These are the source files that glob_wildcards matches.
  std::vector<std::string> files;
  const Limits* limits = nullptr;
  /// `steps` and `bytes` count the work that the evaluation has done so far.
  std::size_t steps = 0;
  std::size_t bytes = 0;

  /// Counts evaluation steps and bytes. Throws RuleError if a limit is exceeded.
  void spend(std::size_t steps, std::size_t bytes, const Place& place);
};

/// Parses and evaluates the arguments at [begin, end) of the source, such as `"a", "b", name="c"`.
/// Throws RuleError.
Args parseArgs(const Source& source, std::size_t begin, std::size_t end, SnakeEnv& env);
/// Parses and evaluates the expression at [begin, end) of the source. Throws RuleError.
Value parseExpr(const Source& source, std::size_t begin, std::size_t end, SnakeEnv& env);

}  // namespace kestrelhoist::rules
