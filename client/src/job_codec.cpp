#include "client/src/job_codec.hpp"

#include <array>

#include "base/query.hpp"
#include "members/records.hpp"

namespace kestrelhoist::client {
namespace {

template <class E, std::size_t N>
std::optional<E> enumFromWord(const std::array<const char*, N>& words, const std::string& word) {
  for (std::size_t i = 0; i < N; ++i) {
    if (word == words[i]) return static_cast<E>(i);
  }
  return std::nullopt;
}

constexpr std::array<const char*, 3> kShapes{"array", "service", "gang"};
constexpr std::array<const char*, 3> kServiceShapes{"batch", "daemon", "ensemble"};
constexpr std::array<const char*, 4> kPriorities{"best_effort", "standard", "high", "production"};
constexpr std::array<const char*, 4> kPhases{"pending", "running", "done", "withdrawn"};

std::int64_t countOrZero(const Json& v, const char* name) {
  return static_cast<std::int64_t>(countField(v, name).value_or(0));
}

}  // namespace

const char* wordOf(Shape shape) { return kShapes[static_cast<std::size_t>(shape)]; }
const char* wordOf(Priority p) { return kPriorities[static_cast<std::size_t>(p)]; }
const char* wordOf(Phase phase) { return kPhases[static_cast<std::size_t>(phase)]; }
std::optional<Shape> shapeFrom(const std::string& word) {
  return enumFromWord<Shape>(kShapes, word);
}
std::optional<Priority> priorityFrom(const std::string& word) {
  return enumFromWord<Priority>(kPriorities, word);
}
std::optional<Phase> phaseFrom(const std::string& word) {
  return enumFromWord<Phase>(kPhases, word);
}

Json toBody(const Job& job, const std::string& id) {
  Json v = {{"ref", id},
            {"lane", job.jobClass},
            {"owner", job.team},
            {"shape", kServiceShapes[static_cast<std::size_t>(job.shape)]},
            {"rank", wordOf(job.priority)},
            {"shards", job.tasks},
            {"cpus", job.cpus},
            {"gpus", job.gpus},
            {"ram_gb", job.ramGb},
            {"bundle", job.image},
            {"size_gb", job.imageGb},
            {"rigs", nullptr},
            {"site", nullptr},
            {"together", job.oneZone},
            {"apart", job.spread},
            {"loaners", job.spot},
            {"guess_s", job.estimateS},
            {"snapshot_s", job.checkpointS},
            {"flush_s", job.saveS},
            {"due_s", nullptr}};
  if (!job.types.empty()) v["rigs"] = job.types;
  if (!job.zone.empty()) v["site"] = job.zone;
  if (job.deadlineS) v["due_s"] = *job.deadlineS;
  return v;
}

std::string digestFor(const Job& job) {
  // The digest does not depend on the job id, so any valid id works here.
  auto parsed = parseSubmission(toBody(job, "j-0"));
  const auto* spec = std::get_if<JobSpec>(&parsed);
  return spec ? specDigest(*spec) : "";
}

std::optional<JobState> jobStateFrom(const Json& body) {
  auto id = textField(body, "ref");
  auto phase = phaseFrom(textField(body, "phase").value_or(""));
  if (!id || !phase) return std::nullopt;
  JobState s;
  s.id = *id;
  s.phase = *phase;
  s.tasks = static_cast<std::uint32_t>(countOrZero(body, "tasks"));
  s.done = static_cast<std::uint32_t>(countOrZero(body, "done"));
  s.running = static_cast<std::uint32_t>(countOrZero(body, "running"));
  s.jobClass = textField(body, "class").value_or("");
  s.acceptedAtMs = countOrZero(body, "at_ms");
  s.serviceName = textField(body, "job").value_or("");
  s.digest = textField(body, "digest").value_or("");
  return s;
}

std::optional<JobPage> jobPageFrom(const Json& body) {
  const Json* jobs = field(body, "jobs");
  auto cursor = textField(body, "cursor");
  if (!jobs || !jobs->is_array() || !cursor) return std::nullopt;
  JobPage page;
  page.cursor = *cursor;
  page.more = boolField(body, "more").value_or(false);
  for (const auto& job : *jobs) {
    auto state = jobStateFrom(job);
    if (!state) return std::nullopt;
    page.jobs.push_back(std::move(*state));
  }
  return page;
}

std::optional<Identity> identityFrom(const Json& body) {
  auto key = textField(body, "key"), team = textField(body, "team");
  auto member = textField(body, "member"), rights = textField(body, "rights");
  if (!key || !team || !member || !rights) return std::nullopt;
  return Identity{*key, *team, *member, *rights};
}

std::optional<KeyInfo> keyInfoFrom(const Json& body) {
  auto who = identityFrom(body);
  if (!who) return std::nullopt;
  return KeyInfo{who->key,
                 who->team,
                 who->member,
                 who->rights,
                 textField(body, "note").value_or(""),
                 countOrZero(body, "at_ms"),
                 countOrZero(body, "ends_ms"),
                 boolField(body, "ended").value_or(false),
                 ""};
}

std::string queryOf(const JobQuery& q, Duration wait) {
  std::string out = "?limit=" + std::to_string(q.limit);
  if (!q.since.empty()) out += "&since=" + queryEscaped(q.since);
  if (q.phase) out += std::string("&phase=") + wordOf(*q.phase);
  if (!q.jobClass.empty()) out += "&class=" + queryEscaped(q.jobClass);
  if (wait.count() > 0) out += "&wait_ms=" + std::to_string(wait.count());
  return out;
}

}  // namespace kestrelhoist::client
