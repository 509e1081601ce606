/// \file
/// File names with wildcards: "scans/{sheet}.{kind,tif|png}". Matched in linear time, whatever the
/// constraints are (RE2: no back references or look-around).
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

using Wildcards = std::map<std::string, std::string>;

class Pattern {
 public:
  /// `constraints`: of the rule and of the file, by name. Throws RuleError.
  Pattern(const std::string& text, const std::map<std::string, std::string>& constraints,
          const Place& place);

  const std::vector<std::string>& names() const { return names_; }  ///< each once, in order
  bool plain() const { return names_.empty(); }
  const std::string& text() const { return text_; }
  /// The text without wildcards that every match begins with.
  const std::string& prefix() const { return prefix_; }
  std::optional<Wildcards> match(const std::string& file) const;

 private:
  std::string text_, prefix_;
  std::vector<std::string> names_;
  std::vector<std::string> groups_;  ///< the name of each capturing group that is a wildcard
  std::shared_ptr<re2::RE2> regex_;
};

/// Puts wildcards in place; "{{" and "}}" stand for braces. Throws RuleError for an unknown name.
std::string applyWildcards(const std::string& text, const Wildcards& wildcards, const Place& place);

}  // namespace kestrelhoist::rules
