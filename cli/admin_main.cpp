// hoist-admin is the command-line program for operators and for members whose keys have the right
// `admin`. It manages keys and the policy, and shows why a job waits and what a team has paid.
#include <cstdio>

#include "base/log.hpp"
#include "cli/commands.hpp"
#include "cli/job_commands.hpp"
#include "cli/output.hpp"
#include "jobs/spec.hpp"

using namespace kestrelhoist;

static int run(int argc, char** argv) {
  CLI::App app{
      "hoist-admin manages the member keys and the policy of kestrelhoist and shows why jobs wait"};
  app.require_subcommand(1);
  app.set_version_flag("--version", "hoist-admin " KESTRELHOIST_VERSION);
  app.footer(hoist::kExitCodes);
  hoist::Options common;
  hoist::JobOptions o;
  app.add_option("--config", common.configFile, "JSON settings file with servers, key and tls");
  app.add_option("--server", common.servers,
                 "addresses of controllers (ip:port), separated by commas")
      ->delimiter(',');
  app.add_option("--key", common.key, "a key with the right admin; HOIST_KEY is safer");
  app.add_option("--authority", common.authority,
                 "use TLS; PEM file with the trusted certificate authorities");
  app.add_flag("--json", common.json, "print responses as JSON, one value per line");
  app.add_option("--timeout", common.timeoutS, "timeout of each call in seconds, including retries")
      ->check(CLI::Range(1.0, 86400.0));
  auto* key = app.add_subcommand("key", "manage keys");
  key->require_subcommand(1);
  auto* init =
      key->add_subcommand("init", "create the operator's root key without contacting a controller");
  init->add_option("--file", o.hashFile,
                   "file for the hash of the key; the operator's settings name this file")
      ->required();
  init->footer("Example: hoist-admin key init --file root.key");
  auto* make =
      key->add_subcommand("make", "create a key and print it; the key is never shown again");
  make->add_option("--team", o.team, "team whose jobs the key gives access to")->required();
  make->add_option("--member", o.member, "member of the team")->required();
  make->add_option("--rights", o.rights,
                   "rights of the key: a list of submit, read, cancel and admin");
  make->add_option("--note", o.note, "comment that key list shows");
  auto* list = key->add_subcommand("list", "list keys without their secrets");
  list->add_option("--team", o.team, "list only keys of this team");
  list->add_option("--member", o.member, "list only keys of this member");
  auto* rotate = key->add_subcommand("rotate", "replace a key by a new one with the same rights");
  rotate->add_option("key", o.key, "id of the key")->required();
  rotate->add_option("--grace", o.graceS, "seconds for which the old key remains valid");
  auto* revoke = key->add_subcommand("revoke", "revoke a key");
  revoke->add_option("key", o.key, "id of the key")->required();
  revoke->add_option("--after", o.graceS, "seconds for which the key remains valid");
  std::string job;
  auto* why = app.add_subcommand(
      "why", "show the leader, the duration of its leadership and why a job's tasks wait");
  why->add_option("job", job, "id of the job")->required()->check([](const std::string& id) {
    return validJobId(id) ? std::string() : "not a job id: " + id;
  });
  why->footer("Example: hoist-admin --server 10.0.0.1:8080 why j-000412");
  auto* policy =
      app.add_subcommand("policy", "manage the policy document: calendar, continuity and pools");
  policy->require_subcommand(1);
  policy->footer("--server must be a controller's address for its peers (mesh_addr).");
  std::string file;
  std::optional<std::uint64_t> base;
  auto* check =
      policy->add_subcommand("check", "show what a policy file would change, without setting it");
  check->add_option("file", file, "JSON")->required()->check(CLI::ExistingFile);
  auto* set = policy->add_subcommand("set", "set the policy from a file");
  set->add_option("file", file, "JSON")->required()->check(CLI::ExistingFile);
  auto* clear = policy->add_subcommand("clear", "remove the policy");
  for (auto* c : {set, clear})
    c->add_option("--if", base, "change the policy only if this is its current version");
  auto* show = policy->add_subcommand("show", "show the policy and its current effects");
  auto* history = policy->add_subcommand("history", "list the last versions of the policy");
  auto* pool = app.add_subcommand(
      "pool", "show warm pools, which keep images on machines before they are needed");
  pool->require_subcommand(1);
  auto* poolShow = pool->add_subcommand(
      "show", "show for each image how many machines shall have it and how many do");
  auto* pay = pool->add_subcommand("pay", "show what a team has paid, by hour and by day");
  std::string team;
  pay->add_option("team", team)->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : hoist::kUsage;
  }
  setupLogging("hoist-admin");
  if (!std::getenv("LOG_LEVEL")) spdlog::set_level(spdlog::level::err);
  try {
    o.json = common.json;
    o.timeoutS = common.timeoutS;
    if (init->parsed()) return hoist::keyInit(o);
    if (why->parsed()) return hoist::Session(common).why(job);
    if (check->parsed() || set->parsed() || clear->parsed()) {
      return hoist::Session(common).policySet(file, base, check->parsed());
    }
    if (show->parsed() || history->parsed()) {
      return hoist::Session(common).policyShow(history->parsed());
    }
    if (poolShow->parsed()) return hoist::Session(common).showPools();
    if (pay->parsed()) return hoist::Session(common).showCharges(team);
    o.settings = hoist::clientSettings(common);
    if (make->parsed()) return hoist::keyMake(o);
    if (list->parsed()) return hoist::keyList(o);
    if (rotate->parsed()) return hoist::keyRotate(o);
    return hoist::keyRevoke(o);
  } catch (const std::ios_base::failure&) {
    throw;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "hoist-admin: %s\n", e.what());
    return hoist::kUsage;
  }
}

int main(int argc, char** argv) {
  return hoist::runWithOutput([&] { return run(argc, argv); });
}
