// Selects the Snakefile rule that makes each file and formats the commands of the planned
// instances.
#include <algorithm>
#include <unordered_set>

#include "rules/groups.hpp"
#include "rules/plan_build.hpp"
#include "rules/shell.hpp"
#include "rules/snake.hpp"
#include "rules/snake_functions.hpp"

namespace kestrelhoist::rules {
namespace {

// Replaces the fields of a command: {input}, {output[0]}, {params.x}, {wildcards.x}, {threads},
// {resources.mem_mb}, {log}, {benchmark}, {rule} and {config[x]}. The suffix ":q" quotes a value
// for the shell.
class CommandText {
 public:
  CommandText(const SnakeFile& file, const SnakeRule& rule, const PlannedInstance& instance,
              const std::vector<Value>& params)
      : file_(file), rule_(rule), instance_(instance), params_(params) {}

  std::string format(const std::string& text) const {
    return fillBraces(text, rule_.shellPlace, [&](const std::string& name) { return field(name); });
  }

 private:
  static std::string quoted(const std::string& s) {
    if (!s.empty() && std::all_of(s.begin(), s.end(), [](char c) {
          return std::isalnum(static_cast<unsigned char>(c)) ||
                 std::string_view("@%+=:,./-_").find(c) != std::string_view::npos;
        })) {
      return s;
    }
    return shellQuoted(s);
  }

  std::string joined(const std::vector<std::string>& list, bool quote) const {
    std::string out;
    for (const auto& s : list) out += (out.empty() ? "" : " ") + (quote ? quoted(s) : s);
    return out;
  }

  [[noreturn]] void unknown(const std::string& field) const {
    throw RuleError(rule_.shellPlace,
                    "{" + field + "} in the command of rule " + rule_.name + " is not known");
  }

  std::string field(std::string text) const {
    const std::string whole = text;
    bool quote = false;
    if (text.ends_with(":q")) {
      quote = true;
      text.resize(text.size() - 2);
    }
    if (text.find(':') != std::string::npos || text.find('!') != std::string::npos) unknown(whole);
    // A field consists of a name and an optional .key or [key].
    auto at = text.find_first_of(".[");
    std::string name = text.substr(0, at), key;
    if (at != std::string::npos) {
      key = text.substr(at + 1);
      if (text[at] == '[') {
        if (key.empty() || key.back() != ']') unknown(whole);
        key.pop_back();
      }
    }
    auto one = [&](const std::string& s) { return quote ? quoted(s) : s; };
    if (name == "input") return files(rule_.inputs, instance_.inputs, key, quote, whole);
    if (name == "output") {
      // conclude() writes the benchmark file after the command, so the file is not part of
      // {output}.
      std::vector<std::string> own = instance_.outputs;
      own.resize(rule_.outputs.files.size());
      return files(rule_.outputs, own, key, quote, whole);
    }
    if (name == "wildcards") {
      auto it = instance_.wildcards.find(key);
      if (it == instance_.wildcards.end()) unknown(whole);
      return one(it->second);
    }
    if (name == "threads" && key.empty()) return std::to_string(rule_.threads);
    if (name == "rule" && key.empty()) return one(rule_.name);
    if (name == "log" && (key.empty() || key == "0")) return one(instance_.log);
    if (name == "benchmark" && key.empty()) return one(instance_.benchmark);
    if (name == "resources") {
      auto it = rule_.resources.find(key);
      if (it == rule_.resources.end()) unknown(whole);
      return one(it->second.str());
    }
    if (name == "params") {
      if (key.empty()) {
        std::vector<std::string> all;
        for (const auto& p : params_) all.push_back(p.str());
        return joined(all, quote);
      }
      std::size_t n = rule_.params.positional.size();
      for (std::size_t i = 0; i < rule_.params.named.size(); ++i) {
        if (rule_.params.named[i].first == key) return one(params_[n + i].str());
      }
      if (isNumber(key) && std::stoul(key) < params_.size())
        return one(params_[std::stoul(key)].str());
      unknown(whole);
    }
    if (name == "config") {
      const Value* v = file_.config.find(key);
      if (!v) unknown(whole);
      return one(v->str());
    }
    unknown(whole);
  }

  static bool isNumber(const std::string& s) {
    return !s.empty() && s.size() < 7 && s.find_first_not_of("0123456789") == std::string::npos;
  }

  std::string files(const SnakeFiles& declared, const std::vector<std::string>& all,
                    const std::string& key, bool quote, const std::string& whole) const {
    if (key.empty()) return joined(all, quote);
    if (isNumber(key)) {
      if (std::stoul(key) >= all.size()) unknown(whole);
      return quote ? quoted(all[std::stoul(key)]) : all[std::stoul(key)];
    }
    for (const auto& [name, run] : declared.names) {
      if (name != key) continue;
      std::vector<std::string> part(
          all.begin() + static_cast<std::ptrdiff_t>(run.first),
          all.begin() + static_cast<std::ptrdiff_t>(run.first + run.second));
      return joined(part, quote);
    }
    unknown(whole);
  }

  const SnakeFile& file_;
  const SnakeRule& rule_;
  const PlannedInstance& instance_;
  const std::vector<Value>& params_;
};

class Planner {
 public:
  Planner(const SnakeFile& file, const PlanRequest& request)
      : file_(file),
        request_(request),
        sources_(request.sources.begin(), request.sources.end()),
        builder_(plan_, request.limits) {
    for (std::size_t r = 0; r < file.rules.size(); ++r) prepare(r);
    builder_.maker = [this](const std::string& name) { return maker(name); };
    builder_.isSource = [this](const std::string& name) { return sources_.contains(name); };
  }

  FlowPlan run() {
    std::vector<std::string> targets = request_.targets;
    if (targets.empty()) {
      auto chosen = std::find_if(file_.rules.begin(), file_.rules.end(),
                                 [](const auto& r) { return r.defaultTarget; });
      targets.push_back(chosen == file_.rules.end() ? file_.rules[0].name : chosen->name);
    }
    for (const auto& target : targets) {
      auto rule = std::find_if(file_.rules.begin(), file_.rules.end(),
                               [&](const auto& r) { return r.name == target; });
      if (rule == file_.rules.end()) {
        builder_.want(target, "asked for");
        continue;
      }
      auto r = static_cast<std::size_t>(rule - file_.rules.begin());
      if (std::any_of(outputs_[r].begin(), outputs_[r].end(),
                      [](const Pattern& p) { return !p.plain(); })) {
        throw RuleError(rule->place,
                        "rule " + target + " has wildcards: ask for a file that it makes");
      }
      builder_.want(outputs_[r].empty() ? requestName(*rule) : outputs_[r][0].text(),
                    "rule " + target + " asked for");
    }
    std::vector<std::string> groups;
    for (const auto& r : file_.rules) groups.push_back(r.group);
    removeTemporaries(mergeGroups(plan_, groups));
    seal(plan_);
    return std::move(plan_);
  }

 private:
  // Returns the name under which a rule without outputs is requested. The newline keeps the name
  // different from all file names.
  static std::string requestName(const SnakeRule& r) { return "\n" + r.name; }

  void prepare(std::size_t n) {
    const SnakeRule& r = file_.rules[n];
    std::map<std::string, std::string> constraints = file_.constraints;
    for (const auto& [name, regex] : r.constraints) constraints[name] = regex;
    std::vector<Pattern> patterns;
    for (std::size_t i = 0; i < r.outputs.files.size(); ++i) {
      patterns.emplace_back(r.outputs.files[i].s, constraints, r.outputs.places[i]);
      auto names = patterns[i].names(), first = patterns[0].names();
      std::sort(names.begin(), names.end());
      std::sort(first.begin(), first.end());
      if (names != first)
        throw RuleError(r.outputs.places[i],
                        "all outputs of rule " + r.name + " must have the same wildcards");
    }
    if (!r.shell && !r.outputs.files.empty() &&
        !std::all_of(r.outputs.files.begin(), r.outputs.files.end(),
                     [](const Value& v) { return v.flags.touch; })) {
      throw RuleError(r.place, "rule " + r.name + " has outputs but no command");
    }
    for (std::size_t i = 0; i < patterns.size(); ++i) {
      if (patterns[i].plain()) {
        byName_[patterns[i].text()].emplace_back(n, i);
      } else {
        byPrefix_[patterns[i].prefix().substr(0, patterns[i].prefix().find('/') + 1)].emplace_back(
            n, i);
      }
    }
    if (patterns.empty()) byName_[requestName(r)].emplace_back(n, 0);
    outputs_.push_back(std::move(patterns));
    plan_.rules.push_back(ruleOf(r));
  }

  FlowRule ruleOf(const SnakeRule& r) const {
    FlowRule f;
    f.name = r.name;
    f.image = request_.image;
    f.imageGb = request_.imageGb;
    f.spot = request_.spot;
    f.perTask = {static_cast<double>(r.threads), 0, 1};
    f.priority = static_cast<std::int32_t>(r.priority);
    f.retries = static_cast<std::uint32_t>(std::min<std::int64_t>(100, r.retries));
    for (const auto& [name, value] : r.resources) {
      double amount = value.kind == Value::Kind::real ? value.d : static_cast<double>(value.n);
      if (name == "image" && value.kind == Value::Kind::text) {
        f.image = value.s;
        continue;
      }
      if (name == "spot" && value.kind == Value::Kind::boolean) {
        f.spot = value.b;
        continue;
      }
      bool counts = value.kind == Value::Kind::real || value.kind == Value::Kind::integer;
      if (name == "mem_mb" || name == "mem_gb" || name == "gpus" || name == "gpu" ||
          name == "nvidia_gpu" || name == "runtime" || name == "image_gb" || name == "spot" ||
          name == "cpus" || name == "mem_mib") {
        if (!counts || amount < 0 || amount > 1e6)
          throw RuleError(r.place, "resource " + name + " of rule " + r.name + " must be a number");
      }
      if (name == "mem_mb" || name == "mem_mib") f.perTask.ramGb = amount / 1024;
      if (name == "mem_gb") f.perTask.ramGb = amount;
      if (name == "gpus" || name == "gpu" || name == "nvidia_gpu") f.perTask.gpus = amount;
      if (name == "cpus") f.perTask.cpus = amount;
      if (name == "runtime") f.estimate = fromSeconds(amount * 60);
      if (name == "image_gb") f.imageGb = amount;
      if (name == "spot") f.spot = amount != 0;
    }
    return f;
  }

  // Compares two rules by ruleorder. Returns -1 if `a` takes precedence, 1 if `b` does, and 0 if
  // ruleorder does not mention both.
  int before(const std::string& a, const std::string& b) const {
    for (const auto& order : file_.order) {
      auto ia = std::find(order.begin(), order.end(), a),
           ib = std::find(order.begin(), order.end(), b);
      if (ia != order.end() && ib != order.end()) return ia < ib ? -1 : 1;
    }
    return 0;
  }

  std::shared_ptr<PlanBuilder::Made> maker(const std::string& name) {
    struct Candidate {
      std::size_t rule;
      Wildcards wildcards;
    };
    std::vector<Candidate> found;
    auto add = [&](std::size_t rule, Wildcards w) {
      for (const auto& c : found) {
        if (c.rule == rule) return;
      }
      found.push_back({rule, std::move(w)});
    };
    if (auto it = byName_.find(name); it != byName_.end()) {
      for (const auto& [rule, i] : it->second) add(rule, {});
    }
    // Patterns are indexed by the first directory of their literal prefix.
    std::vector<std::string> starts{""};
    if (auto slash = name.find('/'); slash != std::string::npos)
      starts.push_back(name.substr(0, slash + 1));
    for (const auto& start : starts) {
      auto it = byPrefix_.find(start);
      if (it == byPrefix_.end()) continue;
      for (const auto& [rule, i] : it->second) {
        if (auto w = outputs_[rule][i].match(name)) add(rule, std::move(*w));
      }
    }
    if (found.empty()) {
      // The file may lie in a directory that is itself the output of a rule.
      for (auto slash = name.rfind('/'); slash != std::string::npos && slash > 0;
           slash = name.rfind('/', slash - 1)) {
        std::string directory = name.substr(0, slash);
        auto it = byName_.find(directory);
        if (it == byName_.end()) continue;
        const auto& [rule, i] = it->second[0];
        if (!file_.rules[rule].outputs.files[i].flags.directory) continue;
        auto made = std::make_shared<PlanBuilder::Made>();
        made->place = file_.rules[rule].place;
        made->isAlias = true;
        made->instance.inputs = {directory};
        made->instance.outputs = {name};
        return made;
      }
      return nullptr;
    }
    std::size_t best = 0;
    for (std::size_t i = 1; i < found.size(); ++i) {
      const SnakeRule &a = file_.rules[found[best].rule], &b = file_.rules[found[i].rule];
      int order = before(a.name, b.name);
      if (order == 0) {
        throw RuleError(b.place, "rules " + a.name + " and " + b.name + " both make " + name +
                                     " (ruleorder can say which goes first)");
      }
      if (order > 0) best = i;
    }
    return instance(found[best].rule, found[best].wildcards);
  }

  std::shared_ptr<PlanBuilder::Made> instance(std::size_t n, const Wildcards& wildcards) {
    const SnakeRule& r = file_.rules[n];
    auto made = std::make_shared<PlanBuilder::Made>();
    made->place = r.place;
    PlannedInstance& p = made->instance;
    p.rule = static_cast<std::uint32_t>(n);
    p.wildcards = wildcards;
    p.checkpoint = r.checkpoint;
    p.deleteOnError = true;
    spend(r.inputs.files.size() + r.outputs.files.size() + 1, r.place);
    for (std::size_t i = 0; i < r.inputs.files.size(); ++i) {
      p.inputs.push_back(applyWildcards(r.inputs.files[i].s, wildcards, r.inputs.places[i]));
      spend(p.inputs.back().size() / 64, r.place);
    }
    for (std::size_t i = 0; i < r.outputs.files.size(); ++i) {
      p.outputs.push_back(applyWildcards(r.outputs.files[i].s, wildcards, r.outputs.places[i]));
      p.flags.push_back(r.outputs.files[i].flags);
    }
    if (!r.log.empty()) p.log = applyWildcards(r.log, wildcards, r.place);
    if (!r.benchmark.empty()) {
      p.benchmark = applyWildcards(r.benchmark, wildcards, r.place);
      p.outputs.push_back(p.benchmark);
      p.flags.emplace_back();
    }
    std::vector<Value> params;
    auto param = [&](const Value& v, const auto& self) -> Value {
      Value out = v;
      if (v.kind == Value::Kind::text) out.s = applyWildcards(v.s, wildcards, r.place);
      for (auto& item : out.items) item = self(item, self);
      return out;
    };
    for (const auto& v : r.params.positional) params.push_back(param(v, param));
    for (const auto& [name, v] : r.params.named) params.push_back(param(v, param));
    if (r.shell) {
      p.command = "set -euo pipefail; " + CommandText(file_, r, p, params).format(*r.shell);
      spend(p.command.size() / 64, r.place);
    }
    if (p.outputs.empty() && !r.shell) {
      made->isAlias = true;
    } else if (p.outputs.empty()) {
      // The rule has a command but no outputs, so its instance gets a marker file as its output.
      p.outputs.push_back(".done/" + r.name);
      p.flags.push_back({false, false, false, true});
    }
    return made;
  }

  void spend(std::size_t steps, const Place& place) {
    steps_ += steps;
    if (steps_ > request_.limits.steps) throw RuleError(place, "the file asks for too much");
  }

  // Adds for each instance with temp() outputs another instance that removes these outputs after
  // all dependent instances are done.
  void removeTemporaries(const std::vector<bool>& merged) {
    std::vector<std::vector<Instance>> users(plan_.instances.size());
    std::vector<Instance> made;
    for (Instance i = 0; i < plan_.instances.size(); ++i) {
      const auto& flags = plan_.instances[i].flags;
      if (std::any_of(flags.begin(), flags.end(), [](const auto& f) { return f.temporary; }))
        made.push_back(i);
      for (Instance d : plan_.instances[i].deps) users[d].push_back(i);
    }
    std::uint32_t rule = 0;
    for (Instance i : made) {
      // The file is a requested target if no instance depends on it, so it is kept.
      if (users[i].empty() && !merged[i]) continue;
      // A file that is used only inside of its merged instance is removed after that instance.
      if (users[i].empty()) users[i] = {i};
      if (rule == 0) {
        FlowRule f;
        f.name = "(temp)";
        f.perTask = {0.1, 0, 0.1};
        f.image = request_.image;
        f.imageGb = request_.imageGb;
        f.spot = request_.spot;
        rule = static_cast<std::uint32_t>(plan_.rules.size());
        plan_.rules.push_back(f);
      }
      PlannedInstance p;
      p.rule = rule;
      p.command = "rm -rf --";
      const auto& from = plan_.instances[i];
      for (std::size_t k = 0; k < from.outputs.size(); ++k) {
        if (from.flags[k].temporary) p.command += " " + shellQuoted(from.outputs[k]);
      }
      p.outputs.push_back(".done/temp/" + hex16(hashOf(from.outputs[0])));
      p.flags.push_back({false, false, false, true});
      p.deps = users[i];
      p.why = "after all that need " + from.outputs[0];
      builder_.append(std::move(p));
    }
  }

  const SnakeFile& file_;
  const PlanRequest& request_;
  std::unordered_set<std::string> sources_;
  FlowPlan plan_;
  PlanBuilder builder_;
  // Element r holds the output patterns of rule r.
  std::vector<std::vector<Pattern>> outputs_;
  std::unordered_map<std::string, std::vector<std::pair<std::size_t, std::size_t>>> byName_,
      byPrefix_;
  std::size_t steps_ = 0;
};

}  // namespace

FlowPlan planSnakefile(const SnakeFile& file, const PlanRequest& request) {
  return Planner(file, request).run();
}

}  // namespace kestrelhoist::rules
