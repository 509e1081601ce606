/// \file
/// Defines the values that literals, configuration files and the supported functions of rule files
/// evaluate to.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rules/plan.hpp"

namespace kestrelhoist::rules {

/// Holds a value of one of the supported kinds.
struct Value {
  enum class Kind { none, boolean, integer, real, text, list, dict };
  Kind kind = Kind::none;
  bool b{};
  std::int64_t n{};
  double d{};
  std::string s;
  /// The flags apply if the value is a text that names a file.
  OutputFlags flags;
  std::vector<Value> items;
  /// The fields of a dictionary are kept in insertion order.
  std::vector<std::pair<std::string, Value>> fields;

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
  /// Formats the value for use in a text. The items of a list are separated by spaces.
  std::string str() const;
  const char* kindName() const;
};

/// Holds the positional and named arguments of a call or directive.
struct Args {
  std::vector<Value> positional;
  std::vector<std::pair<std::string, Value>> named;
  /// The positions of the positional arguments come before those of the named arguments.
  std::vector<Place> places;
};

/// Parses the text of a YAML file, which must be a map. An empty file gives an empty dictionary.
/// Throws RuleError.
Value valueFromYaml(const std::string& text, const std::string& file, const Limits& limits);

}  // namespace kestrelhoist::rules
