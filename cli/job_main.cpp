#include "cli/job_main.hpp"

namespace kestrelhoist::hoist {

JobCommands::JobCommands(CLI::App& app) {
  options_.job.jobClass = "";
  CLI::App* job = app.add_subcommand("job", "submit and manage jobs");
  job->require_subcommand(1);
  auto addIdsArgument = [&](CLI::App* c, const char* what) {
    return c->add_option("job", options_.ids, what);
  };
  submit_ = job->add_subcommand(
      "submit",
      "submit a job; a repeated command with the same --batch or --id submits no second job");
  submit_->add_option("--batch", options_.batch,
                      "idempotency key; the same key always refers to the same job");
  submit_->add_option("--id", options_.id, "job id (j- and digits)");
  submit_->add_option("--class", options_.job.jobClass, "job class");
  submit_->add_option("--shape", options_.shape, "array, service or gang")
      ->check(CLI::IsMember({"array", "service", "gang"}));
  submit_->add_option("--priority", options_.priority, "best_effort, standard, high or production")
      ->check(CLI::IsMember({"best_effort", "standard", "high", "production"}));
  submit_->add_option("--tasks", options_.job.tasks, "number of tasks")
      ->check(CLI::Range(1, 100000));
  submit_->add_option("--cpus", options_.job.cpus, "CPUs of each task");
  submit_->add_option("--gpus", options_.job.gpus, "GPUs of each task");
  submit_->add_option("--ram-gb", options_.job.ramGb, "memory of each task in GB");
  submit_->add_option("--image", options_.job.image, "image that the tasks need");
  submit_->add_option("--image-gb", options_.job.imageGb, "size of the image in GB");
  submit_->add_option("--zone", options_.job.zone, "the only allowed zone");
  submit_->add_option("--types", options_.job.types, "allowed machine types")->delimiter(',');
  submit_->add_option("--estimate", options_.job.estimateS,
                      "estimated run time of a task in seconds");
  submit_->add_flag("--spot", options_.job.spot, "allow spot machines");
  submit_->add_flag("--spread", options_.job.spread, "run at most half of the tasks in one zone");
  submit_->add_flag("--one-zone", options_.job.oneZone, "run all tasks in the same zone");
  submit_->add_option("--directory", options_.directory,
                      "working directory of the tasks, below the member's files");
  submit_->add_flag("--wait", options_.wait, "wait until the job has ended");
  submit_->add_option("command", options_.command,
                      "command of each task (HOIST_TASK is the number of the task)");
  submit_->footer("Example: hoist job submit --batch drawer-12 --tasks 40 -- ./scan.sh");
  status_ = job->add_subcommand("status", "show the states of jobs");
  addIdsArgument(status_, "ids of jobs")->required();
  list_ = job->add_subcommand("list", "list the member's jobs in the order of their last changes");
  list_
      ->add_option("--phase", options_.phase,
                   "list only jobs in this phase: pending, running, done or withdrawn")
      ->check(CLI::IsMember({"pending", "running", "done", "withdrawn"}));
  list_->add_option("--class", options_.job.jobClass, "list only jobs of this class");
  list_->add_option("--since", options_.since, "cursor that list or watch printed");
  list_->add_option("--limit", options_.limit, "number of jobs per page")
      ->check(CLI::Range(1, 200));
  list_->add_flag("--all", options_.all, "list all pages");
  watch_ = job->add_subcommand("watch", "print each change until the given jobs have ended");
  addIdsArgument(watch_, "ids of jobs (default: all jobs of the member)");
  watch_->add_option("--since", options_.since, "cursor; print all changes after it");
  cancel_ = job->add_subcommand("cancel", "cancel jobs");
  addIdsArgument(cancel_, "ids of jobs")->required();
  logs_ = job->add_subcommand("logs", "print the output of a task");
  addIdsArgument(logs_, "id of the job")->required()->expected(1);
  logs_->add_option("--task", options_.task, "number of the task");
  logs_->add_flag("--follow", options_.follow, "print new output until the job has ended");
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
