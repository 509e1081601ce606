#include "flows/records.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace kestrelhoist {

namespace keys {
namespace {
std::string padded(std::uint32_t n) {
  std::string digits = std::to_string(n);
  return std::string(digits.size() < 6 ? 6 - digits.size() : 0, '0') + digits;
}
std::string numberedKey(const std::string& root, const FlowId& id, const Digest& version,
                        std::uint32_t n) {
  return root + id.value + "/" + version.value + "/" + padded(n);
}
}  // namespace
std::string flow(const FlowId& id) { return kFlow + id.value; }
std::string upload(const FlowId& id, const Digest& v) { return kUpload + id.value + "/" + v.value; }
std::string graphPart(const FlowId& id, const Digest& v, std::uint32_t n) {
  return numberedKey(kGraph, id, v, n);
}
std::string page(const FlowId& id, const Digest& v, std::uint32_t n) {
  return numberedKey(kPage, id, v, n);
}
std::string account(const FlowId& id, std::uint32_t block) {
  return kAccount + id.value + "/" + padded(block);
}
std::string text(const FlowId& id, const Digest& v, std::uint32_t n) {
  return numberedKey(kText, id, v, n);
}
std::string openFlows(const std::string& team, const std::string& member) {
  return kOpenFlows + team + "/" + member;
}
}  // namespace keys

namespace {
constexpr std::array kPhases{"open", "done", "failed", "cancelled"};

std::uint32_t countOrZero(const Json& v, const char* name) {
  auto n = countField(v, name).value_or(0);
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(n, 0xffffffffU));
}
}  // namespace

const char* toString(FlowPhase phase) { return kPhases[static_cast<std::size_t>(phase)]; }

ResourceUse& ResourceUse::operator+=(const ResourceUse& o) {
  tasks += o.tasks;
  failed += o.failed;
  attempts += o.attempts;
  ranMs += o.ranMs;
  lostMs += o.lostMs;
  return *this;
}

Json toJson(const FlowUpload& u) {
  Json v = {{"instances", u.instances},
            {"parts", u.parts},
            {"texts", u.texts},
            {"per", u.perText},
            {"at", u.atMs}};
  if (u.closing) v["closing"] = true;
  return v;
}

std::optional<FlowUpload> flowUploadFromJson(const Json& v) {
  FlowUpload u{countOrZero(v, "instances"),
               countOrZero(v, "parts"),
               countOrZero(v, "texts"),
               countOrZero(v, "per"),
               static_cast<std::int64_t>(countField(v, "at").value_or(0)),
               boolField(v, "closing").value_or(false)};
  if (u.instances < 1 || u.parts < 1 || u.texts < 1 || u.perText < 1) return std::nullopt;
  return u;
}

Json toJson(const FlowHead& h) {
  Json v = {{"team", h.team},        {"member", h.member},         {"name", h.name},
            {"class", h.jobClass},   {"priority", h.priority},     {"keep", h.keepGoing},
            {"at", h.atMs},          {"phase", toString(h.phase)}, {"version", h.version},
            {"graph", h.graph.value}};
  if (!h.from.empty()) v["from"] = h.from.value;
  if (h.phase != FlowPhase::open) v["ended"] = {h.done, h.failed, h.skipped};
  return v;
}

std::optional<FlowHead> flowHeadFromJson(const Json& v) {
  FlowHead h;
  auto team = textField(v, "team"), member = textField(v, "member"), name = textField(v, "name");
  auto jobClass = textField(v, "class"), phase = textField(v, "phase");
  auto graph = textField(v, "graph");
  auto version = countField(v, "version"), priority = countField(v, "priority");
  if (!team || !member || !name || !jobClass || !phase || !graph || !version || !priority ||
      *priority > 3) {
    return std::nullopt;
  }
  auto at = std::find(kPhases.begin(), kPhases.end(), *phase);
  if (at == kPhases.end()) return std::nullopt;
  h.team = *team;
  h.member = *member;
  h.name = *name;
  h.jobClass = *jobClass;
  h.priority = static_cast<int>(*priority);
  h.keepGoing = boolField(v, "keep").value_or(false);
  h.atMs = static_cast<std::int64_t>(countField(v, "at").value_or(0));
  h.phase = static_cast<FlowPhase>(at - kPhases.begin());
  h.version = *version;
  h.graph = Digest{*graph};
  h.from = Digest{textField(v, "from").value_or("")};
  if (const Json* ended = field(v, "ended"); ended && ended->is_array() && ended->size() == 3) {
    auto n = [&](std::size_t i) {
      return (*ended)[i].is_number_unsigned() ? (*ended)[i].get<std::uint32_t>() : 0U;
    };
    h.done = n(0);
    h.failed = n(1);
    h.skipped = n(2);
  }
  return h;
}

Json toJson(const ResourceUse& u) { return {u.tasks, u.failed, u.attempts, u.ranMs, u.lostMs}; }

ResourceUse resourceUseFromJson(const Json& v) {
  ResourceUse u;
  if (!v.is_array() || v.size() != 5) return u;
  std::array fields{&u.tasks, &u.failed, &u.attempts, &u.ranMs, &u.lostMs};
  for (std::size_t i = 0; i < fields.size(); ++i) {
    if (v[i].is_number_unsigned()) *fields[i] = v[i].get<std::uint64_t>();
  }
  return u;
}

Json toJson(const AccountEntry& e) {
  return {e.rule, e.perTask.cpus, e.perTask.gpus, e.perTask.ramGb, toJson(e.use)};
}

std::optional<AccountEntry> accountEntryFromJson(const Json& v) {
  if (!v.is_array() || v.size() != 5 || !v[0].is_string()) return std::nullopt;
  for (std::size_t i = 1; i < 4; ++i) {
    if (!v[i].is_number()) return std::nullopt;
  }
  return AccountEntry{v[0].get<std::string>(),
                      {v[1].get<double>(), v[2].get<double>(), v[3].get<double>()},
                      resourceUseFromJson(v[4])};
}

namespace {
constexpr std::string_view kLetters = "wadf";
constexpr std::string_view kDenseAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr char kDenseMarker = '~';

// Writes the number of states, and then one character for every three states.
std::string packDense(const std::string& states) {
  std::string out = kDenseMarker + std::to_string(states.size()) + kDenseMarker;
  for (std::size_t i = 0; i < states.size(); i += 3) {
    std::size_t code = 0;
    for (std::size_t k = i; k < i + 3; ++k) {
      code = code * 4 + (k < states.size() ? kLetters.find(states[k]) : 0);
    }
    out += kDenseAlphabet[code];
  }
  return out;
}

std::optional<std::string> unpackDense(const std::string& text) {
  std::size_t count = 0;
  const char* end = text.data() + text.size();
  auto [at, error] = std::from_chars(text.data() + 1, end, count);
  if (error != std::errc{} || at == end || *at != kDenseMarker || count < 1 || count > kPageSize) {
    return std::nullopt;
  }
  std::string out;
  for (++at; at != end; ++at) {
    std::size_t code = kDenseAlphabet.find(*at);
    if (code == std::string_view::npos || out.size() >= count) return std::nullopt;
    out += {kLetters[code / 16], kLetters[code / 4 % 4], kLetters[code % 4]};
  }
  if (out.size() < count || out.size() > count + 2) return std::nullopt;
  out.resize(count);
  return out;
}
}  // namespace

std::string packPage(const std::string& states, bool dense) {
  std::string runs;
  for (std::size_t i = 0; i < states.size();) {
    std::size_t j = i;
    while (j < states.size() && states[j] == states[i]) ++j;
    runs += states[i];
    if (j - i > 1) runs += std::to_string(j - i);
    i = j;
  }
  if (dense && !states.empty() && runs.size() > states.size() / 3 + 8) return packDense(states);
  return runs;
}

std::optional<std::string> unpackPage(const std::string& text) {
  if (text.starts_with(kDenseMarker)) return unpackDense(text);
  std::string out;
  for (std::size_t i = 0; i < text.size();) {
    char c = text[i++];
    if (c != 'w' && c != 'a' && c != 'd' && c != 'f') return std::nullopt;
    std::size_t count = 1;
    if (i < text.size() && text[i] >= '0' && text[i] <= '9') {
      auto [end, error] = std::from_chars(text.data() + i, text.data() + text.size(), count);
      if (error != std::errc{}) return std::nullopt;
      i = static_cast<std::size_t>(end - text.data());
    }
    if (count < 1 || out.size() + count > kPageSize) return std::nullopt;
    out.append(count, c);
  }
  return out;
}

bool FlowTaskMapping::isDropped(std::uint32_t task) const {
  return std::binary_search(dropped.begin(), dropped.end(), task);
}

Json toJson(const FlowTaskMapping& p) {
  Json runs = Json::array();
  for (const auto& [first, count] : p.runs) {
    runs.push_back(first);
    runs.push_back(count);
  }
  Json v = {{"id", p.flow.value}, {"graph", p.graph.value}, {"rule", p.rule}, {"runs", runs}};
  if (p.retries > 0) v["retries"] = p.retries;
  if (!p.dropped.empty()) v["dropped"] = p.dropped;
  return v;
}

std::optional<FlowTaskMapping> flowTaskMappingFromJson(const Json& v) {
  FlowTaskMapping p;
  auto id = textField(v, "id"), graph = textField(v, "graph");
  const Json* runs = field(v, "runs");
  if (!id || !graph || !runs || !runs->is_array() || runs->size() % 2 != 0) return std::nullopt;
  p.flow = FlowId{*id};
  p.graph = Digest{*graph};
  p.rule = countOrZero(v, "rule");
  p.retries = countOrZero(v, "retries");
  for (std::size_t i = 0; i < runs->size(); i += 2) {
    if (!(*runs)[i].is_number_unsigned() || !(*runs)[i + 1].is_number_unsigned()) {
      return std::nullopt;
    }
    p.runs.emplace_back((*runs)[i].get<Instance>(), (*runs)[i + 1].get<std::uint32_t>());
  }
  if (const Json* dropped = field(v, "dropped"); dropped && dropped->is_array()) {
    for (const auto& n : *dropped) {
      if (n.is_number_unsigned()) p.dropped.push_back(n.get<std::uint32_t>());
    }
    std::sort(p.dropped.begin(), p.dropped.end());
  }
  return p;
}

}  // namespace kestrelhoist
