#include <sodium.h>
#include <zstd.h>

#include <algorithm>

#include "rules/plan.hpp"

namespace kestrelhoist::rules {
namespace {

// Hashes a sequence of texts and numbers with BLAKE2b and returns the first 64 bits.
class Hash {
 public:
  Hash() { crypto_generichash_init(&state_, nullptr, 0, 16); }
  Hash& add(std::string_view text) {
    // The length prefix ensures that different sequences never hash the same bytes.
    number(text.size());
    crypto_generichash_update(&state_, reinterpret_cast<const unsigned char*>(text.data()),
                              text.size());
    return *this;
  }
  Hash& number(std::uint64_t n) {
    unsigned char bytes[8];
    for (auto& b : bytes) {
      b = static_cast<unsigned char>(n);
      n >>= 8;
    }
    crypto_generichash_update(&state_, bytes, sizeof bytes);
    return *this;
  }
  std::uint64_t done() {
    unsigned char out[16];
    crypto_generichash_final(&state_, out, sizeof out);
    std::uint64_t n = 0;
    for (int i = 0; i < 8; ++i) n = n << 8 | out[i];
    return n;
  }

 private:
  crypto_generichash_state state_;
};

std::string pack(const std::string& text) {
  std::string packed(ZSTD_compressBound(text.size()), '\0');
  std::size_t n = ZSTD_compress(packed.data(), packed.size(), text.data(), text.size(), 9);
  if (ZSTD_isError(n)) throw std::runtime_error("a text can't be compressed");
  std::string out(sodium_base64_encoded_len(n, sodium_base64_VARIANT_ORIGINAL), '\0');
  sodium_bin2base64(out.data(), out.size(), reinterpret_cast<const unsigned char*>(packed.data()),
                    n, sodium_base64_VARIANT_ORIGINAL);
  out.resize(out.size() - 1);  // This removes the terminating zero.
  return out;
}

std::string unpack(const std::string& text) {
  constexpr std::size_t kMaxTextBytes = 32 << 20;
  std::string packed(text.size(), '\0');
  std::size_t n = 0;
  if (sodium_base642bin(reinterpret_cast<unsigned char*>(packed.data()), packed.size(), text.data(),
                        text.size(), nullptr, &n, nullptr, sodium_base64_VARIANT_ORIGINAL) != 0) {
    throw std::runtime_error("a text part can't be read");
  }
  auto size = ZSTD_getFrameContentSize(packed.data(), n);
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > kMaxTextBytes) {
    throw std::runtime_error("a text part can't be read");
  }
  std::string out(size, '\0');
  if (ZSTD_decompress(out.data(), out.size(), packed.data(), n) != size) {
    throw std::runtime_error("a text part can't be read");
  }
  return out;
}

Json textOf(const PlannedInstance& p, const std::string& rule) {
  Json v = {{"r", rule}, {"o", p.outputs}, {"c", p.command}};
  if (!p.inputs.empty()) v["i"] = p.inputs;
  if (!p.wildcards.empty()) v["w"] = p.wildcards;
  if (!p.log.empty()) v["l"] = p.log;
  if (!p.benchmark.empty()) v["b"] = p.benchmark;
  std::string flags;
  bool any = false;
  for (const auto& f : p.flags) {
    int bits =
        (f.temporary ? 1 : 0) | (f.guarded ? 2 : 0) | (f.directory ? 4 : 0) | (f.touch ? 8 : 0);
    flags += "0123456789abcdef"[bits];
    any = any || bits != 0;
  }
  if (any) v["f"] = flags;
  int how = (p.lenient ? 1 : 0) | (p.deleteOnError ? 2 : 0) | (p.checkpoint ? 4 : 0);
  if (how != 0) v["h"] = how;
  return v;
}

}  // namespace

std::uint64_t hashOf(const std::string& name) { return Hash().add(name).done(); }

namespace {
// Splits the dependencies of an instance that has very many of them, because the instance would not
// fit into one part of the graph. Inserts join instances, which run nothing and depend on some
// hundreds of the original dependencies each.
void joinInSteps(FlowPlan& plan) {
  constexpr std::size_t kMaxDeps = 400;
  auto hasTooManyDeps = [](const PlannedInstance& p) { return p.deps.size() > kMaxDeps; };
  if (std::none_of(plan.instances.begin(), plan.instances.end(), hasTooManyDeps)) return;
  // Maps the number of a rule to the number of the join rule that is derived from it.
  std::map<std::uint32_t, std::uint32_t> joins;
  std::vector<PlannedInstance> out;
  std::vector<Instance> number(plan.instances.size());
  for (std::size_t i = 0; i < plan.instances.size(); ++i) {
    PlannedInstance p = std::move(plan.instances[i]);
    for (Instance& d : p.deps) d = number[d];
    if (hasTooManyDeps(p)) {
      auto [rule, isNew] = joins.emplace(p.rule, static_cast<std::uint32_t>(plan.rules.size()));
      if (isNew) {
        FlowRule f = plan.rules[p.rule];
        f.name = "(join)";
        f.perTask = {0.1, 0, 0.1};
        f.retries = 0;
        plan.rules.push_back(f);
      }
      std::vector<Instance> deps;
      for (std::size_t from = 0; from < p.deps.size(); from += kMaxDeps) {
        PlannedInstance join;
        join.rule = rule->second;
        auto first = p.deps.begin() + static_cast<std::ptrdiff_t>(from);
        join.deps.assign(first, p.deps.begin() + static_cast<std::ptrdiff_t>(
                                                     std::min(p.deps.size(), from + kMaxDeps)));
        join.outputs = {".done/join/" + hex16(hashOf(p.outputs[0])) + "-" +
                        std::to_string(from / kMaxDeps)};
        join.flags = {{false, false, false, true}};
        join.why = "for " + p.outputs[0];
        deps.push_back(static_cast<Instance>(out.size()));
        out.push_back(std::move(join));
      }
      p.deps = std::move(deps);
    }
    number[i] = static_cast<Instance>(out.size());
    out.push_back(std::move(p));
  }
  plan.instances = std::move(out);
}

// Sorts the instances by dependency level and then by rule. Instances that become ready together
// get adjacent numbers, so that few values of the state service change when they do.
void arrange(FlowPlan& plan) {
  std::size_t n = plan.instances.size();
  std::vector<std::uint32_t> level(n, 0);
  for (std::size_t i = 0; i < n; ++i) {
    for (Instance d : plan.instances[i].deps) level[i] = std::max(level[i], level[d] + 1);
  }
  std::vector<Instance> order(n), number(n);
  for (std::size_t i = 0; i < n; ++i) order[i] = static_cast<Instance>(i);
  std::stable_sort(order.begin(), order.end(), [&](Instance a, Instance b) {
    return std::pair(level[a], plan.instances[a].rule) <
           std::pair(level[b], plan.instances[b].rule);
  });
  for (std::size_t i = 0; i < n; ++i) number[order[i]] = static_cast<Instance>(i);
  std::vector<PlannedInstance> arranged;
  arranged.reserve(n);
  for (Instance i : order) {
    for (Instance& d : plan.instances[i].deps) d = number[d];
    std::sort(plan.instances[i].deps.begin(), plan.instances[i].deps.end());
    arranged.push_back(std::move(plan.instances[i]));
  }
  plan.instances = std::move(arranged);
}
}  // namespace

// A temporary file is removed after use and must be made again when an instance that depends on it
// changes. The fingerprint of the instance that makes the file therefore also covers the
// fingerprints of the instances that depend on it.
void seal(FlowPlan& plan) {
  joinInSteps(plan);
  arrange(plan);
  std::vector<std::uint64_t> needs(plan.instances.size(), 0);
  auto pass = [&] {
    for (std::size_t i = 0; i < plan.instances.size(); ++i) {
      PlannedInstance& p = plan.instances[i];
      const FlowRule& rule = plan.rules[p.rule];
      Hash h;
      h.add(textOf(p, rule.name).dump(-1, ' ', false, Json::error_handler_t::replace));
      h.add(toJson(rule).dump(-1, ' ', false, Json::error_handler_t::replace)).number(needs[i]);
      for (Instance d : p.deps) h.number(plan.instances[d].print);
      p.print = h.done();
    }
  };
  pass();
  bool again = false;
  for (const auto& p : plan.instances) {
    for (Instance d : p.deps) {
      const auto& flags = plan.instances[d].flags;
      if (std::none_of(flags.begin(), flags.end(), [](const auto& f) { return f.temporary; })) {
        continue;
      }
      needs[d] = Hash().number(needs[d]).number(p.print).done();
      again = true;
    }
  }
  if (again) pass();
}

Bundle bundle(const FlowPlan& plan) {
  if (sodium_init() < 0) throw std::runtime_error("libsodium can't be used");
  Bundle out;
  out.instances = static_cast<std::uint32_t>(plan.instances.size());

  // The graph is split where a part is full. A rule is written into the first part that refers to
  // it.
  Json part;
  std::size_t bytes = 0;
  std::string print, outh;
  std::vector<bool> isRuleWritten(plan.rules.size());
  std::vector<std::uint32_t> number(plan.rules.size());
  std::uint32_t rules = 0;
  auto open = [&] {
    part = {{"rules", Json::array()},
            {"of", Json::array()},
            {"deps", Json::array()},
            {"outs", Json::array()}};
    bytes = 100;
    print.clear();
    outh.clear();
  };
  auto close = [&] {
    if (print.empty()) return;
    part["print"] = print;
    part["outh"] = outh;
    if (part["rules"].empty()) part.erase("rules");
    auto& outs = part["outs"];
    if (std::all_of(outs.begin(), outs.end(), [](const Json& n) { return n == 1; })) {
      part.erase("outs");
    }
    out.graph.push_back(std::move(part));
  };
  open();
  for (Instance i = 0; i < plan.instances.size(); ++i) {
    const PlannedInstance& p = plan.instances[i];
    std::size_t size = 16 + 16 * p.outputs.size() + 12 * p.deps.size() + 24;
    if (!isRuleWritten[p.rule]) size += toJson(plan.rules[p.rule]).dump().size();
    if (size > kPartBytes) {
      throw std::runtime_error("an instance of rule " + plan.rules[p.rule].name +
                               " has too many inputs from others or outputs (" +
                               std::to_string(p.deps.size()) + ", " +
                               std::to_string(p.outputs.size()) + ")");
    }
    if (bytes + size > kPartBytes) {
      close();
      open();
    }
    bytes += size;
    if (!isRuleWritten[p.rule]) {
      isRuleWritten[p.rule] = true;
      number[p.rule] = rules++;
      part["rules"].push_back(toJson(plan.rules[p.rule]));
    }
    auto& of = part["of"];
    if (!of.empty() && of[of.size() - 2] == number[p.rule]) {
      of[of.size() - 1] = of[of.size() - 1].get<std::uint32_t>() + 1;
    } else {
      of.push_back(number[p.rule]);
      of.push_back(1U);
    }
    part["deps"].push_back(p.deps.size());
    for (Instance d : p.deps) part["deps"].push_back(i - d);
    print += hex16(p.print);
    part["outs"].push_back(p.outputs.size());
    for (const auto& o : p.outputs) outh += hex16(hashOf(o));
  }
  close();

  // Each text part holds as many instances as fit, because they compress better together.
  std::vector<Json> all;
  for (const auto& p : plan.instances) all.push_back(textOf(p, plan.rules[p.rule].name));
  for (std::uint32_t per = 512;; per /= 2) {
    if (per == 0) throw std::runtime_error("one instance's command and files are too long");
    out.texts.clear();
    bool fits = true;
    for (std::size_t from = 0; from < all.size() && fits; from += per) {
      Json list = Json::array();
      for (std::size_t i = from; i < std::min(all.size(), from + per); ++i) list.push_back(all[i]);
      out.texts.push_back(pack(list.dump(-1, ' ', false, Json::error_handler_t::replace)));
      fits = out.texts.back().size() <= kPartBytes;
    }
    out.perText = per;
    if (fits) break;
  }
  Hash h;
  for (const auto& g : out.graph) h.add(g.dump());
  for (const auto& t : out.texts) h.add(t);
  out.version = Digest{hex16(h.done())};
  return out;
}

namespace {
PlannedInstance instanceOf(const Json& v) {
  PlannedInstance p;
  auto texts = [&](const char* name) {
    std::vector<std::string> out;
    if (const Json* l = field(v, name); l && l->is_array()) {
      for (const auto& t : *l) {
        if (t.is_string()) out.push_back(t.get<std::string>());
      }
    }
    return out;
  };
  p.command = textField(v, "c").value_or("");
  p.inputs = texts("i");
  p.outputs = texts("o");
  p.log = textField(v, "l").value_or("");
  p.benchmark = textField(v, "b").value_or("");
  // The text part stores the name of the rule instead of the reason.
  p.why = textField(v, "r").value_or("");
  if (const Json* w = field(v, "w"); w && w->is_object()) {
    for (const auto& [name, value] : w->items()) {
      if (value.is_string()) p.wildcards[name] = value.get<std::string>();
    }
  }
  std::string flags = textField(v, "f").value_or("");
  for (std::size_t i = 0; i < p.outputs.size(); ++i) {
    char c = i < flags.size() ? flags[i] : '0';
    int bits = c >= 'a' ? c - 'a' + 10 : c - '0';
    p.flags.push_back({(bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0, (bits & 8) != 0});
  }
  auto how = countField(v, "h").value_or(0);
  p.lenient = (how & 1) != 0;
  p.deleteOnError = (how & 2) != 0;
  p.checkpoint = (how & 4) != 0;
  return p;
}

Json listFrom(const std::string& textPart) {
  Json list = Json::parse(unpack(textPart), nullptr, false);
  if (!list.is_array()) throw std::runtime_error("a text part can't be read");
  return list;
}
}  // namespace

PlannedInstance instanceFrom(const std::string& textPart, std::size_t at) {
  Json list = listFrom(textPart);
  if (at >= list.size()) throw std::runtime_error("no such instance in a text part");
  return instanceOf(list[at]);
}

std::vector<PlannedInstance> instancesFrom(const std::string& textPart) {
  std::vector<PlannedInstance> out;
  for (const auto& v : listFrom(textPart)) out.push_back(instanceOf(v));
  return out;
}

}  // namespace kestrelhoist::rules
