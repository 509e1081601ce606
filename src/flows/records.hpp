/// \file
/// Defines the keys and values of the flow records in the state service (docs/flows.md).
#pragma once

#include <map>

#include "flows/graph.hpp"

namespace kestrelhoist {

namespace keys {
/// Prefixes the keys of flow heads.
inline const std::string kFlow = "kh/flow/";
/// Prefixes the keys of upload records. Each uploaded version has one.
inline const std::string kUpload = "kh/flowu/";
/// Prefixes the keys of graph parts.
inline const std::string kGraph = "kh/flowg/";
/// Prefixes the keys of pages, which hold instance states.
inline const std::string kPage = "kh/flowp/";
/// Prefixes the keys of accounts, which hold the resource use of rules.
inline const std::string kAccount = "kh/flowa/";
/// Prefixes the keys of the lists of open flows, one list per member.
inline const std::string kOpenFlows = "kh/flows/";
/// Prefixes the keys of texts (commands and file names). Controllers do not replicate texts; they
/// read a text from the state service when a worker requests it.
inline const std::string kText = "kx/text/";
std::string flow(const FlowId& id);
std::string upload(const FlowId& id, const Digest& version);
std::string graphPart(const FlowId& id, const Digest& version, std::uint32_t part);
std::string page(const FlowId& id, const Digest& version, std::uint32_t page);
std::string account(const FlowId& id, std::uint32_t block);
std::string text(const FlowId& id, const Digest& version, std::uint32_t part);
std::string openFlows(const std::string& team, const std::string& member);
}  // namespace keys

/// Describes one uploaded version. The record is written before the parts of the version, and every
/// write of a part compares the revision of this record, so that a late part cannot be added to a
/// removed version.
struct FlowUpload {
  std::uint32_t instances{};
  std::uint32_t parts{};    ///< Counts the graph parts.
  std::uint32_t texts{};    ///< Counts the text parts.
  std::uint32_t perText{};  ///< Counts the instances in each text part.
  std::int64_t atMs{};      ///< Records the wall-clock time of the announcement.
  bool closing{};           ///< Is true while the version is removed; new parts are rejected.
  auto operator<=>(const FlowUpload&) const = default;
};

/// A flow is `failed` if all its instances have ended and at least one failed permanently.
enum class FlowPhase { open, done, failed, cancelled };
const char* toString(FlowPhase phase);

/// Describes the present version and phase of a flow.
struct FlowHead {
  std::string team, member, name;
  std::string jobClass;
  int priority{};  ///< Holds the numeric value of a Priority.
  /// If true, the flow skips dependents of a failed instance instead of waiting for an amendment.
  bool keepGoing{};
  std::int64_t atMs{};
  FlowPhase phase = FlowPhase::open;
  std::uint64_t version{};  ///< Starts at 1 and grows by 1 with each accepted graph.
  Digest graph;
  Digest from;  ///< Identifies the previous version while an amendment is in progress; else empty.
  /// These fields count the instances by final state. They are set when the flow ends.
  std::uint32_t done{}, failed{}, skipped{};
};

/// Counts the tasks and attempts of flow jobs, and sums their run times.
struct ResourceUse {
  std::uint64_t tasks{};     ///< Counts completed tasks.
  std::uint64_t failed{};    ///< Counts tasks that failed permanently.
  std::uint64_t attempts{};  ///< Counts attempts that ended with any outcome.
  std::uint64_t ranMs{};     ///< Sums the run time of completed attempts.
  std::uint64_t lostMs{};    ///< Sums the run time of all other attempts.
  ResourceUse& operator+=(const ResourceUse& o);
  auto operator<=>(const ResourceUse&) const = default;
  bool empty() const { return *this == ResourceUse{}; }
};

/// Limits the number of instance states in one page, which is one value of the state service.
inline constexpr std::uint32_t kPageSize = 4096;

/// Holds the resource use of one rule's tasks. Accounts are kept after the graph is removed, so an
/// entry contains the name of the rule and the resources of its tasks.
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

/// Maps the tasks of a job to flow instances. The mapping is stored in the job record.
struct FlowTaskMapping {
  FlowId flow;
  Digest graph;          ///< Identifies the version that defines the instance numbers.
  std::uint32_t rule{};  ///< Gives the index of the rule in that version.
  std::uint32_t retries{};
  /// Lists the instances as runs of consecutive numbers: the first instance and the count.
  std::vector<std::pair<Instance, std::uint32_t>> runs;
  std::vector<std::uint32_t> dropped;  ///< Lists the tasks removed by an amendment, sorted.
  bool isDropped(std::uint32_t task) const;
};

Json toJson(const FlowTaskMapping& p);
std::optional<FlowTaskMapping> flowTaskMappingFromJson(const Json& v);

}  // namespace kestrelhoist
