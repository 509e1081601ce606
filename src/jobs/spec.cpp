#include "jobs/spec.hpp"

#include <algorithm>
#include <set>

namespace kestrelhoist {
namespace {

constexpr std::size_t kMaxNameBytes = 200;
constexpr std::size_t kMaxTypes = 64;
constexpr double kMaxAmount = 1e9;

// Reads the fields of a submission and remembers the first field that is missing or invalid.
class Fields {
 public:
  explicit Fields(const Json& body) : body_(body) {}

  std::string text(const char* name) {
    auto v = textField(body_, name);
    if (!v || v->empty() || v->size() > kMaxNameBytes) return fault(name), std::string{};
    return *v;
  }
  double amount(const char* name) {
    auto v = numberField(body_, name);
    if (!v || *v < 0 || *v > kMaxAmount) return fault(name), 0.0;
    return *v;
  }
  bool flag(const char* name) {
    auto v = boolField(body_, name);
    if (!v) return fault(name), false;
    return *v;
  }
  void fault(const char* name) {
    if (why_.empty()) why_ = std::string("field ") + name + " is missing or invalid";
  }
  // Returns the distinct job ids in the list field `name`; an empty list if the field is missing.
  // An invalid id or the id `own` makes the field invalid.
  std::vector<JobId> otherJobs(const char* name, const JobId& own) {
    std::vector<JobId> jobs;
    const Json* list = field(body_, name);
    if (!list) return jobs;
    if (!list->is_array()) return fault(name), jobs;
    std::set<JobId> known;
    for (const auto& entry : *list) {
      auto ref = textOf(entry);
      if (!ref || !validJobId(*ref) || *ref == own.value) return fault(name), jobs;
      if (known.insert(JobId{*ref}).second) jobs.emplace_back(*ref);
    }
    return jobs;
  }
  const Json& body() const { return body_; }
  const std::string& why() const { return why_; }

 private:
  const Json& body_;
  std::string why_;
};

const char* toString(JobKind kind) {
  switch (kind) {
    case JobKind::service:
      return "service";
    case JobKind::gang:
      return "gang";
    default:
      return "array";
  }
}

std::optional<Priority> parsePriority(const std::string& word) {
  if (word == "production") return Priority::production;
  if (word == "high") return Priority::high;
  if (word == "standard") return Priority::normal;
  if (word == "best_effort") return Priority::low;
  return std::nullopt;
}

}  // namespace

bool JobSpec::allowsType(const TypeId& type) const {
  return !types || std::find(types->begin(), types->end(), type) != types->end();
}

bool validJobId(const std::string& ref) {
  if (ref.size() < 3 || ref.size() > 20 || ref.compare(0, 2, "j-") != 0) return false;
  return std::all_of(ref.begin() + 2, ref.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::variant<JobSpec, Invalid> parseSubmission(const Json& body) {
  if (!body.is_object()) return Invalid{"not a map"};
  Fields f(body);
  JobSpec s;
  s.id = JobId{f.text("ref")};
  if (!validJobId(s.id.value)) f.fault("ref");
  s.jobClass = f.text("lane");
  s.team = TeamId{f.text("owner")};
  auto shape = f.text("shape");
  if (shape == "batch") {
    s.kind = JobKind::array;
  } else if (shape == "daemon") {
    s.kind = JobKind::service;
  } else if (shape == "ensemble") {
    s.kind = JobKind::gang;
  } else {
    f.fault("shape");
  }
  if (auto p = parsePriority(f.text("rank"))) {
    s.priority = *p;
  } else {
    f.fault("rank");
  }
  auto tasks = countField(body, "shards");
  if (!tasks || *tasks < 1 || *tasks > kMaxTasks) {
    f.fault("shards");
  } else {
    s.tasks = static_cast<std::uint32_t>(*tasks);
  }
  s.perTask = {f.amount("cpus"), f.amount("gpus"), f.amount("ram_gb")};
  s.image = ImageId{f.text("bundle")};
  s.imageGb = f.amount("size_gb");
  if (const Json* types = field(body, "rigs")) {
    if (!types->is_array() || types->empty() || types->size() > kMaxTypes) {
      f.fault("rigs");
    } else {
      s.types.emplace();
      for (const auto& t : *types) {
        auto type = textOf(t);
        if (!type || type->size() > kMaxNameBytes) {
          f.fault("rigs");
          break;
        }
        s.types->emplace_back(*type);
      }
    }
  }
  if (field(body, "site")) s.zone = ZoneId{f.text("site")};
  s.oneZone = f.flag("together");
  s.spread = f.flag("apart");
  s.spotAllowed = f.flag("loaners");
  s.estimate = fromSeconds(f.amount("guess_s"));
  s.checkpointEvery = fromSeconds(f.amount("snapshot_s"));
  s.saveTime = fromSeconds(f.amount("flush_s"));
  if (field(body, "due_s")) s.deadline = fromSeconds(f.amount("due_s"));
  s.dependsOn = f.otherJobs("awaits", s.id);
  if (!f.why().empty()) return Invalid{f.why()};
  return s;
}

Json jobIdsToJson(const std::vector<JobId>& jobs) {
  Json list = Json::array();
  for (const auto& job : jobs) list.push_back(job.value);
  return list;
}

std::optional<std::vector<JobId>> jobIdsFromJson(const Json& list) {
  if (!list.is_array()) return std::nullopt;
  std::vector<JobId> jobs;
  for (const auto& entry : list) {
    if (!entry.is_string()) return std::nullopt;
    jobs.emplace_back(entry.get<std::string>());
  }
  return jobs;
}

Json jobSpecToJson(const JobSpec& s) {
  Json v = {{"class", s.jobClass},
            {"team", s.team.value},
            {"kind", toString(s.kind)},
            {"priority", static_cast<int>(s.priority)},
            {"tasks", s.tasks},
            {"cpus", s.perTask.cpus},
            {"gpus", s.perTask.gpus},
            {"ram", s.perTask.ramGb},
            {"image", s.image.value},
            {"image_gb", s.imageGb},
            {"flags", (s.oneZone ? 1 : 0) | (s.spread ? 2 : 0) | (s.spotAllowed ? 4 : 0)},
            {"estimate_ms", s.estimate.count()},
            {"checkpoint_ms", s.checkpointEvery.count()},
            {"save_ms", s.saveTime.count()}};
  if (s.types) {
    Json list = Json::array();
    for (const auto& t : *s.types) list.push_back(t.value);
    v["types"] = std::move(list);
  }
  if (s.zone) v["zone"] = s.zone->value;
  if (s.deadline) v["deadline_ms"] = s.deadline->count();
  if (!s.dependsOn.empty()) v["awaits"] = jobIdsToJson(s.dependsOn);
  return v;
}

std::optional<JobSpec> jobSpecFromJson(const JobId& id, const Json& v) {
  JobSpec s;
  s.id = id;
  auto jobClass = textField(v, "class");
  auto team = textField(v, "team");
  auto kind = textField(v, "kind");
  auto priority = countField(v, "priority");
  auto tasks = countField(v, "tasks");
  auto image = textField(v, "image");
  auto flags = countField(v, "flags");
  if (!jobClass || !team || !kind || !priority || *priority > 3 || !tasks || *tasks < 1 ||
      *tasks > kMaxTasks || !image || !flags) {
    return std::nullopt;
  }
  s.jobClass = *jobClass;
  s.team = TeamId{*team};
  s.kind = *kind == "service" ? JobKind::service : *kind == "gang" ? JobKind::gang : JobKind::array;
  s.priority = static_cast<Priority>(*priority);
  s.tasks = static_cast<std::uint32_t>(*tasks);
  s.perTask = {numberField(v, "cpus").value_or(0), numberField(v, "gpus").value_or(0),
               numberField(v, "ram").value_or(0)};
  s.image = ImageId{*image};
  s.imageGb = numberField(v, "image_gb").value_or(0);
  s.oneZone = *flags & 1;
  s.spread = *flags & 2;
  s.spotAllowed = *flags & 4;
  auto ms = [&](const char* name) {
    return Duration{static_cast<std::int64_t>(countField(v, name).value_or(0))};
  };
  s.estimate = ms("estimate_ms");
  s.checkpointEvery = ms("checkpoint_ms");
  s.saveTime = ms("save_ms");
  if (const Json* types = field(v, "types"); types && types->is_array()) {
    s.types.emplace();
    for (const auto& t : *types) {
      if (t.is_string()) s.types->emplace_back(t.get<std::string>());
    }
  }
  if (auto z = textField(v, "zone")) s.zone = ZoneId{*z};
  if (field(v, "deadline_ms")) s.deadline = ms("deadline_ms");
  if (const Json* dependsOn = field(v, "awaits")) {
    auto jobs = jobIdsFromJson(*dependsOn);
    // A job whose dependencies can't be parsed must not start.
    if (!jobs) return std::nullopt;
    s.dependsOn = std::move(*jobs);
  }
  return s;
}

}  // namespace kestrelhoist
