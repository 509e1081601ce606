/// \file
/// Reads Makefiles into rules and resolves the rules for the requested targets into a flow plan.
#pragma once

#include <set>

#include "rules/make_expr.hpp"
#include "rules/snake.hpp"

namespace kestrelhoist::rules {

/// One rule of a Makefile.
struct MakeRule {
  Place place;
  /// The targets contain a % if this is a pattern rule.
  std::vector<std::string> targets;
  std::vector<std::string> inputs, orderOnly;
  /// The recipe holds the unexpanded lines without the leading tab.
  std::vector<std::string> recipe;
  std::vector<Place> recipePlaces;
  bool hasRecipe{};
  bool pattern{};
  /// One run of the recipe makes all targets if this is set.
  bool grouped{};
  bool doubleColon{};
  /// The stem is set only for a static pattern rule.
  std::string stem;
};

/// The contents of a Makefile and of the files that it includes.
struct MakeFile {
  std::shared_ptr<MakeScope> globals = std::make_shared<MakeScope>();
  std::vector<MakeRule> rules;
  /// An assignment of a target-specific or pattern-specific variable.
  struct Specific {
    std::string target;
    std::string name, op, text;
    Place place;
  };
  /// The assignments are kept in the order of the file.
  std::vector<Specific> specific;
  std::set<std::string> phony;
  std::set<std::string> exported;
  bool deleteOnError{};
  bool oneShell{};
  std::string firstTarget;
  std::vector<std::string> read;
  std::shared_ptr<MakeExpander> expander;
};

/// Reads the Makefile of the request. Throws RuleError.
MakeFile readMakefile(const PlanRequest& request);
/// Resolves the requested targets into a plan. Throws RuleError.
FlowPlan planMakefile(MakeFile& file, const PlanRequest& request);
/// Assigns a variable with the given operator (=, :=, ?=, +=). Does nothing if the variable was set
/// by the plan request.
void makeAssign(MakeScope& scope, const std::string& name, const std::string& op,
                const std::string& text, MakeExpander& expander, const Place& place);

}  // namespace kestrelhoist::rules
