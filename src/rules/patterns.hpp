/// \file
/// Matches file names against patterns with wildcards such as "scans/{sheet}.{kind,tif|png}". RE2
/// matches in linear time for every constraint, and it has no back references or look-around.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rules/plan.hpp"

namespace re2 {
class RE2;
}

namespace kestrelhoist::rules {

/// Maps the names of wildcards to their values.
using Wildcards = std::map<std::string, std::string>;

/// Matches file names against one pattern, which contains zero or more wildcards.
class Pattern {
 public:
  /// Compiles the pattern. `constraints` maps wildcard names to regular expressions, which come
  /// from the rule and from the rule file. Throws RuleError.
  Pattern(const std::string& text, const std::map<std::string, std::string>& constraints,
          const Place& place);

  /// Returns each wildcard name once, in the order of first use.
  const std::vector<std::string>& names() const { return names_; }
  /// Returns whether the pattern has no wildcards.
  bool plain() const { return names_.empty(); }
  const std::string& text() const { return text_; }
  /// Returns the literal text before the first wildcard, with which every match begins.
  const std::string& prefix() const { return prefix_; }
  /// Returns the wildcard values, or nothing if the file name does not match.
  std::optional<Wildcards> match(const std::string& file) const;

 private:
  std::string text_, prefix_;
  std::vector<std::string> names_;
  /// Element i is the wildcard name of the capturing group "w<i>".
  std::vector<std::string> groups_;
  std::shared_ptr<re2::RE2> regex_;
};

/// Replaces each wildcard in a text by its value. "{{" and "}}" are escaped braces. Throws
/// RuleError if a wildcard has no value.
std::string applyWildcards(const std::string& text, const Wildcards& wildcards, const Place& place);

}  // namespace kestrelhoist::rules
