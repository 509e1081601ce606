/// \file
/// Reads settings files of limited length.
#pragma once

#include <cstddef>
#include <string>

namespace kestrelhoist {

/// A longer file is no settings file.
inline constexpr std::size_t kMaxSettingsBytes = 1024UL * 1024;

/// Returns the content of a file. Throws std::runtime_error with one line that names the file if it
/// can't be read or is longer than kMaxSettingsBytes.
std::string readSettingsFile(const std::string& file);

}  // namespace kestrelhoist
