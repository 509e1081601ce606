/// \file
/// JSON settings checked by a schema.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace kestrelhoist {

/// Throws std::runtime_error with one line that names the file and the field.
nlohmann::json parseChecked(const std::string& text, const std::string& file, const char* schema);

/// What is wrong with a value, in one line that begins with the JSON pointer; empty: nothing.
std::optional<std::string> schemaFault(const nlohmann::json& value, const char* schema);

}  // namespace kestrelhoist
