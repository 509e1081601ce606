/// \file
/// Builds flow plans for both rule languages. The dependency graph is searched depth first without
/// recursion, so that neither a long dependency chain nor a cycle overflows the call stack.
#pragma once

#include <functional>
#include <unordered_map>
#include <unordered_set>

#include "rules/plan.hpp"

namespace kestrelhoist::rules {

/// Adds to a plan the instances that the requested files depend on.
class PlanBuilder {
 public:
  PlanBuilder(FlowPlan& plan, const Limits& limits) : plan_(plan), limits_(limits) {}

  /// Describes how a file is made. The dependencies of the instance are not filled in yet.
  struct Made {
    PlannedInstance instance;
    /// Order-only prerequisites are made before the instance runs, but they are not its inputs.
    std::vector<std::string> orderOnly;
    /// This is the position of the rule.
    Place place;
    /// No instance is created if this is set: the file is an alias for its prerequisites.
    bool isAlias = false;
  };
  /// Returns how this file is made, or nullptr if no rule makes it.
  std::function<std::shared_ptr<Made>(const std::string& file)> maker;
  /// Returns whether this file exists as a source file that no rule makes.
  std::function<bool(const std::string& file)> isSource;
  /// This callback runs before `maker` when a file is first required. `neededBy` is the file that
  /// requires it, or empty for a requested target. The callback may be null.
  std::function<void(const std::string& file, const std::string& neededBy)> onNeed;

  /// Adds all instances that are required to make the file. `why` explains the request to users.
  /// Throws RuleError.
  void want(const std::string& file, const std::string& why);
  /// Appends an instance whose dependencies are already filled in. Throws RuleError.
  Instance append(PlannedInstance instance);
  /// Returns the instances that make this file, or nullptr if there are none.
  const std::vector<Instance>* madeBy(const std::string& file) const;

 private:
  enum class Mark { open, done };
  void finish(const std::string& file, const std::shared_ptr<Made>& made, const std::string& why);

  FlowPlan& plan_;
  const Limits& limits_;
  /// The search state of each file is kept by file name.
  std::unordered_map<std::string, Mark> marks_;
  std::unordered_map<std::string, std::vector<Instance>> made_;
  std::unordered_set<std::string> sources_;
  std::size_t edges_ = 0;
};

}  // namespace kestrelhoist::rules
