/// \file
/// Checks whether a version of a flow can run.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_set>

#include "base/runtime.hpp"
#include "cloud/catalogue.hpp"
#include "config/platform.hpp"
#include "store/change_watcher.hpp"

namespace kestrelhoist {

/// Checks a flow version against the configuration and the open flows. `types` is null while the
/// machine types have not been received from the cloud.
struct FlowAdmission {
  const Replica& replica;
  const Platform& platform;
  const Catalogue* types;

  /// Returns the error response if the version cannot run, or null if it can.
  std::optional<Response> refusal(const FlowId& id, const FlowVersion& version,
                                  const FlowHead& head) const;

 private:
  using Outputs = std::unordered_set<std::uint64_t>;

  std::optional<Response> ruleRefusal(const FlowRule& rule, const Resources& limit) const;
  std::optional<Response> outputRefusal(const FlowId& id, const FlowHead& head,
                                        const Outputs& outputs) const;
  std::optional<Response> sharedOutputRefusal(const FlowId& id, const FlowHead& head,
                                              const Outputs& outputs, const FlowId& otherId,
                                              const FlowState& other) const;
};

}  // namespace kestrelhoist
