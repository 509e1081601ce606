/// \file
/// Expressions of Snakemake files, as far as they are data: literals, concatenation, names,
/// configuration, and the documented functions. Anything that needs Python is refused by name.
#pragma once

#include <functional>
#include <map>

#include "rules/value.hpp"

namespace kestrelhoist::rules {

/// Where an argument list stands in a file.
struct Source {
  std::string file;
  std::string_view text;  ///< of the whole file
  Place at(std::size_t offset) const;
};

class SnakeEnv {
 public:
  std::map<std::string, Value> names;
  Value config = Value::dict();
  std::vector<std::string> files;  ///< sources, for glob_wildcards
  const Limits* limits = nullptr;
  std::size_t steps = 0;  ///< spent so far
  std::size_t bytes = 0;

  /// Counts work; throws RuleError beyond the limits.
  void spend(std::size_t steps, std::size_t bytes, const Place& place);
};

/// Arguments at [begin, end) of the source: `"a", "b", name="c"`.
Args parseArgs(const Source& source, std::size_t begin, std::size_t end, SnakeEnv& env);
/// One expression.
Value parseExpr(const Source& source, std::size_t begin, std::size_t end, SnakeEnv& env);

}  // namespace kestrelhoist::rules
