#include "rules/snake_functions.hpp"

#include <algorithm>

#include "rules/patterns.hpp"

namespace kestrelhoist::rules {
namespace {

std::vector<Value> asList(const Value& v) {
  return v.kind == Value::Kind::list ? v.items : std::vector<Value>{v};
}

std::string substitute(const std::string& text, const Wildcards& w, bool keepUnknown,
                       const Place& at) {
  return fillBraces(text, at, [&](const std::string& name) {
    auto it = w.find(name);
    if (it != w.end()) return it->second;
    if (keepUnknown) return "{" + name + "}";
    throw RuleError(at, "expand has no values for {" + name + "}");
  });
}

}  // namespace

std::string fillBraces(const std::string& text, const Place& place,
                       const std::function<std::string(const std::string&)>& field) {
  std::string out;
  for (std::size_t i = 0; i < text.size();) {
    if (text.compare(i, 2, "{{") == 0 || text.compare(i, 2, "}}") == 0) {
      out += text[i];
      i += 2;
    } else if (text[i] != '{') {
      out += text[i++];
    } else {
      auto end = text.find('}', i);
      if (end == std::string::npos) {
        throw RuleError(place, "a brace is not closed in \"" + text.substr(0, 80) + "\"");
      }
      out += field(text.substr(i + 1, end - i - 1));
      i = end + 1;
    }
  }
  return out;
}

void refuse(const Place& place, const std::string& construct, const std::string& why) {
  throw RuleError(place, construct + " " + why, construct);
}

Value flagged(const std::string& name, const Args& a, const Place& at, SnakeEnv&) {
  if (a.positional.size() != 1 || !a.named.empty())
    throw RuleError(at, name + " takes one argument");
  Value v = a.positional[0];
  auto set = [&](Value& x) {
    if (x.kind != Value::Kind::text) throw RuleError(at, name + " takes names of files");
    x.flags.temporary = x.flags.temporary || name == "temp" || name == "temporary";
    x.flags.guarded = x.flags.guarded || name == "protected";
    x.flags.directory = x.flags.directory || name == "directory";
    x.flags.touch = x.flags.touch || name == "touch";
  };
  if (v.kind == Value::Kind::list) {
    for (auto& x : v.items) set(x);
  } else {
    set(v);
  }
  return v;
}

// Expands the patterns with every combination of the values in the named lists. The last list
// varies fastest. With `zip`, the lists are paired element by element instead.
Value expand(const Args& a, const Place& at, SnakeEnv& env) {
  if (a.positional.empty()) throw RuleError(at, "expand needs a pattern");
  bool keepUnknown = false;
  std::vector<std::pair<std::string, std::vector<Value>>> lists;
  for (const auto& [name, value] : a.named) {
    if (name == "allow_missing") {
      keepUnknown = value.b;
    } else {
      lists.emplace_back(name, asList(value));
    }
  }
  bool zip = false;
  if (a.positional.size() == 2) {
    const Value& how = a.positional[1];
    zip = how.kind == Value::Kind::text && how.s == "zip";
  }
  if (a.positional.size() > 2 || (a.positional.size() == 2 && !zip)) {
    refuse(at, "expand with a function other than zip");
  }
  std::size_t count = 1;
  for (const auto& [name, list] : lists) {
    if (zip) {
      count = lists[0].second.size();
      if (list.size() != count) throw RuleError(at, "expand with zip needs lists of one length");
    } else {
      count *= list.size();
    }
    // The number of combinations is counted before they are built, so that too many are rejected
    // early.
    env.spend(count, 0, at);
  }
  Value out = Value::list();
  for (const auto& pattern : asList(a.positional[0])) {
    if (pattern.kind != Value::Kind::text) throw RuleError(at, "expand takes patterns of texts");
    for (std::size_t k = 0; k < count; ++k) {
      Wildcards w;
      std::size_t left = k;
      for (auto it = lists.rbegin(); it != lists.rend(); ++it) {
        std::size_t i = zip ? k : left % it->second.size();
        if (!zip) left /= it->second.size();
        w[it->first] = it->second[i].str();
      }
      Value v = Value::of(substitute(pattern.s, w, keepUnknown, at));
      v.flags = pattern.flags;
      env.spend(1, v.s.size(), at);
      out.items.push_back(std::move(v));
    }
  }
  return out;
}

Value multiext(const Args& a, const Place& at, SnakeEnv&) {
  if (a.positional.size() < 2) throw RuleError(at, "multiext takes a name and extensions");
  Value out = Value::list();
  for (std::size_t i = 1; i < a.positional.size(); ++i) {
    out.items.push_back(Value::of(a.positional[0].str() + a.positional[i].str()));
  }
  return out;
}

Value globWildcards(const Args& a, const Place& at, SnakeEnv& env) {
  if (a.positional.size() != 1 || !a.named.empty())
    throw RuleError(at, "glob_wildcards takes one pattern");
  Pattern pattern(a.positional[0].str(), {}, at);
  Value out = Value::dict();
  for (const auto& name : pattern.names()) out.put(name, Value::list());
  for (const auto& file : env.files) {
    env.spend(1, 0, at);
    auto w = pattern.match(file);
    if (!w) continue;
    for (auto& [name, list] : out.fields) list.items.push_back(Value::of((*w)[name]));
  }
  return out;
}

Value range(const Args& a, const Place& at, SnakeEnv& env) {
  std::int64_t from = 0, to = 0, step = 1;
  for (const auto& v : a.positional) {
    if (v.kind != Value::Kind::integer) refuse(at, "range", "takes whole numbers");
  }
  if (a.positional.empty() || a.positional.size() > 3)
    refuse(at, "range", "takes one to three numbers");
  if (a.positional.size() == 1) to = a.positional[0].n;
  if (a.positional.size() >= 2) {
    from = a.positional[0].n;
    to = a.positional[1].n;
  }
  if (a.positional.size() == 3) step = a.positional[2].n;
  if (step <= 0) refuse(at, "range", "needs a positive step");
  Value out = Value::list();
  for (std::int64_t i = from; i < to; i += step) {
    env.spend(1, 8, at);
    out.items.push_back(Value::of(i));
  }
  return out;
}

std::string format(const std::string& text, const Args& a, const Place& at, SnakeEnv& env) {
  std::size_t next = 0;
  std::string out = fillBraces(text, at, [&](std::string field) {
    if (field.empty()) field = std::to_string(next++);
    if (field.find_first_not_of("0123456789") == std::string::npos) {
      std::size_t k = field.size() > 6 ? a.positional.size() : std::stoul(field);
      if (k >= a.positional.size()) throw RuleError(at, "format has no argument " + field);
      return a.positional[k].str();
    }
    auto it = std::find_if(a.named.begin(), a.named.end(),
                           [&](const auto& p) { return p.first == field; });
    if (it == a.named.end()) throw RuleError(at, "format has no argument '" + field + "'");
    return it->second.str();
  });
  env.spend(1, out.size(), at);
  return out;
}

}  // namespace kestrelhoist::rules
