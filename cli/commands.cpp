#include "cli/commands.hpp"

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

#include "base/tls.hpp"
#include "rules/execute.hpp"

namespace kestrelhoist::hoist {
namespace fs = std::filesystem;
namespace {

constexpr Duration kFollowInterval{1000};

std::vector<std::pair<std::string, std::string>> parseAssignments(
    const std::vector<std::string>& set) {
  std::vector<std::pair<std::string, std::string>> out;
  for (const auto& s : set) {
    auto equals = s.find('=');
    if (equals == std::string::npos || equals == 0)
      throw std::runtime_error("--set takes NAME=VALUE, not " + s);
    out.emplace_back(s.substr(0, equals), s.substr(equals + 1));
  }
  return out;
}

PlannedFile planFromOptions(const Options& o) {
  RuleFile file = o.file;
  file.config = parseAssignments(o.set);
  return planFile(file);
}

std::uint64_t seed() {
  std::random_device random;
  return std::uint64_t{random()} << 32 | random();
}

std::uint32_t count(const Json& v, const char* name) {
  return static_cast<std::uint32_t>(countField(v, name).value_or(0));
}

std::string duration(double seconds) {
  char text[32];
  int s = static_cast<int>(seconds + 0.5);
  if (s >= 3600) {
    std::snprintf(text, sizeof text, "%d:%02d:%02d", s / 3600, s / 60 % 60, s % 60);
  } else {
    std::snprintf(text, sizeof text, "%d:%02d", s / 60, s % 60);
  }
  return text;
}

}  // namespace

int printError(const client::Error& e, bool json) {
  std::fprintf(stderr, "hoist: %s\n", e.text().c_str());
  if (json) {
    Json v = {{"kind", client::wordOf(e.kind)}, {"status", e.status}, {"error", e.why}};
    if (e.version > 0) v["version"] = e.version;
    if (!e.jobId.empty()) v["job"] = e.jobId;
    if (e.comeBack.count() > 0) v["come_back_ms"] = e.comeBack.count();
    std::cout << v.dump(-1, ' ', false, Json::error_handler_t::replace) << std::endl;
  }
  switch (e.kind) {
    case client::ErrorKind::conflict:
      return kConflict;
    case client::ErrorKind::unknown:
      return kUnknown;
    case client::ErrorKind::unusable:
      return kUsage;
    case client::ErrorKind::malformed:
    case client::ErrorKind::neverRuns:
    case client::ErrorKind::notPermitted:
    case client::ErrorKind::protocolViolated:
      return kRefused;
    default:
      return kUnavailable;
  }
}

int plan(const Options& o) {
  PlannedFile file = planFromOptions(o);
  if (o.dot) {
    std::cout << dotGraph(file.plan);
  } else if (o.json) {
    std::cout << planToJson(file.plan).dump(-1, ' ', false, Json::error_handler_t::replace) << "\n";
  } else {
    std::cout << listing(file.plan, o.commands);
    std::cout << file.plan.instances.size() << " instances, " << file.plan.sources.size()
              << " sources\n";
  }
  return kOk;
}

int printCompletion(const CLI::App& app) {
  auto words = [](const CLI::App* a) {
    std::string out;
    for (const auto* s : a->get_subcommands([](const CLI::App*) { return true; })) {
      if (!s->get_group().empty()) out += s->get_name() + " ";
    }
    for (const auto* option : a->get_options()) {
      for (const auto& name : option->get_lnames()) out += "--" + name + " ";
    }
    return out;
  };
  std::string flow;
  std::cout
      << "_hoist() {\n  local cur=${COMP_WORDS[COMP_CWORD]} words=\"" << words(&app) << "\"\n"
      << "  if [[ ${COMP_WORDS[*]} == *\" flow \"* ]]; then\n    case \" ${COMP_WORDS[*]} \" in\n";
  for (const auto* s :
       app.get_subcommand("flow")->get_subcommands([](const CLI::App*) { return true; })) {
    if (s->get_group().empty()) continue;
    std::cout << "      *\" " << s->get_name() << " \"*) words=\"" << words(s) << "\" ;;\n";
    flow += s->get_name() + " ";
  }
  std::cout << "      *) words=\"" << flow << "\" ;;\n    esac\n  fi\n"
            << "  COMPREPLY=($(compgen -W \"$words\" -- \"$cur\") $(compgen -f -- \"$cur\"))\n}\n"
            << "complete -o filenames -F _hoist hoist\n";
  return kOk;
}

ClientSettings clientSettings(const Options& o) {
  ClientSettings s = loadClientSettings(o.configFile);
  if (!o.servers.empty()) s.servers = o.servers;
  if (!o.team.empty()) s.team = o.team;
  if (!o.member.empty()) s.member = o.member;
  if (!o.files.empty()) s.files = o.files;
  if (!o.key.empty()) s.key = o.key;
  if (!o.authority.empty()) {
    s.tls = true;
    s.authority = o.authority;
  }
  if (s.servers.empty()) {
    throw std::runtime_error(
        "no server is known; set --server, HOIST_SERVERS or \"servers\" in the settings file");
  }
  return s;
}

Session::Session(const Options& options) : options_(options), settings_(clientSettings(options)) {
  http_ = std::make_unique<EvHttpClient>(loop_, 8);
  if (settings_.tls) {
    http_->useTls("", std::make_shared<TlsClient>(settings_.authority), settings_.serverName);
  }
  client::CallerSettings calling;
  calling.credential = settings_.key;
  calling.agent = "hoist";
  caller_ = std::make_unique<client::Caller>(loop_, *http_, settings_.servers, seed(), calling);
  client_ = std::make_unique<FlowClient>(*caller_);
}

FlowClient::Result Session::wait(const std::function<void(FlowClient::Done)>& call) {
  FlowClient::Result result = client::Answer{};
  call([&](FlowClient::Result r) {
    result = std::move(r);
    loop_.stop();
  });
  loop_.run();
  return result;
}

FlowClient::Result Session::get(const std::string& path) {
  return wait([&](FlowClient::Done done) {
    client_->get(path, fromSeconds(options_.timeoutS), std::move(done));
  });
}

void Session::print(const Json& value, const std::string& text) const {
  if (options_.json) {
    std::cout << value.dump(-1, ' ', false, Json::error_handler_t::replace) << std::endl;
  } else {
    std::cout << text << std::flush;
  }
}

int Session::exitCodeOf(const FlowClient::Result& r) const {
  return r ? kOk : printError(r.error(), options_.json);
}

std::string Session::directoryOf(const FlowId& id) const {
  return settings_.files + "/" + settings_.team + "/" + settings_.member + "/" + id.value;
}

FlowSubmission Session::submissionFor(const PlannedFile& file) const {
  if (settings_.team.empty() || settings_.member.empty() || settings_.files.empty()) {
    throw std::runtime_error(
        "team, member or files is not set; use --team, --member and --files, the environment or "
        "the "
        "settings file");
  }
  if (!isValidLabel(settings_.member))
    throw std::runtime_error("member " + settings_.member +
                             " contains characters other than A-Z a-z 0-9 . _ -");
  FlowSubmission submission;
  submission.team = settings_.team;
  submission.member = settings_.member;
  submission.rank = options_.rank;
  submission.keepGoing = options_.keepGoing;
  std::error_code error;
  submission.name = options_.name.empty()
                        ? fs::weakly_canonical(file.directory, error).filename().string()
                        : options_.name;
  std::string clean;
  for (char c : submission.name)
    clean +=
        std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.' ? c : '-';
  while (!clean.empty() && clean[0] == '.') clean.erase(0, 1);
  submission.name = clean.empty() ? "flow" : clean.substr(0, 64);
  return submission;
}

void Session::stage(const PlannedFile& file, const FlowId& id, const Options& options) const {
  fs::path to = directoryOf(id);
  std::error_code error;
  auto copy = [&](const std::string& name) {
    if (!rules::staysInside(name))
      throw std::runtime_error(name + " is not below the rule file's directory");
    fs::create_directories((to / name).parent_path(), error);
    // The file is renamed into place, so that no machine reads an incomplete file.
    fs::path part = to / (name + ".part-" + std::to_string(getpid()));
    fs::copy_file(fs::path(file.directory) / name, part, fs::copy_options::overwrite_existing,
                  error);
    if (!error) fs::rename(part, to / name, error);
    if (error)
      throw std::runtime_error(name + " can't be copied to " + to.string() + ": " +
                               error.message());
  };
  for (const auto& name : file.plan.sources) copy(name);
  for (const auto& name : file.read) copy(name);
  // The request file contains the options that `hoist flow replan` needs after a checkpoint.
  fs::create_directories(to / ".hoist", error);
  Json request = {{"file", file.file},
                  {"targets", options.file.targets},
                  {"language", options.file.language},
                  {"image", options.file.image},
                  {"spot", options.file.spot},
                  {"set", options.set},
                  {"name", options_.name},
                  {"rank", options_.rank},
                  {"keep_going", options_.keepGoing}};
  fs::path part = to / ".hoist" / ("request-" + std::to_string(getpid()));
  std::ofstream(part) << request.dump() << "\n";
  fs::rename(part, to / ".hoist" / "request.json", error);
  if (error) throw std::runtime_error(to.string() + " can't be written: " + error.message());
}

int Session::submit(bool thenFollow) {
  PlannedFile file = planFromOptions(options_);
  addReplans(file);
  if (file.plan.instances.empty()) {
    print({{"instances", 0}}, "the plan contains no instances; no flow was submitted\n");
    return kOk;
  }
  FlowSubmission flow = submissionFor(file);
  flow.id = options_.flow.empty() ? client_->drawId() : FlowId{options_.flow};
  if (!isValidFlowId(flow.id.value))
    throw std::runtime_error("a flow id is w- followed by up to 18 digits, not " + flow.id.value);
  stage(file, flow.id, options_);
  auto bundle = rules::bundle(file.plan);
  auto r = wait([&](FlowClient::Done done) {
    client_->submit(flow, bundle, 0, fromSeconds(options_.timeoutS), std::move(done));
  });
  if (int code = exitCodeOf(r)) {
    std::fprintf(stderr, "hoist: the flow's id is %s\n", flow.id.value.c_str());
    return code;
  }
  Json answer = {
      {"flow", flow.id.value}, {"instances", bundle.instances}, {"files", directoryOf(flow.id)}};
  print(answer, flow.id.value + ": " + std::to_string(bundle.instances) + " instances; files in " +
                    directoryOf(flow.id) + "\n");
  return thenFollow ? follow(flow.id) : kOk;
}

int Session::follow() { return follow(FlowId{options_.flow}); }

int Session::follow(const FlowId& id) {
  bool terminal = isatty(STDOUT_FILENO) != 0 && !options_.json;
  std::string last;
  std::uint32_t doneAtStart = 0;
  bool first = true;
  Instant began = loop_.now();
  while (true) {
    auto r = get("/v2/flows/" + id.value);
    if (!r) {
      if (terminal) std::cout << "\n";
      return exitCodeOf(r);
    }
    const Json& v = r->body;
    std::string phase = textField(v, "phase").value_or("");
    std::uint32_t total = count(v, "total"), done = count(v, "done");
    if (first) doneAtStart = done;
    first = false;
    std::string line = std::to_string(done) + "/" + std::to_string(total) + " done, " +
                       std::to_string(count(v, "running")) + " running, " +
                       std::to_string(count(v, "queued") + count(v, "waiting")) + " waiting, " +
                       std::to_string(count(v, "failed")) + " failed";
    if (count(v, "blocked") > 0)
      line += ", " + std::to_string(count(v, "blocked")) + " blocked by failures";
    if (terminal) {
      double passed = toSeconds(loop_.now() - began);
      std::string eta;
      if (done > doneAtStart && done < total) {
        eta = ", about " + duration(passed * (total - done) / (done - doneAtStart)) + " left";
      }
      std::cout << "\r\033[K" << id.value << " " << line << eta << std::flush;
    } else if (line != last) {
      print(v, id.value + " " + line + "\n");
    }
    last = line;
    bool stuck = phase == "open" && count(v, "failed") > 0 &&
                 count(v, "running") + count(v, "queued") + count(v, "waiting") == 0;
    if (phase != "open" || stuck) {
      if (terminal) std::cout << "\n";
      if (!options_.json)
        std::cout << id.value << " "
                  << (stuck ? "waits for an amendment; run hoist flow amend " + id.value + " FILE"
                            : phase)
                  << std::endl;
      if (phase == "done") return kOk;
      if (count(v, "failed") > 0) status();
      return kFailed;
    }
    (void)wait([&](const FlowClient::Done& done2) {
      loop_.after(kFollowInterval, [done2] { done2(client::Answer{}); });
    });
  }
}

int Session::status() {
  FlowId id{options_.flow};
  auto r = get("/v2/flows/" + id.value);
  if (int code = exitCodeOf(r)) return code;
  Json v = r->body;
  std::string text = id.value + " " + textField(v, "name").value_or("") + " of " +
                     textField(v, "member").value_or("") + ": " +
                     textField(v, "phase").value_or("") + ", version " +
                     std::to_string(count(v, "version"));
  if (boolField(v, "changing").value_or(false)) text += " (changing)";
  text += "\n";
  for (const char* name :
       {"total", "done", "running", "queued", "waiting", "failed", "blocked", "skipped"}) {
    text += "  " + std::string(name) + " " + std::to_string(count(v, name)) + "\n";
  }
  if (count(v, "failed") > 0) {
    auto failed = get("/v2/flows/" + id.value + "/failures");
    if (int code = exitCodeOf(failed)) return code;
    Json names = Json::array();
    const Json* list = field(failed->body, "failed");
    std::map<std::uint64_t, std::vector<rules::PlannedInstance>> texts;
    for (std::size_t i = 0; list && list->is_array() && i < list->size(); ++i) {
      auto part = countField((*list)[i], "text").value_or(0),
           at = countField((*list)[i], "at").value_or(0);
      if (!texts.contains(part)) {
        auto t = get("/v2/flows/" + id.value + "/texts/" +
                     textField(failed->body, "version").value_or("") + "/" + std::to_string(part));
        if (int code = exitCodeOf(t)) return code;
        auto data = textField(t->body, "data");
        texts[part] = data ? rules::instancesFrom(*data) : std::vector<rules::PlannedInstance>{};
      }
      std::string rule = textField((*list)[i], "rule").value_or("?");
      std::string output = at < texts[part].size() && !texts[part][at].outputs.empty()
                               ? texts[part][at].outputs[0]
                               : "?";
      text += "  failed: " + rule + " " + output + "\n";
      names.push_back({{"rule", rule}, {"output", output}});
    }
    v["failures"] = std::move(names);
  }
  print(v, text);
  return kOk;
}

int Session::amend() {
  PlannedFile file = planFromOptions(options_);
  addReplans(file);
  FlowSubmission flow = submissionFor(file);
  flow.id = FlowId{options_.flow};
  std::uint64_t base = options_.base;
  if (base == 0) {
    auto r = get("/v2/flows/" + options_.flow);
    if (int code = exitCodeOf(r)) return code;
    base = countField(r->body, "version").value_or(0);
  }
  stage(file, flow.id, options_);
  auto bundle = rules::bundle(file.plan);
  auto r = wait([&](FlowClient::Done done) {
    client_->submit(flow, bundle, base, fromSeconds(options_.timeoutS), std::move(done));
  });
  if (int code = exitCodeOf(r)) return code;
  print(r->body, flow.id.value + ": version " + std::to_string(count(r->body, "version")) + ", " +
                     std::to_string(bundle.instances) + " instances\n");
  return kOk;
}

int Session::cancel() {
  auto r = wait([&](FlowClient::Done done) {
    client_->cancel(FlowId{options_.flow}, fromSeconds(options_.timeoutS), std::move(done));
  });
  if (int code = exitCodeOf(r)) return code;
  print(r->body, options_.flow + ": " + textField(r->body, "phase").value_or("") + "\n");
  return kOk;
}

namespace {
// Formats the used resources as a table with one row for each entry of `list` and a row of totals.
std::string formatUsage(const Json& v, const char* list, const char* name) {
  char line[256];
  std::snprintf(line, sizeof line, "%-24s %7s %7s %8s %10s %10s %10s %10s %10s\n", name, "tasks",
                "failed", "attempts", "task s", "lost s", "CPU s", "GPU s", "GB s");
  std::string text = line;
  auto row = [&](const std::string& title, const Json& e) {
    auto n = [&](const char* f) { return numberField(e, f).value_or(0); };
    std::snprintf(line, sizeof line, "%-24s %7.0f %7.0f %8.0f %10.1f %10.1f %10.1f %10.1f %10.1f\n",
                  title.substr(0, 24).c_str(), n("tasks"), n("failed"), n("attempts"), n("task_s"),
                  n("lost_s"), n("cpu_s"), n("gpu_s"), n("gb_s"));
    text += line;
  };
  if (const Json* entries = field(v, list); entries && entries->is_array()) {
    for (const auto& e : *entries) row(textField(e, name).value_or("?"), e);
  }
  row("all", v);
  return text;
}
}  // namespace

int Session::report() {
  auto r = get("/v2/flows/" + options_.flow + "/report");
  if (int code = exitCodeOf(r)) return code;
  print(r->body, formatUsage(r->body, "rules", "rule"));
  return kOk;
}

int Session::account() {
  if (settings_.team.empty())
    throw std::runtime_error("no team is set; use --team, HOIST_TEAM or the settings file");
  auto r = get("/v2/flows/account?owner=" + settings_.team);
  if (int code = exitCodeOf(r)) return code;
  print(r->body, formatUsage(r->body, "members", "member"));
  return kOk;
}

int Session::why(const std::string& job) {
  auto r = get("/v2/runs/" + job + "?why=1");
  if (int code = exitCodeOf(r)) return code;
  const Json& v = r->body;
  std::string text = job + " " + textField(v, "phase").value_or("?") + ", " +
                     std::to_string(count(v, "running")) + " on machines, " +
                     std::to_string(count(v, "done")) + " done\n";
  const Json* why = field(v, "why");
  auto leader = why ? textField(*why, "leader") : std::nullopt;
  if (!leader) {
    text += "this controller knows no leader\n";
  } else {
    const Json* since = field(*why, "leads_s");
    text += *leader + " leads";
    if (since && since->is_number()) {
      text += ", for " + std::to_string(static_cast<long>(since->get<double>())) + " s";
    }
    text += "\n";
  }
  if (const Json* waits = why ? field(*why, "waits") : nullptr; waits && waits->is_array()) {
    for (const auto& w : *waits) {
      text +=
          std::to_string(count(w, "tasks")) + " wait: " + textField(w, "why").value_or("?") + "\n";
    }
  }
  print(v, text);
  return kOk;
}

int Session::list() {
  if (settings_.team.empty() || settings_.member.empty())
    throw std::runtime_error(
        "no team or member is set; use --team and --member, the environment or the settings file");
  auto r = get("/v2/flows?owner=" + settings_.team + "&member=" + settings_.member);
  if (int code = exitCodeOf(r)) return code;
  std::string text;
  if (const Json* flows = field(r->body, "flows"); flows && flows->is_array()) {
    for (const auto& f : *flows) {
      text += textField(f, "ref").value_or("") + " " + textField(f, "name").value_or("") + " " +
              textField(f, "phase").value_or("") + " version " +
              std::to_string(count(f, "version")) + "\n";
    }
  }
  print(r->body, text);
  return kOk;
}

// Runs in the flow's directory after a checkpoint. Plans the rule file again with the files that
// now exist, and amends the flow if the plan has changed.
int Session::replan() {
  std::ifstream in(".hoist/request.json");
  Json request = Json::parse(in, nullptr, false);
  const char* flow = std::getenv("HOIST_FLOW");
  if (!request.is_object() || !flow)
    throw std::runtime_error("replan must run as a task of a flow, in the flow's directory");
  options_.file.path = textField(request, "file").value_or("");
  options_.file.directory = ".";
  options_.file.targets = request.value("targets", std::vector<std::string>{});
  options_.file.language = textField(request, "language").value_or("");
  options_.file.image = textField(request, "image").value_or("default");
  options_.file.spot = boolField(request, "spot").value_or(true);
  options_.set = request.value("set", std::vector<std::string>{});
  options_.name = textField(request, "name").value_or("");
  options_.rank = textField(request, "rank").value_or("best_effort");
  options_.keepGoing = boolField(request, "keep_going").value_or(false);
  options_.flow = flow;
  PlannedFile file = planFromOptions(options_);
  addReplans(file);
  auto bundle = rules::bundle(file.plan);
  auto r = get("/v2/flows/" + options_.flow);
  if (int code = exitCodeOf(r)) return code;
  if (textField(r->body, "graph") == bundle.version.value) return kOk;
  FlowSubmission amended = submissionFor(file);
  amended.id = FlowId{options_.flow};
  auto result = wait([&](FlowClient::Done done) {
    client_->submit(amended, bundle, countField(r->body, "version").value_or(0),
                    fromSeconds(options_.timeoutS), std::move(done));
  });
  // After a conflict the task fails, and its retry starts from the flow's new version.
  return !result && result.error().kind == client::ErrorKind::conflict ? kConflict
                                                                       : exitCodeOf(result);
}

}  // namespace kestrelhoist::hoist
