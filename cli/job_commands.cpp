#include "cli/job_commands.hpp"

#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include "cli/commands.hpp"
#include "members/records.hpp"
#include "rules/shell.hpp"

namespace kestrelhoist::hoist {
namespace fs = std::filesystem;
namespace {

using client::JobState;

client::CallOptions callOptions(const JobOptions& o) {
  client::CallOptions c;
  c.deadline = fromSeconds(o.timeoutS);
  return c;
}

Json toJson(const JobState& s) {
  Json v = {
      {"job", s.id}, {"phase", client::wordOf(s.phase)}, {"done", s.done}, {"running", s.running}};
  if (s.tasks > 0) v["tasks"] = s.tasks;
  if (!s.jobClass.empty()) v["class"] = s.jobClass;
  if (s.acceptedAtMs > 0) v["accepted_at_ms"] = s.acceptedAtMs;
  return v;
}

void print(const JobOptions& o, const JobState& s, const std::string& cursor = "") {
  if (o.json) {
    Json v = toJson(s);
    if (!cursor.empty()) v["cursor"] = cursor;
    std::cout << v.dump() << std::endl;
    return;
  }
  std::cout << s.id << " " << client::wordOf(s.phase) << " " << s.done;
  if (s.tasks > 0) std::cout << "/" << s.tasks;
  std::cout << " done, " << s.running << " running";
  if (!s.jobClass.empty()) std::cout << ", " << s.jobClass;
  std::cout << std::endl;
}

int exitCodeOf(const JobState& s) { return s.phase == client::Phase::done ? kOk : kFailed; }

// Returns the directory of a job's logs. Each task writes its output to one file there.
fs::path logDirectory(const ClientSettings& s, const std::string& team, const std::string& member,
                      const std::string& id) {
  return fs::path(s.files) / team / member / ".jobs" / id;
}

// Returns the team and member that own the jobs. They come from the key, or from the settings if
// there is no key.
client::Result<client::Identity> identity(client::Client& c, const JobOptions& o) {
  if (!o.settings.key.empty()) return c.whoAmI(callOptions(o));
  return client::Identity{"", o.settings.team, o.settings.member, ""};
}

// Writes the job's command to a file in the shared directory from which workers fetch it (PROTOCOL,
// "the worker fetches the job's description itself"). The file is renamed into place, so that no
// worker reads an incomplete file. Returns an error message, or an empty text on success.
std::string stage(const JobOptions& o, const client::Identity& who, const std::string& id) {
  const ClientSettings& s = o.settings;
  if (s.files.empty()) return "files is not set; a job with a command needs --files or HOIST_FILES";
  Owner owner{TeamId{who.team}, who.member};
  std::string name = who.key.empty() ? id : memberJob(owner, id).value;
  fs::path depot = fs::path(s.files) / ".jobs";
  fs::path logs = logDirectory(s, who.team, who.member, id);
  std::error_code error;
  fs::create_directories(depot, error);
  fs::create_directories(logs, error);
  std::string command;
  for (const auto& word : o.command) {
    command +=
        (command.empty() ? "" : " ") + (o.command.size() == 1 ? word : rules::shellQuoted(word));
  }
  Json v = {{"command", command},
            {"directory", (fs::path(who.team) / who.member / o.directory).string()},
            {"logs", fs::relative(logs, s.files, error).string()},
            {"cpus", o.job.cpus},
            {"gpus", o.job.gpus}};
  fs::path part = depot / (name + ".part-" + std::to_string(getpid()));
  std::ofstream(part) << v.dump() << "\n";
  fs::rename(part, depot / (name + ".json"), error);
  return error ? depot.string() + " can't be written: " + error.message() : "";
}

void printKey(const JobOptions& o, const client::KeyInfo& k) {
  if (o.json) {
    Json v = {{"key", k.id},
              {"team", k.team},
              {"member", k.member},
              {"rights", k.rights},
              {"note", k.note},
              {"ended", k.ended},
              {"made_at_ms", k.madeAtMs},
              {"ends_at_ms", k.endsAtMs}};
    if (!k.secret.empty()) v["secret"] = k.secret;
    std::cout << v.dump() << std::endl;
  } else if (!k.secret.empty()) {
    std::cout << k.secret << std::endl;
  } else {
    std::cout << k.id << " " << k.team << "/" << k.member << " " << k.rights
              << (k.ended          ? " ended"
                  : k.endsAtMs > 0 ? " ends"
                                   : "")
              << (k.note.empty() ? "" : " \"" + k.note + "\"") << std::endl;
  }
}

int printKeyResult(const JobOptions& o, const client::Result<client::KeyInfo>& k) {
  if (!k) return printError(k.error(), o.json);
  printKey(o, *k);
  return kOk;
}

}  // namespace

int jobSubmit(JobOptions o) {
  auto shape = client::shapeFrom(o.shape);
  auto priority = client::priorityFrom(o.priority);
  if (!shape || !priority) throw std::runtime_error("shape or priority is invalid");
  o.job.shape = *shape;
  o.job.priority = *priority;
  client::Client c(librarySettings(o.settings));
  client::SubmitOptions submit{o.batch, o.id, callOptions(o)};
  if (!o.command.empty()) {
    // The file with the command must exist before the job starts, and its name contains the job id.
    // The id is therefore chosen before the submission.
    auto who = identity(c, o);
    if (!who) return printError(who.error(), o.json);
    if (submit.id.empty()) {
      submit.id = o.batch.empty() ? generateRef()
                                  : refForIdempotencyKey({TeamId{who->team}, who->member}, o.batch);
      submit.idempotencyKey.clear();
    }
    if (o.job.team.empty()) o.job.team = who->team;
    std::string fault = stage(o, *who, submit.id);
    if (!fault.empty()) throw std::runtime_error(fault);
  }
  auto r = c.submit(o.job, submit);
  if (!r) return printError(r.error(), o.json);
  print(o, *r);
  if (!o.wait) return kOk;
  auto end = c.wait(r->id, callOptions(o));
  if (!end) return printError(end.error(), o.json);
  print(o, *end);
  return exitCodeOf(*end);
}

int jobStatus(const JobOptions& o) {
  client::Client c(librarySettings(o.settings));
  int code = kOk;
  for (const auto& id : o.ids) {
    auto r = c.get(id, callOptions(o));
    if (r) {
      print(o, *r);
    } else {
      code = printError(r.error(), o.json);
    }
  }
  return code;
}

int jobList(const JobOptions& o) {
  client::Client c(librarySettings(o.settings));
  client::JobQuery q;
  if (!o.phase.empty()) {
    q.phase = client::phaseFrom(o.phase);
    if (!q.phase) throw std::runtime_error(o.phase + " is not a phase");
  }
  q.jobClass = o.job.jobClass;
  q.since = o.since;
  q.limit = o.limit;
  while (true) {
    auto page = c.list(q, callOptions(o));
    if (!page) return printError(page.error(), o.json);
    for (const auto& job : page->jobs) print(o, job);
    q.since = page->cursor;
    if (page->more && o.all) continue;
    if (o.json) {
      std::cout << Json({{"cursor", page->cursor}, {"more", page->more}}).dump() << std::endl;
    } else if (page->more) {
      std::cerr << "more jobs follow; use --since " << page->cursor << std::endl;
    }
    return kOk;
  }
}

int jobWatch(const JobOptions& o) {
  client::Client c(librarySettings(o.settings));
  client::WatchOptions w;
  w.ids = o.ids;
  w.since = o.since;
  auto watch = c.watch(w);
  auto until = std::chrono::steady_clock::now() + fromSeconds(o.timeoutS);
  int code = kOk;
  while (true) {
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - std::chrono::steady_clock::now());
    auto event = watch.next(std::max(left, std::chrono::milliseconds(1)));
    if (!event) return printError(event.error(), o.json);
    if (!*event) return code;
    print(o, (*event)->job, (*event)->cursor);
    if ((*event)->job.phase == client::Phase::withdrawn) code = kFailed;
  }
}

int jobCancel(const JobOptions& o) {
  client::Client c(librarySettings(o.settings));
  int code = kOk;
  for (const auto& id : o.ids) {
    auto r = c.cancel(id, callOptions(o));
    if (r) {
      print(o, *r);
    } else {
      code = printError(r.error(), o.json);
    }
  }
  return code;
}

int jobLogs(const JobOptions& o) {
  client::Client c(librarySettings(o.settings));
  auto who = identity(c, o);
  if (!who) return printError(who.error(), o.json);
  if (o.settings.files.empty())
    throw std::runtime_error("files is not set; use --files or HOIST_FILES");
  fs::path file = logDirectory(o.settings, who->team, who->member, o.ids[0]) /
                  (std::to_string(o.task) + ".log");
  std::ifstream in(file, std::ios::binary);
  bool over = !o.follow;
  while (true) {
    if (!in.is_open()) in.open(file, std::ios::binary);
    char block[4096];
    while (in.is_open() && (in.read(block, sizeof block), in.gcount() > 0)) {
      std::cout.write(block, in.gcount());
    }
    in.clear();
    std::cout.flush();
    if (over) break;
    // After the job's end the loop reads the log once more, so that no output is lost.
    auto state = c.get(o.ids[0], callOptions(o));
    if (!state) return printError(state.error(), o.json);
    over = state->hasEnded();
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
  if (in.is_open()) return kOk;
  std::cerr << "hoist: " << o.ids[0] << "/" << o.task << " has no log file (" << file.string()
            << ")" << std::endl;
  return kUnknown;
}

// Creates the operator's root key and writes its hash to a file that the controllers load.
int keyInit(const JobOptions& o) {
  Credential made = generateCredential();
  if (fs::exists(o.hashFile)) {
    throw std::runtime_error(o.hashFile +
                             " already exists; keys that were created with it stay valid");
  }
  std::ofstream out(o.hashFile);
  out << made.id.value << " " << hashOfSecret(made) << "\n";
  if (!out.flush()) throw std::runtime_error(o.hashFile + " can't be written");
  if (o.json) {
    std::cout << Json({{"key", made.id.value}, {"secret", made.str()}, {"file", o.hashFile}}).dump()
              << std::endl;
  } else {
    std::cout << made.str() << std::endl;
    std::cerr << "hoist-admin: the key is not shown again; its hash is in " << o.hashFile
              << std::endl;
  }
  return kOk;
}

int keyMake(const JobOptions& o) {
  if (!parseRights(o.rights)) {
    throw std::runtime_error("rights must be a list of submit, read, cancel and admin, not " +
                             o.rights);
  }
  client::Client c(librarySettings(o.settings));
  return printKeyResult(o, c.makeKey(o.team, o.member, o.rights, o.note, callOptions(o)));
}

int keyList(const JobOptions& o) {
  client::Client c(librarySettings(o.settings));
  auto r = c.keys(o.team, o.member, callOptions(o));
  if (!r) return printError(r.error(), o.json);
  for (const auto& k : *r) printKey(o, k);
  return kOk;
}

int keyRotate(const JobOptions& o) {
  client::Client c(librarySettings(o.settings));
  return printKeyResult(o, c.rotateKey(o.key, fromSeconds(o.graceS), callOptions(o)));
}

int keyRevoke(const JobOptions& o) {
  client::Client c(librarySettings(o.settings));
  return printKeyResult(o, c.revokeKey(o.key, fromSeconds(o.graceS), callOptions(o)));
}

}  // namespace kestrelhoist::hoist
