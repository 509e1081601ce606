/// \file
/// Made-up flows for scenarios: layers of instances, each needing some of the layer before.
#pragma once

#include <set>

#include "rules/plan.hpp"

namespace kestrelhoist::sim {

struct FlowPlanSpec {
  std::string id;
  std::string member = "ana", name = "flow", team = "team";
  int width = 4, length = 3;
  int deps = 1;         ///< inputs of each instance from the layer before
  int first = 0;        ///< width of the first layer, if another
  bool join = false;    ///< the last layer is one instance that needs all
  bool random = false;  ///< which inputs, by `seed`
  std::uint64_t seed = 1;
  double runS = 5;
  double gpus = 1;
  bool spot = true;
  bool keep = false;
  int retries = 0;
  int failLayer = -1;    ///< the first instance of this layer fails...
  int failTimes = 0;     ///< ...so often; -1: always
  std::set<int> marked;  ///< layers whose command is another than before
  std::string prefix;    ///< of file names
};

rules::FlowPlan planFrom(const FlowPlanSpec& spec);

}  // namespace kestrelhoist::sim
