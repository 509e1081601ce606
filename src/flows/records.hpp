/// \file
/// Defines the keys and values of the flow records in the state service (docs/flows.md).
#pragma once

#include <map>

#include "flows/graph.hpp"

namespace kestrelhoist {

namespace keys {
inline const std::string kFlow = "kh/flow/";      ///< prefix of flow heads
inline const std::string kUpload = "kh/flowu/";   ///< prefix of the upload records, one per version
inline const std::string kGraph = "kh/flowg/";    ///< prefix of the parts of flow graphs
inline const std::string kPage = "kh/flowp/";     ///< prefix of the pages of instance states
inline const std::string kAccount = "kh/flowa/";  ///< prefix of the resource accounts of rules
inline const std::string kOpenFlows = "kh/flows/";  ///< prefix of the lists of members' open flows
/// Prefix of the texts (commands and file names). Controllers do not replicate texts; they read a
/// text from the state service when a worker requests it.
inline const std::string kText = "kx/text/";
std::string flow(const FlowId& id);
std::string upload(const FlowId& id, const Digest& version);
std::string graphPart(const FlowId& id, const Digest& version, std::uint32_t part);
std::string page(const FlowId& id, const Digest& version, std::uint32_t page);
std::string account(const FlowId& id, std::uint32_t block);
std::string text(const FlowId& id, const Digest& version, std::uint32_t part);
std::string openFlows(const std::string& team, const std::string& member);
}  // namespace keys

/// The record of one uploaded version. It is written before the parts of the version, and every
/// write of a part compares its revision, so that a late part cannot be added to a removed version.
struct FlowUpload {
  std::uint32_t instances{};
  std::uint32_t parts{};    ///< number of graph parts
  std::uint32_t texts{};    ///< number of text parts
  std::uint32_t perText{};  ///< number of instances in each text part
  std::int64_t atMs{};      ///< wall-clock time of the announcement
  bool closing{};           ///< true while the version is removed; further parts are rejected
  auto operator<=>(const FlowUpload&) const = default;
};

/// A flow is `failed` if all its instances have ended and at least one failed permanently.
enum class FlowPhase { open, done, failed, cancelled };
const char* toString(FlowPhase phase);

struct FlowHead {
  std::string team, member, name;
  std::string jobClass;
  int priority{};    ///< numeric value of a Priority
  bool keepGoing{};  ///< skips dependents of a failed instance instead of waiting for an amendment
  std::int64_t atMs{};
  FlowPhase phase = FlowPhase::open;
  std::uint64_t version{};  ///< starts at 1 and grows by 1 with each accepted graph
  Digest graph;
  Digest from;  ///< previous version while an amendment is in progress, else empty
  /// Numbers of instances by final state, set when the flow ends.
  std::uint32_t done{}, failed{}, skipped{};
};

/// Counts tasks and attempts, and sums their run times.
struct ResourceUse {
  std::uint64_t tasks{};     ///< completed tasks
  std::uint64_t failed{};    ///< tasks that failed permanently
  std::uint64_t attempts{};  ///< attempts that ended, with any outcome
  std::uint64_t ranMs{};     ///< run time of completed attempts
  std::uint64_t lostMs{};    ///< run time of all other attempts
  ResourceUse& operator+=(const ResourceUse& o);
  auto operator<=>(const ResourceUse&) const = default;
  bool empty() const { return *this == ResourceUse{}; }
};

/// Number of instances whose states one page (one value of the state service) holds.
inline constexpr std::uint32_t kPageSize = 4096;

/// The resource use of one rule's tasks. Accounts are kept after the graph is removed, so an entry
/// contains the name of the rule and the resources of its tasks.
struct AccountEntry {
  std::string rule;
  Resources perTask;
  ResourceUse use;
};

Json toJson(const FlowUpload& u);
Json toJson(const FlowHead& h);
Json toJson(const ResourceUse& u);
Json toJson(const AccountEntry& e);
std::optional<FlowUpload> flowUploadFromJson(const Json& v);
std::optional<FlowHead> flowHeadFromJson(const Json& v);
ResourceUse resourceUseFromJson(const Json& v);
std::optional<AccountEntry> accountEntryFromJson(const Json& v);

/// Encodes the states of up to kPageSize instances. `states` has one letter per instance:
/// w(aiting), a(ssigned), d(one) or f(ailed). The default encoding is run-length. If `dense` is
/// true and the run-length encoding is longer, each character encodes three states, so that the
/// result takes about a third of the page size. Older program versions cannot decode the dense
/// form.
std::string packPage(const std::string& states, bool dense = false);
/// Decodes both encodings of `packPage`; returns null if `text` is malformed.
std::optional<std::string> unpackPage(const std::string& text);

/// The part of a job record that maps the tasks of the job to flow instances.
struct FlowTaskMapping {
  FlowId flow;
  Digest graph;          ///< version that defines the instance numbers
  std::uint32_t rule{};  ///< rule index in that version
  std::uint32_t retries{};
  std::vector<std::pair<Instance, std::uint32_t>> runs;  ///< first instance and count of each run
  std::vector<std::uint32_t> dropped;                    ///< tasks removed by an amendment, sorted
  bool isDropped(std::uint32_t task) const;
};

Json toJson(const FlowTaskMapping& p);
std::optional<FlowTaskMapping> flowTaskMappingFromJson(const Json& v);

}  // namespace kestrelhoist
