/// \file
/// Groups of rules (Snakemake): what of one group needs one another runs as one instance.
#pragma once

#include "rules/plan.hpp"

namespace kestrelhoist::rules {

/// `groupOf`: by rule, empty for none. Tells which instances stand for several now. Throws
/// RuleError.
std::vector<bool> mergeGroups(FlowPlan& plan, const std::vector<std::string>& groupOf);

}  // namespace kestrelhoist::rules
