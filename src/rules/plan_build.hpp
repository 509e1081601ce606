/// \file
/// What both languages need to make a plan: instances by the files that they make, found depth
/// first without recursion, so that neither a long chain nor a cycle costs a stack.
#pragma once

#include <functional>
#include <unordered_map>
#include <unordered_set>

#include "rules/plan.hpp"

namespace kestrelhoist::rules {

class PlanBuilder {
 public:
  PlanBuilder(FlowPlan& plan, const Limits& limits) : plan_(plan), limits_(limits) {}

  /// One way to make a file: the instance without its deps.
  struct Made {
    PlannedInstance instance;
    std::vector<std::string> orderOnly;  ///< needed first, but no input
    Place place;                         ///< of its rule
    bool nothing = false;                ///< only stands for what it needs
  };
  /// What makes this file: nullptr if nothing does.
  std::function<std::shared_ptr<Made>(const std::string& file)> maker;
  /// Whether it is there although nobody makes it.
  std::function<bool(const std::string& file)> isSource;
  /// Before `maker`: what needs it first; may be null.
  std::function<void(const std::string& file, const std::string& neededBy)> onNeed;

  /// Adds what is needed for it; `why` is for people. Throws RuleError.
  void want(const std::string& file, const std::string& why);
  /// Adds one more instance after all others; its deps are given.
  Instance append(PlannedInstance instance);
  /// The instances that stand for this file.
  const std::vector<Instance>* madeBy(const std::string& file) const;

 private:
  enum class Mark { open, done };
  void finish(const std::string& file, const std::shared_ptr<Made>& made, const std::string& why);

  FlowPlan& plan_;
  const Limits& limits_;
  std::unordered_map<std::string, Mark> marks_;  ///< by file
  std::unordered_map<std::string, std::vector<Instance>> made_;
  std::unordered_set<std::string> sources_;
  std::size_t edges_ = 0;
};

}  // namespace kestrelhoist::rules
