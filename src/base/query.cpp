#include "base/query.hpp"

#include <algorithm>
#include <cctype>

namespace kestrelhoist {

std::string queryValue(const std::string& query, const std::string& name) {
  auto at = ("&" + query).find("&" + name + "=");
  if (at == std::string::npos) return "";
  auto from = at + name.size() + 1;
  std::string raw = query.substr(from, std::min(query.find('&', from), query.size()) - from), out;
  auto digit = [](char c) {
    return c >= '0' && c <= '9'                                ? c - '0'
           : std::isxdigit(static_cast<unsigned char>(c)) != 0 ? std::tolower(c) - 'a' + 10
                                                               : -1;
  };
  for (std::size_t i = 0; i < raw.size(); ++i) {
    if (raw[i] == '%' && i + 2 < raw.size() && digit(raw[i + 1]) >= 0 && digit(raw[i + 2]) >= 0) {
      out += static_cast<char>(digit(raw[i + 1]) * 16 + digit(raw[i + 2]));
      i += 2;
    } else {
      out += raw[i];
    }
  }
  return out;
}

std::string queryEscaped(const std::string& value) {
  static const char* const digits = "0123456789ABCDEF";
  std::string out;
  for (unsigned char c : value) {
    if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.') {
      out += static_cast<char>(c);
    } else {
      out += '%';
      out += digits[c >> 4];
      out += digits[c & 15];
    }
  }
  return out;
}

}  // namespace kestrelhoist
