/// \file
/// Defines the in-memory graph of a flow. Instances of rules are numbered so that each instance
/// depends only on smaller numbers, and are stored in flat arrays (about 40 bytes per instance).
/// The graph is built from its uploaded parts and contains no texts (commands and file names).
#pragma once

#include <span>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

using FlowId = Name<struct FlowIdTag>;
using Digest = Name<struct DigestTag>;  ///< Identifies one version of a flow graph.
using Instance = std::uint32_t;         ///< Numbers an instance within one version.

/// Returns true if `ref` is "w-" followed by 1 to 18 digits.
bool isValidFlowId(const std::string& ref);
/// Returns true if `text` has exactly 16 hex digits.
bool isValidDigest(const std::string& text);
/// Returns true if `text` is a valid name of a member or a flow. A name has 1 to 64 letters, digits
/// or the characters ._- so that it can be part of a key and of a path.
bool isValidLabel(const std::string& text);

/// Describes the properties that all instances of one rule share.
struct FlowRule {
  std::string name;
  Resources perTask;
  std::string image;
  double imageGb{};
  std::uint32_t retries{};  ///< Counts retries after the first failure.
  std::int32_t priority{};  ///< Orders the ready instances of a flow; larger starts first.
  Duration estimate{};
  Duration checkpointEvery{};  ///< The value 0 disables checkpoints.
  Duration saveTime{};
  bool spot{};
};

Json toJson(const FlowRule& rule);
std::optional<FlowRule> flowRuleFromJson(const Json& value);

/// Stores the graph of one version of a flow.
class FlowGraph {
 public:
  static constexpr std::size_t kMaxRules = 10000;
  static constexpr std::size_t kMaxDependencies = 10000;  ///< Limits one instance.

  /// Appends the next part. Returns an error text if the part is invalid; the graph is then
  /// unchanged. The format of a part is:
  /// {"rules":[...new ones...], "of":[rule,count,...], "deps":[count,back,...,count,...],
  ///  "print":"16 hex digits an instance", "outs":[count,...], "outh":"16 hex digits an output"}
  /// An entry of `deps` is the distance from an instance back to the instance that it depends on.
  /// Without `outs`, each instance has one output.
  std::optional<std::string> add(const Json& part);

  Instance size() const { return static_cast<Instance>(ruleOf_.size()); }
  const std::vector<FlowRule>& rules() const { return rules_; }
  std::uint32_t ruleOf(Instance i) const { return ruleOf_[i]; }
  std::span<const Instance> deps(Instance i) const {
    return std::span(deps_).subspan(depStart_[i], depStart_[i + 1] - depStart_[i]);
  }
  /// Returns the fingerprint that identifies the same instance in different versions of a flow.
  std::uint64_t fingerprint(Instance i) const { return fingerprints_[i]; }
  /// Returns the hashes of the names of the files that instance `i` writes.
  std::span<const std::uint64_t> outputs(Instance i) const {
    return std::span(outs_).subspan(outStart_[i], outStart_[i + 1] - outStart_[i]);
  }
  const std::vector<std::uint64_t>& allOutputs() const { return outs_; }
  std::size_t edges() const { return deps_.size(); }
  /// Returns the memory of the arrays in bytes, without the strings of the rules.
  std::size_t bytes() const;

 private:
  std::vector<FlowRule> rules_;
  std::vector<std::uint16_t> ruleOf_;
  std::vector<std::uint32_t> depStart_{0};
  std::vector<Instance> deps_;
  std::vector<std::uint64_t> fingerprints_;
  std::vector<std::uint32_t> outStart_{0};
  std::vector<std::uint64_t> outs_;
};

std::string hex16(std::uint64_t value);
std::optional<std::uint64_t> fromHex16(std::string_view text);

}  // namespace kestrelhoist
