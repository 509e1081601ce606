#include "base/codec.hpp"

#include <cmath>
#include <stdexcept>

namespace kestrelhoist {

std::string encodeBody(const Json& value) {
  std::string out;
  Json::to_cbor(value, nlohmann::detail::output_adapter<char>(out));
  return out;
}

std::optional<Json> decodeBody(const std::string& body, const MessageLimits& limits) {
  if (findFault(body, limits)) return std::nullopt;
  Json value = Json::from_cbor(body, true, false, Json::cbor_tag_handler_t::ignore);
  if (value.is_discarded()) return std::nullopt;
  return value;
}

Json parseJsonText(const std::string& text, const std::string& source) {
  bool tooDeep = false;
  // The parser itself takes no stack for nested values, but whatever copies or prints them does.
  auto isWithinLimit = [&tooDeep](int levelsAround, Json::parse_event_t event, const Json&) {
    bool opens =
        event == Json::parse_event_t::object_start || event == Json::parse_event_t::array_start;
    if (opens && levelsAround >= static_cast<int>(kExternalLimits.nesting)) tooDeep = true;
    return !tooDeep;
  };
  Json value = Json::parse(text, isWithinLimit, false);
  if (tooDeep) throw std::runtime_error(source + ": is nested too deeply");
  if (value.is_discarded()) throw std::runtime_error(source + ": is not JSON");
  return value;
}

namespace {

bool validUtf8(const std::string& text) {
  auto at = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
  for (std::size_t i = 0; i < text.size();) {
    unsigned char c = at(i);
    if (c < 0x80) {
      ++i;
      continue;
    }
    std::size_t more = c >= 0xF0 ? 3 : c >= 0xE0 ? 2 : 1;
    if (c < 0xC2 || c > 0xF4 || i + more >= text.size()) return false;
    for (std::size_t k = 1; k <= more; ++k) {
      if ((at(i + k) & 0xC0) != 0x80) return false;
    }
    unsigned char next = at(i + 1);
    // Overlong forms, surrogates and values above the last code point are invalid.
    if ((c == 0xE0 && next < 0xA0) || (c == 0xED && next > 0x9F) || (c == 0xF0 && next < 0x90) ||
        (c == 0xF4 && next > 0x8F)) {
      return false;
    }
    i += more + 1;
  }
  return true;
}

}  // namespace

const Json* field(const Json& object, const char* name) {
  if (!object.is_object()) return nullptr;
  auto it = object.find(name);
  if (it == object.end() || it->is_null()) return nullptr;
  return &*it;
}

bool hasJsonText(const Json& value) {
  try {
    return !value.dump().empty();
  } catch (const Json::type_error&) {
    return false;
  }
}

std::optional<std::string> textOf(const Json& value) {
  if (!value.is_string()) return std::nullopt;
  const auto& text = value.get_ref<const std::string&>();
  // A CBOR text from outside may be invalid UTF-8, and a record with it can't be written as JSON.
  if (!validUtf8(text)) return std::nullopt;
  return text;
}

std::optional<std::string> textField(const Json& object, const char* name) {
  const Json* f = field(object, name);
  return f ? textOf(*f) : std::nullopt;
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

}  // namespace kestrelhoist
