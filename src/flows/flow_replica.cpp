#include "flows/flow_replica.hpp"

#include <algorithm>
#include <charconv>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {

// Contains the part of a key after its prefix, for example "id/digest/000012".
struct KeyPath {
  FlowId flow;
  Digest version;
  std::uint32_t number{};
};

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> out;
  std::size_t at = 0;
  while (true) {
    auto slash = text.find('/', at);
    out.push_back(text.substr(at, slash == std::string::npos ? slash : slash - at));
    if (slash == std::string::npos) return out;
    at = slash + 1;
  }
}

std::optional<std::uint32_t> parseNumber(const std::string& text) {
  std::uint32_t n = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return n;
}

}  // namespace

char FlowVersion::stateOf(Instance i) const {
  auto page = pages.find(i / kPageSize);
  if (page == pages.end() || i % kPageSize >= page->second.size()) return 'w';
  return page->second[i % kPageSize];
}

const FlowVersion* FlowState::version(const Digest& graph) const {
  auto it = versions.find(graph);
  return it == versions.end() ? nullptr : &it->second;
}

const FlowState* FlowReplica::find(const FlowId& id) const {
  auto it = flows_.find(id);
  return it == flows_.end() ? nullptr : &it->second;
}

std::vector<FlowId> FlowReplica::openFlowsOf(const std::string& team,
                                             const std::string& member) const {
  auto it = open_.find(team + "/" + member);
  return it == open_.end() ? std::vector<FlowId>{} : it->second;
}

void FlowReplica::addJob(const FlowId& flow, const JobId& job) {
  auto it = flows_.try_emplace(flow).first;
  it->second.jobs.insert(job);
  updateIndexes(it);
}

void FlowReplica::removeJob(const FlowId& flow, const JobId& job) {
  auto it = flows_.find(flow);
  if (it == flows_.end()) return;
  it->second.jobs.erase(job);
  changedJobs_.emplace(flow, job);
  updateIndexes(it);
}

void FlowReplica::updateIndexes(std::map<FlowId, FlowState>::iterator it) {
  const FlowState& f = it->second;
  if (f.versions.empty() && f.jobs.empty()) {
    active_.erase(it->first);
  } else {
    active_.insert(it->first);
  }
  if (!f.head && f.versions.empty() && f.accounts.empty() && f.jobs.empty()) flows_.erase(it);
}

void FlowReplica::addGraphPart(FlowVersion& version, std::uint32_t part, const Json* value) {
  if (!value || part < version.parts || !version.partError.empty()) return;
  version.outOfOrderParts[part] = *value;
  auto before = version.graph.size();
  while (!version.outOfOrderParts.empty() &&
         version.outOfOrderParts.begin()->first == version.parts) {
    if (auto error = version.graph.add(version.outOfOrderParts.begin()->second)) {
      version.partError = *error;
      version.outOfOrderParts.clear();
      break;
    }
    version.outOfOrderParts.erase(version.outOfOrderParts.begin());
    ++version.parts;
  }
  instances_ += version.graph.size() - before;
}

bool FlowReplica::apply(const std::string& key, const Json* value, Revision modRevision) {
  if (!key.starts_with("kh/flow")) return false;
  auto rest = [&](const std::string& prefix) { return split(key.substr(prefix.size())); };
  if (key.starts_with(keys::kOpenFlows)) {
    auto& list = open_[key.substr(keys::kOpenFlows.size())];
    list.clear();
    const Json* ids = value ? field(*value, "open") : nullptr;
    if (ids && ids->is_array()) {
      for (const auto& id : *ids) {
        if (id.is_string()) list.emplace_back(id.get<std::string>());
      }
    }
    if (list.empty()) open_.erase(key.substr(keys::kOpenFlows.size()));
    return true;
  }
  if (key.starts_with(keys::kFlow)) {
    FlowId id{key.substr(keys::kFlow.size())};
    FlowState& flow = flows_[id];
    flow.head = value ? flowHeadFromJson(*value) : std::nullopt;
    flow.modRevision = modRevision;
    if (flow.head && flow.head->phase == FlowPhase::cancelled) {
      newestCancellation_ = std::max(newestCancellation_, modRevision);
    }
    if (value && !flow.head) logError("malformed flow record ignored", "flow", id);
    updateIndexes(flows_.find(id));
    return true;
  }
  if (key.starts_with(keys::kAccount)) {
    auto path = rest(keys::kAccount);
    auto block = path.size() == 2 ? parseNumber(path[1]) : std::nullopt;
    if (!block) return true;
    auto it = flows_.try_emplace(FlowId{path[0]}).first;
    std::vector<AccountEntry> uses;
    if (value && value->is_array()) {
      for (const auto& u : *value) {
        if (auto entry = accountEntryFromJson(u)) uses.push_back(std::move(*entry));
      }
    }
    if (value) {
      it->second.accounts[*block] = std::move(uses);
    } else {
      it->second.accounts.erase(*block);
    }
    updateIndexes(it);
    return true;
  }
  bool isUpload = key.starts_with(keys::kUpload);
  bool isGraph = key.starts_with(keys::kGraph);
  if (!isUpload && !isGraph && !key.starts_with(keys::kPage)) return true;
  // All three prefixes have the same length.
  auto path = rest(keys::kUpload);
  if (path.size() != (isUpload ? 2U : 3U)) return true;
  auto it = flows_.try_emplace(FlowId{path[0]}).first;
  FlowVersion& version = it->second.versions[Digest{path[1]}];
  auto number = isUpload ? std::nullopt : parseNumber(path[2]);
  if (isUpload) {
    version.upload = value ? flowUploadFromJson(*value) : std::nullopt;
    version.modRevision = value ? modRevision : Revision{};
  } else if (number && isGraph) {
    addGraphPart(version, *number, value);
  } else if (number) {
    auto states =
        value && value->is_string() ? unpackPage(value->get<std::string>()) : std::nullopt;
    if (states) {
      version.pages[*number] = std::move(*states);
    } else {
      version.pages.erase(*number);
    }
  }
  // The upload record is the last record of a version to be removed.
  if (!version.upload && !value && version.pages.empty()) {
    instances_ -= version.graph.size();
    it->second.versions.erase(Digest{path[1]});
  }
  updateIndexes(it);
  return true;
}

}  // namespace kestrelhoist
