/// \file
/// Expands the variables and functions of Makefiles.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "rules/plan.hpp"

namespace kestrelhoist::rules {

/// One variable of a Makefile.
struct MakeVariable {
  std::string text;
  /// The text was expanded at the assignment (:=) if this is set.
  bool simple = false;
  /// The variable was set by the plan request, and assignments in the file do not change it.
  bool fixed = false;
};

/// A scope of variables with an optional outer scope. The scope of a target lies inside the scope
/// of the target that depends on it, and the outermost scope holds the global variables of the
/// file.
struct MakeScope {
  std::map<std::string, MakeVariable> variables;
  std::shared_ptr<const MakeScope> outer;
  /// Searches this scope and then the outer scopes. Returns null if the variable is not set.
  const MakeVariable* find(const std::string& name) const;
};

/// Expands texts of Makefiles within the limits on steps, bytes and nesting depth.
class MakeExpander {
 public:
  MakeExpander(const Limits& limits, std::vector<std::string> sources)
      : limits_(limits), sources_(std::move(sources)) {}

  /// Expands the variable references and function calls in a text. Throws RuleError.
  std::string expand(const std::string& text, const MakeScope& scope, const Place& place);
  /// Counts evaluation steps and bytes. Throws RuleError if a limit is exceeded.
  void spend(std::size_t steps, std::size_t bytes, const Place& place);
  const std::vector<std::string>& sources() const { return sources_; }

 private:
  friend class MakeCall;
  const Limits& limits_;
  std::vector<std::string> sources_;
  std::size_t steps_ = 0, bytes_ = 0, depth_ = 0;
};

/// Removes leading and trailing white space.
std::string makeStrip(const std::string& s);
/// Splits a text at white space.
std::vector<std::string> makeWords(const std::string& text);
/// Joins words with single spaces.
std::string makeJoin(const std::vector<std::string>& words);
/// Matches a word against a pattern with at most one %. Stores the part of the word that matches
/// the % in `stem` unless `stem` is null.
bool makeMatch(const std::string& pattern, const std::string& word, std::string* stem);
/// Replaces the first % of a pattern by the stem.
std::string makeSubstitute(const std::string& pattern, const std::string& stem);

}  // namespace kestrelhoist::rules
