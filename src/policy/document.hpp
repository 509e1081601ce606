/// \file
/// The operators' policy: who goes first at which hours, which services are kept whatever happens,
/// which models are held ahead of a burst. One document, in the shared state; the form:
/// docs/policy.md.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jobs/spec.hpp"

namespace kestrelhoist {

/// Which jobs are meant: all that is given must match.
struct Selector {
  std::string jobClass;
  TeamId team;
  std::optional<Priority> rank;
  std::optional<bool> service;
  bool matches(const JobSpec& spec) const;
};
bool anyMatches(const std::vector<Selector>& selectors, const JobSpec& spec);

struct Period {
  std::string name;
  std::vector<bool> days;        ///< Monday first, by the local date on which it opens
  int fromMinute{}, toMinute{};  ///< local time; to <= from: on the next day
  std::vector<Selector> first, yields;
  double floor = 0.05;  ///< of the machines, what those that yield may hold at least
};

struct Calendar {
  std::string zone = "UTC";           ///< IANA
  std::vector<std::string> holidays;  ///< YYYY-MM-DD, on which no period opens
  std::vector<Period> periods;        ///< none overlaps another
};

struct Continuity {
  std::vector<Selector> services;
  int machines = 0;  ///< cover for the loss of any so many at once, beside any one zone
};

struct Pool {
  std::string name;
  std::vector<ImageId> images;
  TeamId team;                    ///< pays
  std::uint32_t least{}, most{};  ///< machines that hold each image
  Duration ahead{120000};
  double budgetPerHour{};  ///< money for machines that only hold; 0: no bound
};

struct Policy {
  Calendar calendar;
  Continuity continuity;
  std::vector<Pool> pools;
};

extern const char* const kPolicySchema;

/// Throws std::runtime_error with one line: what is wrong and where, as a JSON pointer.
std::shared_ptr<const Policy> parsePolicy(const Json& document);
Json jsonFrom(const std::string& text);  ///< the same for what is no JSON

}  // namespace kestrelhoist
