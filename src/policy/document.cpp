#include "policy/document.hpp"

#include <algorithm>
#include <set>
#include <stdexcept>

#include "config/schema.hpp"
#include "policy/calendar.hpp"

namespace kestrelhoist {

// The schema permits unknown fields, which are kept in the document and ignored. In a rolling
// restart, older controllers must not drop fields that newer controllers have accepted.
const char* const kPolicySchema = R"({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "kestrelhoist policy",
  "type": "object",
  "definitions": {
    "selectors": {
      "type": "array",
      "items": {
        "type": "object",
        "minProperties": 1,
        "properties": {
          "class": {"type": "string", "minLength": 1},
          "team": {"type": "string", "minLength": 1},
          "rank": {"enum": ["production", "high", "standard", "best_effort"]},
          "kind": {"enum": ["service", "batch"]}
        }
      }
    }
  },
  "properties": {
    "calendar": {
      "type": "object",
      "required": ["zone", "periods"],
      "properties": {
        "zone": {"type": "string", "minLength": 1},
        "holidays": {
          "type": "array",
          "maxItems": 400,
          "items": {"type": "string", "pattern": "^[0-9]{4}-(0[1-9]|1[0-2])-(0[1-9]|[12][0-9]|3[01])$"}
        },
        "periods": {
          "type": "array",
          "maxItems": 24,
          "items": {
            "type": "object",
            "required": ["name", "from", "to", "first", "yields"],
            "properties": {
              "name": {"type": "string", "minLength": 1, "maxLength": 40},
              "days": {
                "type": "array",
                "minItems": 1,
                "items": {"enum": ["mon", "tue", "wed", "thu", "fri", "sat", "sun"]}
              },
              "from": {"type": "string", "pattern": "^([01][0-9]|2[0-3]):[0-5][0-9]$"},
              "to": {"type": "string", "pattern": "^(([01][0-9]|2[0-3]):[0-5][0-9]|24:00)$"},
              "first": {"$ref": "#/definitions/selectors"},
              "yields": {"$ref": "#/definitions/selectors"},
              "floor": {"type": "number", "minimum": 0.01, "maximum": 1}
            }
          }
        }
      }
    },
    "continuity": {
      "type": "object",
      "required": ["services"],
      "properties": {
        "services": {"$ref": "#/definitions/selectors"},
        "machines": {"type": "integer", "minimum": 0, "maximum": 10000}
      }
    },
    "pools": {
      "type": "array",
      "maxItems": 64,
      "items": {
        "type": "object",
        "required": ["name", "images", "team", "most"],
        "properties": {
          "name": {"type": "string", "minLength": 1, "maxLength": 40},
          "images": {"type": "array", "minItems": 1, "maxItems": 16, "items": {"type": "string", "minLength": 1}},
          "team": {"type": "string", "minLength": 1},
          "least": {"type": "integer", "minimum": 0, "maximum": 10000},
          "most": {"type": "integer", "minimum": 1, "maximum": 10000},
          "ahead_s": {"type": "number", "minimum": 10, "maximum": 3600},
          "budget_per_hour": {"type": "number", "minimum": 0, "maximum": 1e9}
        }
      }
    }
  }
})";

namespace {

Priority parsePriority(const std::string& word) {
  if (word == "production") return Priority::production;
  if (word == "high") return Priority::high;
  return word == "standard" ? Priority::normal : Priority::low;
}

std::vector<Selector> parseSelectors(const Json& list) {
  std::vector<Selector> out;
  for (const auto& s : list) {
    Selector one;
    one.jobClass = s.value("class", "");
    one.team = TeamId{s.value("team", "")};
    if (s.contains("rank")) one.rank = parsePriority(s["rank"].get<std::string>());
    if (s.contains("kind")) one.service = s["kind"] == "service";
    out.push_back(std::move(one));
  }
  return out;
}

int parseMinuteOfDay(const std::string& text) {
  return std::stoi(text.substr(0, 2)) * 60 + std::stoi(text.substr(3, 2));
}

Period parsePeriod(const Json& p) {
  static const std::vector<std::string> kDays{"mon", "tue", "wed", "thu", "fri", "sat", "sun"};
  Period out;
  out.name = p["name"].get<std::string>();
  out.days.assign(7, !p.contains("days"));
  for (const auto& d : p.value("days", Json::array())) {
    out.days[static_cast<std::size_t>(std::find(kDays.begin(), kDays.end(), d.get<std::string>()) -
                                      kDays.begin())] = true;
  }
  out.fromMinute = parseMinuteOfDay(p["from"].get<std::string>());
  out.toMinute = parseMinuteOfDay(p["to"].get<std::string>());
  out.first = parseSelectors(p["first"]);
  out.yields = parseSelectors(p["yields"]);
  out.floor = p.value("floor", out.floor);
  return out;
}

[[noreturn]] void throwInvalid(const std::string& pointer, const std::string& what) {
  throw std::runtime_error(pointer + ": " + what);
}

}  // namespace

bool Selector::matches(const JobSpec& spec) const {
  return (jobClass.empty() || jobClass == spec.jobClass) && (team.empty() || team == spec.team) &&
         (!rank || *rank == spec.priority) &&
         (!service || *service == (spec.kind == JobKind::service));
}

bool anyMatches(const std::vector<Selector>& selectors, const JobSpec& spec) {
  return std::any_of(selectors.begin(), selectors.end(),
                     [&](const Selector& s) { return s.matches(spec); });
}

Json parseDocument(const std::string& text) { return parseJsonText(text, "/"); }

std::shared_ptr<const Policy> parsePolicy(const Json& document) {
  if (auto why = schemaViolation(document, kPolicySchema)) throw std::runtime_error(*why);
  auto out = std::make_shared<Policy>();
  if (document.contains("calendar")) {
    const Json& c = document["calendar"];
    out->calendar.zone = c["zone"].get<std::string>();
    if (!isKnownTimeZone(out->calendar.zone)) throwInvalid("/calendar/zone", "no such time zone");
    for (const auto& h : c.value("holidays", Json::array())) {
      out->calendar.holidays.push_back(h.get<std::string>());
    }
    std::set<std::string> names;
    for (const auto& p : c["periods"]) {
      std::string at = "/calendar/periods/" + std::to_string(out->calendar.periods.size());
      out->calendar.periods.push_back(parsePeriod(p));
      const Period& period = out->calendar.periods.back();
      if (!names.insert(period.name).second) throwInvalid(at + "/name", "is used twice");
      if (period.fromMinute == period.toMinute) throwInvalid(at + "/to", "equals from");
    }
    if (auto clash = findOverlap(out->calendar)) {
      throwInvalid("/calendar/periods/" + std::to_string(clash->second),
                   "overlaps /calendar/periods/" + std::to_string(clash->first));
    }
  }
  if (document.contains("continuity")) {
    out->continuity.services = parseSelectors(document["continuity"]["services"]);
    out->continuity.machines = document["continuity"].value("machines", 0);
  }
  std::set<std::string> pools, images;
  for (const auto& p : document.value("pools", Json::array())) {
    std::string at = "/pools/" + std::to_string(out->pools.size());
    Pool pool;
    pool.name = p["name"].get<std::string>();
    if (!pools.insert(pool.name).second) throwInvalid(at + "/name", "is used twice");
    for (const auto& i : p["images"]) {
      pool.images.emplace_back(i.get<std::string>());
      if (!images.insert(pool.images.back().value).second)
        throwInvalid(at + "/images", "are in two pools");
    }
    pool.team = TeamId{p["team"].get<std::string>()};
    pool.minMachines = p.value("least", 0U);
    pool.maxMachines = p["most"].get<std::uint32_t>();
    if (pool.minMachines > pool.maxMachines) throwInvalid(at + "/least", "is more than most");
    pool.ahead = fromSeconds(p.value("ahead_s", toSeconds(pool.ahead)));
    pool.budgetPerHour = p.value("budget_per_hour", 0.0);
    out->pools.push_back(std::move(pool));
  }
  return out;
}

}  // namespace kestrelhoist
