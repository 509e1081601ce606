/// \file
/// Variables and functions of Makefiles.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "rules/plan.hpp"

namespace kestrelhoist::rules {

struct MakeVariable {
  std::string text;
  bool simple = false;  ///< expanded when it was set (:=)
  bool fixed = false;   ///< set from outside: assignments in the file do not change it
};

/// One layer of variables over another: of a target over those of who needs it, over the file's.
struct MakeScope {
  std::map<std::string, MakeVariable> variables;
  std::shared_ptr<const MakeScope> outer;
  const MakeVariable* find(const std::string& name) const;
};

class MakeExpander {
 public:
  MakeExpander(const Limits& limits, std::vector<std::string> sources)
      : limits_(limits), sources_(std::move(sources)) {}

  /// Expands references and calls. Throws RuleError.
  std::string expand(const std::string& text, const MakeScope& scope, const Place& place);
  void spend(std::size_t steps, std::size_t bytes, const Place& place);
  const std::vector<std::string>& sources() const { return sources_; }

 private:
  friend class MakeCall;
  const Limits& limits_;
  std::vector<std::string> sources_;
  std::size_t steps_ = 0, bytes_ = 0, depth_ = 0;
};

/// Without the blanks around it.
std::string makeStrip(const std::string& s);
std::vector<std::string> makeWords(const std::string& text);
std::string makeJoin(const std::vector<std::string>& words);
/// Matches a pattern with at most one %; gives the stem.
bool makeMatch(const std::string& pattern, const std::string& word, std::string* stem);
std::string makeSubstitute(const std::string& pattern, const std::string& stem);

}  // namespace kestrelhoist::rules
