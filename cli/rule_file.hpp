/// \file
/// A rule file of either language as a user hands it over.
#pragma once

#include "rules/make.hpp"
#include "rules/snake.hpp"

namespace kestrelhoist {

struct RuleFile {
  std::string path;  ///< as given
  std::vector<std::string> targets;
  std::vector<std::pair<std::string, std::string>> config;
  std::string language;   ///< "snakemake", "make" or empty: by its name
  std::string directory;  ///< where sources are; empty: the file's own
  std::string image = "default";
  bool spot = true;
};

struct PlannedFile {
  rules::FlowPlan plan;
  std::string directory;          ///< sources and the files that were read are relative to it
  std::string file;               ///< relative to it
  std::vector<std::string> read;  ///< rule files, includes, configuration
};

/// Throws rules::RuleError.
PlannedFile planFile(const RuleFile& file, const rules::Limits& limits = {});
/// Adds what works the file out again after each checkpoint: an instance that hands in the outcome.
void addReplans(PlannedFile& planned);

std::string listing(const rules::FlowPlan& plan, bool commands);
std::string dotGraph(const rules::FlowPlan& plan);
Json planToJson(const rules::FlowPlan& plan);

}  // namespace kestrelhoist
