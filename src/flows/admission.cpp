#include "flows/admission.hpp"

#include <algorithm>

namespace kestrelhoist {
namespace {

constexpr std::size_t kMaxOpenFlowsPerMember = 64;
constexpr double kResourceTolerance = 1e-6;

Response refused(const std::string& why) { return jsonResponse(422, {{"error", why}}); }

}  // namespace

std::optional<Response> FlowAdmission::refusal(const FlowId& id, const FlowVersion& version,
                                               const FlowHead& head) const {
  auto team = platform.teams.find(TeamId{head.team});
  if (team == platform.teams.end()) return refused("unknown team");
  if (!types) return retryLater(503);
  for (const auto& rule : version.graph.rules()) {
    if (auto refusal = ruleRefusal(rule, team->second.limit)) return refusal;
  }
  Outputs outputs;
  outputs.reserve(version.graph.allOutputs().size());
  for (auto output : version.graph.allOutputs()) {
    if (!outputs.insert(output).second) return refused("two instances make the same file");
  }
  return outputRefusal(id, head, outputs);
}

// Refuses a rule whose tasks are larger than every machine type or than the team's limit.
std::optional<Response> FlowAdmission::ruleRefusal(const FlowRule& rule,
                                                   const Resources& limit) const {
  bool fits = std::any_of(types->types.begin(), types->types.end(), [&](const MachineType& type) {
    return rule.perTask.fitsIn(type.capacity);
  });
  if (!fits) return refused("rule " + rule.name + ": no machine type can hold a task");
  if ((limit.cpus > 0 && rule.perTask.cpus > limit.cpus + kResourceTolerance) ||
      (limit.gpus > 0 && rule.perTask.gpus > limit.gpus + kResourceTolerance)) {
    return refused("rule " + rule.name + ": a task needs more than the team's limit");
  }
  return std::nullopt;
}

// Refuses a version that writes the same file as another open flow of the member. Flows of
// different members cannot conflict, because file names contain the member and the flow.
std::optional<Response> FlowAdmission::outputRefusal(const FlowId& id, const FlowHead& head,
                                                     const Outputs& outputs) const {
  auto open = replica.flows().openFlowsOf(head.team, head.member);
  if (open.size() >= kMaxOpenFlowsPerMember &&
      std::find(open.begin(), open.end(), id) == open.end()) {
    return refused("more than " + std::to_string(kMaxOpenFlowsPerMember) + " open flows");
  }
  for (const auto& otherId : open) {
    if (otherId == id) continue;
    const FlowState* other = replica.flows().find(otherId);
    if (!other || !other->head) continue;
    if (auto refusal = sharedOutputRefusal(id, head, outputs, otherId, *other)) return refusal;
  }
  return std::nullopt;
}

std::optional<Response> FlowAdmission::sharedOutputRefusal(const FlowId& id, const FlowHead& head,
                                                           const Outputs& outputs,
                                                           const FlowId& otherId,
                                                           const FlowState& other) const {
  for (const Digest& digest : {other.head->graph, other.head->from}) {
    const FlowVersion* version = other.version(digest);
    if (!version) continue;
    for (auto output : version->graph.allOutputs()) {
      if (!outputs.contains(output)) continue;
      return jsonResponse(
          409, {{"error", "flow " + head.name + " (" + id.value + ") makes a file that flow " +
                              other.head->name + " (" + otherId.value + ") makes"},
                {"other", otherId.value},
                {"output", hex16(output)}});
    }
  }
  return std::nullopt;
}

}  // namespace kestrelhoist
