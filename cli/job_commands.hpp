/// \file
/// Implements the commands of hoist and hoist-admin for jobs and keys with the client library.
#pragma once

#include "client/src/settings.hpp"
#include "kestrelhoist/client.hpp"

namespace kestrelhoist::hoist {

/// The options of these commands.
struct JobOptions {
  ClientSettings settings;
  bool json = false;
  double timeoutS = 120;

  client::Job job;
  std::string shape = "array", priority = "best_effort";
  std::string batch;                 ///< The idempotency key of the submission.
  std::string id;                    ///< The job id, if the user chooses one.
  std::vector<std::string> command;  ///< The command line of each task.
  std::string directory;             ///< The working directory, below the member's files.
  bool wait = false;

  std::vector<std::string> ids;
  std::string phase, since;
  std::size_t limit = 100;
  bool all = false;  ///< Whether to list all pages.

  std::uint32_t task = 0;
  bool follow = false;

  std::string team, member, rights = "submit,read,cancel", note, key, hashFile;
  double graceS = 0;
};

/// Each function runs one command and returns the exit code.
int jobSubmit(JobOptions o);
int jobStatus(const JobOptions& o);
int jobList(const JobOptions& o);
int jobWatch(const JobOptions& o);
int jobCancel(const JobOptions& o);
int jobLogs(const JobOptions& o);

int keyInit(const JobOptions& o);
int keyMake(const JobOptions& o);
int keyList(const JobOptions& o);
int keyRotate(const JobOptions& o);
int keyRevoke(const JobOptions& o);

}  // namespace kestrelhoist::hoist
