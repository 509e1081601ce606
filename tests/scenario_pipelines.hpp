/// Pipelines of jobs in scenarios: made-up ones by shape, drawn ones that arrive over time, and
/// what is expected of them.
#pragma once

#include "scenario_machine_faults.hpp"

namespace kestrelhoist::sim {

class ScenarioPipelines : public ScenarioMachineFaults {
 protected:
  bool pipelineOption(JobPlan& job, const std::string& key, const std::string& value) override;

  /// Plays the line if its verb concerns pipelines; false if not.
  bool pipelineStep(const Line& line);

  /// Checks the expectation if it concerns pipelines; false if not.
  bool expectPipeline(const Line& line);

 private:
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

  // Which earlier stages each stage awaits.
  using Stages = std::vector<std::vector<int>>;
  Stages stagesOf(const std::string& shape);

  // pipeline ID shape chain|fan|diamond|drawn [late yes] [cancel STAGE|drawn|none] and options of
  // jobs; what is not said about tasks and run times is drawn.
  void submitPipeline(const std::string& id, std::map<std::string, std::string> chosen);

  // Within milliseconds, before it begins, while it runs, or about when it ends.
  double drawnMoment() {
    constexpr std::int64_t kSpans[] = {10, 1000, 20000, 60000};
    return static_cast<double>(draw(kSpans[draw(std::size(kSpans))])) / 1000;
  }

  void submitDrawn(int first);

  static constexpr int firstDrawn_ = 800000;
  std::vector<std::string> drawnIds_;
};

}  // namespace kestrelhoist::sim
