#include "flows/routes.hpp"

#include <algorithm>

namespace kestrelhoist {
namespace {

const std::string kRoot = "/v2/flows";

std::optional<FlowRoute> routeOfFlow(const std::string& verb) {
  if (verb.empty()) return FlowRoute::status;
  if (verb == "report") return FlowRoute::report;
  if (verb == "failures") return FlowRoute::failures;
  if (verb == "uploads") return FlowRoute::uploads;
  if (verb == "parts") return FlowRoute::parts;
  if (verb == "commit") return FlowRoute::commit;
  if (verb == "cancel") return FlowRoute::cancel;
  return std::nullopt;
}

}  // namespace

bool isWriteRoute(FlowRoute route) {
  return route == FlowRoute::uploads || route == FlowRoute::parts || route == FlowRoute::commit ||
         route == FlowRoute::cancel;
}

std::optional<FlowPath> parseFlowPath(const std::string& path) {
  if (!path.starts_with(kRoot)) return std::nullopt;
  FlowPath out;
  auto mark = path.find('?');
  if (mark != std::string::npos) out.query = path.substr(mark + 1);
  std::string rest = path.substr(0, mark).substr(kRoot.size());
  for (std::size_t at = 0; at < rest.size();) {
    if (rest[at] != '/') return std::nullopt;
    auto end = std::min(rest.find('/', at + 1), rest.size());
    out.segments.push_back(rest.substr(at + 1, end - at - 1));
    at = end;
  }
  return out;
}

std::optional<FlowRoute> routeOf(const FlowPath& path) {
  const auto& segments = path.segments;
  if (segments.empty()) return FlowRoute::list;
  if (segments[0] == "tasks" && segments.size() == 3) return FlowRoute::task;
  if (segments[0] == "account" && segments.size() == 1) return FlowRoute::account;
  if (segments.size() == 4 && segments[1] == "texts") return FlowRoute::text;
  if (segments.size() > 2) return std::nullopt;
  return routeOfFlow(segments.size() > 1 ? segments[1] : "");
}

}  // namespace kestrelhoist
