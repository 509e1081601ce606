/// \file
/// Makefiles: read into rules, then resolved for targets into a plan.
#pragma once

#include <set>

#include "rules/make_expr.hpp"
#include "rules/snake.hpp"

namespace kestrelhoist::rules {

struct MakeRule {
  Place place;
  std::vector<std::string> targets;  ///< with %: a pattern rule
  std::vector<std::string> inputs, orderOnly;
  std::vector<std::string> recipe;  ///< lines as written, without the tab
  std::vector<Place> recipePlaces;
  bool hasRecipe{};
  bool pattern{};
  bool grouped{};  ///< one run of the recipe makes all targets
  bool doubleColon{};
  std::string stem;  ///< of a static pattern rule
};

struct MakeFile {
  std::shared_ptr<MakeScope> globals = std::make_shared<MakeScope>();
  std::vector<MakeRule> rules;
  /// Variables of targets, by target or pattern, in their order.
  struct Specific {
    std::string target;
    std::string name, op, text;
    Place place;
  };
  std::vector<Specific> specific;
  std::set<std::string> phony;
  std::set<std::string> exported;
  bool deleteOnError{};
  bool oneShell{};
  std::string firstTarget;
  std::vector<std::string> read;
  std::shared_ptr<MakeExpander> expander;
};

MakeFile readMakefile(const PlanRequest& request);
FlowPlan planMakefile(MakeFile& file, const PlanRequest& request);
/// Sets a variable as the operator (=, :=, ::=, ?=, +=) says.
void makeAssign(MakeScope& scope, const std::string& name, const std::string& op,
                const std::string& text, MakeExpander& expander, const Place& place);

}  // namespace kestrelhoist::rules
