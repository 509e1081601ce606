/// \file
/// The paths of the flows' interface; docs/flows.md describes what they take and answer.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace kestrelhoist {

/// What a path below /v2/flows asks for.
enum class FlowRoute {
  list,
  account,
  task,
  text,
  status,
  report,
  failures,
  uploads,
  parts,
  commit,
  cancel,
};

/// Whether the route changes something: those take POST, the others GET.
bool writes(FlowRoute route);

/// A path below /v2/flows.
struct FlowPath {
  std::vector<std::string> segments;
  std::string query;
};

/// Empty: not a path of flows.
std::optional<FlowPath> flowPathFrom(const std::string& path);
/// Empty: no such path.
std::optional<FlowRoute> routeOf(const FlowPath& path);

}  // namespace kestrelhoist
