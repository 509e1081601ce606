#include "kestrelhoist/error.hpp"

namespace kestrelhoist::client {

const char* wordOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::malformed:
      return "malformed";
    case ErrorKind::neverRuns:
      return "never_runs";
    case ErrorKind::notPermitted:
      return "not_permitted";
    case ErrorKind::unknown:
      return "unknown";
    case ErrorKind::conflict:
      return "conflict";
    case ErrorKind::throttled:
      return "throttled";
    case ErrorKind::unavailable:
      return "unavailable";
    case ErrorKind::deadlinePassed:
      return "deadline_passed";
    case ErrorKind::outcomeUnknown:
      return "outcome_unknown";
    case ErrorKind::protocolViolated:
      return "protocol_violated";
    case ErrorKind::cancelled:
      return "cancelled";
    default:
      return "unusable";
  }
}

std::string Error::text() const {
  std::string out = tried.empty() ? "" : tried + ": ";
  out += wordOf(kind);
  if (!why.empty()) out += ": " + why;
  std::string more;
  auto add = [&](const std::string& part) { more += (more.empty() ? "" : ", ") + part; };
  if (!where.empty()) add("last controller " + where);
  if (tries > 1) add(std::to_string(tries) + " requests");
  if (status != 0) add("status " + std::to_string(status));
  if (comeBack.count() > 0) add("retry after " + std::to_string(comeBack.count()) + " ms");
  if (!jobId.empty()) add("job " + jobId);
  if (!requestId.empty()) add("request " + requestId);
  return more.empty() ? out : out + " (" + more + ")";
}

}  // namespace kestrelhoist::client
