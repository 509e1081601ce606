// hoist: the users' command. Exit codes are in kExits; every answer is also to be had as JSON.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <random>

#include "base/log.hpp"
#include "cli/commands.hpp"
#include "cli/job_main.hpp"

using namespace kestrelhoist;

int main(int argc, char** argv) {
  CLI::App app{
      "hoist hands jobs and rule files (Snakemake, Make) to kestrelhoist and follows them"};
  app.require_subcommand(1);
  app.set_version_flag("--version", "hoist " KESTRELHOIST_VERSION);
  app.footer(hoist::kExits);
  hoist::Options o;
  app.add_option("--config", o.configFile, "JSON file with servers, team, member and files");
  app.add_option("--server", o.servers,
                 "address of a controller (ip:port); several are tried in turn")
      ->delimiter(',');
  app.add_option("--team", o.team, "team whose quota is used");
  app.add_option("--member", o.member, "who asks");
  app.add_option("--files", o.files, "root of the files that all machines share");
  app.add_flag("--json", o.json, "answers as JSON, one value a line");
  app.add_option("--timeout", o.timeoutS, "seconds to try for before giving up")
      ->check(CLI::Range(1.0, 86400.0));

  app.add_option("--key", o.key, "the member's key (better: HOIST_KEY, or a file in the settings)");
  app.add_option("--authority", o.authority, "speak TLS; PEM file of who is believed");
  hoist::JobCommands jobs(app);
  CLI::App* flow = app.add_subcommand("flow", "rule files");
  flow->require_subcommand(1);
  auto ruleFile = [&](CLI::App* c) {
    c->add_option("file", o.file.path, "Snakefile or Makefile")->required();
    c->add_option("targets", o.file.targets, "files or rules to make (default: the file's first)");
    c->add_option("--set", o.set,
                  "NAME=VALUE: configuration of a Snakefile, a variable of a Makefile");
    c->add_option("--language", o.file.language, "what the file is, if its name does not say")
        ->check(CLI::IsMember({"snakemake", "make"}));
    c->add_option("--directory", o.file.directory,
                  "where the sources are (default: the file's directory)");
    c->add_option("--image", o.file.image, "image of rules that name none");
    c->add_flag("!--no-spot", o.file.spot, "not on machines that may be taken back");
  };
  auto sending = [&](CLI::App* c) {
    c->add_option("--name", o.name, "name of the flow (default: the directory's)");
    c->add_option("--rank", o.rank, "best_effort, standard or high")
        ->check(CLI::IsMember({"best_effort", "standard", "high"}));
    c->add_flag(
        "--keep-going", o.keepGoing,
        "when an instance fails for good, skip what needs it instead of waiting for an amendment");
  };
  auto newId = [&](CLI::App* c) {
    c->add_option("--id", o.flow, "the id to use: a repeated call with it begins nothing twice");
  };
  auto flowId = [&](CLI::App* c) {
    c->add_option("flow", o.flow, "the flow's id, as submit told it")->required();
  };

  auto* plan = flow->add_subcommand("plan", "show what would run, and why");
  ruleFile(plan);
  plan->add_flag("--dot", o.dot, "as a graph for Graphviz");
  plan->add_flag("--commands", o.commands, "with the commands");
  plan->footer("Example: hoist flow plan Snakefile all --set sheets=12");
  auto* submit = flow->add_subcommand("submit", "hand a rule file over; prints the flow's id");
  ruleFile(submit);
  sending(submit);
  newId(submit);
  submit->footer("Example: hoist flow submit Snakefile --name herbarium");
  auto* run = flow->add_subcommand("run", "hand it over and follow it to its end");
  ruleFile(run);
  sending(run);
  newId(run);
  run->footer("Example: hoist flow run Makefile audit --keep-going");
  auto* status = flow->add_subcommand("status", "how far a flow is, and what has failed");
  flowId(status);
  auto* follow = flow->add_subcommand("follow", "wait for its end");
  flowId(follow);
  auto* amend = flow->add_subcommand("amend", "change a flow's file: what is the same goes on");
  flowId(amend);
  ruleFile(amend);
  amend->add_flag("--keep-going", o.keepGoing, "from now on");
  amend->add_option("--base", o.base,
                    "the version that is to be changed (default: the present one)");
  amend->footer("Example: hoist flow amend w-1234 Snakefile");
  auto* cancel = flow->add_subcommand("cancel", "stop a flow");
  flowId(cancel);
  auto* report = flow->add_subcommand("report", "what a flow has used, by rule");
  flowId(report);
  auto* account = flow->add_subcommand("account", "what the team's flows have used, by member");
  auto* list = flow->add_subcommand("list", "the member's open flows");
  auto* replan = flow->add_subcommand("replan", "after a checkpoint, on the machine that ran it");
  replan->group("");
  auto* completion = app.add_subcommand("completion", "prints the completion for bash");
  completion->footer(
      "Example: hoist completion > ~/.local/share/bash-completion/completions/hoist");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    int code = app.exit(e);
    return code == 0 ? 0 : hoist::kUsage;
  }
  setupLogging("hoist");
  if (!std::getenv("LOG_LEVEL")) spdlog::set_level(spdlog::level::err);
  try {
    if (completion->parsed()) return hoist::printCompletion(app);
    if (plan->parsed()) return hoist::plan(o);
    if (auto code = jobs.run(o)) return *code;
    hoist::Session session(o);
    if (submit->parsed()) return session.submit(false);
    if (run->parsed()) return session.submit(true);
    if (status->parsed()) return session.status();
    if (follow->parsed()) return session.follow();
    if (amend->parsed()) return session.amend();
    if (cancel->parsed()) return session.cancel();
    if (report->parsed()) return session.report();
    if (account->parsed()) return session.account();
    if (list->parsed()) return session.list();
    if (replan->parsed()) return session.replan();
  } catch (const rules::RuleError& e) {
    std::fprintf(stderr, "hoist: %s\n", e.what());
    if (o.json)
      std::printf("%s\n", Json({{"error", e.what()}, {"construct", e.construct()}}).dump().c_str());
    return hoist::kRuleFile;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "hoist: %s\n", e.what());
    return hoist::kUsage;
  }
  return hoist::kUsage;
}
