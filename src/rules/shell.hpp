/// \file
/// Quotes texts for a POSIX shell.
#pragma once

#include <string>

namespace kestrelhoist::rules {

/// Returns the text in single quotes, so that a shell reads it as one word.
inline std::string shellQuoted(const std::string& s) {
  std::string out = "'";
  for (char c : s) out += c == '\'' ? std::string("'\\''") : std::string(1, c);
  return out + "'";
}

}  // namespace kestrelhoist::rules
