/// \file
/// Defines the HTTP responses that several requests for flows share.
#pragma once

#include <string>

#include "base/runtime.hpp"
#include "flows/records.hpp"

namespace kestrelhoist {

/// Returns a response with an error text.
inline Response errorResponse(int status, const std::string& why) {
  return jsonResponse(status, {{"error", why}});
}

/// Returns a response with the phase and the version number of a flow.
inline Response headResponse(const FlowId& id, const FlowHead& head, int status) {
  return jsonResponse(
      status, {{"ref", id.value}, {"phase", toString(head.phase)}, {"version", head.version}});
}

}  // namespace kestrelhoist
