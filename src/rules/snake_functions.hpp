/// \file
/// Implements the Snakemake functions that need no Python interpreter, such as expand, multiext and
/// glob_wildcards.
#pragma once

#include "rules/snake_expr.hpp"

namespace kestrelhoist::rules {

/// Throws a RuleError whose message consists of the construct and the reason.
[[noreturn]] void refuse(const Place& place, const std::string& construct,
                         const std::string& why = "is not supported: it needs Python");

/// Replaces each {name} in a text by the result of `field` for that name. {{ and }} are escaped
/// braces.
std::string fillBraces(const std::string& text, const Place& place,
                       const std::function<std::string(const std::string&)>& field);

/// Evaluates temp, protected, directory, touch and ancient, which set flags on files.
Value flagged(const std::string& name, const Args& a, const Place& at, SnakeEnv& env);
Value expand(const Args& a, const Place& at, SnakeEnv& env);
Value multiext(const Args& a, const Place& at, SnakeEnv& env);
Value globWildcards(const Args& a, const Place& at, SnakeEnv& env);
Value range(const Args& a, const Place& at, SnakeEnv& env);
/// Evaluates the string method format, as in "{}.txt".format("a").
std::string format(const std::string& text, const Args& a, const Place& at, SnakeEnv& env);

}  // namespace kestrelhoist::rules
