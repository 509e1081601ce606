// hoist is the command-line program for users. kExitCodes lists its exit codes, and the option
// --json prints every response as JSON.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <random>

#include "base/log.hpp"
#include "cli/commands.hpp"
#include "cli/job_main.hpp"
#include "cli/output.hpp"

using namespace kestrelhoist;

static int run(int argc, char** argv) {
  CLI::App app{
      "hoist submits jobs and rule files (Snakemake, Make) to kestrelhoist and follows them"};
  app.require_subcommand(1);
  app.set_version_flag("--version", "hoist " KESTRELHOIST_VERSION);
  app.footer(hoist::kExitCodes);
  hoist::Options o;
  app.add_option("--config", o.configFile, "JSON file with servers, team, member and files");
  app.add_option("--server", o.servers, "addresses of controllers (ip:port), separated by commas")
      ->delimiter(',');
  app.add_option("--team", o.team, "team whose quota the jobs use");
  app.add_option("--member", o.member, "member of the team who submits the request");
  app.add_option("--files", o.files, "root directory of the files that all machines share");
  app.add_flag("--json", o.json, "print responses as JSON, one value per line");
  app.add_option("--timeout", o.timeoutS, "timeout of each call in seconds, including retries")
      ->check(CLI::Range(1.0, 86400.0));

  app.add_option("--key", o.key,
                 "the member's key; HOIST_KEY or a key file in the settings is safer");
  app.add_option("--authority", o.authority,
                 "use TLS; PEM file with the trusted certificate authorities");
  hoist::JobCommands jobs(app);
  CLI::App* flow = app.add_subcommand("flow", "submit and manage rule files");
  flow->require_subcommand(1);
  auto addRuleFileOptions = [&](CLI::App* c) {
    c->add_option("file", o.file.path, "Snakefile or Makefile")->required();
    c->add_option("targets", o.file.targets,
                  "files or rules to build (default: the first rule of the file)");
    c->add_option("--set", o.set,
                  "NAME=VALUE: a configuration value of a Snakefile or a variable of a Makefile");
    c->add_option("--language", o.file.language,
                  "language of the file (default: determined by the file name)")
        ->check(CLI::IsMember({"snakemake", "make"}));
    c->add_option("--directory", o.file.directory,
                  "directory of the sources (default: the file's directory)");
    c->add_option("--image", o.file.image, "image of the rules that name no image");
    c->add_flag("!--no-spot", o.file.spot, "do not use spot machines");
  };
  auto addSubmitOptions = [&](CLI::App* c) {
    c->add_option("--name", o.name, "name of the flow (default: the directory's name)");
    c->add_option("--rank", o.rank, "best_effort, standard or high")
        ->check(CLI::IsMember({"best_effort", "standard", "high"}));
    c->add_flag(
        "--keep-going", o.keepGoing,
        "if an instance fails permanently, skip the instances that depend on it instead of waiting "
        "for an amendment");
  };
  auto addNewIdOption = [&](CLI::App* c) {
    c->add_option("--id", o.flow,
                  "flow id; a repeated command with the same id starts no second flow");
  };
  auto addFlowIdArgument = [&](CLI::App* c) {
    c->add_option("flow", o.flow, "the flow id that submit printed")->required();
  };

  auto* plan = flow->add_subcommand("plan", "show the instances that would run and the reasons");
  addRuleFileOptions(plan);
  plan->add_flag("--dot", o.dot, "print a graph for Graphviz");
  plan->add_flag("--commands", o.commands, "also print the commands of the instances");
  plan->footer("Example: hoist flow plan Snakefile all --set sheets=12");
  auto* submit = flow->add_subcommand("submit", "submit a rule file and print the flow id");
  addRuleFileOptions(submit);
  addSubmitOptions(submit);
  addNewIdOption(submit);
  submit->footer("Example: hoist flow submit Snakefile --name herbarium");
  auto* run = flow->add_subcommand("run", "submit a rule file and follow the flow to its end");
  addRuleFileOptions(run);
  addSubmitOptions(run);
  addNewIdOption(run);
  run->footer("Example: hoist flow run Makefile audit --keep-going");
  auto* status =
      flow->add_subcommand("status", "show the progress of a flow and its failed instances");
  addFlowIdArgument(status);
  auto* follow = flow->add_subcommand("follow", "follow a flow to its end");
  addFlowIdArgument(follow);
  auto* amend =
      flow->add_subcommand("amend", "change the rule file of a flow; unchanged instances continue");
  addFlowIdArgument(amend);
  addRuleFileOptions(amend);
  amend->add_flag("--keep-going", o.keepGoing,
                  "from now on, skip the instances that depend on a failed one");
  amend->add_option("--base", o.base,
                    "the flow version that the amendment replaces (default: the current one)");
  amend->footer("Example: hoist flow amend w-1234 Snakefile");
  auto* cancel = flow->add_subcommand("cancel", "cancel a flow");
  addFlowIdArgument(cancel);
  auto* report = flow->add_subcommand("report", "show the resources that a flow has used, by rule");
  addFlowIdArgument(report);
  auto* account = flow->add_subcommand(
      "account", "show the resources that the team's flows have used, by member");
  auto* list = flow->add_subcommand("list", "list the member's open flows");
  auto* replan = flow->add_subcommand(
      "replan", "plan the rule file again after a checkpoint, as a task of the flow");
  replan->group("");
  auto* completion = app.add_subcommand("completion", "print the completion script for bash");
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
  } catch (const std::ios_base::failure&) {
    throw;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "hoist: %s\n", e.what());
    return hoist::kUsage;
  }
  return hoist::kUsage;
}

int main(int argc, char** argv) {
  return hoist::runWithOutput([&] { return run(argc, argv); });
}
