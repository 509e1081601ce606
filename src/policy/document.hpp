/// \file
/// Defines the operators' policy document and its parser. The document names the jobs that are
/// prioritized in calendar periods, the protected services and the warm pools of images. It is
/// stored in the state service; docs/policy.md describes its form.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jobs/spec.hpp"

namespace kestrelhoist {

/// Selects jobs. A job matches if it matches every criterion that is set.
struct Selector {
  std::string jobClass;
  TeamId team;
  std::optional<Priority> rank;
  std::optional<bool> service;
  bool matches(const JobSpec& spec) const;
};
/// Returns whether at least one of the selectors matches the job.
bool anyMatches(const std::vector<Selector>& selectors, const JobSpec& spec);

/// Describes a calendar period in which some jobs are prioritized and others yield.
struct Period {
  std::string name;
  std::vector<bool> days;  ///< tells for each weekday, from Monday, whether the period opens
  /// The period opens and closes at these minutes of the local day; it closes on the next day if
  /// toMinute <= fromMinute.
  int fromMinute{}, toMinute{};
  std::vector<Selector> first, yields;  ///< select the prioritized jobs and the yielding jobs
  double floor = 0.05;  ///< is the share of the machines that yielding jobs may always hold
};

/// Lists the calendar periods with their time zone and holidays.
struct Calendar {
  std::string zone = "UTC";           ///< names the IANA time zone
  std::vector<std::string> holidays;  ///< no period opens on these dates (YYYY-MM-DD)
  std::vector<Period> periods;        ///< the periods don't overlap
};

/// Selects the protected services and the losses that failover coverage is measured for.
struct Continuity {
  std::vector<Selector> services;
  /// Coverage is measured for the loss of this number of machines at once, in addition to the loss
  /// of any single zone.
  int machines = 0;
};

/// Describes a warm pool: machines that hold images before tasks need them.
struct Pool {
  std::string name;
  std::vector<ImageId> images;
  TeamId team;                                 ///< this team is charged for the pool
  std::uint32_t minMachines{}, maxMachines{};  ///< bound the number of machines per image
  Duration ahead{120000};  ///< the pool covers the task starts expected within this time
  /// Limits the hourly price of the pool's machines that run no task; 0 means no limit.
  double budgetPerHour{};
};

/// Holds a parsed policy document.
struct Policy {
  Calendar calendar;
  Continuity continuity;
  std::vector<Pool> pools;
};

/// Contains the JSON schema of the policy document.
extern const char* const kPolicySchema;

/// Parses a policy document. Throws std::runtime_error with a single line, the JSON pointer of the
/// invalid field and the reason, if the document is invalid.
std::shared_ptr<const Policy> parsePolicy(const Json& document);
/// Parses the JSON text of a policy document. Throws std::runtime_error like parsePolicy() if the
/// text is not JSON or nested too deeply.
Json parseDocument(const std::string& text);

}  // namespace kestrelhoist
