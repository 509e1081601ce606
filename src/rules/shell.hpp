/// \file
/// Texts as one word of a shell.
#pragma once

#include <string>

namespace kestrelhoist::rules {

inline std::string shellQuoted(const std::string& s) {
  std::string out = "'";
  for (char c : s) out += c == '\'' ? std::string("'\\''") : std::string(1, c);
  return out + "'";
}

}  // namespace kestrelhoist::rules
