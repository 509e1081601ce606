#include "rules/plan_build.hpp"

#include <algorithm>

namespace kestrelhoist::rules {

const std::vector<Instance>* PlanBuilder::madeBy(const std::string& file) const {
  auto it = made_.find(file);
  return it == made_.end() ? nullptr : &it->second;
}

Instance PlanBuilder::append(PlannedInstance instance) {
  if (plan_.instances.size() >= limits_.instances) {
    throw RuleError({}, "more than " + std::to_string(limits_.instances) + " instances");
  }
  edges_ += instance.deps.size();
  if (edges_ > limits_.edges) {
    throw RuleError({}, "more than " + std::to_string(limits_.edges) + " dependencies");
  }
  plan_.instances.push_back(std::move(instance));
  return static_cast<Instance>(plan_.instances.size() - 1);
}

void PlanBuilder::finish(const std::string& file, const std::shared_ptr<Made>& made,
                         const std::string& why) {
  std::vector<Instance> deps;
  auto add = [&](const std::string& input) {
    if (const auto* by = madeBy(input)) deps.insert(deps.end(), by->begin(), by->end());
  };
  for (const auto& input : made->instance.inputs) add(input);
  for (const auto& input : made->orderOnly) add(input);
  std::sort(deps.begin(), deps.end());
  deps.erase(std::unique(deps.begin(), deps.end()), deps.end());
  std::vector<std::string> outputs = made->instance.outputs;
  if (made->isAlias) {
    // The file is an alias for its prerequisites, so it maps to the instances that make them.
    edges_ += deps.size();
    if (edges_ > limits_.edges) {
      throw RuleError(made->place, "more than " + std::to_string(limits_.edges) + " dependencies");
    }
    made_[file] = std::move(deps);
    marks_[file] = Mark::done;
    return;
  }
  PlannedInstance instance = std::move(made->instance);
  instance.deps = std::move(deps);
  instance.why = why;
  Instance n = append(std::move(instance));
  for (const auto& out : outputs) {
    made_[out] = {n};
    marks_[out] = Mark::done;
  }
  marks_[file] = Mark::done;
  if (!made_.contains(file)) made_[file] = {n};
}

void PlanBuilder::want(const std::string& file, const std::string& why) {
  struct Frame {
    std::string file, why;
    std::shared_ptr<Made> made;
    std::size_t next = 0;  // This is the index of the prerequisite to visit next.
  };
  std::vector<Frame> stack;
  auto open = [&](const std::string& name, const std::string& reason, const Place& from) {
    auto mark = marks_.find(name);
    if (mark != marks_.end()) {
      if (mark->second == Mark::done) return;
      std::string chain;
      for (const auto& f : stack) chain += f.file + " <- ";
      if (chain.size() > 600)
        chain = chain.substr(0, 300) + " ... " + chain.substr(chain.size() - 300);
      throw RuleError(from, "needs itself: " + chain + name);
    }
    if (onNeed) onNeed(name, stack.empty() ? std::string() : stack.back().file);
    auto made = maker(name);
    if (!made) {
      if (!isSource(name)) {
        throw RuleError(from, "nothing makes " + name + ", and it is not there" +
                                  (stack.empty() ? "" : " (needed for " + stack.back().file + ")"));
      }
      if (sources_.insert(name).second) plan_.sources.push_back(name);
      marks_[name] = Mark::done;
      return;
    }
    marks_[name] = Mark::open;
    for (const auto& out : made->instance.outputs) marks_[out] = Mark::open;
    stack.push_back({name, reason, std::move(made)});
  };
  open(file, why, {});
  while (!stack.empty()) {
    Frame& top = stack.back();
    std::size_t inputs = top.made->instance.inputs.size();
    std::size_t all = inputs + top.made->orderOnly.size();
    if (top.next < all) {
      std::string input = top.next < inputs ? top.made->instance.inputs[top.next]
                                            : top.made->orderOnly[top.next - inputs];
      ++top.next;
      std::string why = "for " + top.file;
      std::replace(why.begin(), why.end(), '\n', ' ');
      open(input, why, top.made->place);
      continue;
    }
    Frame done = std::move(stack.back());
    stack.pop_back();
    finish(done.file, done.made, done.why);
  }
}

}  // namespace kestrelhoist::rules
