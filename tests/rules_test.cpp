// This file runs the cases in tests/rules/*.txt. Each case has rule files, the existing source
// files, and the expected plan or error. A case begins with "#### name"; its sections begin with
// "## file NAME", "## sources", "## targets", "## set", "## plan", "## commands" or "## error".
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <sstream>

#include "cli/rule_file.hpp"

namespace kestrelhoist {
namespace {

struct Case {
  std::string group, name;
  std::map<std::string, std::string> files;
  std::string first;  // This is the name of the rule file that is planned.
  std::string sources, targets, set, plan, commands, error;
  bool hasPlan = false, hasCommands = false;
};

void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }

std::vector<std::string> words(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> out;
  for (std::string w; in >> w;) out.push_back(w);
  return out;
}

std::vector<Case> cases() {
  std::vector<Case> out;
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(RULES_DIR))
    files.push_back(entry.path());
  std::sort(files.begin(), files.end());
  for (const auto& path : files) {
    std::ifstream in(path);
    std::string line;
    std::string* section = nullptr;
    while (std::getline(in, line)) {
      if (line.starts_with("#### ")) {
        out.emplace_back();
        out.back().group = path.stem().string();
        out.back().name = line.substr(5);
        section = nullptr;
      } else if (line.starts_with("## ")) {
        Case& c = out.back();
        auto w = words(line.substr(3));
        if (w[0] == "file") {
          if (c.first.empty()) c.first = w[1];
          section = &c.files[w[1]];
        } else {
          c.hasPlan = c.hasPlan || w[0] == "plan";
          c.hasCommands = c.hasCommands || w[0] == "commands";
          section = w[0] == "sources"    ? &c.sources
                    : w[0] == "targets"  ? &c.targets
                    : w[0] == "set"      ? &c.set
                    : w[0] == "plan"     ? &c.plan
                    : w[0] == "commands" ? &c.commands
                                         : &c.error;
        }
      } else if (section) {
        *section += line + "\n";
      }
    }
  }
  return out;
}

rules::PlanRequest requestOf(const Case& c) {
  rules::PlanRequest r;
  r.file = c.first;
  r.targets = words(c.targets);
  r.sources = words(c.sources);
  for (const auto& s : words(c.set))
    r.config.emplace_back(s.substr(0, s.find('=')), s.substr(s.find('=') + 1));
  r.read = [files = c.files](const std::string& name) -> std::optional<std::string> {
    auto it = files.find(name);
    return it == files.end() ? std::nullopt : std::optional(it->second);
  };
  return r;
}

rules::FlowPlan planOf(const std::string& file, const rules::PlanRequest& request) {
  if (file.starts_with("Make")) {
    auto made = rules::readMakefile(request);
    return rules::planMakefile(made, request);
  }
  return rules::planSnakefile(rules::readSnakefile(request), request);
}

// Returns one line "rule: outputs <- inputs" for each flow instance, in the order of the plan.
std::string shortPlan(const rules::FlowPlan& plan) {
  std::string out;
  for (const auto& p : plan.instances) {
    const FlowRule& r = plan.rules[p.rule];
    out += r.name + ":";
    for (std::size_t i = 0; i < p.outputs.size(); ++i) {
      const auto& f = p.flags[i];
      out += " " + p.outputs[i] + (f.temporary ? "(t)" : "") + (f.guarded ? "(p)" : "") +
             (f.directory ? "(d)" : "") + (f.touch ? "(touch)" : "");
    }
    if (!p.inputs.empty()) out += " <-";
    for (const auto& i : p.inputs) out += " " + i;
    std::ostringstream more;
    if (r.perTask.cpus != 1) more << " cpus=" << r.perTask.cpus;
    if (r.perTask.gpus != 0) more << " gpus=" << r.perTask.gpus;
    if (r.perTask.ramGb != 1) more << " gb=" << r.perTask.ramGb;
    if (r.retries != 0) more << " retries=" << r.retries;
    if (r.priority != 0) more << " priority=" << r.priority;
    if (r.image != "default") more << " image=" << r.image;
    if (r.estimate.count() != 0) more << " guess=" << toSeconds(r.estimate);
    if (!r.spot) more << " ordinary";
    if (p.checkpoint) more << " checkpoint";
    if (!p.log.empty()) more << " log=" << p.log;
    out += more.str() + "\n";
  }
  return out;
}

std::string commands(const rules::FlowPlan& plan) {
  std::string out;
  for (const auto& p : plan.instances) out += p.command + (p.command.ends_with("\n") ? "" : "\n");
  return out;
}

std::string trimmed(std::string s) {
  while (!s.empty() && std::isspace(static_cast<unsigned char>(s.back()))) s.pop_back();
  return s;
}

class RulesTest : public testing::TestWithParam<Case> {};

TEST_P(RulesTest, ComesToWhatIsSaid) {
  const Case& c = GetParam();
  std::string refused;
  rules::FlowPlan plan;
  try {
    plan = planOf(c.first, requestOf(c));
  } catch (const rules::RuleError& e) {
    refused = e.what();
  }
  if (!c.error.empty()) {
    EXPECT_NE(refused.find(trimmed(c.error)), std::string::npos) << "refused with: " << refused;
    return;
  }
  ASSERT_EQ(refused, "");
  if (c.hasPlan) {
    EXPECT_EQ(trimmed(shortPlan(plan)), trimmed(c.plan));
  }
  if (c.hasCommands) {
    EXPECT_EQ(trimmed(commands(plan)), trimmed(c.commands));
  }
  // Every valid plan can be bundled for an upload and parsed again without loss.
  auto bundle = rules::bundle(plan);
  FlowGraph graph;
  for (const auto& part : bundle.graph) EXPECT_EQ(graph.add(part).value_or(""), "");
  ASSERT_EQ(graph.size(), plan.instances.size());
  for (Instance i = 0; i < graph.size(); ++i) {
    const auto& p = plan.instances[i];
    EXPECT_TRUE(
        std::equal(graph.deps(i).begin(), graph.deps(i).end(), p.deps.begin(), p.deps.end()));
    EXPECT_EQ(graph.fingerprint(i), p.print);
    auto back = rules::instanceFrom(bundle.texts[i / bundle.perText], i % bundle.perText);
    EXPECT_EQ(back.command, p.command);
    EXPECT_EQ(back.inputs, p.inputs);
    EXPECT_EQ(back.outputs, p.outputs);
  }
}

// Rule files with randomly changed, deleted and repeated bytes are either planned or rejected. The
// planner must not crash or exceed its limits.
TEST_P(RulesTest, SurvivesMutation) {
  const Case& c = GetParam();
  std::mt19937_64 random(std::hash<std::string>{}(c.name));
  for (int round = 0; round < 40; ++round) {
    Case mutated = c;
    for (auto& [name, text] : mutated.files) {
      for (int k = static_cast<int>(random() % 4); k >= 0 && !text.empty(); --k) {
        std::size_t at = random() % text.size(), n = 1 + random() % 8;
        switch (random() % 4) {
          case 0:
            text[at] = static_cast<char>("\"'{}[]()$%:,=\\\t\n#+|&\0\xff"[random() % 23]);
            break;
          case 1:
            text.erase(at, n);
            break;
          case 2:
            text.insert(at, text.substr(random() % text.size(), n * 4));
            break;
          default:
            text.insert(at, std::string(n, text[at]));
        }
      }
    }
    rules::PlanRequest request = requestOf(mutated);
    request.limits.steps = 200000;
    request.limits.instances = 2000;
    request.limits.totalBytes = 4 << 20;
    try {
      auto plan = planOf(mutated.first, request);
      rules::bundle(plan);
    } catch (const std::runtime_error&) {
      // A rejected file is a valid result.
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Rules, RulesTest, testing::ValuesIn(cases()), [](const auto& info) {
  std::string name = info.param.group + "_" + info.param.name;
  for (char& c : name) {
    if (!std::isalnum(static_cast<unsigned char>(c))) c = '_';
  }
  return name;
});

// Rule files that would need excessive time or memory are rejected after a bounded amount of work.
TEST(HostileRules, AreRefused) {
  auto refused = [](const std::string& file, const std::string& text, const std::string& with) {
    Case c;
    c.first = file;
    c.files[file] = text;
    c.sources = "a";
    rules::PlanRequest request = requestOf(c);
    request.limits.steps = 500000;
    try {
      auto plan = planOf(file, request);
      rules::bundle(plan);
      ADD_FAILURE() << with << ": not refused, " << plan.instances.size() << " instances";
    } catch (const std::runtime_error& e) {
      EXPECT_NE(std::string(e.what()).find(with), std::string::npos) << e.what();
    }
  };
  std::string deep(100000, '[');
  refused("Snakefile", "x = " + deep + "\n", "bracket is not closed");
  refused("Snakefile", "x = " + deep + std::string(100000, ']') + "\n", "nested too deeply");
  refused("Snakefile",
          "x = expand(\"{a}{b}{c}{d}{e}{f}\", a=range(100), b=range(100), c=range(100), "
          "d=range(100), e=range(100), f=range(100))\n",
          "too much");
  refused("Snakefile", "rule a:\n    input: expand(\"{i}\", i=range(1000000))\n", "too much");
  refused("Snakefile", std::string(5 << 20, 'x'), "larger than");
  refused("Snakefile", "include: \"Snakefile\"\n", "too deeply");
  refused("Snakefile", "rule a:\n    output: \"{x,(a|b|ab)*c(?=d)}\"\n    shell: \"y\"\n",
          "can't be used");
  refused("Snakefile",
          "rule a:\n    input: \"b\"\n    output: \"a1\"\n    shell: \"y\"\nrule b:\n    input: "
          "\"a1\"\n    output: \"b\"\n    shell: \"y\"\n",
          "needs itself");
  refused("Makefile", "a1 = $(a1)\nall:\n\techo $(a1)\n", "needs itself");
  refused("Makefile",
          "a = $(foreach i,$(b),$(b))\nb = $(c) $(c) $(c) $(c) $(c) $(c) $(c) $(c)\nc = $(d) $(d) "
          "$(d) $(d) $(d) $(d) $(d) $(d)\nd = $(e) $(e) $(e) $(e) $(e) $(e) $(e) $(e)\ne = $(f) "
          "$(f) $(f) $(f) $(f) $(f) $(f) $(f)\nf = x x x x x x x x\nall:\n\techo $(a)\n",
          "too much");
  refused("Makefile", "all: " + std::string(1 << 20, '('), "nothing makes");
  refused("Makefile",
          "x = " + std::string(200000, '$') + std::string(200000, '(') + "\nall: $(x)\n\techo\n",
          "");
  refused("Makefile", "include Makefile\n", "too deeply");
  refused("Makefile", "all: x1\nx1: x2\nx2: x1\n", "needs itself");
  refused(
      "Makefile",
      "all: p\n%: %.a\n\tcp $< $@\n%: %.b\n\tcp $< $@\n%: %.c\n\tcp $< $@\n%: %.d\n\tcp $< $@\n",
      "nothing makes");
}

// A backtracking matcher would need exponential time for this pattern with nested alternations.
TEST(HostileRules, AlternationsMatchInLinearTime) {
  rules::Pattern p("{x,(a|a|aa|aaa)*}b", {}, {});
  EXPECT_FALSE(p.match(std::string(20000, 'a')));
  EXPECT_TRUE(p.match(std::string(2000, 'a') + "b"));
}

// An instance with thousands of inputs depends on intermediate join instances, so that no part of
// the uploaded flow graph becomes too large.
TEST(RulesSize, ManyInputsAreJoinedInSteps) {
  Case c;
  c.first = "Snakefile";
  c.files["Snakefile"] =
      "rule index:\n    input: expand(\"labels/{i}.txt\", i=range(2500))\n    output: \"index\"\n"
      "    shell: \"cat labels/*.txt > {output}\"\n"
      "rule label:\n    output: \"labels/{i}.txt\"\n    shell: \"x\"\n";
  auto plan = planOf("Snakefile", requestOf(c));
  EXPECT_EQ(plan.instances.size(), 2501u + 7u);
  EXPECT_EQ(plan.instances.back().inputs.size(), 2500u);
  EXPECT_EQ(plan.instances.back().deps.size(), 7u);
  auto bundle = rules::bundle(plan);
  FlowGraph graph;
  for (const auto& part : bundle.graph) {
    EXPECT_LE(part.dump().size(), rules::kPartBytes + 200);
    EXPECT_EQ(graph.add(part).value_or(""), "");
  }
  EXPECT_EQ(graph.size(), plan.instances.size());
}

// A file with more instances than the limit is rejected, and a file within the limit is planned.
TEST(HostileRules, SizeIsBounded) {
  Case c;
  c.first = "Makefile";
  c.files["Makefile"] = "all:\n";
  std::string& text = c.files["Makefile"];
  text = "all:";
  for (int i = 0; i < 1200; ++i) text += " t" + std::to_string(i);
  text += "\nt%:\n\ttouch $@\n";
  auto request = requestOf(c);
  EXPECT_EQ(planOf("Makefile", request).instances.size(), 1200u);
  request.limits.instances = 1000;
  EXPECT_THROW(planOf("Makefile", request), rules::RuleError);
}

}  // namespace
}  // namespace kestrelhoist
