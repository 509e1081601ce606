/// \file
/// Merges Snakemake rule groups: instances of one group that depend on one another directly are
/// merged and run as one instance.
#pragma once

#include "rules/plan.hpp"

namespace kestrelhoist::rules {

/// Merges the instances of each group. `groupOf` holds the group name of each rule and is empty for
/// a rule without a group. Returns for each instance of the new plan whether it was merged from
/// several instances. Throws RuleError if the merged instances would form a dependency cycle or
/// if a grouped rule has a benchmark file.
std::vector<bool> mergeGroups(FlowPlan& plan, const std::vector<std::string>& groupOf);

}  // namespace kestrelhoist::rules
