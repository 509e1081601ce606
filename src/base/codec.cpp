#include <cmath>

#include "base/runtime.hpp"

namespace kestrelhoist {

std::string encodeBody(const Json& value) {
  std::string out;
  Json::to_cbor(value, nlohmann::detail::output_adapter<char>(out));
  return out;
}

std::optional<Json> decodeBody(const std::string& body) {
  Json value = Json::from_cbor(body, true, false, Json::cbor_tag_handler_t::ignore);
  if (value.is_discarded()) return std::nullopt;
  return value;
}

const Json* field(const Json& object, const char* name) {
  if (!object.is_object()) return nullptr;
  auto it = object.find(name);
  if (it == object.end() || it->is_null()) return nullptr;
  return &*it;
}

std::optional<std::string> textField(const Json& object, const char* name) {
  const Json* f = field(object, name);
  if (!f || !f->is_string()) return std::nullopt;
  return f->get<std::string>();
}

std::optional<std::uint64_t> countField(const Json& object, const char* name) {
  const Json* f = field(object, name);
  if (!f) return std::nullopt;
  if (f->is_number_unsigned()) return f->get<std::uint64_t>();
  if (f->is_number_integer()) {
    auto v = f->get<std::int64_t>();
    if (v >= 0) return static_cast<std::uint64_t>(v);
  }
  return std::nullopt;
}

std::optional<double> numberField(const Json& object, const char* name) {
  const Json* f = field(object, name);
  if (!f || !f->is_number()) return std::nullopt;
  double v = f->get<double>();
  if (!std::isfinite(v)) return std::nullopt;
  return v;
}

std::optional<bool> boolField(const Json& object, const char* name) {
  const Json* f = field(object, name);
  if (!f || !f->is_boolean()) return std::nullopt;
  return f->get<bool>();
}

Response jsonResponse(int status, const Json& body) { return {status, encodeBody(body), 0}; }

Response retryLater(int status, int seconds) {
  return {status, encodeBody(Json{{"error", "try again later"}}), seconds};
}

}  // namespace kestrelhoist
