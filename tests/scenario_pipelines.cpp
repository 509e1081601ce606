#include "scenario_pipelines.hpp"

namespace kestrelhoist::sim {

bool ScenarioPipelines::pipelineOption(JobPlan& job, const std::string& key,
                                       const std::string& value) {
  if (key == "awaits") {  // The value is a list (j-1,j-2) or a range (j-1..j-100) of job ids.
    std::istringstream in(value);
    for (std::string id; std::getline(in, id, ',');) addAwaited(job, id);
  } else if (key == "awaitstext") {  // The value is any JSON without blanks, valid or not.
    job.awaitsText = value;
  } else if (key == "due") {
    job.dueS = std::stod(value);
  } else if (key == "late") {
    job.submitAfterDependencies = value == "yes";
  } else if (key == "cancelafter") {
    job.cancelAfterS = std::stod(value);
  } else if (key == "via") {
    job.via = nodeOf(value);
  } else {
    return false;
  }
  return true;
}

bool ScenarioPipelines::pipelineStep(const Line& line) {
  World& w = *world_;
  const auto& words = line.words;
  if (words[0] == "pipeline") {
    auto chosen = options(line, 2);
    submitPipeline(words.at(1), chosen);
  } else if (words[0] ==
             "pipelines") {  // `pipelines COUNT SECONDS` submits drawn pipelines over that time.
    auto within = static_cast<std::int64_t>(std::stod(words.at(2)) * 1000);
    for (int i = 0; i < std::stoi(words.at(1)); ++i) {
      w.clock.in(draw(within), [this, i] { submitDrawn(firstDrawn_ + 100 * i); });
    }
  } else if (words[0] ==
             "ask") {  // `ask EVERY SECONDS` reads all pipeline jobs at drawn controllers.
    w.pollPipelineJobs(static_cast<std::int64_t>(std::stod(words.at(1)) * 1000),
                       static_cast<std::int64_t>(std::stod(words.at(2)) * 1000));
  } else {
    return false;
  }
  return true;
}

bool ScenarioPipelines::expectPipeline(const Line& line) {
  World& w = *world_;
  const auto& words = line.words;
  if (words.at(1) ==
      "settled") {  // `expect settled` checks that users know each pipeline job's end.
    std::string open;
    for (const auto& id : w.unfinishedJobs()) open += " " + id + " (" + w.phaseOf(id) + ")";
    EXPECT_EQ(open, "");
  } else {
    return false;
  }
  return true;
}

ScenarioPipelines::Stages ScenarioPipelines::stagesOf(const std::string& shape) {
  if (shape == "chain") return {{}, {0}, {1}, {2}};
  if (shape == "fan") return {{}, {0}, {0}, {0}, {0}};
  if (shape == "diamond") return {{}, {0}, {0}, {1, 2}};
  EXPECT_EQ(shape, "drawn");
  Stages stages(static_cast<std::size_t>(3 + draw(6)));
  for (std::size_t i = 1; i < stages.size(); ++i) {
    std::set<int> awaited;
    for (auto n = draw(4); n > 0; --n) {
      awaited.insert(static_cast<int>(draw(static_cast<std::int64_t>(i))));
    }
    stages[i].assign(awaited.begin(), awaited.end());
  }
  return stages;
}

void ScenarioPipelines::submitPipeline(const std::string& id,
                                       std::map<std::string, std::string> chosen) {
  auto take = [&chosen](const char* key, const char* otherwise) {
    auto it = chosen.find(key);
    std::string value = it == chosen.end() ? otherwise : it->second;
    if (it != chosen.end()) chosen.erase(it);
    return value;
  };
  Stages stages = stagesOf(take("shape", "chain"));
  auto count = static_cast<int>(stages.size());
  bool late = take("late", "no") == "yes";
  std::string cancel = take("cancel", "none");
  int cancelled = cancel == "none"    ? -1
                  : cancel == "drawn" ? static_cast<int>(draw(count))
                                      : std::stoi(cancel);
  std::string after = take("after", "");  // This is the time in seconds after the job is accepted.
  int first = std::stoi(id.substr(2));
  for (int i = 0; i < count; ++i) {
    JobPlan job = jobFrom(jobId(first + i), chosen);
    if (!chosen.contains("tasks")) job.tasks = static_cast<int>(1 + draw(4));
    if (!chosen.contains("run")) job.runS = static_cast<double>(2 + draw(9));
    for (int awaited : stages[static_cast<std::size_t>(i)]) {
      job.awaits.push_back(jobId(first + awaited));
    }
    job.submitAfterDependencies = late && i + 1 == count;
    if (i + 1 == count) job.dueS = 300;
    if (i == cancelled) job.cancelAfterS = after.empty() ? drawnMoment() : std::stod(after);
    world_->submit(job);
  }
}

void ScenarioPipelines::submitDrawn(int first) {
  constexpr const char* kShapes[] = {"chain", "fan", "diamond", "drawn", "drawn"};
  std::map<std::string, std::string> chosen{{"shape", kShapes[draw(std::size(kShapes))]},
                                            {"late", draw(5) == 0 ? "yes" : "no"},
                                            {"cancel", draw(3) == 0 ? "drawn" : "none"},
                                            {"spot", draw(2) ? "yes" : "no"},
                                            {"gpus", draw(2) ? "1" : "0"},
                                            {"team", draw(3) == 0 ? "rival" : "team"},
                                            {"class", "stage"}};
  if (draw(4) == 0) chosen["checkpoint"] = "2";
  // One in five pipelines depends on a job of an earlier pipeline, in whatever phase that job is.
  if (!drawnIds_.empty() && draw(5) == 0) {
    chosen["awaits"] =
        drawnIds_[static_cast<std::size_t>(draw(static_cast<std::int64_t>(drawnIds_.size())))];
  }
  submitPipeline(jobId(first), chosen);
  drawnIds_.push_back(jobId(first));
  drawnIds_.push_back(jobId(first + 1));
}

}  // namespace kestrelhoist::sim
