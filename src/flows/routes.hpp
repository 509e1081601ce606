/// \file
/// Parses the paths of the HTTP interface for flows. Requests and responses are described in
/// docs/flows.md.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace kestrelhoist {

/// Identifies the request for a path below /v2/flows.
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

/// Returns true if the route changes a flow. Such routes use POST; all others use GET.
bool isWriteRoute(FlowRoute route);

/// Contains the path segments after /v2/flows, and the query.
struct FlowPath {
  std::vector<std::string> segments;
  std::string query;
};

/// Returns null if `path` is not at or below /v2/flows.
std::optional<FlowPath> parseFlowPath(const std::string& path);
/// Returns null if no route has this path.
std::optional<FlowRoute> routeOf(const FlowPath& path);

}  // namespace kestrelhoist
