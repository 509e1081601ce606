/// \file
/// Checks JSON settings against a schema.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace kestrelhoist {

/// Parses a JSON text and checks it against a schema. Throws std::runtime_error with one line that
/// names the file and the field.
nlohmann::json parseChecked(const std::string& text, const std::string& file, const char* schema);

/// Returns the first violation of the schema as one line that begins with a JSON pointer, or
/// nullopt if the value is valid.
std::optional<std::string> schemaViolation(const nlohmann::json& value, const char* schema);

}  // namespace kestrelhoist
