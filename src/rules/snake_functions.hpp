/// \file
/// The functions of Snakemake files that are data: expand and its kin.
#pragma once

#include "rules/snake_expr.hpp"

namespace kestrelhoist::rules {

/// "X is not supported: it needs Python", or another reason.
[[noreturn]] void refuse(const Place& place, const std::string& construct,
                         const std::string& why = "is not supported: it needs Python");

/// Replaces each {field} by what `field` says of it; {{ and }} are braces.
std::string fillBraces(const std::string& text, const Place& place,
                       const std::function<std::string(const std::string&)>& field);

/// temp, protected, directory, touch, ancient.
Value flagged(const std::string& name, const Args& a, const Place& at, SnakeEnv& env);
Value expand(const Args& a, const Place& at, SnakeEnv& env);
Value multiext(const Args& a, const Place& at, SnakeEnv& env);
Value globWildcards(const Args& a, const Place& at, SnakeEnv& env);
Value range(const Args& a, const Place& at, SnakeEnv& env);
/// "...".format(...)
std::string format(const std::string& text, const Args& a, const Place& at, SnakeEnv& env);

}  // namespace kestrelhoist::rules
