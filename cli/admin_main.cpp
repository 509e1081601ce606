// hoist-admin: keys of members, why a job waits, the policy and who pays; for operators and those
// whose key permits it.
#include <cstdio>

#include "base/log.hpp"
#include "cli/commands.hpp"
#include "cli/job_commands.hpp"
#include "jobs/spec.hpp"

using namespace kestrelhoist;

int main(int argc, char** argv) {
  CLI::App app{"hoist-admin manages the keys of kestrelhoist's members and tells why a job waits"};
  app.require_subcommand(1);
  app.set_version_flag("--version", "hoist-admin " KESTRELHOIST_VERSION);
  app.footer(hoist::kExits);
  hoist::Options common;
  hoist::JobOptions o;
  app.add_option("--config", common.configFile, "JSON file with servers, key and tls");
  app.add_option("--server", common.servers, "address of a controller (ip:port)")->delimiter(',');
  app.add_option("--key", common.key, "a key with the right admin (better: HOIST_KEY)");
  app.add_option("--authority", common.authority, "speak TLS; PEM file of who is believed");
  app.add_flag("--json", common.json, "answers as JSON, one value a line");
  app.add_option("--timeout", common.timeoutS, "seconds to try for before giving up")
      ->check(CLI::Range(1.0, 86400.0));
  auto* key = app.add_subcommand("key", "keys");
  key->require_subcommand(1);
  auto* init = key->add_subcommand("init", "make the operator's own key; asks no controller");
  init->add_option("--file", o.hashFile, "for its hash, which the operator's settings name")
      ->required();
  init->footer("Example: hoist-admin key init --file root.key");
  auto* make = key->add_subcommand("make", "make a key and print it, once");
  make->add_option("--team", o.team, "whose jobs are meant")->required();
  make->add_option("--member", o.member, "of the team")->required();
  make->add_option("--rights", o.rights, "some of submit,read,cancel,admin");
  make->add_option("--note", o.note, "for people");
  auto* list = key->add_subcommand("list", "the keys, without their secrets");
  list->add_option("--team", o.team, "only of this team");
  list->add_option("--member", o.member, "only of this member");
  auto* rotate = key->add_subcommand("rotate", "a new key like this one, which then ends");
  rotate->add_option("key", o.key, "its id")->required();
  rotate->add_option("--grace", o.graceS, "seconds for which the old one still works");
  auto* revoke = key->add_subcommand("revoke", "end a key");
  revoke->add_option("key", o.key, "its id")->required();
  revoke->add_option("--after", o.graceS, "seconds for which it still works");
  std::string job;
  auto* why = app.add_subcommand("why", "who leads, since when, and why a job's tasks wait");
  why->add_option("job", job, "its id")->required()->check([](const std::string& id) {
    return validJobId(id) ? std::string() : "not a job's id: " + id;
  });
  why->footer("Example: hoist-admin --server 10.0.0.1:8080 why j-000412");
  auto* policy =
      app.add_subcommand("policy", "calendar, continuity and pools, for all controllers");
  policy->require_subcommand(1);
  policy->footer("--server: the address at which controllers speak to each other (mesh_addr)");
  std::string file;
  std::optional<std::uint64_t> base;
  auto* check = policy->add_subcommand("check", "what a file would change now; changes nothing");
  check->add_option("file", file, "JSON")->required()->check(CLI::ExistingFile);
  auto* set = policy->add_subcommand("set", "puts a file in force");
  set->add_option("file", file, "JSON")->required()->check(CLI::ExistingFile);
  auto* clear = policy->add_subcommand("clear", "puts none in force");
  for (auto* c : {set, clear}) c->add_option("--if", base, "only if this version is in force");
  auto* show = policy->add_subcommand("show", "the policy, and what of it is in force now");
  auto* history = policy->add_subcommand("history", "the last versions");
  auto* pool = app.add_subcommand("pool", "machines that hold images ahead of a burst");
  pool->require_subcommand(1);
  auto* poolShow =
      pool->add_subcommand("show", "each image: how many machines shall hold it, and do");
  auto* pay = pool->add_subcommand("pay", "what a team has paid, by hour and day");
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
    if (poolShow->parsed()) return hoist::Session(common).pools();
    if (pay->parsed()) return hoist::Session(common).paid(team);
    o.settings = hoist::clientSettings(common);
    if (make->parsed()) return hoist::keyMake(o);
    if (list->parsed()) return hoist::keyList(o);
    if (rotate->parsed()) return hoist::keyRotate(o);
    return hoist::keyRevoke(o);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "hoist-admin: %s\n", e.what());
    return hoist::kUsage;
  }
}
