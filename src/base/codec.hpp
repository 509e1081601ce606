/// \file
/// Encodes and decodes the bodies of messages, and reads their fields.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/message_limits.hpp"

namespace kestrelhoist {

/// Holds a decoded message or one of its parts.
using Json = nlohmann::json;

/// Encodes a value as a CBOR body.
std::string encodeBody(const Json& value);
/// Decodes a CBOR body; returns nullopt if it is malformed or beyond the limits, and never throws.
std::optional<Json> decodeBody(const std::string& body,
                               const MessageLimits& limits = kExternalLimits);
/// Parses a JSON text, such as settings or a policy. Throws std::runtime_error with one line that
/// begins with `source` if the text is malformed or nested more than kExternalLimits.nesting levels
/// deep.
Json parseJsonText(const std::string& text, const std::string& source);

// The following functions read untrusted messages and never throw.

/// Returns a field of an object, or null if it is missing or JSON null.
const Json* field(const Json& object, const char* name);
/// Returns whether all text in the value is UTF-8, so that the value has a JSON text.
[[nodiscard]] bool hasJsonText(const Json& value);
/// Returns the text of a value, or nullopt if it is not a string or not UTF-8.
std::optional<std::string> textOf(const Json& value);
/// Returns the text of a field, or nullopt if it is missing or no UTF-8 text.
std::optional<std::string> textField(const Json& object, const char* name);
/// Returns the value of a field, or nullopt if it is missing or no integer from 0 to 2^64 - 1.
std::optional<std::uint64_t> countField(const Json& object, const char* name);
/// Returns the value of a field, or nullopt if it is missing or no finite number.
std::optional<double> numberField(const Json& object, const char* name);
/// Returns the value of a field, or nullopt if it is missing or no truth value.
std::optional<bool> boolField(const Json& object, const char* name);

}  // namespace kestrelhoist
