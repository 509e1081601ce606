#include "connectivity/reporter_log.hpp"

#include <utility>

namespace kestrelhoist {
namespace {
constexpr Duration kReporterRetention{5 * 60 * 1000};
}  // namespace

void ReporterLog::record(const std::string& address, const ZoneId& zone, Instant at) {
  known_.insert_or_assign(address, Known{zone, at});
  auto& [first, second] = newest_[zone];
  if (!first || first->address != address) second = std::exchange(first, Reporter{address, at});
  first->at = at;
}

const ReporterLog::Reporter* ReporterLog::newestOf(const Newest& newest,
                                                   const std::string& except) {
  for (const auto& reporter : newest) {
    if (reporter && reporter->address != except) return &*reporter;
  }
  return nullptr;
}

std::optional<std::string> ReporterLog::newestExcept(const std::string& address, const ZoneId& zone,
                                                     Instant now) const {
  if (auto own = newest_.find(zone); own != newest_.end()) {
    const Reporter* found = newestOf(own->second, address);
    if (found && now - found->at <= maxHeartbeatAge_) return found->address;
  }
  const Reporter* best = nullptr;
  for (const auto& [other, newest] : newest_) {
    const Reporter* found = newestOf(newest, address);
    if (found && (!best || found->at > best->at)) best = found;
  }
  return best ? std::optional(best->address) : std::nullopt;
}

std::optional<ZoneId> ReporterLog::zoneOf(const std::string& address) const {
  auto found = known_.find(address);
  return found == known_.end() ? std::nullopt : std::optional(found->second.zone);
}

void ReporterLog::expire(Instant now) {
  std::erase_if(known_, [&](const auto& k) { return now - k.second.at > kReporterRetention; });
  for (auto& [zone, newest] : newest_) {
    for (auto& reporter : newest) {
      if (reporter && now - reporter->at > kReporterRetention) reporter.reset();
    }
  }
}

}  // namespace kestrelhoist
