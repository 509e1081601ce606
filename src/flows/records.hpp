/// \file
/// The records of flows in the state service: keys and values (docs/flows.md).
#pragma once

#include <map>

#include "flows/graph.hpp"

namespace kestrelhoist {

namespace keys {
inline const std::string kFlow = "kh/flow/";        ///< head
inline const std::string kUpload = "kh/flowu/";     ///< one uploaded version
inline const std::string kGraph = "kh/flowg/";      ///< parts of its graph
inline const std::string kPage = "kh/flowp/";       ///< states of its instances
inline const std::string kAccount = "kh/flowa/";    ///< what its rules used
inline const std::string kOpenFlows = "kh/flows/";  ///< a member's open flows
/// Texts are not part of what every controller copies; they are read when a worker asks.
inline const std::string kText = "kx/text/";
std::string flow(const FlowId& id);
std::string upload(const FlowId& id, const Digest& version);
std::string graphPart(const FlowId& id, const Digest& version, std::uint32_t part);
std::string page(const FlowId& id, const Digest& version, std::uint32_t page);
std::string account(const FlowId& id, std::uint32_t block);
std::string text(const FlowId& id, const Digest& version, std::uint32_t part);
std::string openFlows(const std::string& team, const std::string& member);
}  // namespace keys

/// Announced before its parts are written; each part conditions on it, so that none can come late
/// to a version that was removed.
struct FlowUpload {
  std::uint32_t instances{};
  std::uint32_t parts{};    ///< of the graph
  std::uint32_t texts{};    ///< parts of the texts
  std::uint32_t perText{};  ///< instances in each of them
  std::int64_t atMs{};      ///< time of day
  bool closing{};           ///< is being removed: takes no parts any more
  auto operator<=>(const FlowUpload&) const = default;
};

/// `failed`: instances failed for good and, as asked, those that need them were skipped.
enum class FlowPhase { open, done, failed, cancelled };
const char* wordOf(FlowPhase phase);

struct FlowHead {
  std::string team, member, name;
  std::string jobClass;
  int priority{};    ///< Priority
  bool keepGoing{};  ///< skip what needs a failed instance, rather than wait for an amendment
  std::int64_t atMs{};
  FlowPhase phase = FlowPhase::open;
  std::uint64_t version{};  ///< 1, 2, ...: each accepted graph
  Digest graph;
  Digest from;  ///< the version before, while the change to this one is under way
  /// Once it is over: how many instances ended how.
  std::uint32_t done{}, failed{}, skipped{};
};

/// What was used, in milliseconds of one task.
struct Use {
  std::uint64_t tasks{};     ///< completed
  std::uint64_t failed{};    ///< given up
  std::uint64_t attempts{};  ///< that ended, in whatever way
  std::uint64_t ranMs{};     ///< of completed attempts
  std::uint64_t lostMs{};    ///< of the others
  Use& operator+=(const Use& o);
  auto operator<=>(const Use&) const = default;
  bool empty() const { return *this == Use{}; }
};

/// Instances of one page share a value.
inline constexpr std::uint32_t kPageSize = 4096;

/// What one rule's tasks used. Accounts outlast the graph, so they carry the rule's name and room.
struct AccountEntry {
  std::string rule;
  Resources perTask;
  Use use;
};

Json toJson(const FlowUpload& u);
Json toJson(const FlowHead& h);
Json toJson(const Use& u);
Json toJson(const AccountEntry& e);
std::optional<FlowUpload> flowUploadFrom(const Json& v);
std::optional<FlowHead> flowHeadFrom(const Json& v);
Use useFrom(const Json& v);
std::optional<AccountEntry> accountEntryFrom(const Json& v);

/// States of up to kPageSize instances, a letter each: w(aiting), a(ssigned), d(one), f(ailed).
/// Letters with their counts; if that is shorter and `dense` allows it, three states in each sign,
/// which takes at most a third of a page's size (older versions can't read it).
std::string packPage(const std::string& states, bool dense = false);
std::optional<std::string> unpackPage(const std::string& text);

/// The part of a job's record that says which instances its tasks are.
struct FlowPart {
  FlowId flow;
  Digest graph;          ///< the version that the numbers are of
  std::uint32_t rule{};  ///< in that version
  std::uint32_t retries{};
  std::vector<std::pair<Instance, std::uint32_t>> runs;  ///< first and count
  std::vector<std::uint32_t> dropped;  ///< tasks that are no longer wanted, in order
  bool drops(std::uint32_t task) const;
};

Json toJson(const FlowPart& p);
std::optional<FlowPart> flowPartFrom(const Json& v);

}  // namespace kestrelhoist
