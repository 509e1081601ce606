#include "flows/graph.hpp"

#include <algorithm>
#include <charconv>

namespace kestrelhoist {

bool isValidFlowId(const std::string& ref) {
  if (ref.size() < 3 || ref.size() > 20 || ref.compare(0, 2, "w-") != 0) return false;
  return std::all_of(ref.begin() + 2, ref.end(), [](char c) { return c >= '0' && c <= '9'; });
}

bool isValidDigest(const std::string& text) { return text.size() == 16 && fromHex16(text); }

bool isValidLabel(const std::string& text) {
  if (text.empty() || text.size() > 64 || text[0] == '.') return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '.' ||
           c == '_' || c == '-';
  });
}

std::string hex16(std::uint64_t value) {
  static const char* const digits = "0123456789abcdef";
  std::string out(16, '0');
  for (int i = 15; i >= 0; --i, value >>= 4) out[static_cast<std::size_t>(i)] = digits[value & 15];
  return out;
}

std::optional<std::uint64_t> fromHex16(std::string_view text) {
  if (text.size() != 16) return std::nullopt;
  std::uint64_t value = 0;
  for (char c : text) {
    int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    if (digit < 0) return std::nullopt;
    value = value << 4 | static_cast<std::uint64_t>(digit);
  }
  return value;
}

Json toJson(const FlowRule& r) {
  Json v = {{"name", r.name},
            {"cpus", r.perTask.cpus},
            {"gpus", r.perTask.gpus},
            {"ram_gb", r.perTask.ramGb},
            {"image", r.image}};
  if (r.imageGb > 0) v["image_gb"] = r.imageGb;
  if (r.retries > 0) v["retries"] = r.retries;
  if (r.priority != 0) v["priority"] = r.priority;
  if (r.estimate.count() > 0) v["guess_s"] = toSeconds(r.estimate);
  if (r.checkpointEvery.count() > 0) v["snapshot_s"] = toSeconds(r.checkpointEvery);
  if (r.saveTime.count() > 0) v["flush_s"] = toSeconds(r.saveTime);
  if (r.spot) v["spot"] = true;
  return v;
}

std::optional<FlowRule> flowRuleFromJson(const Json& v) {
  constexpr double kMaxAmount = 1e6;
  FlowRule r;
  auto name = textField(v, "name");
  auto image = textField(v, "image");
  if (!name || name->empty() || name->size() > 200 || !image || image->empty() ||
      image->size() > 200) {
    return std::nullopt;
  }
  r.name = *name;
  r.image = *image;
  bool valid = true;
  auto amount = [&](const char* field) {
    if (!kestrelhoist::field(v, field)) return 0.0;
    auto x = numberField(v, field);
    valid = valid && x && *x >= 0 && *x <= kMaxAmount;
    return x.value_or(0);
  };
  r.perTask = {amount("cpus"), amount("gpus"), amount("ram_gb")};
  r.imageGb = amount("image_gb");
  r.estimate = fromSeconds(amount("guess_s"));
  r.checkpointEvery = fromSeconds(amount("snapshot_s"));
  r.saveTime = fromSeconds(amount("flush_s"));
  r.retries = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(100, countField(v, "retries").value_or(0)));
  if (const Json* p = field(v, "priority")) {
    valid = valid && p->is_number_integer() && std::abs(p->get<double>()) <= kMaxAmount;
    if (valid) r.priority = p->get<std::int32_t>();
  }
  r.spot = boolField(v, "spot").value_or(false);
  if (!valid) return std::nullopt;
  return r;
}

namespace {

std::optional<std::vector<std::uint32_t>> counts(const Json& part, const char* name) {
  const Json* list = field(part, name);
  std::vector<std::uint32_t> out;
  if (!list) return out;
  if (!list->is_array()) return std::nullopt;
  out.reserve(list->size());
  for (const auto& n : *list) {
    if (!n.is_number_integer() || n.get<double>() < 0 || n.get<double>() > 0xffffffffU) {
      return std::nullopt;
    }
    out.push_back(n.get<std::uint32_t>());
  }
  return out;
}

std::optional<std::vector<std::uint64_t>> hashes(const Json& part, const char* name) {
  auto text = textField(part, name);
  std::vector<std::uint64_t> out;
  if (!text) return out;
  if (text->size() % 16 != 0) return std::nullopt;
  out.reserve(text->size() / 16);
  for (std::size_t i = 0; i < text->size(); i += 16) {
    auto value = fromHex16(std::string_view(*text).substr(i, 16));
    if (!value) return std::nullopt;
    out.push_back(*value);
  }
  return out;
}

}  // namespace

std::optional<std::string> FlowGraph::add(const Json& part) {
  if (!part.is_object()) return "a part is not a map";
  std::vector<FlowRule> rules;
  if (const Json* list = field(part, "rules")) {
    if (!list->is_array()) return "rules is not a list";
    for (const auto& v : *list) {
      auto rule = flowRuleFromJson(v);
      if (!rule) return "a rule is invalid";
      rules.push_back(std::move(*rule));
    }
  }
  std::size_t known = rules_.size() + rules.size();
  if (known > kMaxRules) return "more than " + std::to_string(kMaxRules) + " rules";
  auto of = counts(part, "of");
  auto deps = counts(part, "deps");
  auto print = hashes(part, "print");
  auto outs = counts(part, "outs");
  auto outh = hashes(part, "outh");
  if (!of || !deps || !print || !outs || !outh || of->size() % 2 != 0) return "a part is malformed";
  std::size_t n = print->size();
  std::vector<std::uint16_t> ruleOf;
  ruleOf.reserve(n);
  for (std::size_t i = 0; i < of->size(); i += 2) {
    std::uint32_t count = (*of)[i + 1];
    if ((*of)[i] >= known) return "an instance of an unknown rule";
    if (count > n - ruleOf.size()) return "a part is malformed";
    ruleOf.insert(ruleOf.end(), count, static_cast<std::uint16_t>((*of)[i]));
  }
  if (ruleOf.size() != n) return "a part is malformed";
  std::vector<std::uint32_t> depEnd;
  std::vector<Instance> all;
  std::size_t at = 0;
  for (std::size_t i = 0; i < n; ++i) {
    if (at >= deps->size()) return "a part is malformed";
    std::uint32_t count = (*deps)[at++];
    if (count > deps->size() - at) return "a part is malformed";
    if (count > kMaxDependencies)
      return "an instance has more than " + std::to_string(kMaxDependencies) +
             " inputs from others";
    std::uint64_t self = size() + i;
    for (std::uint32_t k = 0; k < count; ++k) {
      std::uint32_t back = (*deps)[at++];
      // An instance may depend only on smaller numbers, so an accepted graph has no cycle.
      if (back == 0 || back > self) return "an instance depends on a later one";
      all.push_back(static_cast<Instance>(self - back));
    }
    depEnd.push_back(static_cast<std::uint32_t>(deps_.size() + all.size()));
  }
  if (at != deps->size()) return "a part is malformed";
  if (outs->empty()) outs->assign(n, 1);
  if (outs->size() != n) return "a part is malformed";
  std::size_t total = 0;
  std::vector<std::uint32_t> outEnd;
  for (std::uint32_t count : *outs) {
    total += count;
    if (total > outh->size()) return "a part is malformed";
    outEnd.push_back(static_cast<std::uint32_t>(outs_.size() + total));
  }
  if (total != outh->size()) return "a part is malformed";

  rules_.insert(rules_.end(), rules.begin(), rules.end());
  ruleOf_.insert(ruleOf_.end(), ruleOf.begin(), ruleOf.end());
  deps_.insert(deps_.end(), all.begin(), all.end());
  depStart_.insert(depStart_.end(), depEnd.begin(), depEnd.end());
  fingerprints_.insert(fingerprints_.end(), print->begin(), print->end());
  outs_.insert(outs_.end(), outh->begin(), outh->end());
  outStart_.insert(outStart_.end(), outEnd.begin(), outEnd.end());
  return std::nullopt;
}

std::size_t FlowGraph::bytes() const {
  auto of = [](const auto& v) { return v.capacity() * sizeof(v[0]); };
  return of(rules_) + of(ruleOf_) + of(depStart_) + of(deps_) + of(fingerprints_) + of(outStart_) +
         of(outs_);
}

}  // namespace kestrelhoist
