/// \file
/// Who pays: machine time and money by team, split over what each machine did. Whole numbers
/// throughout, so that the parts of a machine's time add up to it exactly. Pure.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/runtime.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

/// Money in millionths of the cloud's unit, time in milliseconds of a machine.
struct Charge {
  std::uint64_t ms{}, money{};
  Charge& operator+=(const Charge& o) {
    ms += o.ms;
    money += o.money;
    return *this;
  }
  bool operator==(const Charge&) const = default;
};

/// What a machine's time was for.
enum class MachineUse { used, warm, idle, boot };

struct ChargeAccount {
  std::map<TeamId, Charge> used,
      warm;           ///< by tasks that run or fetch; by pools that want the machine
  Charge idle, boot;  ///< nobody's
  Charge total() const;
  void add(const ChargeAccount& o);
};

/// One machine over a stretch of time.
struct MachineTime {
  std::int64_t rentedAtMs{};  ///< time of day; counted from here on, if later
  double pricePerHour{};
  std::map<TeamId, double> used;  ///< shares of it
  std::vector<TeamId> pools;      ///< that want it, if any
  bool up{};
};

/// One hour, or one day; `throughMs`: up to where it was counted.
struct ChargeRecord {
  std::int64_t throughMs{};
  ChargeAccount account;
};

void charge(ChargeAccount& account, const MachineTime& machine, std::int64_t fromMs,
            std::int64_t toMs);

Json toJson(const ChargeRecord& r);
std::optional<ChargeRecord> chargeRecordFrom(const Json& v);

}  // namespace kestrelhoist
