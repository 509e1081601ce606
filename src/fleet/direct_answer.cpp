#include "fleet/direct_answer.hpp"

namespace kestrelhoist {

bool applyDirectAnswer(Fleet& fleet, Machine& machine, const Response& response, Instant now) {
  auto body = decodeBody(response.body);
  auto report = body ? reportFromJson(*body) : std::nullopt;
  if (!report || report->machine != machine.id || !fleet.applyReport(*report, now)) return false;
  fleet.commandsFor(machine, now, false);
  return true;
}

}  // namespace kestrelhoist
