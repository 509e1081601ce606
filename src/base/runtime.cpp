#include "base/runtime.hpp"

#include <algorithm>
#include <cctype>

namespace kestrelhoist {

bool validRequestId(const std::string& id) {
  return !id.empty() && id.size() <= 64 && std::all_of(id.begin(), id.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

Response jsonResponse(int status, const Json& body) { return {status, encodeBody(body)}; }

Response retryLater(int status, int seconds) {
  return {status, encodeBody(Json{{"error", "try again later"}}), seconds};
}

}  // namespace kestrelhoist
