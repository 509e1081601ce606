/// \file
/// Whether a version of a flow can be run.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_set>

#include "base/runtime.hpp"
#include "cloud/catalogue.hpp"
#include "config/platform.hpp"
#include "store/change_watcher.hpp"

namespace kestrelhoist {

/// What an admission depends on. `types`: null if the machine types aren't known yet.
struct FlowAdmission {
  const Replica& replica;
  const Platform& platform;
  const Catalogue* types;

  /// Why this version can't be run, as the answer to the user; empty: it can.
  std::optional<Response> refusal(const FlowId& id, const FlowVersion& version,
                                  const FlowHead& head) const;

 private:
  using Outputs = std::unordered_set<std::uint64_t>;

  std::optional<Response> ruleRefusal(const FlowRule& rule, const Resources& limit) const;
  std::optional<Response> outputRefusal(const FlowId& id, const FlowHead& head,
                                        const Outputs& outputs) const;
  std::optional<Response> sharedOutput(const FlowId& id, const FlowHead& head,
                                       const Outputs& outputs, const FlowId& otherId,
                                       const FlowState& other) const;
};

}  // namespace kestrelhoist
