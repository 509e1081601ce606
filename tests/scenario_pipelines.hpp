/// Declares the steps that submit pipelines of dependent jobs, either of a given shape or drawn and
/// spread over time, and the expectations on them.
#pragma once

#include "scenario_machine_faults.hpp"

namespace kestrelhoist::sim {

/// Plays pipelines of dependent jobs.
class ScenarioPipelines : public ScenarioMachineFaults {
 protected:
  bool pipelineOption(JobPlan& job, const std::string& key, const std::string& value) override;

  /// Plays the line and returns true if its verb concerns pipelines.
  bool pipelineStep(const Line& line);

  /// Checks the expectation and returns true if it concerns pipelines.
  bool expectPipeline(const Line& line);

 private:
  // Adds a job id, or each id of a range FIRST..LAST, to the dependencies of the job.
  static void addAwaited(JobPlan& job, const std::string& word) {
    auto dots = word.find("..");
    if (dots == std::string::npos) return job.awaits.push_back(word);
    int last = std::stoi(word.substr(dots + 4));
    for (int n = std::stoi(word.substr(2, dots)); n <= last; ++n) job.awaits.push_back(jobId(n));
  }
  std::int64_t draw(std::int64_t n) {
    return static_cast<std::int64_t>(world_->random() % static_cast<std::uint64_t>(n));
  }
  static std::string jobId(int number) {
    char id[16];
    std::snprintf(id, sizeof id, "j-%06d", number);
    return id;
  }

  // Lists for each stage the earlier stages that it depends on.
  using Stages = std::vector<std::vector<int>>;
  Stages stagesOf(const std::string& shape);

  // pipeline ID shape chain|fan|diamond|drawn [late yes] [cancel STAGE|drawn|none] KEY VALUE ...:
  // submits a pipeline whose jobs get these options. Task counts and run times that are not given
  // are drawn.
  void submitPipeline(const std::string& id, std::map<std::string, std::string> chosen);

  // Returns a drawn time in seconds after the job's acceptance. The four ranges are meant to fall
  // within milliseconds, before the job begins, while it runs, or about when it ends.
  double drawnMoment() {
    constexpr std::int64_t kSpans[] = {10, 1000, 20000, 60000};
    return static_cast<double>(draw(kSpans[draw(std::size(kSpans))])) / 1000;
  }

  void submitDrawn(int first);

  static constexpr int firstDrawn_ = 800000;
  std::vector<std::string> drawnIds_;
};

}  // namespace kestrelhoist::sim
