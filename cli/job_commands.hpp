/// \file
/// hoist's commands about jobs and keys, on the client library.
#pragma once

#include "client/src/settings.hpp"
#include "kestrelhoist/client.hpp"

namespace kestrelhoist::hoist {

struct JobOptions {
  ClientSettings settings;
  bool json = false;
  double timeoutS = 120;

  client::Job job;
  std::string shape = "array", priority = "best_effort";
  std::string batch;                 ///< idempotency key
  std::string id;                    ///< chosen by the user
  std::vector<std::string> command;  ///< what each task runs
  std::string directory;             ///< below the member's files
  bool wait = false;

  std::vector<std::string> ids;
  std::string phase, since;
  std::size_t limit = 100;
  bool all = false;  ///< every page

  std::uint32_t task = 0;
  bool follow = false;

  std::string team, member, rights = "submit,read,cancel", note, key, hashFile;
  double graceS = 0;
};

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
