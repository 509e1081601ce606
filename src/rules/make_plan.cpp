// Selects the Makefile rule that makes each file and expands the recipes of the planned instances.
#include <algorithm>
#include <unordered_set>

#include "rules/make.hpp"
#include "rules/plan_build.hpp"
#include "rules/shell.hpp"

namespace kestrelhoist::rules {
namespace {

class Planner {
 public:
  Planner(MakeFile& file, const PlanRequest& request)
      : file_(file),
        request_(request),
        sources_(request.sources.begin(), request.sources.end()),
        builder_(plan_, request.limits) {
    for (std::size_t r = 0; r < file.rules.size(); ++r) {
      const MakeRule& rule = file.rules[r];
      if (rule.pattern) {
        patterns_.push_back(r);
      } else {
        for (const auto& t : rule.targets) byTarget_[t].push_back(r);
      }
      // GNU Make treats every file that is a target of an explicit rule as one that "ought to
      // exist", so a pattern rule may use it as a prerequisite.
      if (!rule.pattern) mentioned_.insert(rule.targets.begin(), rule.targets.end());
    }
    builder_.maker = [this](const std::string& name) { return maker(name); };
    builder_.isSource = [this](const std::string& name) { return sources_.contains(name); };
    builder_.onNeed = [this](const std::string& name, const std::string& by) {
      parents_.emplace(name, by);
    };
  }

  FlowPlan run() {
    std::vector<std::string> targets = request_.targets;
    if (targets.empty()) {
      std::string goal =
          file_.expander->expand("$(.DEFAULT_GOAL)", *file_.globals, {request_.file});
      if (goal.empty()) goal = file_.firstTarget;
      if (goal.empty()) throw RuleError({request_.file}, "has no target to begin with");
      targets.push_back(goal);
    }
    for (const auto& target : targets) builder_.want(target, "asked for");
    seal(plan_);
    return std::move(plan_);
  }

 private:
  using Scope = std::shared_ptr<const MakeScope>;

  // Returns the variable scope of a target. Its target-specific variables override those of the
  // target that first required it.
  Scope scopeOf(const std::string& target) {
    if (auto it = scopes_.find(target); it != scopes_.end()) return it->second;
    // The chain of parent targets is collected first, and then the scopes are built from the
    // outermost parent inwards. This avoids recursion, because a chain can be long.
    std::vector<std::string> chain{target};
    while (true) {
      auto parent = parents_.find(chain.back());
      if (parent == parents_.end() || parent->second.empty() || scopes_.contains(chain.back()))
        break;
      chain.push_back(parent->second);
    }
    Scope outer = file_.globals;
    for (auto it = chain.rbegin(); it != chain.rend(); ++it) {
      if (auto known = scopes_.find(*it); known != scopes_.end()) {
        outer = known->second;
        continue;
      }
      auto scope = std::make_shared<MakeScope>();
      scope->outer = outer;
      for (const auto& s : file_.specific) {
        file_.expander->spend(1, 0, s.place);
        if (makeMatch(s.target, *it, nullptr))
          makeAssign(*scope, s.name, s.op, s.text, *file_.expander, s.place);
      }
      outer = scope->variables.empty() ? outer : Scope(scope);
      scopes_[*it] = outer;
    }
    return outer;
  }

  // Selects the pattern rule for a file. A pattern rule applies if all of its prerequisites exist
  // or can be made. The rule with the shortest stem wins, and then the first one in the file. A
  // rule is used at most once in a chain of pattern rules.
  std::optional<std::size_t> patternFor(const std::string& name, std::size_t depth,
                                        std::string* stem) {
    if (depth > request_.limits.depth) return std::nullopt;
    if (auto it = chosen_.find(name); it != chosen_.end()) {
      if (it->second) *stem = it->second->second;
      return it->second ? std::optional(it->second->first) : std::nullopt;
    }
    std::optional<std::pair<std::size_t, std::string>> best;
    for (auto r : patterns_) {
      const MakeRule& rule = file_.rules[r];
      if (!rule.hasRecipe || inChain_.contains(r)) continue;
      for (const auto& t : rule.targets) {
        file_.expander->spend(1, 0, rule.place);
        std::string s;
        if (!matchFile(t, name, &s) || (best && best->second.size() <= s.size())) continue;
        inChain_.insert(r);
        bool can = std::all_of(rule.inputs.begin(), rule.inputs.end(), [&](const std::string& i) {
          return canMake(inputOf(i, t, name, s), depth + 1);
        });
        inChain_.erase(r);
        if (can) best = {r, s};
      }
    }
    // A result found inside a chain is not cached, because the rules of the chain were excluded
    // from the search.
    if (inChain_.empty()) chosen_[name] = best;
    if (!best) return std::nullopt;
    *stem = best->second;
    return best->first;
  }

  bool canMake(const std::string& name, std::size_t depth) {
    if (sources_.contains(name) || mentioned_.contains(name)) return true;
    std::string stem;
    return patternFor(name, depth, &stem).has_value();
  }

  // Matches a file against a target pattern. A pattern without a directory is matched against the
  // file name without its directory, and the directory is then prepended to the stem.
  static bool matchFile(const std::string& pattern, const std::string& name, std::string* stem) {
    if (pattern.find('/') != std::string::npos || name.find('/') == std::string::npos) {
      return makeMatch(pattern, name, stem) && !(stem->empty());
    }
    auto slash = name.rfind('/');
    if (!makeMatch(pattern, name.substr(slash + 1), stem) || stem->empty()) return false;
    *stem = name.substr(0, slash + 1) + *stem;
    return true;
  }

  static std::string inputOf(const std::string& input, const std::string& pattern,
                             const std::string& name, const std::string& stem) {
    auto percent = input.find('%');
    if (percent == std::string::npos) return input;
    if (pattern.find('/') == std::string::npos && name.find('/') != std::string::npos) {
      auto slash = stem.rfind('/');
      return stem.substr(0, slash + 1) + makeSubstitute(input, stem.substr(slash + 1));
    }
    return makeSubstitute(input, stem);
  }

  std::shared_ptr<PlanBuilder::Made> maker(const std::string& name) {
    auto made = std::make_shared<PlanBuilder::Made>();
    PlannedInstance& p = made->instance;
    std::vector<std::size_t> recipes;
    std::string stem;
    auto explicitRules = byTarget_.find(name);
    if (explicitRules != byTarget_.end()) {
      for (auto r : explicitRules->second) {
        const MakeRule& rule = file_.rules[r];
        if (made->place.line == 0) made->place = rule.place;
        p.inputs.insert(p.inputs.end(), rule.inputs.begin(), rule.inputs.end());
        made->orderOnly.insert(made->orderOnly.end(), rule.orderOnly.begin(), rule.orderOnly.end());
        if (!rule.hasRecipe) continue;
        if (!recipes.empty() && !rule.doubleColon) {
          throw RuleError(rule.place, "a second recipe for " + name + "; the first is at " +
                                          file_.rules[recipes[0]].place.str());
        }
        recipes.push_back(r);
        if (!rule.stem.empty()) stem = rule.stem;
      }
    }
    bool phony = file_.phony.contains(name);
    std::vector<std::string> outputs{name};
    if (recipes.empty() && !phony) {
      if (auto r = patternFor(name, 0, &stem)) {
        const MakeRule& rule = file_.rules[*r];
        made->place = rule.place;
        std::string pattern;
        std::vector<std::string> first;
        for (const auto& t : rule.targets) {
          std::string s;
          if (pattern.empty() && matchFile(t, name, &s) && s == stem) pattern = t;
        }
        for (const auto& i : rule.inputs) first.push_back(inputOf(i, pattern, name, stem));
        p.inputs.insert(p.inputs.begin(), first.begin(), first.end());
        for (const auto& i : rule.orderOnly)
          made->orderOnly.push_back(inputOf(i, pattern, name, stem));
        outputs.clear();
        for (const auto& t : rule.targets) outputs.push_back(inputOf(t, pattern, name, stem));
        recipes.push_back(*r);
      } else if (explicitRules == byTarget_.end()) {
        return nullptr;
      } else if (sources_.contains(name) && p.inputs.empty() && made->orderOnly.empty()) {
        return nullptr;
      }
    }
    if (recipes.empty() || (file_.rules[recipes[0]].recipe.empty())) {
      // A target without a recipe is an alias for its prerequisites.
      made->isAlias = true;
      p.outputs = {name};
      return made;
    }
    const MakeRule& rule = file_.rules[recipes[0]];
    if (rule.grouped && !rule.pattern) outputs = rule.targets;
    std::vector<std::string> all = p.inputs;
    std::vector<std::string> unique;
    std::unordered_set<std::string> seen;
    for (const auto& i : all) {
      if (seen.insert(i).second) unique.push_back(i);
    }
    p.inputs = unique;
    std::erase_if(made->orderOnly, [&](const auto& i) { return seen.contains(i); });
    file_.expander->spend(all.size() + 1, 0, rule.place);

    MakeScope automatic;
    automatic.outer = scopeOf(name);
    auto set = [&](const std::string& var, const std::vector<std::string>& words) {
      std::vector<std::string> dirs, files;
      for (const auto& w : words) {
        auto slash = w.rfind('/');
        dirs.push_back(slash == std::string::npos ? "." : slash == 0 ? "/" : w.substr(0, slash));
        files.push_back(slash == std::string::npos ? w : w.substr(slash + 1));
      }
      automatic.variables[var] = {makeJoin(words), true, false};
      automatic.variables[var + "D"] = {makeJoin(dirs), true, false};
      automatic.variables[var + "F"] = {makeJoin(files), true, false};
    };
    set("@", {name});
    set("<", all.empty() ? all : std::vector<std::string>{all[0]});
    set("^", unique);
    set("+", all);
    // $? lists the prerequisites that are newer than the target. The instance is planned as if the
    // target did not exist, so all prerequisites are newer.
    set("?", unique);
    set("|", made->orderOnly);
    set("*", {stem});
    p.command = commandOf(recipes, automatic);
    p.deleteOnError = file_.deleteOnError;
    p.rule = ruleFor(rule, name, automatic);
    if (phony) {
      p.outputs = {".done/" + name};
      p.flags = {{false, false, false, true}};
    } else {
      p.outputs = outputs;
      p.flags.assign(outputs.size(), {});
      // Make does not require that a recipe creates its target.
      p.lenient = true;
    }
    if (p.command.empty()) {
      made->isAlias = true;
      p.outputs = {name};
    }
    return made;
  }

  // Returns the shell command of an instance. Each recipe line runs in its own shell and the
  // command stops at the first line that fails. With .ONESHELL, all lines of a recipe run in one
  // shell.
  std::string commandOf(const std::vector<std::size_t>& rules, const MakeScope& scope) {
    std::string shell = file_.expander->expand("$(SHELL)", scope, {request_.file});
    std::string out;
    for (const auto& name : file_.exported) {
      if (scope.find(name)) {
        out += "export " + name + "=" +
               shellQuoted(file_.expander->expand("$(" + name + ")", scope, {request_.file})) +
               "\n";
      }
    }
    std::string head = out;
    bool any = false;
    for (auto r : rules) {
      const MakeRule& rule = file_.rules[r];
      std::string together;
      for (std::size_t i = 0; i < rule.recipe.size(); ++i) {
        std::string expanded = file_.expander->expand(rule.recipe[i], scope, rule.recipePlaces[i]);
        // A variable whose value has several lines expands to several recipe lines.
        for (const auto& line : linesOf(expanded)) {
          auto at = line.find_first_not_of("@-+ \t");
          std::string prefix = line.substr(0, at == std::string::npos ? line.size() : at);
          std::string text = at == std::string::npos ? "" : line.substr(at);
          if (text.empty()) continue;
          any = true;
          if (file_.oneShell) {
            together += (together.empty() ? "" : "\n") + text;
            continue;
          }
          bool ignore = prefix.find('-') != std::string::npos;
          out += shell + " -c " + shellQuoted(text) + (ignore ? " || true\n" : " || exit $?\n");
        }
      }
      if (!together.empty()) out += shell + " -c " + shellQuoted(together) + " || exit $?\n";
    }
    if (!any) return "";
    file_.expander->spend(1, out.size(), {request_.file});
    return out;
  }

  static std::vector<std::string> linesOf(const std::string& text) {
    std::vector<std::string> out;
    std::size_t at = 0;
    std::string line;
    while (at <= text.size()) {
      auto end = std::min(text.find('\n', at), text.size());
      line += text.substr(at, end - at);
      at = end + 1;
      if (!line.empty() && line.back() == '\\' && at <= text.size()) {
        line += '\n';
        continue;
      }
      out.push_back(std::exchange(line, ""));
    }
    return out;
  }

  // Returns the number of the flow rule for a Makefile rule. Makefile rules with the same name and
  // resources share one flow rule.
  std::uint32_t ruleFor(const MakeRule& rule, const std::string& target, const MakeScope& scope) {
    auto text = [&](const char* name) {
      return scope.find(name)
                 ? file_.expander->expand(std::string("$(") + name + ")", scope, rule.place)
                 : std::string();
    };
    auto number = [&](const char* name, double otherwise) {
      std::string s = text(name);
      if (s.empty()) return otherwise;
      char* end = nullptr;
      double v = std::strtod(s.c_str(), &end);
      if (end == s.c_str() || *end != '\0' || !(v >= 0) || v > 1e6) {
        throw RuleError(rule.place, std::string(name) + " of " + target +
                                        " must be a number, not \"" + s + "\"");
      }
      return v;
    };
    FlowRule f;
    f.name = rule.pattern        ? rule.targets[0]
             : rule.stem.empty() ? target
                                 : "static at line " + std::to_string(rule.place.line);
    if (f.name.size() > 150) f.name = f.name.substr(0, 150);
    f.perTask = {number("HOIST_CPUS", 1), number("HOIST_GPUS", 0), number("HOIST_MEM_GB", 1)};
    f.image = text("HOIST_IMAGE").empty() ? request_.image : text("HOIST_IMAGE");
    f.imageGb = number("HOIST_IMAGE_GB", request_.imageGb);
    f.retries = static_cast<std::uint32_t>(std::min(100.0, number("HOIST_RETRIES", 0)));
    f.priority = static_cast<std::int32_t>(number("HOIST_PRIORITY", 0));
    f.estimate = fromSeconds(number("HOIST_RUNTIME_S", 0));
    f.spot = number("HOIST_SPOT", request_.spot ? 1 : 0) != 0;
    std::string key = toJson(f).dump(-1, ' ', false, Json::error_handler_t::replace);
    auto [it, isNew] = rules_.emplace(key, static_cast<std::uint32_t>(plan_.rules.size()));
    if (isNew) {
      if (plan_.rules.size() >= FlowGraph::kMaxRules) throw RuleError(rule.place, "too many rules");
      plan_.rules.push_back(f);
    }
    return it->second;
  }

  MakeFile& file_;
  const PlanRequest& request_;
  std::unordered_set<std::string> sources_, mentioned_;
  FlowPlan plan_;
  PlanBuilder builder_;
  std::unordered_map<std::string, std::vector<std::size_t>> byTarget_;
  std::vector<std::size_t> patterns_;
  std::unordered_map<std::string, std::optional<std::pair<std::size_t, std::string>>> chosen_;
  std::set<std::size_t> inChain_;
  std::unordered_map<std::string, std::string> parents_;
  std::unordered_map<std::string, Scope> scopes_;
  std::map<std::string, std::uint32_t> rules_;
};

}  // namespace

FlowPlan planMakefile(MakeFile& file, const PlanRequest& request) {
  return Planner(file, request).run();
}

}  // namespace kestrelhoist::rules
