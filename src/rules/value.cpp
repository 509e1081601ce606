#include "rules/value.hpp"

#include <yaml-cpp/yaml.h>

#include <charconv>

namespace kestrelhoist::rules {

std::string Value::str() const {
  switch (kind) {
    case Kind::none:
      return "None";
    case Kind::boolean:
      return b ? "True" : "False";
    case Kind::integer:
      return std::to_string(n);
    case Kind::real: {
      char text[32];
      auto [end, error] = std::to_chars(text, text + sizeof text, d);
      std::string out(text, error == std::errc{} ? end : text);
      if (out.find_first_of(".en") == std::string::npos) out += ".0";
      return out;
    }
    case Kind::text:
      return s;
    case Kind::list: {
      std::string out;
      for (const auto& item : items) out += (out.empty() ? "" : " ") + item.str();
      return out;
    }
    case Kind::dict:
      return "{...}";
  }
  return "";
}

const char* Value::kindName() const {
  switch (kind) {
    case Kind::none:
      return "None";
    case Kind::boolean:
      return "a truth value";
    case Kind::integer:
    case Kind::real:
      return "a number";
    case Kind::text:
      return "a text";
    case Kind::list:
      return "a list";
    case Kind::dict:
      return "a dictionary";
  }
  return "";
}

namespace {

class FromYaml {
 public:
  FromYaml(const std::string& file, const Limits& limits) : file_(file), limits_(limits) {}

  Value convert(const YAML::Node& node, std::size_t depth) {
    Place place{file_, static_cast<std::size_t>(node.Mark().line + 1),
                static_cast<std::size_t>(node.Mark().column + 1)};
    if (depth > limits_.depth) throw RuleError(place, "is nested too deeply");
    // A YAML alias is counted each time it is expanded, so that a small file can't expand to a huge
    // value.
    if (++steps_ > limits_.steps / 100) throw RuleError(place, "the file says too much");
    if (node.IsMap()) {
      Value v = Value::dict();
      for (const auto& entry : node) {
        v.fields.emplace_back(entry.first.as<std::string>(), convert(entry.second, depth + 1));
      }
      return v;
    }
    if (node.IsSequence()) {
      Value v = Value::list();
      for (const auto& item : node) v.items.push_back(convert(item, depth + 1));
      return v;
    }
    if (!node.IsScalar()) return {};
    const std::string& text = node.Scalar();
    if (node.Tag() == "!") return Value::of(text);  // A quoted scalar is always a text.
    if (text == "true" || text == "True") return Value::truth(true);
    if (text == "false" || text == "False") return Value::truth(false);
    if (text == "~" || text == "null" || text.empty()) return {};
    std::int64_t n = 0;
    const char *first = text.data(), *last = text.data() + text.size();
    if (auto r = std::from_chars(first, last, n); r.ec == std::errc{} && r.ptr == last) {
      return Value::of(n);
    }
    double d = 0;
    if (auto r = std::from_chars(first, last, d); r.ec == std::errc{} && r.ptr == last) {
      return Value::of(d);
    }
    return Value::of(text);
  }

 private:
  std::string file_;
  const Limits& limits_;
  std::size_t steps_ = 0;
};

}  // namespace

Value valueFromYaml(const std::string& text, const std::string& file, const Limits& limits) {
  // The YAML library parses recursively. The nesting of brackets within a line is limited before
  // parsing to limit the recursion depth.
  std::size_t depth = 0;
  for (char c : text) {
    if (c == '[' || c == '{') ++depth;
    if (c == '\n') depth = 0;
    if (depth > 4 * limits.depth) throw RuleError({file}, "is nested too deeply");
  }
  try {
    YAML::Node node = YAML::Load(text);
    Value v = FromYaml(file, limits).convert(node, 0);
    if (v.kind == Value::Kind::none) return Value::dict();
    if (v.kind != Value::Kind::dict) throw RuleError({file}, "is not a map of settings");
    return v;
  } catch (const YAML::Exception& e) {
    throw RuleError({file, static_cast<std::size_t>(e.mark.line + 1),
                     static_cast<std::size_t>(e.mark.column + 1)},
                    e.msg);
  }
}

}  // namespace kestrelhoist::rules
