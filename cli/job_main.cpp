#include "cli/job_main.hpp"

namespace kestrelhoist::hoist {

JobCommands::JobCommands(CLI::App& app) {
  options_.job.jobClass = "";
  CLI::App* job = app.add_subcommand("job", "jobs, one by one");
  job->require_subcommand(1);
  auto ids = [&](CLI::App* c, const char* what) {
    return c->add_option("job", options_.ids, what);
  };
  submit_ =
      job->add_subcommand("submit", "submit a job; repeated with the same --batch or --id, once");
  submit_->add_option("--batch", options_.batch,
                      "name of the batch: the same name is the same job");
  submit_->add_option("--id", options_.id, "the id to use (j- and digits)");
  submit_->add_option("--class", options_.job.jobClass, "class of jobs that it belongs to");
  submit_->add_option("--shape", options_.shape, "array, service or gang")
      ->check(CLI::IsMember({"array", "service", "gang"}));
  submit_->add_option("--priority", options_.priority, "best_effort, standard, high or production")
      ->check(CLI::IsMember({"best_effort", "standard", "high", "production"}));
  submit_->add_option("--tasks", options_.job.tasks, "how many")->check(CLI::Range(1, 100000));
  submit_->add_option("--cpus", options_.job.cpus, "of each task");
  submit_->add_option("--gpus", options_.job.gpus, "of each task");
  submit_->add_option("--ram-gb", options_.job.ramGb, "of each task");
  submit_->add_option("--image", options_.job.image, "that a machine must have");
  submit_->add_option("--image-gb", options_.job.imageGb, "its size");
  submit_->add_option("--zone", options_.job.zone, "the only allowed zone");
  submit_->add_option("--types", options_.job.types, "allowed machine types")->delimiter(',');
  submit_->add_option("--estimate", options_.job.estimateS, "seconds that a task runs, about");
  submit_->add_flag("--spot", options_.job.spot, "may use machines that are taken back");
  submit_->add_flag("--spread", options_.job.spread, "at most half of the tasks in one zone");
  submit_->add_flag("--one-zone", options_.job.oneZone, "all tasks in the same zone");
  submit_->add_option("--directory", options_.directory,
                      "where tasks run, below the member's files");
  submit_->add_flag("--wait", options_.wait, "until it has ended");
  submit_->add_option("command", options_.command,
                      "what each task runs (HOIST_TASK is its number)");
  submit_->footer("Example: hoist job submit --batch drawer-12 --tasks 40 -- ./scan.sh");
  status_ = job->add_subcommand("status", "what a job's state is");
  ids(status_, "ids")->required();
  list_ = job->add_subcommand("list", "the member's jobs, in the order of their last change");
  list_->add_option("--phase", options_.phase, "pending, running, done or withdrawn")
      ->check(CLI::IsMember({"pending", "running", "done", "withdrawn"}));
  list_->add_option("--class", options_.job.jobClass, "only of this class");
  list_->add_option("--since", options_.since, "a cursor, as a list or watch told it");
  list_->add_option("--limit", options_.limit, "jobs of one page")->check(CLI::Range(1, 200));
  list_->add_flag("--all", options_.all, "every page");
  watch_ = job->add_subcommand("watch", "tells each change until the jobs named have ended");
  ids(watch_, "ids; none: all of the member's");
  watch_->add_option("--since", options_.since, "a cursor: all that changed after it");
  cancel_ = job->add_subcommand("cancel", "cancel jobs");
  ids(cancel_, "ids")->required();
  logs_ = job->add_subcommand("logs", "what a task has printed");
  ids(logs_, "the job's id")->required()->expected(1);
  logs_->add_option("--task", options_.task, "number of the task");
  logs_->add_flag("--follow", options_.follow, "until the job has ended");
}

std::optional<int> JobCommands::run(const Options& common) {
  bool any = false;
  for (const auto* c : {submit_, status_, list_, watch_, cancel_, logs_}) any = any || c->parsed();
  if (!any) return std::nullopt;
  options_.settings = clientSettings(common);
  options_.json = common.json;
  options_.timeoutS = common.timeoutS;
  if (submit_->parsed()) {
    if (options_.job.jobClass.empty()) options_.job.jobClass = "job";
    return jobSubmit(options_);
  }
  if (status_->parsed()) return jobStatus(options_);
  if (list_->parsed()) return jobList(options_);
  if (watch_->parsed()) return jobWatch(options_);
  if (cancel_->parsed()) return jobCancel(options_);
  return jobLogs(options_);
}

}  // namespace kestrelhoist::hoist
