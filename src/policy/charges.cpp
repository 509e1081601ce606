#include "policy/charges.hpp"

#include <algorithm>
#include <cmath>

namespace kestrelhoist {
namespace {

// Splits a charge by shares; the last part gets the rounding difference.
std::vector<Charge> split(const Charge& whole, const std::vector<double>& shares) {
  std::vector<Charge> out;
  Charge left = whole;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    auto part = [&](std::uint64_t of, std::uint64_t most) {
      if (i + 1 == shares.size()) return most;
      return std::min(most, static_cast<std::uint64_t>(static_cast<double>(of) * shares[i]));
    };
    Charge p{part(whole.ms, left.ms), part(whole.money, left.money)};
    left.ms -= p.ms;
    left.money -= p.money;
    out.push_back(p);
  }
  return out;
}

Json chargeToJson(const Charge& p) { return {p.ms, p.money}; }

std::optional<Charge> chargeFromJson(const Json& v) {
  if (!v.is_array() || v.size() != 2 || !v[0].is_number_integer() || !v[1].is_number_integer()) {
    return std::nullopt;
  }
  return Charge{v[0].get<std::uint64_t>(), v[1].get<std::uint64_t>()};
}

}  // namespace

Charge ChargeAccount::total() const {
  Charge sum = idle;
  sum += boot;
  for (const auto* part : {&used, &warm}) {
    for (const auto& [team, paid] : *part) sum += paid;
  }
  return sum;
}

void ChargeAccount::add(const ChargeAccount& o) {
  for (const auto& [team, paid] : o.used) used[team] += paid;
  for (const auto& [team, paid] : o.warm) warm[team] += paid;
  idle += o.idle;
  boot += o.boot;
}

void charge(ChargeAccount& account, const MachineTime& m, std::int64_t fromMs, std::int64_t toMs) {
  std::int64_t from = std::max(fromMs, m.rentedAtMs);
  if (from >= toMs) return;
  Charge whole;
  whole.ms = static_cast<std::uint64_t>(toMs - from);
  // Dividing a period into several intervals changes the total by less than one millionth each.
  whole.money = static_cast<std::uint64_t>(
      std::llround(m.pricePerHour * 1e6 * static_cast<double>(whole.ms) / 3600000.0));
  if (!m.hasReported) {
    account.boot += whole;
    return;
  }
  double sum = 0;
  for (const auto& [team, share] : m.used) sum += share;
  double scale = sum > 1 ? 1 / sum : 1;
  std::vector<Charge*> to;
  std::vector<double> shares;
  for (const auto& [team, share] : m.used) {
    to.push_back(&account.used[team]);
    shares.push_back(share * scale);
  }
  // The unused share is charged in equal parts to the teams whose warm pools keep the machine, or
  // to no team if there is none.
  double rest = std::max(0.0, 1 - sum);
  for (const auto& team : m.poolTeams) {
    to.push_back(&account.warm[team]);
    shares.push_back(rest / static_cast<double>(m.poolTeams.size()));
  }
  if (m.poolTeams.empty()) {
    to.push_back(&account.idle);
    shares.push_back(rest);
  }
  auto parts = split(whole, shares);
  for (std::size_t i = 0; i < to.size(); ++i) *to[i] += parts[i];
}

Json toJson(const ChargeRecord& r) {
  auto teams = [](const std::map<TeamId, Charge>& of) {
    Json out = Json::object();
    for (const auto& [team, paid] : of) out[team.value] = chargeToJson(paid);
    return out;
  };
  return {{"through", r.throughMs},
          {"used", teams(r.account.used)},
          {"warm", teams(r.account.warm)},
          {"idle", chargeToJson(r.account.idle)},
          {"boot", chargeToJson(r.account.boot)}};
}

std::optional<ChargeRecord> chargeRecordFromJson(const Json& v) {
  auto through = countField(v, "through");
  const Json* idle = field(v, "idle");
  const Json* boot = field(v, "boot");
  auto idlePaid = idle ? chargeFromJson(*idle) : std::nullopt;
  auto bootPaid = boot ? chargeFromJson(*boot) : std::nullopt;
  if (!through || !idlePaid || !bootPaid) return std::nullopt;
  ChargeRecord r;
  r.throughMs = static_cast<std::int64_t>(*through);
  r.account.idle = *idlePaid;
  r.account.boot = *bootPaid;
  for (auto [name, to] : {std::pair{"used", &r.account.used}, std::pair{"warm", &r.account.warm}}) {
    const Json* teams = field(v, name);
    if (!teams || !teams->is_object()) return std::nullopt;
    for (const auto& [team, paid] : teams->items()) {
      auto p = chargeFromJson(paid);
      if (!p) return std::nullopt;
      (*to)[TeamId{team}] = *p;
    }
  }
  return r;
}

}  // namespace kestrelhoist
