#include "cli/rule_file.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "rules/execute.hpp"

namespace kestrelhoist {
namespace fs = std::filesystem;
namespace {

constexpr std::size_t kMaxSources = 200000;

std::optional<std::string> readText(const fs::path& path, std::size_t maxBytes) {
  std::error_code error;
  if (!fs::is_regular_file(path, error)) return std::nullopt;
  std::ifstream in(path, std::ios::binary);
  std::string text;
  char block[65536];
  while (in.read(block, sizeof block) || in.gcount() > 0) {
    text.append(block, static_cast<std::size_t>(in.gcount()));
    // The parser rejects files that exceed the limit.
    if (text.size() > maxBytes) break;
  }
  return text;
}

bool isMake(const RuleFile& file) {
  if (!file.language.empty()) return file.language == "make";
  std::string name = fs::path(file.path).filename().string();
  return name == "Makefile" || name == "makefile" || name == "GNUmakefile" || name.ends_with(".mk");
}

}  // namespace

PlannedFile planFile(const RuleFile& file, const rules::Limits& limits) {
  PlannedFile out;
  std::error_code error;
  fs::path path(file.path);
  out.directory = !file.directory.empty()  ? file.directory
                  : path.has_parent_path() ? path.parent_path().string()
                                           : ".";
  out.file = fs::path(file.path).lexically_relative(out.directory).string();
  if (out.file.empty() || out.file.starts_with("..")) out.file = file.path;
  rules::PlanRequest request;
  request.file = out.file;
  request.targets = file.targets;
  request.config = file.config;
  request.image = file.image;
  request.spot = file.spot;
  request.limits = limits;
  request.sources = rules::filesBelow(out.directory, kMaxSources);
  request.read = [&](const std::string& name) {
    return readText(fs::path(out.directory) / name, limits.fileBytes);
  };
  if (isMake(file)) {
    auto made = rules::readMakefile(request);
    out.read = made.read;
    out.plan = rules::planMakefile(made, request);
  } else {
    auto snake = rules::readSnakefile(request);
    out.read = snake.read;
    out.plan = rules::planSnakefile(snake, request);
  }
  for (const auto& p : out.plan.instances) {
    for (const auto& o : p.outputs) {
      if (!rules::staysInside(o))
        throw rules::RuleError({out.file}, "output " + o + " is not below the flow's directory");
    }
  }
  return out;
}

void addReplans(PlannedFile& planned) {
  auto& plan = planned.plan;
  std::vector<rules::PlannedInstance> out;
  std::vector<Instance> newNumbers(plan.instances.size()), replanNumbers(plan.instances.size());
  std::uint32_t rule = 0;
  for (Instance i = 0; i < plan.instances.size(); ++i) {
    rules::PlannedInstance p = std::move(plan.instances[i]);
    std::vector<Instance> deps;
    for (Instance d : p.deps) {
      deps.push_back(newNumbers[d]);
      // An instance that depends on a checkpoint also waits until the file has been planned again.
      if (replanNumbers[d] != 0) deps.push_back(replanNumbers[d]);
    }
    std::sort(deps.begin(), deps.end());
    p.deps = std::move(deps);
    newNumbers[i] = static_cast<Instance>(out.size());
    bool checkpoint = p.checkpoint;
    out.push_back(std::move(p));
    if (!checkpoint) continue;
    if (rule == 0) {
      FlowRule f = plan.rules[out.back().rule];
      f.name = "(checkpoint)";
      f.perTask = {0.5, 0, 0.5};
      f.retries = 5;
      rule = static_cast<std::uint32_t>(plan.rules.size());
      plan.rules.push_back(f);
    }
    rules::PlannedInstance replanInstance;
    replanInstance.rule = rule;
    replanInstance.command = "\"$HOIST\" flow replan";
    replanInstance.outputs = {".done/replan/" + hex16(rules::hashOf(out.back().outputs[0]))};
    replanInstance.flags = {{false, false, false, true}};
    replanInstance.deps = {newNumbers[i]};
    replanInstance.why = "after the checkpoint that makes " + out.back().outputs[0];
    replanNumbers[i] = static_cast<Instance>(out.size());
    out.push_back(std::move(replanInstance));
  }
  plan.instances = std::move(out);
  if (rule != 0) rules::seal(plan);
}

std::string listing(const rules::FlowPlan& plan, bool commands) {
  std::ostringstream out;
  for (Instance i = 0; i < plan.instances.size(); ++i) {
    const auto& p = plan.instances[i];
    out << i << " " << plan.rules[p.rule].name;
    for (const auto& [name, value] : p.wildcards) out << " " << name << "=" << value;
    out << ":";
    for (const auto& o : p.outputs) out << " " << o;
    if (!p.inputs.empty()) out << " <-";
    for (const auto& in : p.inputs) out << " " << in;
    if (!p.deps.empty()) {
      out << " [after";
      for (std::size_t k = 0; k < p.deps.size() && k < 8; ++k) out << " " << p.deps[k];
      if (p.deps.size() > 8) out << " and " << p.deps.size() - 8 << " more";
      out << "]";
    }
    if (!p.why.empty()) out << " (" << p.why << ")";
    out << "\n";
    if (commands) {
      std::istringstream lines(p.command);
      for (std::string line; std::getline(lines, line);) out << "    " << line << "\n";
    }
  }
  return out.str();
}

std::string dotGraph(const rules::FlowPlan& plan) {
  auto quoted = [](const std::string& s) {
    std::string out = "\"";
    for (char c : s) {
      if (c == '"' || c == '\\') out += '\\';
      out += c;
    }
    return out + "\"";
  };
  std::ostringstream out;
  out << "digraph flow {\n  rankdir=LR;\n  node [shape=box];\n";
  for (Instance i = 0; i < plan.instances.size(); ++i) {
    const auto& p = plan.instances[i];
    out << "  n" << i << " [label="
        << quoted(plan.rules[p.rule].name + "\\n" + (p.outputs.empty() ? "" : p.outputs[0]))
        << "];\n";
    for (Instance d : p.deps) out << "  n" << d << " -> n" << i << ";\n";
  }
  out << "}\n";
  return out.str();
}

Json planToJson(const rules::FlowPlan& plan) {
  Json list = Json::array(), ruleList = Json::array();
  for (const auto& r : plan.rules) ruleList.push_back(toJson(r));
  for (const auto& p : plan.instances) {
    list.push_back({{"rule", plan.rules[p.rule].name},
                    {"wildcards", p.wildcards},
                    {"inputs", p.inputs},
                    {"outputs", p.outputs},
                    {"command", p.command},
                    {"after", p.deps},
                    {"why", p.why},
                    {"fingerprint", hex16(p.print)}});
  }
  return {
      {"rules", std::move(ruleList)}, {"instances", std::move(list)}, {"sources", plan.sources}};
}

}  // namespace kestrelhoist
