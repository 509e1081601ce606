/// \file
/// Values of rule files: what literals, configuration files and the supported functions give.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rules/plan.hpp"

namespace kestrelhoist::rules {

struct Value {
  enum class Kind { none, boolean, integer, real, text, list, dict };
  Kind kind = Kind::none;
  bool b{};
  std::int64_t n{};
  double d{};
  std::string s;
  OutputFlags flags;  ///< of a text that names a file
  std::vector<Value> items;
  std::vector<std::pair<std::string, Value>> fields;  ///< in their order

  static Value of(std::string text) {
    Value v;
    v.kind = Kind::text;
    v.s = std::move(text);
    return v;
  }
  static Value of(std::int64_t number) {
    Value v;
    v.kind = Kind::integer;
    v.n = number;
    return v;
  }
  static Value of(double number) {
    Value v;
    v.kind = Kind::real;
    v.d = number;
    return v;
  }
  static Value truth(bool b) {
    Value v;
    v.kind = Kind::boolean;
    v.b = b;
    return v;
  }
  static Value list(std::vector<Value> items = {}) {
    Value v;
    v.kind = Kind::list;
    v.items = std::move(items);
    return v;
  }
  static Value dict() {
    Value v;
    v.kind = Kind::dict;
    return v;
  }
  const Value* find(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (key == name) return &value;
    }
    return nullptr;
  }
  void put(const std::string& name, Value value) {
    for (auto& [key, old] : fields) {
      if (key == name) {
        old = std::move(value);
        return;
      }
    }
    fields.emplace_back(name, std::move(value));
  }
  /// As it stands in a text; lists separated by blanks.
  std::string str() const;
  const char* kindName() const;
};

/// Positional and named arguments.
struct Args {
  std::vector<Value> positional;
  std::vector<std::pair<std::string, Value>> named;
  std::vector<Place> places;  ///< of the positional ones, then of the named ones
};

/// Reads a YAML file's text; throws RuleError.
Value valueFromYaml(const std::string& text, const std::string& file, const Limits& limits);

}  // namespace kestrelhoist::rules
