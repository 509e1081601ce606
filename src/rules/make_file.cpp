// Reads the lines of a Makefile: assignments, conditionals, includes, definitions and rules.
#include <algorithm>

#include "rules/make.hpp"

namespace kestrelhoist::rules {
namespace {

constexpr const char* kBlank = " \t\r\n";

// Returns the position of the first of the given characters that is not escaped and lies outside of
// variable references, or npos if there is none.
std::size_t findPlain(const std::string& s, const std::string& chars, std::size_t from = 0) {
  int depth = 0;
  for (std::size_t i = from; i < s.size(); ++i) {
    if (s[i] == '$' && i + 1 < s.size() && (s[i + 1] == '(' || s[i + 1] == '{')) {
      ++depth;
      ++i;
    } else if (depth > 0 && (s[i] == '(' || s[i] == '{')) {
      ++depth;
    } else if (depth > 0 && (s[i] == ')' || s[i] == '}')) {
      --depth;
    } else if (s[i] == '\\' && i + 1 < s.size() && chars.find(s[i + 1]) != std::string::npos) {
      ++i;
    } else if (depth == 0 && chars.find(s[i]) != std::string::npos) {
      return i;
    }
  }
  return std::string::npos;
}

struct Assignment {
  std::string name, op, text;
};

// Parses an assignment such as NAME = text or NAME += text. Returns nothing if the line is not an
// assignment.
std::optional<Assignment> assignmentIn(const std::string& line) {
  auto equals = findPlain(line, "=");
  if (equals == std::string::npos) return std::nullopt;
  auto colon = findPlain(line, ":");
  std::size_t start = equals;
  std::string op = "=";
  if (equals > 0 &&
      (line[equals - 1] == '?' || line[equals - 1] == '+' || line[equals - 1] == '!')) {
    op = std::string(1, line[equals - 1]) + "=";
    start = equals - 1;
  } else if (equals > 2 && line.compare(equals - 3, 3, ":::") == 0) {
    op = ":=";
    start = equals - 3;
  } else if (equals > 1 && line.compare(equals - 2, 2, "::") == 0) {
    op = ":=";
    start = equals - 2;
  } else if (equals > 0 && line[equals - 1] == ':') {
    op = ":=";
    start = equals - 1;
  }
  if (colon != std::string::npos && colon < start) return std::nullopt;  // The line is a rule.
  std::string name = makeStrip(line.substr(0, start));
  if (name.empty() || name.find_first_of(" \t") != std::string::npos) return std::nullopt;
  auto text = line.substr(equals + 1);
  auto first = text.find_first_not_of(" \t");
  return Assignment{name, op, first == std::string::npos ? "" : text.substr(first)};
}

class Reader {
 public:
  Reader(const PlanRequest& request, MakeFile& out)
      : request_(request), out_(out), e_(*out.expander) {}

  void file(const std::string& name, const Place& from, std::size_t depth, bool optional) {
    if (depth > request_.limits.depth)
      throw RuleError(from, "files include one another too deeply");
    auto text = request_.read(name);
    if (!text) {
      if (optional) return;
      throw RuleError(from, "there is no file " + name);
    }
    if (text->size() > request_.limits.fileBytes) {
      throw RuleError({name},
                      "is larger than " + std::to_string(request_.limits.fileBytes) + " bytes");
    }
    e_.spend(text->size() / 8 + 1, text->size(), from);
    out_.read.push_back(name);
    std::size_t conditions = conditions_.size();
    Lines lines{name, *text};
    current_.clear();
    while (lines.next()) line(lines, depth);
    if (conditions_.size() != conditions)
      throw RuleError({name, lines.number, 1}, "endif is missing");
    current_.clear();
  }

 private:
  // Iterates over logical lines. Physical lines that end in a backslash are joined, and recipe
  // lines keep the backslash and the newline.
  struct Lines {
    std::string file;
    const std::string& text;
    std::size_t at = 0, number = 0, nextNumber = 1;
    std::string line{};

    bool next() {
      if (at >= text.size()) return false;
      number = nextNumber;
      line.clear();
      bool recipe = text[at] == '\t';
      while (at < text.size()) {
        auto end = std::min(text.find('\n', at), text.size());
        std::string part = text.substr(at, end - at);
        if (!part.empty() && part.back() == '\r') part.pop_back();
        at = end + 1;
        ++nextNumber;
        std::size_t slashes = 0;
        while (slashes < part.size() && part[part.size() - 1 - slashes] == '\\') ++slashes;
        bool more = slashes % 2 == 1 && at < text.size();
        if (!more) {
          line += part;
          break;
        }
        if (recipe) {
          line += part + "\n";
          if (at < text.size() && text[at] == '\t') ++at;
        } else {
          part.pop_back();
          while (!part.empty() && (part.back() == ' ' || part.back() == '\t')) part.pop_back();
          line += part + " ";
          while (at < text.size() && (text[at] == ' ' || text[at] == '\t')) ++at;
        }
      }
      return true;
    }
    Place place() const { return {file, number, 1}; }
  };

  bool active() const {
    return std::all_of(conditions_.begin(), conditions_.end(),
                       [](const auto& c) { return c.active; });
  }

  std::string expand(const std::string& s, const Place& p) {
    return e_.expand(s, *out_.globals, p);
  }

  static std::string uncommented(const std::string& s) {
    auto at = findPlain(s, "#");
    return at == std::string::npos ? s : s.substr(0, at);
  }

  void line(Lines& lines, std::size_t depth) {
    std::string text = lines.line;
    Place place = lines.place();
    if (!text.empty() && text[0] == '\t' && !current_.empty()) {
      if (!active()) return;
      for (auto r : current_) {
        out_.rules[r].recipe.push_back(text.substr(1));
        out_.rules[r].recipePlaces.push_back(place);
        out_.rules[r].hasRecipe = true;
      }
      return;
    }
    text = uncommented(text);
    // Only leading white space is removed, because the value of an assignment keeps trailing
    // spaces.
    text.erase(0, std::min(text.find_first_not_of(kBlank), text.size()));
    if (text.empty()) return;
    std::string word = text.substr(0, text.find_first_of(" \t("));
    std::string rest = makeStrip(text.substr(word.size()));
    if (condition(word, rest, place)) return;
    if (!active()) {
      if (word == "define") skipDefinition(lines);
      return;
    }
    if (word == "define") return definition(lines, rest, place);
    if (word == "include" || word == "-include" || word == "sinclude") {
      for (const auto& name : makeWords(expand(rest, place)))
        file(name, place, depth + 1, word != "include");
      current_.clear();
      return;
    }
    static const std::set<std::string> refused{"vpath", "load", "undefine", "private"};
    if (refused.contains(word)) throw RuleError(place, "'" + word + "' is not supported", word);
    if (word == "unexport") {
      for (const auto& name : makeWords(expand(rest, place))) out_.exported.erase(name);
      return;
    }
    if (word == "override" || word == "export") {
      auto a = assignmentIn(rest);
      if (word == "export" && !a) {
        if (rest.empty())
          throw RuleError(place, "'export' of all variables is not supported", "export");
        for (const auto& name : makeWords(expand(rest, place))) out_.exported.insert(name);
        return;
      }
      if (!a) throw RuleError(place, "an assignment is expected after " + word);
      if (word == "export") out_.exported.insert(a->name);
      return assign(*a, place);
    }
    if (auto a = assignmentIn(text)) return assign(*a, place);
    rule(makeStrip(text), place);
  }

  void assign(const Assignment& a, const Place& place) {
    current_.clear();
    if (a.op == "!=")
      throw RuleError(place, "operator '!=' is not supported: it runs a shell", "!=");
    std::string name = makeStrip(expand(a.name, place));
    if (name == "VPATH") throw RuleError(place, "'VPATH' is not supported", "VPATH");
    makeAssign(*out_.globals, name, a.op, a.text, e_, place);
  }

  // Handles ifeq, ifneq, ifdef, ifndef, else and endif. Returns false if the line is none of them.
  bool condition(const std::string& word, const std::string& rest, const Place& place) {
    auto begin = [&](bool holds) { conditions_.push_back({holds, holds}); };
    if (word == "endif") {
      if (conditions_.empty()) throw RuleError(place, "endif without a condition");
      conditions_.pop_back();
      return true;
    }
    if (word == "else") {
      if (conditions_.empty()) throw RuleError(place, "else without a condition");
      Condition& c = conditions_.back();
      if (rest.empty()) {
        c.active = !c.taken;
        c.taken = true;
        return true;
      }
      bool was = c.taken;
      conditions_.pop_back();
      std::string inner = rest.substr(0, rest.find_first_of(" \t("));
      if (was) {
        conditions_.push_back({false, true});
        return true;
      }
      if (!condition(inner, makeStrip(rest.substr(inner.size())), place))
        throw RuleError(place, "a condition is expected after else");
      return true;
    }
    if (word != "ifeq" && word != "ifneq" && word != "ifdef" && word != "ifndef") return false;
    if (conditions_.size() > request_.limits.depth)
      throw RuleError(place, "conditions are nested too deeply");
    if (!active()) {
      conditions_.push_back({false, true});
      return true;
    }
    if (word == "ifdef" || word == "ifndef") {
      const MakeVariable* v = out_.globals->find(makeStrip(expand(rest, place)));
      begin((v && !v->text.empty()) == (word == "ifdef"));
      return true;
    }
    auto [a, b] = comparedValues(rest, place);
    begin((expand(a, place) == expand(b, place)) == (word == "ifeq"));
    return true;
  }

  std::pair<std::string, std::string> comparedValues(const std::string& rest, const Place& place) {
    if (!rest.empty() && rest[0] == '(' && rest.back() == ')') {
      std::string inside = rest.substr(1, rest.size() - 2);
      auto comma = findPlain(inside, ",");
      if (comma != std::string::npos)
        return {makeStrip(inside.substr(0, comma)), makeStrip(inside.substr(comma + 1))};
    } else if (!rest.empty() && (rest[0] == '"' || rest[0] == '\'')) {
      auto end = rest.find(rest[0], 1);
      if (end != std::string::npos) {
        std::string second = makeStrip(rest.substr(end + 1));
        if (second.size() >= 2 && (second[0] == '"' || second[0] == '\'') &&
            second.back() == second[0]) {
          return {rest.substr(1, end - 1), second.substr(1, second.size() - 2)};
        }
      }
    }
    throw RuleError(place, "two values are expected: (a,b) or \"a\" \"b\"");
  }

  void skipDefinition(Lines& lines) {
    while (lines.next()) {
      if (makeStrip(lines.line) == "endef") return;
    }
  }

  void definition(Lines& lines, const std::string& rest, const Place& place) {
    current_.clear();
    std::string name = rest, op = "=";
    if (auto a = assignmentIn(rest)) {
      name = a->name;
      op = a->op;
    }
    std::string text;
    bool first = true;
    while (lines.next()) {
      if (makeStrip(lines.line) == "endef") {
        if (op == "!=")
          throw RuleError(place, "operator '!=' is not supported: it runs a shell", "!=");
        makeAssign(*out_.globals, makeStrip(expand(name, place)), op, text, e_, place);
        return;
      }
      text += (first ? "" : "\n") + lines.line;
      first = false;
    }
    throw RuleError(place, "endef is missing");
  }

  void rule(const std::string& text, const Place& place) {
    current_.clear();
    auto colon = findPlain(text, ":");
    if (colon == std::string::npos) {
      // A line that expands to nothing, such as a call of $(info), is allowed.
      if (makeStrip(expand(text, place)).empty()) return;
      throw RuleError(place, "a rule or an assignment is expected", "statement");
    }
    std::string head = text.substr(0, colon);
    bool grouped = !head.empty() && head.back() == '&';
    if (grouped) head.pop_back();
    bool twice = text.compare(colon, 2, "::") == 0;
    std::string rest = text.substr(colon + (twice ? 2 : 1));
    auto targets = makeWords(expand(head, place));
    // This handles a target-specific variable, as in "target: NAME = value".
    if (auto a = assignmentIn(rest)) {
      if (a->op == "!=")
        throw RuleError(place, "operator '!=' is not supported: it runs a shell", "!=");
      for (const auto& t : targets)
        out_.specific.push_back({t, makeStrip(expand(a->name, place)), a->op, a->text, place});
      return;
    }
    if (targets.empty()) return;
    std::string recipe;
    bool hasRecipe = false;
    if (auto semicolon = findPlain(rest, ";"); semicolon != std::string::npos) {
      recipe = makeStrip(rest.substr(semicolon + 1));
      rest = rest.substr(0, semicolon);
      hasRecipe = true;
    }
    rest = expand(rest, place);
    std::string staticPattern;
    if (auto second = rest.find(':'); second != std::string::npos) {
      staticPattern = makeStrip(rest.substr(0, second));
      rest = rest.substr(second + 1);
    }
    std::string only;
    if (auto bar = rest.find('|'); bar != std::string::npos) {
      only = rest.substr(bar + 1);
      rest = rest.substr(0, bar);
    }
    auto inputs = makeWords(rest), orderOnly = makeWords(only);
    if (targets[0].size() > 1 && targets[0][0] == '.' && special(targets[0], inputs, place)) return;
    auto add = [&](MakeRule r) {
      if (out_.rules.size() >= FlowGraph::kMaxRules * 20) throw RuleError(place, "too many rules");
      e_.spend(r.inputs.size() + r.targets.size() + 1, 0, place);
      r.place = place;
      r.doubleColon = twice;
      r.grouped = r.grouped || grouped;
      if (hasRecipe) {
        r.hasRecipe = true;
        if (!recipe.empty()) {
          r.recipe.push_back(recipe);
          r.recipePlaces.push_back(place);
        }
      }
      if (!r.pattern && out_.firstTarget.empty() && r.targets[0][0] != '.')
        out_.firstTarget = r.targets[0];
      current_.push_back(out_.rules.size());
      out_.rules.push_back(std::move(r));
    };
    bool pattern = std::any_of(targets.begin(), targets.end(),
                               [](const auto& t) { return t.find('%') != std::string::npos; });
    if (!staticPattern.empty()) {
      if (staticPattern.find('%') == std::string::npos)
        throw RuleError(place, "the pattern of a static pattern rule has no %");
      for (const auto& t : targets) {
        MakeRule r;
        if (!makeMatch(staticPattern, t, &r.stem))
          throw RuleError(place, "target " + t + " does not match " + staticPattern);
        r.targets = {t};
        for (const auto& i : inputs) r.inputs.push_back(makeSubstitute(i, r.stem));
        for (const auto& i : orderOnly) r.orderOnly.push_back(makeSubstitute(i, r.stem));
        add(std::move(r));
      }
      return;
    }
    if (pattern) {
      MakeRule r;
      r.targets = targets;
      r.inputs = inputs;
      r.orderOnly = orderOnly;
      r.pattern = r.grouped = true;
      add(std::move(r));
    } else if (grouped) {
      MakeRule r;
      r.targets = targets;
      r.inputs = inputs;
      r.orderOnly = orderOnly;
      add(std::move(r));
    } else {
      for (const auto& t : targets) {
        MakeRule r;
        r.targets = {t};
        r.inputs = inputs;
        r.orderOnly = orderOnly;
        add(std::move(r));
      }
    }
  }

  bool special(const std::string& target, const std::vector<std::string>& inputs,
               const Place& place) {
    if (target == ".PHONY") {
      out_.phony.insert(inputs.begin(), inputs.end());
    } else if (target == ".DELETE_ON_ERROR") {
      out_.deleteOnError = true;
    } else if (target == ".ONESHELL") {
      out_.oneShell = true;
    } else if (target == ".SUFFIXES" && inputs.empty()) {
      return true;  // An empty .SUFFIXES has no effect, because suffix rules are not supported.
    } else if (target == ".SECONDARY" || target == ".PRECIOUS" || target == ".INTERMEDIATE" ||
               target == ".SILENT" || target == ".POSIX") {
      // These targets have no effect, because intermediate files are always kept and commands are
      // never echoed.
      return true;
    } else if (target.find('/') == std::string::npos &&
               std::all_of(target.begin() + 1, target.end(), [](char c) {
                 return std::isupper(static_cast<unsigned char>(c)) || c == '_';
               })) {
      throw RuleError(place, "'" + target + "' is not supported", target);
    } else {
      // This rejects suffix rules such as .c.o.
      auto dot = target.find('.', 1);
      if (dot != std::string::npos && target.find('/') == std::string::npos &&
          target.find('%') == std::string::npos) {
        throw RuleError(place,
                        "suffix rules are not supported: write %" + target.substr(dot) + ": %" +
                            target.substr(0, dot),
                        "suffix rule");
      }
      return false;
    }
    return true;
  }

  struct Condition {
    bool active, taken;
  };
  const PlanRequest& request_;
  MakeFile& out_;
  MakeExpander& e_;
  std::vector<Condition> conditions_;
  // Recipe lines are added to the rules with these indices.
  std::vector<std::size_t> current_;
};

}  // namespace

void makeAssign(MakeScope& scope, const std::string& name, const std::string& op,
                const std::string& text, MakeExpander& expander, const Place& place) {
  if (name.empty()) throw RuleError(place, "a variable without a name");
  const MakeVariable* known = scope.find(name);
  if (known && known->fixed) return;
  if (op == "?=") {
    if (!known) scope.variables[name] = {text, false, false};
  } else if (op == "+=") {
    MakeVariable v = known ? *known : MakeVariable{};
    std::string more = v.simple ? expander.expand(text, scope, place) : text;
    v.text += (v.text.empty() ? "" : " ") + more;
    expander.spend(1, v.text.size(), place);
    scope.variables[name] = std::move(v);
  } else if (op == ":=") {
    scope.variables[name] = {expander.expand(text, scope, place), true, false};
  } else {
    scope.variables[name] = {text, false, false};
  }
}

MakeFile readMakefile(const PlanRequest& request) {
  MakeFile out;
  out.expander = std::make_shared<MakeExpander>(request.limits, request.sources);
  out.globals->variables["SHELL"] = {"/bin/sh", true, false};
  out.globals->variables["CURDIR"] = {".", true, false};
  for (const auto& [name, value] : request.config)
    out.globals->variables[name] = {value, true, true};
  Reader(request, out).file(request.file, {request.file}, 0, false);
  if (out.rules.empty()) throw RuleError({request.file}, "has no rules");
  return out;
}

}  // namespace kestrelhoist::rules
