/// \file
/// Answers to users that several requests of the flows' interface give.
#pragma once

#include <string>

#include "base/runtime.hpp"
#include "flows/records.hpp"

namespace kestrelhoist {

inline Response errorResponse(int status, const std::string& why) {
  return jsonResponse(status, {{"error", why}});
}

/// Where a flow is: its phase and the number of its version.
inline Response headResponse(const FlowId& id, const FlowHead& head, int status) {
  return jsonResponse(
      status, {{"ref", id.value}, {"phase", wordOf(head.phase)}, {"version", head.version}});
}

}  // namespace kestrelhoist
