#include "config/schema.hpp"

#include <stdexcept>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "base/codec.hpp"

namespace kestrelhoist {

namespace {

// Returns the first error, since it is the most specific one and its context names the field.
std::optional<valijson::ValidationResults::Error> findViolation(const nlohmann::json& value,
                                                                const char* schemaText) {
  valijson::Schema schema;
  auto schemaJson = nlohmann::json::parse(schemaText);
  valijson::adapters::NlohmannJsonAdapter schemaAdapter(schemaJson);
  valijson::SchemaParser().populateSchema(schemaAdapter, schema);
  valijson::ValidationResults results;
  valijson::adapters::NlohmannJsonAdapter adapter(value);
  if (valijson::Validator().validate(schema, adapter, &results)) return std::nullopt;
  valijson::ValidationResults::Error error;
  results.popError(error);
  return error;
}

}  // namespace

nlohmann::json parseChecked(const std::string& text, const std::string& file,
                            const char* schemaText) {
  nlohmann::json value = parseJsonText(text, file);
  if (auto error = findViolation(value, schemaText)) {
    std::string line = file + ":";
    for (const auto& part : error->context) line += " " + part;
    throw std::runtime_error(line + ": " + error->description);
  }
  return value;
}

std::optional<std::string> schemaViolation(const nlohmann::json& value, const char* schemaText) {
  auto error = findViolation(value, schemaText);
  if (!error) return std::nullopt;
  // The library writes the parts of a path as "<root>", "[name]" and "[0]".
  std::string pointer;
  for (const auto& part : error->context) {
    if (part.size() > 2 && part.front() == '[') pointer += "/" + part.substr(1, part.size() - 2);
  }
  return (pointer.empty() ? "/" : pointer) + ": " + error->description;
}

}  // namespace kestrelhoist
