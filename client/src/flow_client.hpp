/// \file
/// Submits, changes and queries flows of a user. Callbacks run on the event loop. Every request is
/// idempotent: the client chooses the flow ids and versions, so a repeated request starts no second
/// flow.
#pragma once

#include <functional>
#include <memory>

#include "client/src/caller.hpp"
#include "rules/plan.hpp"

namespace kestrelhoist {

/// The owner of a flow and the options of its execution.
struct FlowSubmission {
  FlowId id;
  std::string team, member, name;
  std::string rank = "best_effort";
  std::string lane = "flow";
  bool keepGoing = false;
};

/// Sends requests about flows.
class FlowClient {
 public:
  using Result = client::Result<client::Answer>;
  using Done = client::Caller::Done;
  explicit FlowClient(client::Caller& caller) : caller_(caller) {}

  /// Sends one request. `timeout` is the timeout of the call, including its retries.
  void call(Request request, Duration timeout, Done done);
  /// Uploads and commits a version of a flow. If `base` is 0, the version starts the flow;
  /// otherwise it replaces the version `base`. `timeout` is the timeout of each request of the
  /// upload.
  void submit(const FlowSubmission& submission, const rules::Bundle& bundle, std::uint64_t base,
              Duration timeout, Done done);
  void status(const FlowId& id, Duration timeout, Done done) {
    get("/v2/flows/" + id.value, timeout, std::move(done));
  }
  void get(const std::string& path, Duration timeout, Done done) {
    call({"GET", path, ""}, timeout, std::move(done));
  }
  void cancel(const FlowId& id, Duration timeout, Done done) {
    call({"POST", "/v2/flows/" + id.value + "/cancel", ""}, timeout, std::move(done));
  }
  /// Returns a random flow id. It has 53 random bits, which makes duplicates very unlikely.
  FlowId drawId();

 private:
  struct Upload;
  void nextPart(std::shared_ptr<Upload> upload);
  void commitVersion(std::shared_ptr<Upload> upload);

  client::Caller& caller_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace kestrelhoist
