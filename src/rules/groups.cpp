// Merges instances of one group that depend on one another directly. A merged instance runs the
// original commands in dependency order.
#include "rules/groups.hpp"

#include <algorithm>
#include <numeric>

#include "rules/shell.hpp"

namespace kestrelhoist::rules {
std::vector<bool> mergeGroups(FlowPlan& plan, const std::vector<std::string>& groupOf) {
  std::size_t n = plan.instances.size();
  std::vector<Instance> parent(n);
  std::iota(parent.begin(), parent.end(), 0);
  auto find = [&](Instance i) {
    while (parent[i] != i) i = parent[i] = parent[parent[i]];
    return i;
  };
  auto group = [&](Instance i) -> const std::string& { return groupOf[plan.instances[i].rule]; };
  bool any = false;
  for (Instance i = 0; i < n; ++i) {
    if (group(i).empty()) continue;
    for (Instance d : plan.instances[i].deps) {
      if (group(d) != group(i)) continue;
      parent[find(i)] = find(d);
      any = true;
    }
  }
  if (!any) return std::vector<bool>(n);

  // The members of each merged instance are listed after the members that they depend on.
  std::vector<std::vector<Instance>> members(n);
  for (Instance i = 0; i < n; ++i) members[find(i)].push_back(i);
  // Sorts the merged instances topologically. The sort fails if an instance outside of a group
  // would have to run between two members of the group.
  std::vector<std::vector<Instance>> after(n);
  std::vector<std::uint32_t> missing(n, 0);
  for (Instance i = 0; i < n; ++i) {
    for (Instance d : plan.instances[i].deps) {
      if (find(d) == find(i)) continue;
      after[find(d)].push_back(find(i));
      ++missing[find(i)];
    }
  }
  std::vector<Instance> order;
  for (Instance i = 0; i < n; ++i) {
    if (find(i) == i && missing[i] == 0) order.push_back(i);
  }
  for (std::size_t k = 0; k < order.size(); ++k) {
    for (Instance next : after[order[k]]) {
      if (--missing[next] == 0) order.push_back(next);
    }
  }
  if (std::any_of(missing.begin(), missing.end(), [](auto m) { return m > 0; })) {
    // The plan had no dependency cycle before the merge, so merging a group must have caused it.
    for (Instance i = 0; i < n; ++i) {
      if (missing[i] == 0 || members[i].size() < 2) continue;
      throw RuleError({}, "group " + group(i) + " can't run as one: something that is not in it " +
                              "must run between its rules");
    }
  }

  std::vector<PlannedInstance> out;
  std::vector<bool> merged;
  std::vector<Instance> number(n);
  for (Instance root : order) {
    auto number_ = static_cast<Instance>(out.size());
    for (Instance m : members[root]) number[m] = number_;
    if (members[root].size() == 1) {
      out.push_back(std::move(plan.instances[root]));
      merged.push_back(false);
      continue;
    }
    PlannedInstance p;
    FlowRule rule;
    bool first = true;
    std::vector<std::string> made, inputs;
    for (Instance m : members[root]) {
      const PlannedInstance& one = plan.instances[m];
      const FlowRule& r = plan.rules[one.rule];
      if (!one.benchmark.empty()) {
        throw RuleError(
            {}, "benchmark of rule " + r.name + " in group " + group(m) + " is not supported",
            "benchmark");
      }
      if (first) {
        rule = r;
        rule.name = "group " + group(m);
        rule.estimate = Duration{0};
      }
      first = false;
      rule.perTask.cpus = std::max(rule.perTask.cpus, r.perTask.cpus);
      rule.perTask.gpus = std::max(rule.perTask.gpus, r.perTask.gpus);
      rule.perTask.ramGb = std::max(rule.perTask.ramGb, r.perTask.ramGb);
      rule.retries = std::max(rule.retries, r.retries);
      rule.priority = std::max(rule.priority, r.priority);
      rule.estimate += r.estimate;
      rule.spot = rule.spot && r.spot;
      if (auto slash = one.log.rfind('/'); slash != std::string::npos) {
        p.command += "mkdir -p -- " + shellQuoted(one.log.substr(0, slash)) + " || exit $?\n";
      }
      if (!one.command.empty()) p.command += "(\n" + one.command + "\n) || exit $?\n";
      for (std::size_t k = 0; k < one.outputs.size(); ++k) {
        if (one.flags[k].touch)
          p.command += "touch -- " + shellQuoted(one.outputs[k]) + " || exit $?\n";
      }
      p.outputs.insert(p.outputs.end(), one.outputs.begin(), one.outputs.end());
      p.flags.insert(p.flags.end(), one.flags.begin(), one.flags.end());
      made.insert(made.end(), one.outputs.begin(), one.outputs.end());
      inputs.insert(inputs.end(), one.inputs.begin(), one.inputs.end());
      p.deps.insert(p.deps.end(), one.deps.begin(), one.deps.end());
      p.checkpoint = p.checkpoint || one.checkpoint;
      p.deleteOnError = true;
      p.why = one.why;
    }
    std::sort(made.begin(), made.end());
    for (const auto& i : inputs) {
      if (!std::binary_search(made.begin(), made.end(), i) &&
          std::find(p.inputs.begin(), p.inputs.end(), i) == p.inputs.end()) {
        p.inputs.push_back(i);
      }
    }
    std::erase_if(p.deps, [&](Instance d) { return find(d) == root; });
    auto same = std::find_if(plan.rules.begin(), plan.rules.end(),
                             [&](const FlowRule& r) { return toJson(r) == toJson(rule); });
    p.rule = static_cast<std::uint32_t>(same - plan.rules.begin());
    if (same == plan.rules.end()) plan.rules.push_back(rule);
    out.push_back(std::move(p));
    merged.push_back(true);
  }
  for (Instance i = 0; i < out.size(); ++i) {
    auto& deps = out[i].deps;
    for (Instance& d : deps) d = number[d];
    std::sort(deps.begin(), deps.end());
    deps.erase(std::unique(deps.begin(), deps.end()), deps.end());
  }
  plan.instances = std::move(out);
  return merged;
}

}  // namespace kestrelhoist::rules
