/// \file
/// Splits machine time and its price among the teams that use the machines. All amounts are
/// integers, so that the parts of a machine's time add up to it exactly. The functions are pure.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/runtime.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

/// Holds machine time in milliseconds and money in millionths of the cloud provider's currency
/// unit.
struct Charge {
  std::uint64_t ms{}, money{};
  Charge& operator+=(const Charge& o) {
    ms += o.ms;
    money += o.money;
    return *this;
  }
  bool operator==(const Charge&) const = default;
};

/// Distinguishes the purposes of machine time.
enum class MachineUse { used, warm, idle, boot };

/// Sums charges by team and purpose.
struct ChargeAccount {
  std::map<TeamId, Charge> used;  ///< is for tasks that run or fetch their image
  std::map<TeamId, Charge> warm;  ///< is for machines that warm pools keep
  Charge idle, boot;              ///< are charged to no team
  Charge total() const;
  void add(const ChargeAccount& o);
};

/// Describes the use of one machine during a time interval.
struct MachineTime {
  std::int64_t rentedAtMs{};  ///< is a time of day; earlier time is not charged
  double pricePerHour{};
  std::map<TeamId, double> used;  ///< tasks of each team take this share of the machine
  std::vector<TeamId> poolTeams;  ///< warm pools of these teams keep the machine
  bool hasReported{};             ///< is false while the worker has not reported yet
};

/// Holds the charges of one hour or one day; they are counted up to the time of day `throughMs`.
struct ChargeRecord {
  std::int64_t throughMs{};
  ChargeAccount account;
};

/// Adds the charges of one machine between two times of day to the account.
void charge(ChargeAccount& account, const MachineTime& machine, std::int64_t fromMs,
            std::int64_t toMs);

Json toJson(const ChargeRecord& r);
std::optional<ChargeRecord> chargeRecordFromJson(const Json& v);

}  // namespace kestrelhoist
