/// \file
/// Generates flows for scenarios. A flow consists of layers of instances, and each instance needs
/// outputs of the layer before its own.
#pragma once

#include <set>

#include "rules/plan.hpp"

namespace kestrelhoist::sim {

/// Describes a generated flow.
struct FlowPlanSpec {
  std::string id;
  std::string member = "ana", name = "flow", team = "team";
  int width = 4, length = 3;
  /// Each instance has this many inputs from the layer before its own.
  int deps = 1;
  /// If positive, the first layer has this width instead of `width`.
  int first = 0;
  /// If set, the last layer is one instance that needs all outputs of the layer before.
  bool join = false;
  /// If set, the inputs are chosen at random with `seed`.
  bool random = false;
  std::uint64_t seed = 1;
  double runS = 5;
  double gpus = 1;
  bool spot = true;
  bool keep = false;
  int retries = 0;
  /// The first instance of this layer fails.
  int failLayer = -1;
  /// The failing instance fails in this many attempts; -1 means in every attempt.
  int failTimes = 0;
  /// The instances of these layers get a different command, as after an edit of the flow.
  std::set<int> marked;
  /// The names of all output files begin with this prefix.
  std::string prefix;
};

/// Returns the flow plan of the description.
rules::FlowPlan planFrom(const FlowPlanSpec& spec);

}  // namespace kestrelhoist::sim
