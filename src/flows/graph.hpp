/// \file
/// The graph of a flow as a controller keeps it: instances of rules, numbered so that each depends
/// only on smaller numbers, in flat arrays (some 40 bytes an instance). Built from the parts in
/// which it was uploaded; texts (commands, names of files) are not in it.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

using FlowId = Name<struct FlowIdTag>;
using Digest = Name<struct DigestTag>;  ///< of one version of a flow's graph: 16 hex digits
using Instance = std::uint32_t;         ///< number of an instance within one version

/// w- and digits.
bool validFlowId(const std::string& ref);
/// 16 hex digits.
bool validDigest(const std::string& text);
/// Of members and flows: letters, digits and ._-, so that it can be part of a key and of a path.
bool validLabel(const std::string& text);

/// What the instances of one rule have in common.
struct FlowRule {
  std::string name;
  Resources perTask;
  std::string image;
  double imageGb{};
  std::uint32_t retries{};  ///< after the first failure
  std::int32_t priority{};  ///< among the ready instances of its flow, larger first
  Duration estimate{};
  Duration checkpointEvery{};  ///< 0: never saves
  Duration saveTime{};
  bool spot{};
};

Json toJson(const FlowRule& rule);
std::optional<FlowRule> flowRuleFrom(const Json& value);

class FlowGraph {
 public:
  static constexpr std::size_t kMostRules = 10000;
  static constexpr std::size_t kMostDeps = 10000;  ///< of one instance

  /// Appends the next part; otherwise says why not and stays as it was.
  /// {"rules":[...new ones...], "of":[rule,count,...], "deps":[count,back,...,count,...],
  ///  "print":"16 hex digits an instance", "outs":[count,...], "outh":"16 hex digits an output"}
  /// `deps` are distances back from the instance. Without `outs` each instance has one output.
  std::optional<std::string> add(const Json& part);

  Instance size() const { return static_cast<Instance>(ruleOf_.size()); }
  const std::vector<FlowRule>& rules() const { return rules_; }
  std::uint32_t ruleOf(Instance i) const { return ruleOf_[i]; }
  std::span<const Instance> deps(Instance i) const {
    return std::span(deps_).subspan(depStart_[i], depStart_[i + 1] - depStart_[i]);
  }
  std::uint64_t print(Instance i) const { return prints_[i]; }
  /// Hashes of the names of the files it makes.
  std::span<const std::uint64_t> outputs(Instance i) const {
    return std::span(outs_).subspan(outStart_[i], outStart_[i + 1] - outStart_[i]);
  }
  const std::vector<std::uint64_t>& allOutputs() const { return outs_; }
  std::size_t edges() const { return deps_.size(); }
  /// Bytes of memory, as far as the graph knows.
  std::size_t bytes() const;

 private:
  std::vector<FlowRule> rules_;
  std::vector<std::uint16_t> ruleOf_;
  std::vector<std::uint32_t> depStart_{0};
  std::vector<Instance> deps_;
  std::vector<std::uint64_t> prints_;
  std::vector<std::uint32_t> outStart_{0};
  std::vector<std::uint64_t> outs_;
};

std::string hex16(std::uint64_t value);
std::optional<std::uint64_t> fromHex16(std::string_view text);

}  // namespace kestrelhoist
