/// \file
/// Reads and writes the query of a request's path.
#pragma once

#include <string>

namespace kestrelhoist {

/// Returns the decoded value of a parameter in a query such as "a=1&b=x%20y", or an empty text if
/// the parameter is missing.
std::string queryValue(const std::string& query, const std::string& name);
/// Percent-encodes a value for a query.
std::string queryEscaped(const std::string& value);

}  // namespace kestrelhoist
