/// \file
/// Implements the subcommands of hoist for flows, and those of hoist-admin for the policy.
#pragma once

#include <CLI/CLI.hpp>
#include <memory>
#include <optional>

#include "base/http.hpp"
#include "cli/rule_file.hpp"
#include "client/src/flow_client.hpp"
#include "client/src/settings.hpp"

namespace kestrelhoist::hoist {

/// The exit codes of the programs.
inline constexpr int kOk = 0, kUsage = 2, kRuleFile = 3, kRefused = 4, kConflict = 5, kUnknown = 6,
                     kUnavailable = 7, kFailed = 8, kOutputClosed = 9;
/// The help text on the exit codes.
inline constexpr const char* kExitCodes =
    "Exit codes: 0 done, 2 usage or settings, 3 the rule file is not accepted, 4 refused by the "
    "service, 5 another version or flow was first, 6 no such flow, 7 no usable answer (done, or "
    "not: ask again), 8 the flow failed or was cancelled, 9 "
    "the output could not be written.";

/// The options of the command line.
struct Options {
  std::string configFile, team, member, files, key, authority;
  std::vector<std::string> servers;
  bool json = false;
  double timeoutS = 120;
  RuleFile file;
  std::vector<std::string> set;
  std::string flow, name, rank = "best_effort";
  bool keepGoing = false, dot = false, commands = false;
  std::uint64_t base = 0;
};

/// Prints the plan of a rule file and returns the exit code.
int plan(const Options& options);
/// Returns the settings. The command line overrides the environment, and the environment overrides
/// the settings file.
ClientSettings clientSettings(const Options& options);
/// Prints the error of a call and returns the exit code.
int printError(const client::Error& error, bool json);
/// Prints the completion script for bash.
int printCompletion(const CLI::App& app);

/// Runs the subcommands that send requests to the service. A session has its own event loop and
/// sends one request at a time.
class Session {
 public:
  explicit Session(const Options& options);
  int submit(bool follow);
  int status();
  int follow();
  int amend();
  int cancel();
  int report();
  int account();
  int list();
  int why(const std::string& job);
  int replan();
  /// Sets the policy from a file, or clears it if `file` is empty. If `check` is true, only prints
  /// the effect of the change. The server address must be a controller's address for its peers.
  int policySet(const std::string& file, std::optional<std::uint64_t> base, bool check);
  int policyShow(bool history);
  int showPools();
  int showCharges(const std::string& team);

 private:
  FlowClient::Result wait(const std::function<void(FlowClient::Done)>& call);
  FlowClient::Result get(const std::string& path);
  /// Prints the error of a call, if there is one, and returns the exit code.
  int exitCodeOf(const FlowClient::Result& r) const;
  int follow(const FlowId& id);
  /// Returns the owner and the options of the flow. Throws std::runtime_error if a setting is
  /// missing.
  FlowSubmission submissionFor(const PlannedFile& file) const;
  /// Copies sources and rule files to the flow's directory, which all machines share.
  void stage(const PlannedFile& file, const FlowId& id, const Options& options) const;
  std::string directoryOf(const FlowId& id) const;
  void print(const Json& value, const std::string& text) const;

  Options options_;
  ClientSettings settings_;
  EventLoop loop_;
  std::unique_ptr<EvHttpClient> http_;
  std::unique_ptr<client::Caller> caller_;
  std::unique_ptr<FlowClient> client_;
};

}  // namespace kestrelhoist::hoist
